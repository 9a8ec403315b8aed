//! Errors of reading, decoding and writing frames.

use pgwire::error::PgWireError;

/// Error of reading, decoding or writing a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The length field is smaller than its own size of four bytes.
    #[error("message {} has a malformed length of {length}", quote_tag(*tag))]
    Length {
        /// Message type byte.
        tag: u8,
        /// Value of the length field.
        length: i32,
    },
    /// The message exceeds the size limit of the codec.
    #[error("message {} of {frame_bytes} bytes is over the limit of {max_frame_bytes}", quote_tag(*tag))]
    TooLarge {
        /// Message type byte.
        tag: u8,
        /// Size of the message according to its header.
        frame_bytes: usize,
        /// Size limit of the codec.
        max_frame_bytes: usize,
    },
    /// The stream ended within a message.
    #[error("the stream ended within a message, after {received_bytes} bytes of it")]
    Truncated {
        /// Number of bytes received of the unfinished message.
        received_bytes: usize,
    },
    /// The body of a message does not match the layout of its message type, or the type is unknown.
    #[error("message {} is malformed: {reason}", quote_tag(*tag))]
    Malformed {
        /// Message type byte.
        tag: u8,
        /// Problem with the body.
        reason: &'static str,
    },
    /// The `pgwire` codec failed to encode or decode the message.
    #[error("message refused by the codec: {0}")]
    Codec(#[from] PgWireError),
    /// Reading or writing the underlying stream failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

fn quote_tag(tag: u8) -> String {
    format!("'{}'", tag.escape_ascii())
}
