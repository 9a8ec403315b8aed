//! Checks that a member's responses match the messages that the proxy sent to it.
//!
//! The protocol defines which responses follow each message, and in which order. A response that is not expected
//! shows that the connection is out of step with its requests, for example because it still delivers the answer to
//! an earlier request. None of the later responses on such a connection can be trusted.

use std::collections::VecDeque;

use crate::frame::tag::backend as tag;

/// Whether the proxy forwards a response to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Forwarding {
    /// The proxy forwards the response, which answers a message of the caller.
    Forward,
    /// The proxy discards the response, which answers a message that the proxy added or answers no message.
    Discard,
}

/// A response that a member still has to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpectedResponse {
    /// ParseComplete.
    Parse(Forwarding),
    /// BindComplete.
    Bind,
    /// CloseComplete.
    Close(Forwarding),
    /// ParameterDescription.
    Parameters,
    /// RowDescription or NoData.
    Columns,
    /// Rows or copy data, and the message that ends them.
    Result,
}

/// Error for a message that is not among the expected responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a message '{}' that answers nothing", tag.escape_ascii())]
pub struct OutOfStep {
    /// Message type byte.
    pub tag: u8,
}

/// Responses that a member still has to send for the messages that the proxy has sent to it.
#[derive(Debug, Default)]
pub struct ExpectedResponses {
    /// Responses to messages of the extended protocol, in order.
    responses: VecDeque<ExpectedResponse>,
    /// Results of a simple query, of which there may be any number but at least one; `None` for the extended protocol.
    simple_results: Option<SimpleResults>,
    /// Whether the member has reported an error.
    failed: bool,
    /// Whether the member has to send ReadyForQuery, because the proxy sent it a Sync or a simple query.
    sync_pending: bool,
}

/// Progress in the results of a simple query.
#[derive(Clone, Copy, Debug, Default)]
struct SimpleResults {
    /// Whether the current result has begun with a RowDescription.
    has_columns: bool,
    /// Whether any result has ended.
    any_ended: bool,
}

impl ExpectedResponses {
    /// Returns the expected responses to a simple query.
    pub fn simple_query() -> Self {
        Self {
            simple_results: Some(SimpleResults::default()),
            sync_pending: true,
            ..Self::default()
        }
    }

    /// Adds the responses to messages of the extended protocol.
    pub fn extend(&mut self, responses: impl IntoIterator<Item = ExpectedResponse>) {
        self.responses.extend(responses);
    }

    /// Sets whether the member still has to send ReadyForQuery.
    pub fn set_sync_pending(&mut self, sync_pending: bool) {
        self.sync_pending = sync_pending;
    }

    /// Returns whether the member still has to send ReadyForQuery, because the proxy sent it a Sync or a simple query.
    pub fn is_sync_pending(&self) -> bool {
        self.sync_pending
    }

    /// Returns whether the member has answered with an error.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Returns whether the member has answered all messages of the extended protocol except a pending Sync.
    pub fn is_complete(&self) -> bool {
        self.responses.is_empty()
    }

    /// Checks a message from the member against the expected responses, and removes the response that it completes.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is not expected.
    pub fn check(&mut self, tag: u8) -> Result<Forwarding, OutOfStep> {
        match tag {
            tag::NOTICE_RESPONSE | tag::PARAMETER_STATUS => return Ok(Forwarding::Forward),
            // The proxy refuses LISTEN, so no caller expects notifications.
            tag::NOTIFICATION_RESPONSE => return Ok(Forwarding::Discard),
            _ if self.failed && tag != tag::READY_FOR_QUERY => return Err(OutOfStep { tag }),
            tag::ERROR_RESPONSE => {
                self.failed = true;
                self.responses.clear();
                return Ok(Forwarding::Forward);
            }
            _ => {}
        }
        let forwarding = match &mut self.simple_results {
            Some(results) => results.check(tag, self.failed),
            None if tag == tag::READY_FOR_QUERY => self.check_ready(),
            None => self.check_next(tag),
        };
        forwarding.ok_or(OutOfStep { tag })
    }

    fn check_ready(&self) -> Option<Forwarding> {
        let complete = self.failed || self.responses.is_empty();
        (self.sync_pending && complete).then_some(Forwarding::Forward)
    }

    fn check_next(&mut self, tag: u8) -> Option<Forwarding> {
        let next = *self.responses.front()?;
        let forwarding = match (next, tag) {
            (ExpectedResponse::Parse(forwarding), tag::PARSE_COMPLETE) => forwarding,
            (ExpectedResponse::Close(forwarding), tag::CLOSE_COMPLETE) => forwarding,
            (ExpectedResponse::Bind, tag::BIND_COMPLETE)
            | (ExpectedResponse::Parameters, tag::PARAMETER_DESCRIPTION)
            | (ExpectedResponse::Columns, tag::ROW_DESCRIPTION | tag::NO_DATA) => {
                Forwarding::Forward
            }
            (ExpectedResponse::Result, _) if ends_result(tag) => Forwarding::Forward,
            (ExpectedResponse::Result, _) if is_within_result(tag) => {
                return Some(Forwarding::Forward);
            }
            _ => return None,
        };
        self.responses.pop_front();
        Some(forwarding)
    }
}

impl SimpleResults {
    fn check(&mut self, tag: u8, failed: bool) -> Option<Forwarding> {
        let is_expected = match tag {
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
        is_expected.then_some(Forwarding::Forward)
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
