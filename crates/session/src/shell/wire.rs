//! A connection to a member, or to a home of its group.

use std::time::Instant;

use fulmarlift_broker::event::Standing;
use fulmarlift_core::id;

use crate::link::{Link, LinkError};
use crate::peer::Forwarding;
use crate::protocol::member::{Answer, Command};
use crate::values::Mirror;
use crate::world::World;

/// A connection on which statements are run.
pub enum Wire<W: World> {
    /// To a member.
    Member(Link<W::Member>),
    /// To another proxy that is a home of the group.
    Home(Link<Forwarding>),
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
    pub fn mirror(&mut self) -> &mut Mirror {
        match self {
            Self::Member(link) => &mut link.mirror,
            Self::Home(link) => &mut link.mirror,
        }
    }

    /// Adds a command to what is sent next.
    pub fn push(&mut self, command: Command<'_>) {
        match self {
            Self::Member(link) => link.push(command),
            Self::Home(link) => link.push(command),
        }
    }

    /// Sends what was added and returns the next answer.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the connection cannot be used any more.
    pub async fn exchange(&mut self, deadline: Instant) -> Result<Answer, LinkError> {
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
    pub fn standing(&self, answer: &Answer) -> Option<Standing> {
        match self {
            Self::Member(link) => link.standing(answer),
            Self::Home(link) => link.standing(answer),
        }
    }
}
