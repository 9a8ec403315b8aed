//! The answers that a member owes, in the order in which the protocol has it send them.
//!
//! A message that is not owed shows that the connection is out of step, such as with an answer to an earlier
//! request; nothing that follows on it can be trusted.

use std::collections::VecDeque;

use crate::frame::tag::backend as tag;

/// Whether an answer goes to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// It answers a message of the caller.
    Pass,
    /// It answers a message that the proxy added, or nobody asked for it.
    Drop,
}

/// An answer that a member owes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owed {
    /// ParseComplete.
    Parse(Expect),
    /// BindComplete.
    Bind,
    /// CloseComplete.
    Close(Expect),
    /// ParameterDescription.
    Parameters,
    /// RowDescription or NoData.
    Columns,
    /// Rows or copy data, and their end.
    Result,
}

/// A message that the member does not owe.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a message '{}' that answers nothing", tag.escape_ascii())]
pub struct OutOfStep {
    /// The message type byte.
    pub tag: u8,
}

/// What is owed for the messages sent so far.
#[derive(Debug, Default)]
pub struct Script {
    owed: VecDeque<Owed>,
    /// A simple query owes any number of results, at least one.
    simple: Option<Results>,
    failed: bool,
    synced: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Results {
    has_columns: bool,
    any_ended: bool,
}

impl Script {
    /// Returns what a simple query is owed.
    pub fn simple() -> Self {
        Self {
            simple: Some(Results::default()),
            synced: true,
            ..Self::default()
        }
    }

    /// Adds answers to messages of the extended protocol.
    pub fn extend(&mut self, owed: impl IntoIterator<Item = Owed>) {
        self.owed.extend(owed);
    }

    /// Notes whether a Sync is under way, which owes the ReadyForQuery.
    pub fn set_synced(&mut self, synced: bool) {
        self.synced = synced;
    }

    /// Returns whether a Sync is under way.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns whether the member has answered with an error.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Returns whether the member has answered all messages but the Sync.
    pub fn is_settled(&self) -> bool {
        self.owed.is_empty()
    }

    /// Takes in a message of the member.
    ///
    /// # Errors
    ///
    /// Returns an error when the message is not owed.
    pub fn take(&mut self, tag: u8) -> Result<Expect, OutOfStep> {
        match tag {
            tag::NOTICE_RESPONSE | tag::PARAMETER_STATUS => return Ok(Expect::Pass),
            // Channels are never listened on through the proxy.
            tag::NOTIFICATION_RESPONSE => return Ok(Expect::Drop),
            _ if self.failed && tag != tag::READY_FOR_QUERY => return Err(OutOfStep { tag }),
            tag::ERROR_RESPONSE => {
                self.failed = true;
                self.owed.clear();
                return Ok(Expect::Pass);
            }
            _ => {}
        }
        let taken = match &mut self.simple {
            Some(results) => results.take(tag, self.failed),
            None if tag == tag::READY_FOR_QUERY => self.ready(),
            None => self.take_owed(tag),
        };
        taken.ok_or(OutOfStep { tag })
    }

    fn ready(&self) -> Option<Expect> {
        let complete = self.failed || self.owed.is_empty();
        (self.synced && complete).then_some(Expect::Pass)
    }

    fn take_owed(&mut self, tag: u8) -> Option<Expect> {
        let owed = *self.owed.front()?;
        let expect = match (owed, tag) {
            (Owed::Parse(expect), tag::PARSE_COMPLETE) => expect,
            (Owed::Close(expect), tag::CLOSE_COMPLETE) => expect,
            (Owed::Bind, tag::BIND_COMPLETE)
            | (Owed::Parameters, tag::PARAMETER_DESCRIPTION)
            | (Owed::Columns, tag::ROW_DESCRIPTION | tag::NO_DATA) => Expect::Pass,
            (Owed::Result, _) if ends_result(tag) => Expect::Pass,
            (Owed::Result, _) if is_within_result(tag) => return Some(Expect::Pass),
            _ => return None,
        };
        self.owed.pop_front();
        Some(expect)
    }
}

impl Results {
    fn take(&mut self, tag: u8, failed: bool) -> Option<Expect> {
        let fits = match tag {
            tag::READY_FOR_QUERY => failed || (self.any_ended && !self.has_columns),
            tag::ROW_DESCRIPTION => !std::mem::replace(&mut self.has_columns, true),
            tag::DATA_ROW => self.has_columns,
            tag::PORTAL_SUSPENDED => false,
            _ if ends_result(tag) => {
                *self = Self {
                    has_columns: false,
                    any_ended: true,
                };
                true
            }
            _ => is_within_result(tag),
        };
        fits.then_some(Expect::Pass)
    }
}

fn ends_result(tag: u8) -> bool {
    matches!(
        tag,
        tag::COMMAND_COMPLETE | tag::EMPTY_QUERY_RESPONSE | tag::PORTAL_SUSPENDED
    )
}

fn is_within_result(tag: u8) -> bool {
    matches!(
        tag,
        tag::DATA_ROW
            | tag::COPY_IN_RESPONSE
            | tag::COPY_OUT_RESPONSE
            | tag::COPY_DATA
            | tag::COPY_DONE
    )
}
