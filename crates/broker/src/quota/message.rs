//! Messages between a proxy that admits operations and a coordinator.

use fulmarlift_core::id;
use serde::{Deserialize, Serialize};

use super::{QuestionId, ShardId, Term};

/// Question of a proxy for tokens.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct QuotaQuestion {
    /// Proxy that asks.
    pub asker: id::ProxyId,
    /// Number of the question.
    pub question: QuestionId,
    /// Shard of the workspaces.
    pub shard: ShardId,
    /// Term of the last grants that the proxy received; returned tokens belong to it.
    pub term: Term,
    /// Demands, at most one for a workspace.
    pub demands: Vec<Demand>,
}

/// Demand for the tokens of a workspace.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Workspace of the operations.
    pub workspace: id::WorkspaceId,
    /// Number of tokens that the proxy can use.
    pub wanted: u64,
    /// Tokens that have expired without use.
    pub returned: Vec<Returned>,
}

/// Tokens of one grant that have expired without use.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Returned {
    /// Question to which the tokens were granted.
    pub question: QuestionId,
    /// Number of tokens.
    pub tokens: u64,
}

/// Answer to a [`QuotaQuestion`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum QuotaAnswer {
    /// The proxy is the coordinator of the shard.
    Granted {
        /// Term of the coordinator.
        term: Term,
        /// One grant for each demand.
        grants: Vec<Grant>,
    },
    /// The proxy is not the coordinator of the shard.
    NotCoordinator {
        /// Proxy that the lease row names, if the answering proxy knows it.
        holder: Option<id::ProxyId>,
    },
}

/// Tokens of a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Workspace of the operations.
    pub workspace: id::WorkspaceId,
    /// Number of tokens; 0 if there are none at the moment.
    pub tokens: u64,
    /// Time until the proxy's next token is expected, in milliseconds; 0 if the demand is met.
    pub wait_ms: u64,
}
