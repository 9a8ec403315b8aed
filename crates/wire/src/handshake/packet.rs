//! The packets without a tag that open a connection.

use std::io;

use bytes::{Buf, BytesMut};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{GssEncRequest, SslRequest, Startup};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};
use tokio::io::AsyncReadExt;

use crate::backend::Key;
use crate::frame::{self, LENGTH_BYTES};
use crate::handshake::Error;
use crate::stream::Stream;

/// Shortest packet: the length and a code.
const MIN_PACKET_BYTES: usize = 8;

/// Longest packet, as in PostgreSQL.
const MAX_PACKET_BYTES: usize = 10_000;

/// Major version of the protocol.
const MAJOR_VERSION: u16 = 3;

/// A packet that opens a connection.
pub(super) enum Packet {
    /// Asks for TLS.
    Ssl,
    /// Asks for encryption by GSSAPI.
    Gss,
    /// Asks to cancel a statement of another connection.
    Cancel(Key),
    /// Starts a session.
    Startup(Startup),
}

/// Reads one packet and not a byte more.
pub(super) async fn read(stream: &mut Stream) -> Result<Packet, Error> {
    let bytes = read_bytes(stream).await?;
    if SslRequest::is_ssl_request_packet(&bytes) {
        return Ok(Packet::Ssl);
    }
    if GssEncRequest::is_gss_enc_request_packet(&bytes) {
        return Ok(Packet::Gss);
    }
    if CancelRequest::is_cancel_request_packet(&bytes) {
        return cancel(bytes);
    }
    startup(bytes)
}

async fn read_bytes(stream: &mut Stream) -> Result<BytesMut, Error> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await.map_err(closed)?;
    let packet_bytes = usize::try_from(i32::from_be_bytes(length)).unwrap_or(0);
    if !(MIN_PACKET_BYTES..=MAX_PACKET_BYTES).contains(&packet_bytes) {
        return Err(Error::Protocol("the length of the packet is out of range"));
    }
    let mut bytes = BytesMut::zeroed(packet_bytes);
    bytes[..LENGTH_BYTES].copy_from_slice(&length);
    stream
        .read_exact(&mut bytes[LENGTH_BYTES..])
        .await
        .map_err(closed)?;
    Ok(bytes)
}

fn closed(error: io::Error) -> Error {
    match error.kind() {
        io::ErrorKind::UnexpectedEof => Error::Closed,
        _ => error.into(),
    }
}

fn cancel(mut bytes: BytesMut) -> Result<Packet, Error> {
    let request = CancelRequest::decode(&mut bytes, &context())
        .map_err(frame::Error::Codec)?
        .ok_or(Error::Protocol("the cancel request is incomplete"))?;
    Ok(Packet::Cancel(Key {
        pid: request.pid,
        secret: request.secret_key.to_bytes(),
    }))
}

fn startup(mut bytes: BytesMut) -> Result<Packet, Error> {
    let major = (&bytes[LENGTH_BYTES..]).get_u16();
    if major != MAJOR_VERSION {
        return Err(Error::Version { major });
    }
    if bytes.last() != Some(&0) {
        return Err(Error::Protocol("the parameters are not terminated"));
    }
    let startup = Startup::decode(&mut bytes, &context())
        .map_err(frame::Error::Codec)?
        .ok_or(Error::Protocol("the startup message is incomplete"))?;
    if !bytes.is_empty() {
        return Err(Error::Protocol("the parameters end before the packet"));
    }
    Ok(Packet::Startup(startup))
}

/// Protocol 3.2 keeps cancel keys of any length as bytes.
fn context() -> DecodeContext {
    DecodeContext::new(ProtocolVersion::PROTOCOL3_2)
}
