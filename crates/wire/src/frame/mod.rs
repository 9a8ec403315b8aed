//! Protocol messages as whole frames.
//!
//! A [`Frame`] keeps the bytes as they came, header included, so that rows and copy data pass through undecoded.
//! [`Frame::decode_backend`] and [`Frame::decode_frontend`] hand a frame to the codecs of `pgwire` after
//! a check of its layout, because those codecs read without bounds checks.

mod codec;
mod error;
mod shape;
pub mod tag;

use bytes::{Bytes, BytesMut};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};

pub use codec::Codec;
pub use error::Error;
pub(crate) use shape::check_initial_response;

/// Bytes of a frame's header: one tag byte and a length of four bytes.
pub const HEADER_BYTES: usize = 5;

/// Bytes of the length field, which counts itself.
pub const LENGTH_BYTES: usize = 4;

/// Largest frame that is accepted unless a limit is given.
pub const DEFAULT_MAX_FRAME_BYTES: usize = 16 << 20;

/// One protocol message with its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The message type byte; its meaning depends on the direction, see [`tag`].
    pub tag: u8,
    /// The whole message: tag, length and body.
    pub bytes: Bytes,
}

impl Frame {
    /// The message without its header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }

    /// Decodes a message that a database sent.
    pub fn decode_backend(&self) -> Result<PgWireBackendMessage, Error> {
        shape::check_backend(self.tag, self.body())?;
        let mut bytes = BytesMut::from(&self.bytes[..]);
        PgWireBackendMessage::decode(&mut bytes, &context())?.ok_or_else(|| self.malformed())
    }

    /// Decodes a message that a caller sent after its startup message.
    pub fn decode_frontend(&self) -> Result<PgWireFrontendMessage, Error> {
        shape::check_frontend(self.tag, self.body())?;
        let mut bytes = BytesMut::from(&self.bytes[..]);
        PgWireFrontendMessage::decode(&mut bytes, &context())?.ok_or_else(|| self.malformed())
    }

    fn malformed(&self) -> Error {
        Error::Malformed {
            tag: self.tag,
            reason: "the message is incomplete",
        }
    }
}

/// Encodes a message for a caller. A message that the codec refuses as too long is an error.
pub fn try_backend(message: &PgWireBackendMessage) -> Result<Frame, Error> {
    let mut bytes = BytesMut::new();
    message.encode(&mut bytes)?;
    Ok(whole(bytes))
}

/// Encodes a message for a caller.
///
/// # Panics
///
/// When the message is beyond the codec's limit of its type (30,000 bytes for short messages). Use [`try_backend`]
/// for a message whose size depends on data from outside.
pub fn backend(message: &PgWireBackendMessage) -> Frame {
    try_backend(message).expect("the message is within the codec's limit")
}

/// Encodes a message for a database. A message that the codec refuses as too long is an error.
pub fn try_frontend(message: &PgWireFrontendMessage) -> Result<Frame, Error> {
    let mut bytes = BytesMut::new();
    message.encode(&mut bytes)?;
    Ok(whole(bytes))
}

/// Encodes a message for a database.
///
/// # Panics
///
/// When the message is beyond the codec's limit of its type (10,000 bytes for short messages, 1 GB for statements).
/// Use [`try_frontend`] for a message whose size depends on data from outside.
pub fn frontend(message: &PgWireFrontendMessage) -> Frame {
    try_frontend(message).expect("the message is within the codec's limit")
}

/// A frame from its encoded bytes; a startup message has no tag and gets its first length byte as one.
fn whole(bytes: BytesMut) -> Frame {
    Frame {
        tag: bytes.first().copied().unwrap_or_default(),
        bytes: bytes.freeze(),
    }
}

/// The state of the codecs after startup. Protocol 3.2 keeps cancel keys of any length as bytes.
fn context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_2);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}
