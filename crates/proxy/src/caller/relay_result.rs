//! How a relay between a caller and a member ended.

use fulmarlift_core::floor;
use fulmarlift_wire::backend::script;
use fulmarlift_wire::frame;

use crate::caller::plan;

/// Transaction status of a connection outside a transaction.
const IDLE: u8 = b'I';

/// The outcome of a relay.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Transaction status in the member's ReadyForQuery.
    pub status: u8,
    /// The point of a commit.
    pub commit: Option<floor::Point>,
    /// Whether anything went to the caller.
    pub sent_to_caller: bool,
    /// Whether the member refused because it is not the primary, and the caller was not told.
    pub not_primary: bool,
    /// Whether the member answered with an error.
    pub failed: bool,
    /// Whether the caller added messages after the first ones were sent.
    pub batch_continued: bool,
    /// Whether the last statement was answered as a rollback.
    pub rolled_back: bool,
    /// Messages that are held until the commit is safe, or the answer is known to go to the caller.
    pub held_frames: Vec<frame::Frame>,
}

impl Report {
    /// Returns whether the connection is outside a transaction.
    pub fn is_idle(&self) -> bool {
        self.status == IDLE
    }
}

/// Why a relay ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The member's connection failed.
    #[error("member: {0}")]
    Member(#[source] frame::Error),
    /// The member sent what it does not owe.
    #[error("the member sent {0}")]
    OutOfStep(#[from] script::OutOfStep),
    /// The caller asked for what cannot be served, after part of its batch had been sent.
    #[error("{0:?}")]
    Refused(plan::Refusal),
    /// The member closed the connection.
    #[error("the member closed the connection")]
    MemberGone,
    /// The member was replaced or cannot be reached.
    #[error("the member was replaced or cannot be reached")]
    Replaced,
    /// The member did not answer in time.
    #[error("the member did not answer in time")]
    Silent,
    /// The caller's connection failed or ended.
    #[error("caller: {0}")]
    Caller(#[source] frame::Error),
    /// The caller closed its connection.
    #[error("the caller closed its connection")]
    CallerGone,
    /// The caller did not go on in time, and a connection was held for it.
    #[error("the caller did not go on in time")]
    CallerSilent,
}

/// How a relay ended early.
#[derive(Debug)]
pub struct Failure {
    /// Why.
    pub error: Error,
    /// Whether anything had gone to the caller.
    pub sent_to_caller: bool,
    /// Whether the caller added messages after the first ones were sent.
    pub batch_continued: bool,
    /// Whether the caller has got the beginning of a message only.
    pub message_cut: bool,
}

impl Failure {
    /// Returns whether the member sent what it did not owe.
    pub fn is_out_of_step(&self) -> bool {
        matches!(self.error, Error::OutOfStep(_))
    }

    /// Returns whether a read may be tried on another connection: the caller has seen nothing of it.
    pub fn may_retry(&self) -> bool {
        !self.sent_to_caller && !self.error.is_caller_failure()
    }
}

impl Error {
    /// Returns whether the caller's side failed.
    pub fn is_caller_failure(&self) -> bool {
        matches!(
            self,
            Self::Caller(_) | Self::CallerGone | Self::CallerSilent
        )
    }
}
