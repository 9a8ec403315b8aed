//! Outcomes of requests, by the SQLSTATE of the answer.

use serde::Serialize;

/// SQLSTATE of a write whose outcome is unknown.
const OUTCOME_UNKNOWN_SQLSTATE: &str = "08007";
/// SQLSTATEs of requests that were not run: the proxy is overloaded; there is no primary or the proxy drains; a limit of
/// the configuration is exceeded.
const NOT_RUN_SQLSTATES: [&str; 3] = ["53300", "57P03", "53400"];

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Write to the row of the session.
    Write,
    /// Read of a session that presents its token when it moves to another proxy.
    TokenRead,
    /// Read of a session that presents no token. The proxy first asks the members for the read index: the newest point
    /// of the log that a majority of them reports, which the member that serves the read must have reached.
    IndexRead,
}

impl Kind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 3] = [Self::Write, Self::TokenRead, Self::IndexRead];
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request was answered.
    Done,
    /// The request was refused as not run.
    Refused,
    /// The request is a write that may have run.
    Unknown,
    /// The request failed in another way. A write with this outcome has no effect.
    Failed,
}

/// Returns the outcome of a request that failed with this SQLSTATE, or without an answer if it is `None`.
pub fn classify_outcome(kind: Kind, sqlstate: Option<&str>) -> Outcome {
    match (kind, sqlstate) {
        (_, Some(code)) if NOT_RUN_SQLSTATES.contains(&code) => Outcome::Refused,
        (Kind::Write, Some(OUTCOME_UNKNOWN_SQLSTATE) | None) => Outcome::Unknown,
        _ => Outcome::Failed,
    }
}
