//! Connections to members for callers' requests.

use std::net::SocketAddr;
use std::time::Instant;

use fulmarlift_wire::{backend, tls};

use crate::settings;

/// SQLSTATE with which a member refuses a connection because its limit of connections is reached.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// A connection to a member, with the statements and settings that sessions have left on it.
#[derive(Debug)]
pub struct Backend {
    /// Connection after the login.
    pub connection: backend::Connection,
    /// Address of the member, which cancel requests go to.
    pub address: SocketAddr,
    /// Names of the statements prepared on the connection, sorted.
    pub prepared_statements: Vec<Box<str>>,
    /// Names and values of the settings made on the connection, sorted by name.
    pub applied_settings: Vec<(Box<str>, Box<str>)>,
}

/// Reason for which a connection to a member cannot be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot connect: {cause}")]
pub struct OpenError {
    /// Whether the member refused because its limit of connections is reached.
    pub full: bool,
    /// Error of the connection attempt.
    pub cause: backend::Error,
}

impl Backend {
    /// Opens a connection to the member at this address.
    ///
    /// # Errors
    ///
    /// Returns an error when the member cannot be reached before the deadline or refuses the connection.
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
            prepared_statements: Vec::new(),
            applied_settings: Vec::new(),
        })
    }

    /// Returns whether the connection, on which no request runs, is unusable: the member has closed it, or has sent a
    /// message that answers no request.
    pub fn is_unusable(&mut self) -> bool {
        self.connection.framed.is_closed() || self.connection.framed.has_input()
    }
}

/// Opens a connection with these startup parameters, and logs in with the account of the settings to the database of
/// the same name.
pub(super) async fn connect(
    settings: &settings::Settings,
    address: SocketAddr,
    parameters: &[(Box<str>, Box<str>)],
    deadline: Instant,
) -> Result<backend::Connection, backend::Error> {
    let credentials = backend::Credentials {
        user: settings.member_user.clone(),
        database: settings.member_user.clone(),
        password: settings.member_password.clone(),
    };
    let roots = settings.member_tls_roots.as_deref();
    let connector = roots.map(|roots| tls::Connector::from_file(roots, None));
    let connector = connector.transpose()?;
    let deadline = tokio::time::Instant::from_std(deadline);
    backend::connect(
        address,
        parameters,
        &credentials,
        connector.as_ref(),
        deadline,
    )
    .await
}
