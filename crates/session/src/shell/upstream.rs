//! A connection on which the proxy runs statements: to a member or to a home of its group.

use std::time::Instant;

use bytes::Bytes;
use fulmarlift_broker::event;
use fulmarlift_core::id;

use crate::deployment::Deployment;
use crate::link;
use crate::peer;
use crate::protocol;
use crate::protocol::member;
use crate::values;

/// A connection to a member or home.
pub enum Upstream<D: Deployment> {
    /// Connection to a member.
    Member(link::Link<D::Member>),
    /// Connection to another proxy that is a home of the group.
    Home(link::Link<peer::Forwarding>),
}

impl<D: Deployment> Upstream<D> {
    /// Returns the member or home at the other end.
    pub fn member(&self) -> id::MemberId {
        match self {
            Self::Member(link) => link.member,
            Self::Home(link) => link.member,
        }
    }

    /// Returns the instant at which the connection was opened.
    pub fn connected_at(&self) -> Instant {
        match self {
            Self::Member(link) => link.connected_at,
            Self::Home(link) => link.connected_at,
        }
    }

    /// Sets the caller's id of the statement that the connection is used for, for the log; empty for the proxy's own commands.
    pub fn set_request(&mut self, request: &Bytes) {
        match self {
            Self::Member(link) => link.request = request.clone(),
            Self::Home(link) => link.request = request.clone(),
        }
    }

    /// Returns whether a home is at the other end.
    pub fn is_home(&self) -> bool {
        matches!(self, Self::Home(_))
    }

    /// Returns the session values and prepared statements that the other end holds for this connection.
    pub fn connection_state(&mut self) -> &mut values::ConnectionState {
        match self {
            Self::Member(link) => &mut link.connection_state,
            Self::Home(link) => &mut link.connection_state,
        }
    }

    /// Appends a command to the bytes that the next [`Self::exchange`] sends.
    ///
    /// # Errors
    ///
    /// [`protocol::Withheld`] if the command must not be sent; nothing is appended.
    pub fn push(&mut self, command: member::Command<'_>) -> Result<(), protocol::Withheld> {
        match self {
            Self::Member(link) => link.push(command),
            Self::Home(link) => link.push(command),
        }
    }

    /// Sends a command and returns the answer to it.
    ///
    /// # Errors
    ///
    /// As [`link::Link::request`].
    pub async fn request(
        &mut self,
        command: member::Command<'_>,
        deadline: Instant,
    ) -> Result<member::Answer, link::LinkError> {
        match self {
            Self::Member(link) => link.request(command, deadline).await,
            Self::Home(link) => link.request(command, deadline).await,
        }
    }

    /// Sends the appended commands and returns the answer to the oldest unanswered command.
    ///
    /// # Errors
    ///
    /// [`link::LinkError`] when the connection is unusable from now on.
    pub async fn exchange(&mut self, deadline: Instant) -> Result<member::Answer, link::LinkError> {
        match self {
            Self::Member(link) => link.exchange(deadline).await,
            Self::Home(link) => link.exchange(deadline).await,
        }
    }

    /// Appends a caller's statement if it runs in the transaction state that the session believes in.
    ///
    /// # Errors
    ///
    /// [`protocol::Withheld`] if the statement must not be sent; nothing is appended.
    pub fn push_statement(
        &mut self,
        command: member::Command<'_>,
        believed: protocol::TransactionState,
    ) -> Result<(), protocol::Withheld> {
        match self {
            Self::Member(link) => link.push_statement(command, believed),
            Self::Home(link) => link.push_statement(command, believed),
        }
    }

    /// Checks that the connection is outside a transaction, that all is answered, and that nothing else has arrived.
    ///
    /// # Errors
    ///
    /// What is wrong with the connection.
    pub fn check_idle(&mut self) -> Result<(), protocol::Withheld> {
        match self {
            Self::Member(link) => link.check_idle(),
            Self::Home(link) => link.check_idle(),
        }
    }

    /// Returns whether an idle connection is unusable: the other side has closed it or sent bytes without a command.
    pub fn is_dead(&mut self) -> bool {
        match self {
            Self::Member(link) => link.is_dead(),
            Self::Home(link) => link.is_dead(),
        }
    }

    /// Closes the connection.
    pub fn close(self) {
        match self {
            Self::Member(link) => link.close(),
            Self::Home(link) => link.close(),
        }
    }

    /// Decodes a member's status from an answer.
    pub fn member_status(&self, answer: &member::Answer) -> Option<event::MemberStatus> {
        match self {
            Self::Member(link) => link.member_status(answer),
            Self::Home(link) => link.member_status(answer),
        }
    }
}
