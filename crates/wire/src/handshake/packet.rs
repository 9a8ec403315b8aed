//! Reads the untagged packets with which a caller opens a connection.

use std::io;

use bytes::{Buf, BytesMut};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{GssEncRequest, SslRequest, Startup};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};
use tokio::io::AsyncReadExt;

use crate::backend::CancelKey;
use crate::frame::{self, LENGTH_BYTES};
use crate::handshake::Error;
use crate::stream::Stream;

/// Minimum size of a packet: the length and a request code, four bytes each.
const MIN_PACKET_BYTES: usize = 8;

/// Maximum size of a packet, the same as in PostgreSQL.
const MAX_PACKET_BYTES: usize = 10_000;

/// Supported major version of the protocol.
const MAJOR_VERSION: u16 = 3;

/// An untagged packet.
pub(super) enum Packet {
    /// SSLRequest: the caller requests TLS.
    Ssl,
    /// GSSENCRequest: the caller requests GSSAPI encryption.
    Gss,
    /// CancelRequest: cancels the running statement of another connection.
    Cancel(CancelKey),
    /// StartupMessage: starts a session.
    Startup(Startup),
}

/// Reads one packet, and no bytes after it.
pub(super) async fn read(stream: &mut Stream) -> Result<Packet, Error> {
    let bytes = read_bytes(stream).await?;
    if SslRequest::is_ssl_request_packet(&bytes) {
        return Ok(Packet::Ssl);
    }
    if GssEncRequest::is_gss_enc_request_packet(&bytes) {
        return Ok(Packet::Gss);
    }
    if CancelRequest::is_cancel_request_packet(&bytes) {
        return decode_cancel(bytes);
    }
    decode_startup(bytes)
}

async fn read_bytes(stream: &mut Stream) -> Result<BytesMut, Error> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await.map_err(read_error)?;
    let packet_bytes = usize::try_from(i32::from_be_bytes(length)).unwrap_or(0);
    if !(MIN_PACKET_BYTES..=MAX_PACKET_BYTES).contains(&packet_bytes) {
        return Err(Error::Protocol("the length of the packet is out of range"));
    }
    let mut bytes = BytesMut::zeroed(packet_bytes);
    bytes[..LENGTH_BYTES].copy_from_slice(&length);
    stream
        .read_exact(&mut bytes[LENGTH_BYTES..])
        .await
        .map_err(read_error)?;
    Ok(bytes)
}

fn read_error(error: io::Error) -> Error {
    match error.kind() {
        io::ErrorKind::UnexpectedEof => Error::Closed,
        _ => error.into(),
    }
}

fn decode_cancel(mut bytes: BytesMut) -> Result<Packet, Error> {
    let request = CancelRequest::decode(&mut bytes, &decode_context())
        .map_err(frame::Error::Codec)?
        .ok_or(Error::Protocol("the cancel request is incomplete"))?;
    Ok(Packet::Cancel(CancelKey {
        pid: request.pid,
        secret: request.secret_key.to_bytes(),
    }))
}

fn decode_startup(mut bytes: BytesMut) -> Result<Packet, Error> {
    let major = (&bytes[LENGTH_BYTES..]).get_u16();
    if major != MAJOR_VERSION {
        return Err(Error::Version { major });
    }
    if bytes.last() != Some(&0) {
        return Err(Error::Protocol("the parameters are not terminated"));
    }
    let startup = Startup::decode(&mut bytes, &decode_context())
        .map_err(frame::Error::Codec)?
        .ok_or(Error::Protocol("the startup message is incomplete"))?;
    if !bytes.is_empty() {
        return Err(Error::Protocol("the parameters end before the packet"));
    }
    Ok(Packet::Startup(startup))
}

/// Returns the decoding state. With protocol 3.2, the codecs accept cancel keys of any length.
fn decode_context() -> DecodeContext {
    DecodeContext::new(ProtocolVersion::PROTOCOL3_2)
}
