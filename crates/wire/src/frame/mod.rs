//! Protocol messages as whole frames.
//!
//! A [`Frame`] holds the bytes of a message as received, including the header, so that the proxy can forward rows and
//! copy data without decoding them. [`Frame::decode_backend`] and [`Frame::decode_frontend`] check the layout of a
//! frame before they pass it to the codecs of `pgwire`, because those codecs read without bounds checks.

mod codec;
mod error;
mod layout;
pub mod tag;

use bytes::{Bytes, BytesMut};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};

pub use codec::Codec;
pub use error::Error;
pub(crate) use layout::check_initial_response;

/// Size of a frame's header: one tag byte and a length field of four bytes.
pub const HEADER_BYTES: usize = 5;

/// Size of the length field. The length includes the field itself.
pub const LENGTH_BYTES: usize = 4;

/// Default limit on the size of received frames.
pub const DEFAULT_MAX_FRAME_BYTES: usize = 16 << 20;

/// A protocol message with its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Message type byte. Its meaning depends on the direction, see [`tag`].
    pub tag: u8,
    /// Whole message: tag, length and body.
    pub bytes: Bytes,
}

impl Frame {
    /// Returns the message without its header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }

    /// Decodes a message that a database sent.
    pub fn decode_backend(&self) -> Result<PgWireBackendMessage, Error> {
        layout::check_backend(self.tag, self.body())?;
        let mut bytes = BytesMut::from(&self.bytes[..]);
        PgWireBackendMessage::decode(&mut bytes, &decode_context())?
            .ok_or_else(|| self.incomplete())
    }

    /// Decodes a message that a caller sent, except the untagged messages before the login.
    pub fn decode_frontend(&self) -> Result<PgWireFrontendMessage, Error> {
        layout::check_frontend(self.tag, self.body())?;
        let mut bytes = BytesMut::from(&self.bytes[..]);
        PgWireFrontendMessage::decode(&mut bytes, &decode_context())?
            .ok_or_else(|| self.incomplete())
    }

    fn incomplete(&self) -> Error {
        Error::Malformed {
            tag: self.tag,
            reason: "the message is incomplete",
        }
    }
}

/// Encodes a message for a caller. Returns an error if the message exceeds the codec's limit for its type.
pub fn try_encode_backend(message: &PgWireBackendMessage) -> Result<Frame, Error> {
    let mut bytes = BytesMut::new();
    message.encode(&mut bytes)?;
    Ok(from_encoded(bytes))
}

/// Encodes a message for a caller.
///
/// # Panics
///
/// Panics if the message exceeds the codec's limit for its type (30,000 bytes for short messages). Use
/// [`try_encode_backend`] if the size of the message depends on external data.
pub fn encode_backend(message: &PgWireBackendMessage) -> Frame {
    try_encode_backend(message).expect("the message is within the codec's limit")
}

/// Encodes a message for a database. Returns an error if the message exceeds the codec's limit for its type.
pub fn try_encode_frontend(message: &PgWireFrontendMessage) -> Result<Frame, Error> {
    let mut bytes = BytesMut::new();
    message.encode(&mut bytes)?;
    Ok(from_encoded(bytes))
}

/// Encodes a message for a database.
///
/// # Panics
///
/// Panics if the message exceeds the codec's limit for its type (10,000 bytes for short messages, 1 GB for
/// statements). Use [`try_encode_frontend`] if the size of the message depends on external data.
pub fn encode_frontend(message: &PgWireFrontendMessage) -> Frame {
    try_encode_frontend(message).expect("the message is within the codec's limit")
}

/// Creates a frame from an encoded message. A startup message has no tag; its frame has the first byte of the length
/// in the place of a tag.
fn from_encoded(bytes: BytesMut) -> Frame {
    Frame {
        tag: bytes.first().copied().unwrap_or_default(),
        bytes: bytes.freeze(),
    }
}

/// Returns the decoding state after startup. With protocol 3.2, the codecs accept cancel keys of any length.
fn decode_context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_2);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}
