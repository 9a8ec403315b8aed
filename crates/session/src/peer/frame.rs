//! Messages between a forwarding proxy and a home: a length of four bytes and a `postcard` value.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use fulmarlift_core::floor;
use serde::{Deserialize, Serialize, de};

use crate::protocol;
use crate::protocol::caller;
use crate::protocol::member;

/// Most bytes of a message: the longest definition of a prepared statement and the longest statement that executes it, each
/// at most a caller's message, with room for the fields that the proxy adds.
const FRAME_BYTES_MAX: usize = (2 << 20) + 4_096;
/// Size of the length prefix.
const LENGTH_BYTES: usize = 4;

/// A message of the forwarding proxy.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Request {
    /// Opens the connection for a group.
    Startup { group: Box<str> },
    /// Runs a statement, as the caller sent it.
    Run {
        id: Bytes,
        text: Bytes,
        verb: member::Verb,
        forwarded: caller::Forwarded,
    },
    /// Runs a prepared statement.
    Execute {
        id: Bytes,
        prepared: member::Prepared,
        arguments: Bytes,
        forwarded: caller::Forwarded,
    },
    /// Sets a session value.
    Set { name: Box<str>, value: Bytes },
    /// Rolls the transaction back.
    Rollback,
    /// Clears all session values and prepared statements.
    Reset,
    /// Closes the connection.
    Terminate,
}

/// A message of the home.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Response {
    Row(Bytes),
    Complete(Bytes),
    Done,
    Error(protocol::Code, Box<str>),
    Ready(protocol::TransactionState, Option<floor::Point>),
    /// The home stops: it still answers what was sent, but nothing more must be sent.
    Closing,
}

/// Appends a message to the buffer.
pub(super) fn encode<T: Serialize>(message: &T, outbox: &mut BytesMut) {
    let bytes = postcard::to_stdvec(message).expect("messages of plain values always encode");
    let length = u32::try_from(bytes.len()).expect("messages are shorter than 4 GiB");
    outbox.put_u32(length);
    outbox.put_slice(&bytes);
}

/// Returns whether the other end accepts an encoded message of this length.
pub(super) fn fits(message_bytes: usize) -> bool {
    message_bytes <= LENGTH_BYTES + FRAME_BYTES_MAX
}

/// Removes the next complete message from the buffer; returns none if more bytes are needed.
pub(super) fn decode<T: de::DeserializeOwned>(
    inbox: &mut BytesMut,
) -> Result<Option<T>, protocol::WireError> {
    let Some(length) = inbox.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
    if length > FRAME_BYTES_MAX {
        let limit_bytes = FRAME_BYTES_MAX;
        return Err(protocol::WireError::TooLarge { limit_bytes });
    }
    if inbox.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    inbox.advance(LENGTH_BYTES);
    let frame = inbox.split_to(length);
    let message = postcard::from_bytes(&frame);
    message
        .map(Some)
        .map_err(|_| protocol::WireError::Malformed("another proxy's message"))
}
