//! Opens connections to databases.

use std::net::SocketAddr;

use bytes::BytesMut;
use pgwire::messages::response::{SslResponse, TransactionStatus};
use pgwire::messages::startup::{SslRequest, Startup};
use pgwire::messages::{Message, PgWireBackendMessage, PgWireFrontendMessage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

use crate::backend::{CancelKey, Connection, Credentials, Error, auth};
use crate::frame::{self, Codec};
use crate::parameter::{self, Parameter};
use crate::stream::{Framed, Stream};
use crate::tls;

/// Opens a connection and logs in, up to the database's first ReadyForQuery.
///
/// The startup message contains `parameters` in addition to user and database. The database may require no password, a
/// cleartext password or SCRAM-SHA-256.
pub async fn connect(
    address: SocketAddr,
    parameters: &[Parameter],
    credentials: &Credentials,
    tls: Option<&tls::Connector>,
    deadline: Instant,
) -> Result<Connection, Error> {
    let connecting = connect_untimed(address, parameters, credentials, tls);
    time::timeout_at(deadline, connecting)
        .await
        .map_err(|_| Error::Deadline)?
}

async fn connect_untimed(
    address: SocketAddr,
    parameters: &[Parameter],
    credentials: &Credentials,
    tls: Option<&tls::Connector>,
) -> Result<Connection, Error> {
    let tcp = TcpStream::connect(address)
        .await
        .map_err(Error::Unreachable)?;
    tcp.set_nodelay(true)?;
    let stream = match tls {
        Some(connector) => start_tls(address, tcp, connector).await?,
        None => Stream::Plain(tcp),
    };
    let mut framed = Framed::new(stream, Codec::default());
    let startup = startup_message(parameters, credentials);
    framed.send(&frame::try_encode_frontend(&startup)?).await?;
    auth::authenticate(&mut framed, credentials).await?;
    read_session_start(framed).await
}

/// Requests TLS and runs the handshake. Reads only one byte as the answer, so that no unencrypted bytes can be taken
/// for a part of the encrypted stream.
async fn start_tls(
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

fn startup_message(parameters: &[Parameter], credentials: &Credentials) -> PgWireFrontendMessage {
    let mut startup = Startup::new();
    startup.parameters = parameters
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    startup
        .parameters
        .insert("user".into(), credentials.user.to_string());
    startup
        .parameters
        .insert("database".into(), credentials.database.to_string());
    PgWireFrontendMessage::Startup(startup)
}

/// Reads the messages after AuthenticationOk, up to ReadyForQuery.
async fn read_session_start(mut framed: Framed<Stream>) -> Result<Connection, Error> {
    let mut parameters = Vec::new();
    let mut key = None;
    loop {
        let frame = framed.read_frame().await?.ok_or(Error::Closed)?;
        match frame.decode_backend()? {
            PgWireBackendMessage::ParameterStatus(status) => {
                parameter::set(&mut parameters, &status.name, &status.value);
            }
            PgWireBackendMessage::BackendKeyData(data) => {
                key = Some(CancelKey {
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
    key: Option<CancelKey>,
    status: TransactionStatus,
) -> Connection {
    Connection {
        framed,
        parameters,
        key,
        status,
    }
}
