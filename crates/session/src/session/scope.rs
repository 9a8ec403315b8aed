//! The route of a statement, and the workspace on whose behalf it runs.

use fulmarlift_broker::topology;
use fulmarlift_broker::workspace;
use fulmarlift_core::id;

use crate::deployment::Deployment;
use crate::protocol;
use crate::protocol::caller::Codec;
use crate::session;

/// Route of a statement, and the workspace on whose behalf it runs.
#[derive(Clone, Debug)]
pub struct Scope {
    /// Route of the statement.
    pub route: topology::Route,
    /// Workspace; `None` if the configuration knows no workspaces, or for an anonymous caller.
    pub workspace: Option<id::WorkspaceId>,
}

/// Reason why a session may not run a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Denied {
    /// The route of the session does not exist any more.
    #[error("the database has been removed")]
    NoDatabase,
    /// The configuration in force does not have the caller's key.
    #[error("unknown key")]
    Unauthorized,
    /// The configuration of this proxy does not have the workspace for which another proxy forwards the statement.
    #[error("unknown workspace, retry after 500 ms")]
    UnknownWorkspace,
}

impl Denied {
    /// Returns the name of the reason, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoDatabase => "NoDatabase",
            Self::Unauthorized => "Unauthorized",
            Self::UnknownWorkspace => "UnknownWorkspace",
        }
    }

    /// Returns the code that answers the statement.
    pub fn code(self) -> protocol::Code {
        match self {
            Self::NoDatabase => protocol::Code::NoDatabase,
            Self::Unauthorized => protocol::Code::Unauthorized,
            Self::UnknownWorkspace => protocol::Code::Busy,
        }
    }
}

impl From<workspace::Unauthorized> for Denied {
    fn from(_: workspace::Unauthorized) -> Self {
        Self::Unauthorized
    }
}

impl<D: Deployment, C: Codec> session::Session<D, C> {
    /// Returns the scope of the next statement. A peer's route consists of its group and the options of its newest statement.
    ///
    /// # Errors
    ///
    /// [`Denied`] if the statement must not run.
    pub(super) fn scope(&self) -> Result<Scope, Denied> {
        if self.is_forwarded() {
            return self.forwarded_scope();
        }
        self.shell.with_broker(|broker| {
            let topology = broker.topology();
            let route = topology.route(&self.database).ok_or(Denied::NoDatabase)?;
            Ok(Scope {
                route: route.clone(),
                workspace: topology.authorize(route, &self.key)?,
            })
        })
    }

    fn forwarded_scope(&self) -> Result<Scope, Denied> {
        let options = self.options.ok_or(Denied::NoDatabase)?;
        let is_known = |workspace| {
            self.shell
                .with_broker(|broker| broker.topology().workspace(workspace).is_some())
        };
        if options
            .workspace
            .is_some_and(|workspace| !is_known(workspace))
        {
            return Err(Denied::UnknownWorkspace);
        }
        Ok(Scope {
            route: topology::Route {
                database: Box::default(),
                group: id::of(&self.database),
                consistency: options.consistency,
                statement_timeout_ms: options.timeout_ms,
                objective_ms: options.objective_ms,
                priority: options.priority,
                allows_anonymous: true,
            },
            workspace: options.workspace,
        })
    }

    /// Returns whether the configuration in force still has the caller's key. A transaction goes on only on behalf of the workspace for which
    /// it was begun.
    pub(super) fn is_key_valid(&self) -> bool {
        if self.is_forwarded() {
            return true;
        }
        match self.transaction.workspace() {
            Some(workspace) => self.shell.with_broker(|broker| {
                let workspaces = broker.topology().workspaces.as_ref();
                workspaces.is_some_and(|known| known.find(&self.key) == Some(workspace))
            }),
            None => self.scope().err() != Some(Denied::Unauthorized),
        }
    }
}
