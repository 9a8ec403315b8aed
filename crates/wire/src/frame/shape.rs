//! Checks the layout of message bodies before the codecs see them.
//!
//! The codecs of `pgwire` 0.42 read counts and fields without bounds checks and panic on a body that is too short.
//! Each message type has a layout here, a row of [`Part`]s; a body passes when the parts fill it exactly.

use bytes::Buf;

use crate::frame::{Error, tag};

/// One piece of a message body.
enum Part {
    /// A fixed number of bytes.
    Bytes(usize),
    /// Text ended by a zero byte.
    Text,
    /// A count of two bytes and as many times the parts.
    List(&'static [Part]),
    /// A length of four bytes, -1 for null, and as many bytes.
    Value,
    /// Fields of a code byte and text, ended by a zero byte.
    Fields,
    /// The code of an authentication request and what belongs to it.
    Authentication,
    /// Whatever is left.
    Rest,
}

/// Code of an authentication request for an MD5 password, which carries a salt of four bytes.
const MD5_PASSWORD: i32 = 5;

/// Bytes that a row description has for a column after the name.
const COLUMN_BYTES: usize = 18;

const VALUES: Part = Part::List(&[Part::Value]);
const TYPES: Part = Part::List(&[Part::Bytes(4)]);
const FORMATS: Part = Part::List(&[Part::Bytes(2)]);

/// Checks the body of a message from a caller.
pub(super) fn check_frontend(tag: u8, body: &[u8]) -> Result<(), Error> {
    use tag::frontend as f;
    let layout: &[Part] = match tag {
        f::QUERY | f::COPY_FAIL => &[Part::Text],
        f::PARSE => &[Part::Text, Part::Text, TYPES],
        f::BIND => &[Part::Text, Part::Text, FORMATS, VALUES, FORMATS],
        f::DESCRIBE | f::CLOSE => &[Part::Bytes(1), Part::Text],
        f::EXECUTE => &[Part::Text, Part::Bytes(4)],
        f::SYNC | f::FLUSH | f::TERMINATE | f::COPY_DONE => &[],
        f::PASSWORD | f::COPY_DATA => &[Part::Rest],
        _ => return Err(unknown(tag)),
    };
    check(tag, body, layout)
}

/// Checks the body of a message from a database.
pub(super) fn check_backend(tag: u8, body: &[u8]) -> Result<(), Error> {
    use tag::backend as b;
    let layout: &[Part] = match tag {
        b::AUTHENTICATION => &[Part::Authentication],
        b::PARAMETER_STATUS => &[Part::Text, Part::Text],
        b::BACKEND_KEY_DATA => &[Part::Bytes(4), Part::Rest],
        b::NEGOTIATE_PROTOCOL_VERSION => &[Part::Bytes(8), Part::Rest],
        b::READY_FOR_QUERY => &[Part::Bytes(1)],
        b::ERROR_RESPONSE | b::NOTICE_RESPONSE => &[Part::Fields],
        b::NOTIFICATION_RESPONSE => &[Part::Bytes(4), Part::Text, Part::Text],
        b::COMMAND_COMPLETE | b::COPY_FAIL => &[Part::Text],
        b::ROW_DESCRIPTION => &[Part::List(&[Part::Text, Part::Bytes(COLUMN_BYTES)])],
        b::PARAMETER_DESCRIPTION => &[TYPES],
        b::DATA_ROW => &[VALUES],
        b::COPY_IN_RESPONSE | b::COPY_OUT_RESPONSE | b::COPY_BOTH_RESPONSE => {
            &[Part::Bytes(1), FORMATS]
        }
        b::COPY_DATA => &[Part::Rest],
        b::PARSE_COMPLETE
        | b::BIND_COMPLETE
        | b::CLOSE_COMPLETE
        | b::PORTAL_SUSPENDED
        | b::NO_DATA
        | b::EMPTY_QUERY_RESPONSE
        | b::COPY_DONE => &[],
        _ => return Err(unknown(tag)),
    };
    check(tag, body, layout)
}

/// Checks the body of a caller's first SASL message, which shares its tag with passwords: the name of the mechanism
/// and the initial response.
pub(crate) fn check_initial_response(body: &[u8]) -> Result<(), Error> {
    check(tag::frontend::PASSWORD, body, &[Part::Text, Part::Value])
}

fn unknown(tag: u8) -> Error {
    Error::Malformed {
        tag,
        reason: "the message type is unknown",
    }
}

fn check(tag: u8, mut body: &[u8], layout: &[Part]) -> Result<(), Error> {
    walk(&mut body, layout).ok_or(Error::Malformed {
        tag,
        reason: "the body is too short for its layout",
    })?;
    if !body.is_empty() {
        return Err(Error::Malformed {
            tag,
            reason: "the body is longer than its layout",
        });
    }
    Ok(())
}

/// Moves `body` past the parts, or `None` when it is too short.
fn walk(body: &mut &[u8], layout: &[Part]) -> Option<()> {
    layout.iter().try_for_each(|part| skip(body, part))
}

fn skip(body: &mut &[u8], part: &Part) -> Option<()> {
    match part {
        Part::Bytes(count) => advance(body, *count),
        Part::Text => skip_text(body),
        Part::List(parts) => {
            let count = body.try_get_u16().ok()?;
            (0..count).try_for_each(|_| walk(body, parts))
        }
        Part::Value => skip_value(body),
        Part::Fields => skip_fields(body),
        Part::Authentication => skip_authentication(body),
        Part::Rest => advance(body, body.len()),
    }
}

fn advance(body: &mut &[u8], count: usize) -> Option<()> {
    *body = body.get(count..)?;
    Some(())
}

fn skip_text(body: &mut &[u8]) -> Option<()> {
    let end = body.iter().position(|byte| *byte == 0)?;
    advance(body, end + 1)
}

fn skip_value(body: &mut &[u8]) -> Option<()> {
    match body.try_get_i32().ok()? {
        -1 => Some(()),
        length => advance(body, usize::try_from(length).ok()?),
    }
}

fn skip_fields(body: &mut &[u8]) -> Option<()> {
    while body.try_get_u8().ok()? != 0 {
        skip_text(body)?;
    }
    Some(())
}

fn skip_authentication(body: &mut &[u8]) -> Option<()> {
    let code = body.try_get_i32().ok()?;
    if code == MD5_PASSWORD && body.len() < 4 {
        return None;
    }
    advance(body, body.len())
}
