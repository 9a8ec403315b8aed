//! Sends cancel requests to databases.

use std::net::SocketAddr;

use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::SecretKey;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

use crate::backend::{CancelKey, Error};
use crate::frame;

/// Requests the cancellation of the statement that runs on the connection of `key`, and waits until the database has
/// processed the request.
///
/// Success does not imply that a statement was still running.
pub async fn cancel(address: SocketAddr, key: &CancelKey, deadline: Instant) -> Result<(), Error> {
    time::timeout_at(deadline, send(address, key))
        .await
        .map_err(|_| Error::Deadline)?
}

async fn send(address: SocketAddr, key: &CancelKey) -> Result<(), Error> {
    let mut bytes = BytesMut::new();
    CancelRequest::new(key.pid, SecretKey::Bytes(key.secret.clone()))
        .encode(&mut bytes)
        .map_err(frame::Error::Codec)?;
    let mut stream = TcpStream::connect(address)
        .await
        .map_err(Error::Unreachable)?;
    stream.write_all(&bytes).await?;
    wait_until_closed(&mut stream).await
}

/// Waits until the database closes or resets the connection, which shows that it has processed the request.
async fn wait_until_closed(stream: &mut TcpStream) -> Result<(), Error> {
    let mut ignored = [0; 64];
    while let Ok(read_bytes) = stream.read(&mut ignored).await {
        if read_bytes == 0 {
            break;
        }
    }
    Ok(())
}
