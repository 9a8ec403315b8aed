//! Accepts connections from callers: TLS negotiation, startup message or cancel request, and login.
//!
//! [`accept`] runs the protocol up to AuthenticationOk and reports errors to the caller. [`finish`] then sends the
//! remaining messages that a caller expects before its first query.

mod error;
mod login;
mod options;
mod packet;

use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::{GssEncResponse, ReadyForQuery, SslResponse, TransactionStatus};
use pgwire::messages::startup::{BackendKeyData, NegotiateProtocolVersion, SecretKey, Startup};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

use crate::answer::{Answer, sqlstate};
use crate::backend::CancelKey;
use crate::frame::{self, Codec};
use crate::parameter::{self, Parameter};
use crate::scram;
use crate::stream::{Framed, Stream};
use crate::tls;

pub use error::Error;

use packet::Packet;

/// Number of encryption requests that a connection may send before its startup message.
const MAX_ENCRYPTION_REQUESTS: usize = 3;

/// Maximum size of a message from a caller that has not logged in yet.
const MAX_LOGIN_FRAME_BYTES: usize = 8 << 10;

/// Prefix of startup parameters that are protocol options.
const PROTOCOL_OPTION_PREFIX: &str = "_pq_.";

/// How the proxy authenticates a user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoginMethod {
    /// The proxy accepts the user without a password.
    Trust,
    /// The proxy runs a SCRAM exchange and accepts the password that matches the verifier.
    Scram(scram::Verifier),
    /// The user does not exist or cannot log in. The proxy runs a SCRAM exchange as for a user that can, and refuses
    /// any password.
    Unknown {
        /// Secret from which the salt of the exchange is derived. Proxies with the same secret send the same salt.
        secret: Box<[u8]>,
    },
}

/// Result of accepting a connection.
#[derive(Debug)]
pub enum Accepted {
    /// The caller has logged in.
    Session(Session),
    /// The connection sent a cancel request and has been closed.
    Cancel(CancelKey),
}

/// A caller that has logged in.
#[derive(Debug)]
pub struct Session {
    /// Stream after AuthenticationOk, which is not flushed yet.
    pub framed: Framed<Stream>,
    /// User name.
    pub user: Box<str>,
    /// Database name; the user name if the caller sent none.
    pub database: Box<str>,
    /// Other startup parameters and the settings in `options`, sorted by name.
    pub parameters: Vec<Parameter>,
}

/// Accepts a new connection, up to the successful login or a cancel request.
///
/// `login_method` returns how to authenticate the user with a given name. Before an error is returned, the caller
/// receives an answer, unless the connection cannot carry one or the deadline has passed.
pub async fn accept<F>(
    tcp: TcpStream,
    tls: Option<&tls::Acceptor>,
    deadline: Instant,
    login_method: F,
) -> Result<Accepted, Error>
where
    F: FnOnce(&str) -> LoginMethod,
{
    time::timeout_at(deadline, accept_untimed(tcp, tls, login_method))
        .await
        .map_err(|_| Error::Deadline)?
}

async fn accept_untimed<F>(
    tcp: TcpStream,
    tls: Option<&tls::Acceptor>,
    login_method: F,
) -> Result<Accepted, Error>
where
    F: FnOnce(&str) -> LoginMethod,
{
    tcp.set_nodelay(true)?;
    let mut stream = Stream::Plain(tcp);
    for _ in 0..=MAX_ENCRYPTION_REQUESTS {
        match packet::read(&mut stream).await {
            Ok(Packet::Ssl) => stream = answer_ssl(stream, tls).await?,
            Ok(Packet::Gss) => stream.write_all(&[GssEncResponse::BYTE_REFUSE]).await?,
            Ok(Packet::Cancel(key)) => return Ok(Accepted::Cancel(key)),
            Ok(Packet::Startup(startup)) => return log_in(stream, startup, login_method).await,
            Err(error) => return fail(Framed::new(stream, Codec::default()), error).await,
        }
    }
    let error = Error::Protocol("too many encryption requests");
    fail(Framed::new(stream, Codec::default()), error).await
}

/// Accepts or refuses TLS. Nothing after the request has been read yet, so that no unencrypted bytes can be taken for a
/// part of the encrypted stream.
async fn answer_ssl(mut stream: Stream, tls: Option<&tls::Acceptor>) -> Result<Stream, Error> {
    match (stream, tls) {
        (Stream::Plain(mut tcp), Some(acceptor)) => {
            tcp.write_all(&[SslResponse::BYTE_ACCEPT]).await?;
            Ok(acceptor.accept(tcp).await?)
        }
        (unchanged, _) => {
            stream = unchanged;
            stream.write_all(&[SslResponse::BYTE_REFUSE]).await?;
            Ok(stream)
        }
    }
}

