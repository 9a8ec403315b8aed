//! A connection of a session, with the token that the proxy gave last.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;

use futures::future;
use tokio_postgres::NoTls;

use crate::load::{error, options};

/// Parameter in which a proxy reports the session's token.
const TOKEN: &str = "fulmarlift.token";

/// A connection of a session.
pub struct Connection {
    /// The client.
    pub client: tokio_postgres::Client,
    token: Arc<Mutex<Option<Box<str>>>>,
}

impl Connection {
    /// Connects and logs in.
    pub async fn open(
        options: &options::Options,
        address: SocketAddr,
    ) -> Result<Self, tokio_postgres::Error> {
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(&*options.caller)
            .dbname(&*options.service);
        let (client, connection) = config.connect(NoTls).await?;
        let token = Arc::new(Mutex::new(None));
        tokio::spawn(drive(connection, Arc::clone(&token)));
        Ok(Self { client, token })
    }

    /// Returns the token that the proxy gave last on this connection.
    pub fn token(&self) -> Option<Box<str>> {
        let token = self.token.lock().unwrap_or_else(PoisonError::into_inner);
        token.clone()
    }

    /// Brings a token that another proxy gave.
    pub async fn bring(&self, token: &str) -> Result<(), tokio_postgres::Error> {
        let set = format!("SET {TOKEN} = '{token}'");
        self.client.batch_execute(&set).await
    }
}

/// Runs a connection until it ends.
async fn drive<S, T>(
    mut connection: tokio_postgres::Connection<S, T>,
    token: Arc<Mutex<Option<Box<str>>>>,
) where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
    T: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let run = future::poll_fn(|context| {
        // The lock is held while answers are passed on, so that nobody sees an answer before its token.
        let mut token = token.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let polled = connection.poll_message(context);
            *token = connection.parameter(TOKEN).map(Into::into);
            match polled {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(_) => return Poll::Ready(()),
            }
        }
    });
    run.await;
}

/// Makes the load's table, with one row a session.
pub async fn prepare(options: &options::Options) -> Result<(), error::Error> {
    let prepared = tokio::time::timeout(options.timeout, try_prepare(options)).await;
    Ok(prepared.map_err(|_| error::Error::PrepareTimeout)??)
}

async fn try_prepare(options: &options::Options) -> Result<(), tokio_postgres::Error> {
    let connection = Connection::open(options, options.addresses[0]).await?;
    let create = "CREATE TABLE IF NOT EXISTS load_counter (id BIGINT PRIMARY KEY, value BIGINT)";
    connection.client.batch_execute(create).await?;
    connection
        .client
        .batch_execute("DELETE FROM load_counter")
        .await?;
    let rows: Vec<String> = (0..options.sessions)
        .map(|id| format!("({id}, 0)"))
        .collect();
    let insert = format!("INSERT INTO load_counter VALUES {}", rows.join(", "));
    connection.client.batch_execute(&insert).await
}
