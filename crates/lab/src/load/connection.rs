//! Connections to proxies, and the preparation of the load's table.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;

use futures::future;
use tokio_postgres::NoTls;

use crate::load::{error, options};

/// Parameter in which a proxy reports the session's token, and by which a client sets it.
const TOKEN_PARAMETER: &str = "fulmarlift.token";

/// A session's connection to a proxy.
pub struct Connection {
    /// Client that sends the statements.
    pub client: tokio_postgres::Client,
    /// Token that the proxy has reported last.
    token: Arc<Mutex<Option<Box<str>>>>,
}

impl Connection {
    /// Connects to a proxy and logs in. A task runs the connection until it ends.
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
        tokio::spawn(run_connection(connection, Arc::clone(&token)));
        Ok(Self { client, token })
    }

    /// Returns the token that the proxy has reported last on this connection, if there is one.
    pub fn token(&self) -> Option<Box<str>> {
        let token = self.token.lock().unwrap_or_else(PoisonError::into_inner);
        token.clone()
    }

    /// Sets the session's token to one that another proxy reported.
    pub async fn set_token(&self, token: &str) -> Result<(), tokio_postgres::Error> {
        let set = format!("SET {TOKEN_PARAMETER} = '{token}'");
        self.client.batch_execute(&set).await
    }
}

/// Runs a connection until it ends, and stores each token that the proxy reports.
async fn run_connection<S, T>(
    mut connection: tokio_postgres::Connection<S, T>,
    token: Arc<Mutex<Option<Box<str>>>>,
) where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
    T: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let run = future::poll_fn(|context| {
        // The lock is held while answers are passed on, so that the session cannot read an old token after it has got
        // an answer.
        let mut token = token.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let polled = connection.poll_message(context);
            *token = connection.parameter(TOKEN_PARAMETER).map(Into::into);
            match polled {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(_))) => {}
                Poll::Ready(_) => return Poll::Ready(()),
            }
        }
    });
    run.await;
}

/// Creates the load's table, or empties it, and inserts one row per session.
pub async fn prepare(options: &options::Options) -> Result<(), error::Error> {
    let result = tokio::time::timeout(options.timeout, try_prepare(options)).await;
    Ok(result.map_err(|_| error::Error::PrepareTimeout)??)
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
