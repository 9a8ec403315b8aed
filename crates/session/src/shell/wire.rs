//! A connection to a member, or to a home of its group.

use std::time::Instant;

use fulmarlift_broker::event;
use fulmarlift_core::id;

use crate::link;
use crate::peer;
use crate::protocol::member;
use crate::values;
use crate::world::World;

/// A connection on which statements are run.
pub enum Wire<W: World> {
    /// To a member.
    Member(link::Link<W::Member>),
    /// To another proxy that is a home of the group.
    Home(link::Link<peer::Forwarding>),
}

impl<W: World> Wire<W> {
    /// Returns the member or home at the other end.
    pub fn member(&self) -> id::MemberId {
        match self {
            Self::Member(link) => link.member,
            Self::Home(link) => link.member,
        }
    }

    /// Returns whether a home is at the other end.
    pub fn is_home(&self) -> bool {
        matches!(self, Self::Home(_))
    }

    /// Returns what the other end holds of the last session.
    pub fn mirror(&mut self) -> &mut values::Mirror {
        match self {
            Self::Member(link) => &mut link.mirror,
            Self::Home(link) => &mut link.mirror,
        }
    }

    /// Adds a command to what is sent next.
    pub fn push(&mut self, command: member::Command<'_>) {
        match self {
            Self::Member(link) => link.push(command),
            Self::Home(link) => link.push(command),
        }
    }

    /// Sends what was added and returns the next answer.
    ///
    /// # Errors
    ///
    /// [`link::LinkError`] when the connection cannot be used any more.
    pub async fn exchange(&mut self, deadline: Instant) -> Result<member::Answer, link::LinkError> {
        match self {
            Self::Member(link) => link.exchange(deadline).await,
            Self::Home(link) => link.exchange(deadline).await,
        }
    }

    /// Returns whether the other side has closed the connection.
    pub fn is_dead(&mut self) -> bool {
        match self {
            Self::Member(link) => link.is_dead(),
            Self::Home(link) => link.is_dead(),
        }
    }

    /// Says goodbye.
    pub fn close(self) {
        match self {
            Self::Member(link) => link.close(),
            Self::Home(link) => link.close(),
        }
    }

    /// Reads a member's standing out of an answer.
    pub fn standing(&self, answer: &member::Answer) -> Option<event::MemberStatus> {
        match self {
            Self::Member(link) => link.standing(answer),
            Self::Home(link) => link.standing(answer),
        }
    }
}
