//! A connection that serves callers.

use std::net::SocketAddr;
use std::time::Instant;

use fulmarlift_wire::{backend, tls};

use crate::settings;

/// SQLSTATE of a member that has no connection left.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// A connection to a member and what was set on it.
#[derive(Debug)]
pub struct Backend {
    /// The connection.
    pub connection: backend::Connection,
    /// Address of the member, for cancel requests.
    pub address: SocketAddr,
    /// Statements prepared on it, by name, sorted.
    pub prepared: Vec<Box<str>>,
    /// Settings made on it, sorted by name.
    pub applied: Vec<(Box<str>, Box<str>)>,
}

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot connect: {cause}")]
pub struct OpenError {
    /// Whether the member answered that it has no connection left.
    pub full: bool,
    /// The cause.
    pub cause: backend::Error,
}

impl Backend {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the member cannot be reached before the deadline or refuses.
    pub async fn open(
        settings: &settings::Settings,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Self, OpenError> {
        let connection = connect(settings, address, &[], deadline).await;
        let connection = connection.map_err(|cause| OpenError {
            full: cause.sqlstate() == Some(TOO_MANY_CONNECTIONS),
            cause,
        })?;
        Ok(Self {
            connection,
            address,
            prepared: Vec::new(),
            applied: Vec::new(),
        })
    }

    /// Returns whether the member has closed the connection or sent what nobody asked for.
    pub fn is_closed(&mut self) -> bool {
        self.connection.framed.is_closed() || self.connection.framed.has_input()
    }
}

/// Connects with the account of the settings.
pub(super) async fn connect(
    settings: &settings::Settings,
    address: SocketAddr,
    params: &[(Box<str>, Box<str>)],
    deadline: Instant,
) -> Result<backend::Connection, backend::Error> {
    let login = backend::Login {
        user: settings.member_user.clone(),
        database: settings.member_user.clone(),
        password: settings.member_password.clone(),
    };
    let roots = settings.member_tls_roots.as_deref();
    let connector = roots.map(|roots| tls::Connector::from_file(roots, None));
    let connector = connector.transpose()?;
    let deadline = tokio::time::Instant::from_std(deadline);
    backend::connect(address, params, &login, connector.as_ref(), deadline).await
}
