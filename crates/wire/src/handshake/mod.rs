//! The start of a caller's connection: TLS, startup or cancel request, login.
//!
//! [`accept`] answers the caller's errors itself, up to and with AuthenticationOk. [`finish`] sends what must follow
//! before the first query.

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
use crate::backend::Key;
use crate::frame::{self, Codec};
use crate::parameter::{self, Parameter};
use crate::scram;
use crate::stream::{Framed, Stream};
use crate::tls;

pub use error::Error;

use packet::Packet;

/// Encryption requests that one connection may make.
const MAX_ENCRYPTION_REQUESTS: usize = 3;

/// Largest message of a caller that has not logged in yet.
const MAX_LOGIN_FRAME_BYTES: usize = 8 << 10;

/// Startup parameters that are options of the protocol itself.
const PROTOCOL_OPTION_PREFIX: &str = "_pq_.";

/// How a user may log in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Login {
    /// Without a password.
    Trust,
    /// With the password of the verifier.
    Scram(scram::Verifier),
    /// Not at all: the caller is asked for a password as if the user existed, and refused.
    Unknown {
        /// Makes the salt that the caller is shown; proxies that share it answer alike.
        secret: Box<[u8]>,
    },
}

/// What a connection turned out to be.
#[derive(Debug)]
pub enum Accepted {
    /// A caller that has logged in.
    Session(Session),
    /// A cancel request; the connection is closed already.
    Cancel(Key),
}

/// A caller that has logged in.
#[derive(Debug)]
pub struct Session {
    /// The stream, after AuthenticationOk.
    pub framed: Framed<Stream>,
    /// User name.
    pub user: Box<str>,
    /// Database name; the user name when the caller gave none.
    pub database: Box<str>,
    /// The other startup parameters and the settings in `options`, sorted by name.
    pub parameters: Vec<Parameter>,
}

/// Takes a new connection up to the login's success, a cancel request, or an error.
///
/// `verify` tells how the named user may log in. The caller has been told of the error when there is a way to.
pub async fn accept<F>(
    tcp: TcpStream,
    tls: Option<&tls::Acceptor>,
    deadline: Instant,
    verify: F,
) -> Result<Accepted, Error>
where
    F: FnOnce(&str) -> Login,
{
    time::timeout_at(deadline, run(tcp, tls, verify))
        .await
        .map_err(|_| Error::Deadline)?
}

async fn run<F>(tcp: TcpStream, tls: Option<&tls::Acceptor>, verify: F) -> Result<Accepted, Error>
where
    F: FnOnce(&str) -> Login,
{
    tcp.set_nodelay(true)?;
    let mut stream = Stream::Plain(tcp);
    for _ in 0..=MAX_ENCRYPTION_REQUESTS {
        match packet::read(&mut stream).await {
            Ok(Packet::Ssl) => stream = answer_ssl(stream, tls).await?,
            Ok(Packet::Gss) => stream.write_all(&[GssEncResponse::BYTE_REFUSE]).await?,
            Ok(Packet::Cancel(key)) => return Ok(Accepted::Cancel(key)),
            Ok(Packet::Startup(startup)) => return log_in(stream, startup, verify).await,
            Err(error) => return refuse(Framed::new(stream, Codec::default()), error).await,
        }
    }
    let error = Error::Protocol("too many encryption requests");
    refuse(Framed::new(stream, Codec::default()), error).await
}

/// Starts TLS, or says that there is none. Nothing has been read ahead that could pass as encrypted.
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

async fn log_in<F>(stream: Stream, startup: Startup, verify: F) -> Result<Accepted, Error>
where
    F: FnOnce(&str) -> Login,
{
    let mut framed = Framed::new(stream, Codec::new(MAX_LOGIN_FRAME_BYTES));
    negotiate(&mut framed, &startup)?;
    let (user, database, parameters) = match identify(startup) {
        Ok(identity) => identity,
        Err(error) => return refuse(framed, error).await,
    };
    if let Err(error) = login::authenticate(&mut framed, &user, verify(&user)).await {
        return refuse(framed, error).await;
    }
    framed.set_codec(Codec::default());
    Ok(Accepted::Session(Session {
        framed,
        user,
        database,
        parameters,
    }))
}

/// Tells a caller of a newer minor version, or with options of the protocol, what the proxy speaks.
fn negotiate(framed: &mut Framed<Stream>, startup: &Startup) -> Result<(), Error> {
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
    framed.feed(&frame::try_backend(&answer)?);
    Ok(())
}

/// User, database and the other parameters.
type Identity = (Box<str>, Box<str>, Vec<Parameter>);

/// Takes the startup parameters apart. A parameter of its own goes before one in `options`.
fn identify(startup: Startup) -> Result<Identity, Error> {
    let mut given: Vec<Parameter> = startup
        .parameters
        .into_iter()
        .filter(|(name, _)| !name.starts_with(PROTOCOL_OPTION_PREFIX))
        .map(|(name, value)| (name.into(), value.into()))
        .collect();
    let user = parameter::remove(&mut given, "user")
        .filter(|user| !user.is_empty())
        .ok_or(Error::NoUser)?;
    let database = parameter::remove(&mut given, "database")
        .filter(|database| !database.is_empty())
        .unwrap_or_else(|| user.clone());
    if let Some(replication) = parameter::remove(&mut given, "replication") {
        check_no_replication(&replication)?;
    }
    let options = parameter::remove(&mut given, "options").unwrap_or_default();
    let mut parameters = options::parse(&options)?;
    for (name, value) in given {
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

/// Sends the error to the caller, as far as the connection carries it, and gives it back.
async fn refuse(mut framed: Framed<Stream>, error: Error) -> Result<Accepted, Error> {
    if let Some(answer) = error.answer() {
        framed.feed(&answer.frame());
        // The caller may be gone already; the error at hand says more than that.
        let _ = framed.shutdown().await;
    }
    Err(error)
}

/// Sends what follows AuthenticationOk: the parameters, the cancel key and ReadyForQuery.
pub async fn finish(
    framed: &mut Framed<Stream>,
    parameters: &[Parameter],
    key: &Key,
) -> Result<(), Error> {
    for (name, value) in parameters {
        framed.feed(&status_frame(name, value)?);
    }
    let secret = SecretKey::Bytes(key.secret.clone());
    let key = PgWireBackendMessage::BackendKeyData(BackendKeyData::new(key.pid, secret));
    framed.feed(&frame::try_backend(&key)?);
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    framed.feed(&frame::backend(&PgWireBackendMessage::ReadyForQuery(ready)));
    framed.flush().await?;
    Ok(())
}

/// Refuses a caller that has logged in, such as for a database that does not exist, and closes the connection.
pub async fn reject(mut framed: Framed<Stream>, answer: Answer) -> Result<(), Error> {
    framed.feed(&answer.fatal().frame());
    framed.shutdown().await?;
    Ok(())
}

fn status_frame(name: &str, value: &str) -> Result<frame::Frame, Error> {
    let status = pgwire::messages::startup::ParameterStatus::new(name.into(), value.into());
    Ok(frame::try_backend(&PgWireBackendMessage::ParameterStatus(
        status,
    ))?)
}

/// The answer to a login without a user name.
fn no_user() -> Answer {
    let message = "no user name in the startup message";
    Answer::error(sqlstate::INVALID_AUTHORIZATION, message).fatal()
}