async fn log_in<F>(stream: Stream, startup: Startup, login_method: F) -> Result<Accepted, Error>
where
    F: FnOnce(&str) -> LoginMethod,
{
    let mut framed = Framed::new(stream, Codec::new(MAX_LOGIN_FRAME_BYTES));
    negotiate_version(&mut framed, &startup)?;
    let (user, database, parameters) = match parse_startup(startup) {
        Ok(identity) => identity,
        Err(error) => return fail(framed, error).await,
    };
    if let Err(error) = login::authenticate(&mut framed, &user, login_method(&user)).await {
        return fail(framed, error).await;
    }
    framed.set_codec(Codec::default());
    Ok(Accepted::Session(Session {
        framed,
        user,
        database,
        parameters,
    }))
}

/// Feeds NegotiateProtocolVersion if the caller requests a newer minor version or protocol options, because the proxy
/// supports only version 3.0 without options.
fn negotiate_version(framed: &mut Framed<Stream>, startup: &Startup) -> Result<(), Error> {
    let unsupported: Vec<String> = startup
        .parameters
        .keys()
        .filter(|name| name.starts_with(PROTOCOL_OPTION_PREFIX))
        .cloned()
        .collect();
    if startup.protocol_number_minor == 0 && unsupported.is_empty() {
        return Ok(());
    }
    let answer = NegotiateProtocolVersion::new(Startup::PROTOCOL_VERSION_3_0, unsupported);
    let answer = PgWireBackendMessage::NegotiateProtocolVersion(answer);
    framed.feed(&frame::try_encode_backend(&answer)?);
    Ok(())
}

/// User name, database name and other parameters in a startup message.
type Identity = (Box<str>, Box<str>, Vec<Parameter>);

/// Extracts user, database and parameters from a startup message. A startup parameter has precedence over a setting of
/// the same name in `options`.
fn parse_startup(startup: Startup) -> Result<Identity, Error> {
    let mut startup_parameters: Vec<Parameter> = startup
        .parameters
        .into_iter()
        .filter(|(name, _)| !name.starts_with(PROTOCOL_OPTION_PREFIX))
        .map(|(name, value)| (name.into(), value.into()))
        .collect();
    let user = parameter::remove(&mut startup_parameters, "user")
        .filter(|user| !user.is_empty())
        .ok_or(Error::NoUser)?;
    let database = parameter::remove(&mut startup_parameters, "database")
        .filter(|database| !database.is_empty())
        .unwrap_or_else(|| user.clone());
    if let Some(replication) = parameter::remove(&mut startup_parameters, "replication") {
        check_no_replication(&replication)?;
    }
    let options = parameter::remove(&mut startup_parameters, "options").unwrap_or_default();
    let mut parameters = options::parse(&options)?;
    for (name, value) in startup_parameters {
        parameter::set(&mut parameters, &name, &value);
    }
    Ok((user, database, parameters))
}

fn check_no_replication(value: &str) -> Result<(), Error> {
    match value {
        "false" | "off" | "no" | "0" => Ok(()),
        _ => Err(Error::Replication),
    }
}

/// Sends the answer for `error` to the caller, if it has one, and returns the error.
async fn fail(mut framed: Framed<Stream>, error: Error) -> Result<Accepted, Error> {
    if let Some(answer) = error.answer() {
        framed.feed(&answer.frame());
        // The caller may have closed the connection already; the original error is more useful than a write error.
        let _ = framed.shutdown().await;
    }
    Err(error)
}

/// Completes a login: sends AuthenticationOk, which [`accept`] has only fed, the parameters, the cancel key and
/// ReadyForQuery.
pub async fn finish(
    framed: &mut Framed<Stream>,
    parameters: &[Parameter],
    key: &CancelKey,
) -> Result<(), Error> {
    for (name, value) in parameters {
        framed.feed(&parameter_status(name, value)?);
    }
    let secret = SecretKey::Bytes(key.secret.clone());
    let key = PgWireBackendMessage::BackendKeyData(BackendKeyData::new(key.pid, secret));
    framed.feed(&frame::try_encode_backend(&key)?);
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    framed.feed(&frame::encode_backend(
        &PgWireBackendMessage::ReadyForQuery(ready),
    ));
    framed.flush().await?;
    Ok(())
}

/// Refuses a caller after its login, for example because the database does not exist, and closes the connection.
pub async fn reject(mut framed: Framed<Stream>, answer: Answer) -> Result<(), Error> {
    framed.feed(&answer.fatal().frame());
    framed.shutdown().await?;
    Ok(())
}

fn parameter_status(name: &str, value: &str) -> Result<frame::Frame, Error> {
    let status = pgwire::messages::startup::ParameterStatus::new(name.into(), value.into());
    Ok(frame::try_encode_backend(
        &PgWireBackendMessage::ParameterStatus(status),
    )?)
}

fn no_user_answer() -> Answer {
    let message = "no user name in the startup message";
    Answer::error(sqlstate::INVALID_AUTHORIZATION, message).fatal()
}
