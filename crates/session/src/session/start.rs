//! Start of a session: its first message, the greeting of a proxy, and the caller's right to the database.

use std::io;
use std::time::Duration;

use fulmarlift_broker::Broker;
use fulmarlift_broker::workspace;

use crate::clock;
use crate::deployment::Deployment;
use crate::logging;
use crate::peer::greeting;
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::caller::Codec;
use crate::session;
use crate::session::scope;
use crate::session::{ClientKind, SessionEnd};

/// Time within which a new connection must send its startup message.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a new session waits for the proxy's first configuration: callers give up after 2 s.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which a new session checks for the first configuration.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl<D: Deployment, C: Codec> session::Session<D, C> {
    /// Waits for the first message. The connection is closed if it takes too long, or in favour of newer ones.
    pub(super) async fn first_message(&mut self) -> Result<caller::Message, SessionEnd> {
        let newcomer = self.shell.add_newcomer();
        let activity = self.slot.activity();
        tokio::select! {
            biased;
            first = self.greeting_and_first_message() => first,
            () = newcomer.displaced() => {
                metrics::counter!("fulmarlift_connections_displaced_total").increment(1);
                Err(SessionEnd::Displaced)
            }
            cause = activity.closed() => Err(SessionEnd::Limited(cause)),
        }
    }

    pub(super) async fn greeting_and_first_message(
        &mut self,
    ) -> Result<caller::Message, SessionEnd> {
        if self.is_forwarded() {
            let greeted = tokio::time::timeout(STARTUP_TIMEOUT, self.accept_greeting()).await;
            greeted.map_err(|_| SessionEnd::Startup)??;
        }
        let first = tokio::time::timeout(STARTUP_TIMEOUT, self.next_message()).await;
        first.map_err(|_| SessionEnd::Startup)?
    }

    pub(super) async fn start_session(&mut self) -> Result<(), SessionEnd> {
        match self.first_message().await? {
            caller::Message::Startup { database, key } => {
                self.database = database;
                self.key = workspace::KeyDigest::of(&key);
            }
            caller::Message::Terminate => return Err(SessionEnd::Closed),
            caller::Message::Query(_) => {
                let error = crate::protocol::WireError::Malformed("statement before startup");
                return self
                    .end_with_error(&protocol::Code::Malformed, error.into())
                    .await;
            }
        }
        if !self.wait_for_configuration().await {
            // Without a configuration the proxy cannot tell whether the database exists.
            log::info!(
                "event=refused database={} reason=NoConfiguration",
                self.database_field()
            );
            return self
                .end_with_error(&protocol::Code::Busy, SessionEnd::NoConfiguration)
                .await;
        }
        if self.client_kind == ClientKind::Caller
            && let Err(denied) = self.scope()
        {
            return self.end_denied(denied).await;
        }
        self.reply(caller::Reply::Ready(protocol::TransactionState::Idle, None));
        self.flush().await
    }

    /// Tells the caller why it may not use the session, and ends it.
    pub(super) async fn end_denied(&mut self, denied: scope::Denied) -> Result<(), SessionEnd> {
        // A caller that mixes up the fields of its startup message sends its key as the database.
        let is_odd = denied == scope::Denied::NoDatabase && self.may_send_keys();
        let database = match is_odd {
            true => logging::field(b"unknown"),
            false => self.database_field(),
        };
        log::info!("event=refused database={database} reason={denied:?}");
        metrics::counter!("fulmarlift_sessions_denied_total", "reason" => denied.name())
            .increment(1);
        let ended = match denied {
            scope::Denied::NoDatabase => SessionEnd::NoDatabase,
            scope::Denied::Unauthorized | scope::Denied::UnknownWorkspace => {
                SessionEnd::Unauthorized
            }
        };
        self.end_with_error(&denied.code(), ended).await
    }

    /// Checks the greeting of a proxy before any of its messages is decoded. The answer is sent together with that to the startup
    /// message.
    pub(super) async fn accept_greeting(&mut self) -> Result<(), SessionEnd> {
        let service = greeting::Service::Statements;
        let Self {
            stream,
            inbox,
            outbox,
            ..
        } = self;
        let accepted = greeting::accept(&self.shell, service, stream, inbox, outbox).await;
        if let Err(greeting::GreetingError::Refused(_)) = &accepted {
            self.flush().await?;
        }
        accepted.map_err(|error| match error {
            greeting::GreetingError::Broken(error) => match error.kind() {
                io::ErrorKind::UnexpectedEof => SessionEnd::Closed,
                _ => SessionEnd::Broken(error),
            },
            greeting::GreetingError::Refused(refusal) => SessionEnd::PeerRefused(refusal),
        })
    }

    /// Waits for the first configuration; returns whether there is one.
    pub(super) async fn wait_for_configuration(&self) -> bool {
        let deadline = clock::now() + CONFIGURATION_TIMEOUT;
        while !self.shell.with_broker(Broker::is_configured) {
            if clock::now() >= deadline {
                return false;
            }
            tokio::time::sleep(CONFIGURATION_POLL_INTERVAL).await;
        }
        true
    }
}
