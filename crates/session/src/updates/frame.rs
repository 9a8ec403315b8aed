//! Messages from a reader to its listeners: a length of four bytes and a `postcard` value.

use std::io;

use bytes::{Buf, BufMut, BytesMut};
use fulmarlift_broker::revision;
use fulmarlift_broker::topology;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::deployment;

/// Most bytes of a message; a usual configuration takes 60 KB.
const FRAME_BYTES_MAX: usize = 16 << 20;

/// A message to a listener.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// All entries that the reader has, as the first message.
    Snapshot {
        topology: topology::Topology,
        members: Vec<topology::Member>,
        /// Revision up to which the members are complete.
        revision: revision::Revision,
        peers: Vec<topology::Peer>,
    },
    /// A changed entry.
    Update(deployment::Update),
    /// Time since the store was last seen to answer the reader's polls of the configuration.
    Freshness {
        age_ms: u64,
        /// Revision up to which the configuration is complete with the messages before this one.
        configuration: Option<revision::Revision>,
    },
}

/// Sends a message, and returns its size in bytes.
pub(super) async fn send(stream: &mut TcpStream, message: &Message) -> io::Result<usize> {
    let bytes = postcard::to_stdvec(message).expect("messages of plain values always encode");
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    let mut frame = BytesMut::with_capacity(bytes.len() + 4);
    frame.put_u32(length);
    frame.put_slice(&bytes);
    stream.write_all(&frame).await?;
    metrics::counter!("fulmarlift_updates_sent_bytes_total").increment(frame.len() as u64);
    Ok(frame.len())
}

/// Takes the next message from `inbox`; none if it is still incomplete.
pub(super) fn take(inbox: &mut BytesMut) -> io::Result<Option<Message>> {
    let Some(length) = inbox.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
    if length > FRAME_BYTES_MAX {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    if inbox.len() < 4 + length {
        return Ok(None);
    }
    inbox.advance(4);
    let frame = inbox.split_to(length);
    postcard::from_bytes(&frame)
        .map(Some)
        .map_err(io::Error::other)
}

/// Waits for the next bytes of the connection, and appends them to `inbox`.
pub(super) async fn fill(stream: &mut TcpStream, inbox: &mut BytesMut) -> io::Result<()> {
    let received_bytes = stream.read_buf(inbox).await?;
    if received_bytes == 0 {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    }
    metrics::counter!("fulmarlift_updates_received_bytes_total").increment(received_bytes as u64);
    Ok(())
}
