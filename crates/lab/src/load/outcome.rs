//! What became of a request, by the SQLSTATE of its answer.

use serde::Serialize;

/// The outcome of a write cannot be known.
const UNKNOWN: &str = "08007";
/// Not run: overloaded, no primary or draining, or a limit of the configuration.
const NOT_RUN: [&str; 3] = ["53300", "57P03", "53400"];

/// Kind of request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A write.
    Write,
    /// A read of a session that carries its token.
    TokenRead,
    /// A read of a session without one.
    IndexRead,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Write, Self::TokenRead, Self::IndexRead];
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered.
    Done,
    /// Refused as not run.
    Refused,
    /// A write that may have run.
    Unknown,
    /// Anything else: nothing lasts of it.
    Failed,
}

/// Returns the outcome of a request that ended with this SQLSTATE, or without an answer.
pub fn outcome(kind: Kind, sqlstate: Option<&str>) -> Outcome {
    match (kind, sqlstate) {
        (_, Some(code)) if NOT_RUN.contains(&code) => Outcome::Refused,
        (Kind::Write, Some(UNKNOWN) | None) => Outcome::Unknown,
        _ => Outcome::Failed,
    }
}
