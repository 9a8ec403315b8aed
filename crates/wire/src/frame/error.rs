//! Errors of reading and writing frames.

use pgwire::error::PgWireError;

/// Why a frame could not be read, decoded or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The length field is below the size of the field itself.
    #[error("message {} has a malformed length of {length}", name(*tag))]
    Length {
        /// The message type byte.
        tag: u8,
        /// The length field as sent.
        length: i32,
    },
    /// The message is longer than the limit.
    #[error("message {} of {frame_bytes} bytes is over the limit of {max_frame_bytes}", name(*tag))]
    TooLarge {
        /// The message type byte.
        tag: u8,
        /// Size that the header announces.
        frame_bytes: usize,
        /// The limit.
        max_frame_bytes: usize,
    },
    /// The stream ended within a message.
    #[error("the stream ended within a message, after {received_bytes} bytes of it")]
    Truncated {
        /// Bytes of the unfinished message.
        received_bytes: usize,
    },
    /// The body of a message does not have the layout of its type.
    #[error("message {} is malformed: {reason}", name(*tag))]
    Malformed {
        /// The message type byte.
        tag: u8,
        /// What is wrong with the body.
        reason: &'static str,
    },
    /// The codec refused the message.
    #[error("message refused by the codec: {0}")]
    Codec(#[from] PgWireError),
    /// The stream failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

fn name(tag: u8) -> String {
    format!("'{}'", tag.escape_ascii())
}
