//! Checks the layout of message bodies before the codecs decode them.
//!
//! The codecs of `pgwire` 0.42 read counts and fields without bounds checks and panic on a body that is too short.
//! This module defines the layout of each message type as a sequence of [`Element`]s. A body is valid if its elements
//! fill it exactly.

use bytes::Buf;

use crate::frame::{Error, tag};

/// Element of a message body.
enum Element {
    /// A fixed number of bytes.
    Bytes(usize),
    /// Text terminated by a zero byte.
    Text,
    /// A two-byte count, followed by that many repetitions of the elements.
    List(&'static [Element]),
    /// A four-byte length, followed by that many bytes; the length -1 stands for null.
    Value,
    /// Any number of fields, each a code byte and a text, terminated by a zero byte.
    Fields,
    /// The code of an authentication request and the data that this request requires.
    Authentication,
    /// All remaining bytes.
    Rest,
}

/// Code of the request for an MD5 password, which contains a salt of four bytes.
const MD5_PASSWORD: i32 = 5;

/// Size of a column in a row description, without the column name.
const COLUMN_BYTES: usize = 18;

const VALUES: Element = Element::List(&[Element::Value]);
const TYPES: Element = Element::List(&[Element::Bytes(4)]);
const FORMATS: Element = Element::List(&[Element::Bytes(2)]);

/// Checks the body of a message from a caller.
pub(super) fn check_frontend(tag: u8, body: &[u8]) -> Result<(), Error> {
    use tag::frontend as f;
    let layout: &[Element] = match tag {
        f::QUERY | f::COPY_FAIL => &[Element::Text],
        f::PARSE => &[Element::Text, Element::Text, TYPES],
        f::BIND => &[Element::Text, Element::Text, FORMATS, VALUES, FORMATS],
        f::DESCRIBE | f::CLOSE => &[Element::Bytes(1), Element::Text],
        f::EXECUTE => &[Element::Text, Element::Bytes(4)],
        f::SYNC | f::FLUSH | f::TERMINATE | f::COPY_DONE => &[],
        f::PASSWORD | f::COPY_DATA => &[Element::Rest],
        _ => return Err(unknown_type(tag)),
    };
    check(tag, body, layout)
}

/// Checks the body of a message from a database.
pub(super) fn check_backend(tag: u8, body: &[u8]) -> Result<(), Error> {
    use tag::backend as b;
    let layout: &[Element] = match tag {
        b::AUTHENTICATION => &[Element::Authentication],
        b::PARAMETER_STATUS => &[Element::Text, Element::Text],
        b::BACKEND_KEY_DATA => &[Element::Bytes(4), Element::Rest],
        b::NEGOTIATE_PROTOCOL_VERSION => &[Element::Bytes(8), Element::Rest],
        b::READY_FOR_QUERY => &[Element::Bytes(1)],
        b::ERROR_RESPONSE | b::NOTICE_RESPONSE => &[Element::Fields],
        b::NOTIFICATION_RESPONSE => &[Element::Bytes(4), Element::Text, Element::Text],
        b::COMMAND_COMPLETE | b::COPY_FAIL => &[Element::Text],
        b::ROW_DESCRIPTION => &[Element::List(&[
            Element::Text,
            Element::Bytes(COLUMN_BYTES),
        ])],
        b::PARAMETER_DESCRIPTION => &[TYPES],
        b::DATA_ROW => &[VALUES],
        b::COPY_IN_RESPONSE | b::COPY_OUT_RESPONSE | b::COPY_BOTH_RESPONSE => {
            &[Element::Bytes(1), FORMATS]
        }
        b::COPY_DATA => &[Element::Rest],
        b::PARSE_COMPLETE
        | b::BIND_COMPLETE
        | b::CLOSE_COMPLETE
        | b::PORTAL_SUSPENDED
        | b::NO_DATA
        | b::EMPTY_QUERY_RESPONSE
        | b::COPY_DONE => &[],
        _ => return Err(unknown_type(tag)),
    };
    check(tag, body, layout)
}

/// Checks the body of a caller's SASLInitialResponse: the name of the mechanism and the initial response. This message
/// has the same tag as a password.
pub(crate) fn check_initial_response(body: &[u8]) -> Result<(), Error> {
    check(
        tag::frontend::PASSWORD,
        body,
        &[Element::Text, Element::Value],
    )
}

fn unknown_type(tag: u8) -> Error {
    Error::Malformed {
        tag,
        reason: "the message type is unknown",
    }
}

fn check(tag: u8, mut body: &[u8], layout: &[Element]) -> Result<(), Error> {
    skip_all(&mut body, layout).ok_or(Error::Malformed {
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

/// Advances `body` past the elements. Returns `None` if the body is too short.
fn skip_all(body: &mut &[u8], elements: &[Element]) -> Option<()> {
    elements.iter().try_for_each(|element| skip(body, element))
}

fn skip(body: &mut &[u8], element: &Element) -> Option<()> {
    match element {
        Element::Bytes(count) => advance(body, *count),
        Element::Text => skip_text(body),
        Element::List(elements) => {
            let count = body.try_get_u16().ok()?;
            (0..count).try_for_each(|_| skip_all(body, elements))
        }
        Element::Value => skip_value(body),
        Element::Fields => skip_fields(body),
        Element::Authentication => skip_authentication(body),
        Element::Rest => advance(body, body.len()),
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
