//! Results of a relay between a caller and a member.

use fulmarlift_core::floor;
use fulmarlift_wire::backend::expected;
use fulmarlift_wire::frame;

use crate::caller::plan;

/// Transaction status of a connection outside a transaction.
const IDLE: u8 = b'I';

/// Result of a relay that ended with the member ready for the next query.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Transaction status in the member's ReadyForQuery.
    pub transaction_status: u8,
    /// Point of the commit, if the member reported one.
    pub commit_point: Option<floor::Point>,
    /// Whether any part of the answer was sent to the caller.
    pub sent_to_caller: bool,
    /// Whether the member refused because it is not the primary, and the relay kept the refusal from the caller.
    pub not_primary: bool,
    /// Whether the member answered with an error.
    pub failed: bool,
    /// Whether the caller continued the batch after a Flush.
    pub batch_continued: bool,
    /// Whether the member answered the last statement with the command tag ROLLBACK.
    pub rolled_back: bool,
    /// Messages of the answer that the relay has not sent to the caller. It holds them back until the first row, until
    /// they exceed a limit or until the caller may have to react to them, so that the session can still retry the
    /// request or wait until its commit is safe.
    pub held_frames: Vec<frame::Frame>,
}

impl Report {
    /// Returns whether the connection is outside a transaction.
    pub fn is_idle(&self) -> bool {
        self.transaction_status == IDLE
    }
}

/// Reason for which a relay ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The member's connection failed.
    #[error("member: {0}")]
    Member(#[source] frame::Error),
    /// The member sent a message that is not among the expected responses, see [`expected`].
    #[error("the member sent {0}")]
    OutOfStep(#[from] expected::OutOfStep),
    /// The caller continued a batch, part of which was sent, with a statement that the proxy does not serve.
    #[error("{0:?}")]
    Refused(plan::Refusal),
    /// The member closed the connection.
    #[error("the member closed the connection")]
    MemberGone,
    /// The reducer interrupted the request, because the member was replaced or cannot be reached.
    #[error("the member was replaced or cannot be reached")]
    Replaced,
    /// The member did not send its next message in time.
    #[error("the member did not answer in time")]
    Silent,
    /// The caller's connection failed, or the caller sent a malformed message.
    #[error("caller: {0}")]
    Caller(#[source] frame::Error),
    /// The caller closed its connection, or did not read the answer in time.
    #[error("the caller closed its connection")]
    CallerGone,
    /// The caller did not send its next message in time, while it occupied a connection.
    #[error("the caller did not go on in time")]
    CallerSilent,
}

/// Result of a relay that ended early.
#[derive(Debug)]
pub struct Failure {
    /// Reason for the end.
    pub error: Error,
    /// Whether any part of the answer was sent to the caller.
    pub sent_to_caller: bool,
    /// Whether the caller continued the batch after a Flush.
    pub batch_continued: bool,
    /// Whether the last message to the caller is incomplete.
    pub message_cut: bool,
}

impl Failure {
    /// Returns whether the member sent a message that is not among the expected responses.
    pub fn is_out_of_step(&self) -> bool {
        matches!(self.error, Error::OutOfStep(_))
    }

    /// Returns whether a read may be retried on another connection: nothing was sent to the caller, and the caller did
    /// not cause the failure.
    pub fn may_retry(&self) -> bool {
        !self.sent_to_caller && !self.error.is_caller_failure()
    }
}

impl Error {
    /// Returns whether the caller or its connection caused the failure.
    pub fn is_caller_failure(&self) -> bool {
        matches!(
            self,
            Self::Caller(_) | Self::CallerGone | Self::CallerSilent
        )
    }
}
