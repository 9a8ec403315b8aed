//! Cancel requests to databases.

use std::net::SocketAddr;

use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::SecretKey;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

use crate::backend::{Error, Key};
use crate::frame;

/// Asks the database to cancel what runs on the connection of `key`, and waits until it has taken note.
///
/// That it did so says nothing about whether a statement was still running.
pub async fn cancel(address: SocketAddr, key: &Key, deadline: Instant) -> Result<(), Error> {
    time::timeout_at(deadline, send(address, key))
        .await
        .map_err(|_| Error::Deadline)?
}

async fn send(address: SocketAddr, key: &Key) -> Result<(), Error> {
    let mut bytes = BytesMut::new();
    CancelRequest::new(key.pid, SecretKey::Bytes(key.secret.clone()))
        .encode(&mut bytes)
        .map_err(frame::Error::Codec)?;
    let mut stream = TcpStream::connect(address)
        .await
        .map_err(Error::Unreachable)?;
    stream.write_all(&bytes).await?;
    wait_for_end(&mut stream).await
}

/// The database answers by closing the connection; one that resets it has done the same.
async fn wait_for_end(stream: &mut TcpStream) -> Result<(), Error> {
    let mut rest = [0; 64];
    while let Ok(count) = stream.read(&mut rest).await {
        if count == 0 {
            break;
        }
    }
    Ok(())
}
