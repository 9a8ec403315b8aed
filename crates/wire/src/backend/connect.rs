//! Opens a connection to a database.

use std::net::SocketAddr;

use bytes::BytesMut;
use pgwire::messages::response::{SslResponse, TransactionStatus};
use pgwire::messages::startup::{SslRequest, Startup};
use pgwire::messages::{Message, PgWireBackendMessage, PgWireFrontendMessage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

use crate::backend::{Connection, Error, Key, Login, auth};
use crate::frame::{self, Codec};
use crate::parameter::{self, Parameter};
use crate::stream::{Framed, Stream};
use crate::tls;

/// Opens a connection and logs in, up to the database's first ReadyForQuery.
///
/// `params` go into the startup message beside the login. The login may ask for no password, a clear one or
/// SCRAM-SHA-256.
pub async fn connect(
    address: SocketAddr,
    params: &[Parameter],
    login: &Login,
    tls: Option<&tls::Connector>,
    deadline: Instant,
) -> Result<Connection, Error> {
    let connecting = open(address, params, login, tls);
    time::timeout_at(deadline, connecting)
        .await
        .map_err(|_| Error::Deadline)?
}

async fn open(
    address: SocketAddr,
    params: &[Parameter],
    login: &Login,
    tls: Option<&tls::Connector>,
) -> Result<Connection, Error> {
    let tcp = TcpStream::connect(address)
        .await
        .map_err(Error::Unreachable)?;
    tcp.set_nodelay(true)?;
    let stream = match tls {
        Some(connector) => encrypt(address, tcp, connector).await?,
        None => Stream::Plain(tcp),
    };
    let mut framed = Framed::new(stream, Codec::default());
    let startup = startup(params, login);
    framed.send(&frame::try_frontend(&startup)?).await?;
    auth::authenticate(&mut framed, login).await?;
    settle(framed).await
}

/// Asks for TLS. One byte is read, so that nothing sent before the handshake can pass as encrypted.
async fn encrypt(
    address: SocketAddr,
    mut tcp: TcpStream,
    connector: &tls::Connector,
) -> Result<Stream, Error> {
    let mut request = BytesMut::new();
    SslRequest::new()
        .encode(&mut request)
        .map_err(frame::Error::Codec)?;
    tcp.write_all(&request).await?;
    if tcp.read_u8().await? != SslResponse::BYTE_ACCEPT {
        return Err(Error::TlsRefused);
    }
    Ok(connector.connect(address, tcp).await?)
}

fn startup(params: &[Parameter], login: &Login) -> PgWireFrontendMessage {
    let mut startup = Startup::new();
    startup.parameters = params
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    startup
        .parameters
        .insert("user".into(), login.user.to_string());
    startup
        .parameters
        .insert("database".into(), login.database.to_string());
    PgWireFrontendMessage::Startup(startup)
}

/// Reads what follows the login, up to ReadyForQuery.
async fn settle(mut framed: Framed<Stream>) -> Result<Connection, Error> {
    let mut parameters = Vec::new();
    let mut key = None;
    loop {
        let frame = framed.read_frame().await?.ok_or(Error::Closed)?;
        match frame.decode_backend()? {
            PgWireBackendMessage::ParameterStatus(status) => {
                parameter::set(&mut parameters, &status.name, &status.value);
            }
            PgWireBackendMessage::BackendKeyData(data) => {
                key = Some(Key {
                    pid: data.pid,
                    secret: data.secret_key.to_bytes(),
                });
            }
            PgWireBackendMessage::ReadyForQuery(ready) => {
                return Ok(connection(framed, parameters, key, ready.status));
            }
            PgWireBackendMessage::ErrorResponse(error) => {
                return Err(Error::Database(error.into()));
            }
            PgWireBackendMessage::NoticeResponse(_)
            | PgWireBackendMessage::NegotiateProtocolVersion(_) => {}
            _ => return Err(Error::Unexpected { tag: frame.tag }),
        }
    }
}

fn connection(
    framed: Framed<Stream>,
    parameters: Vec<Parameter>,
    key: Option<Key>,
    status: TransactionStatus,
) -> Connection {
    Connection {
        framed,
        parameters,
        key,
        status,
    }
}
