//! Requests and where they stand.

use std::time::Instant;

use crate::floor;
use crate::id;
use crate::pool;

/// A request as the shell hands it over.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifier, higher than that of every earlier request.
    pub id: id::RequestId,
    /// Account of the caller.
    pub caller: id::CallerId,
    /// Service that was asked.
    pub service: id::ServiceId,
    /// What the request needs.
    pub kind: Kind,
    /// The session's floor, if the caller carries a token; a session without one needs a read index.
    pub floor: Option<floor::Floor>,
    /// When the caller no longer wants the answer.
    pub deadline: Instant,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A read that any member at or above the floor may serve.
    Read {
        /// The data must be at least as new as the group's at this instant; `None` asks for the
        /// state at arrival.
        fresh_since: Option<Instant>,
    },
    /// A write or a transaction, served by the primary.
    Write {
        /// Whether it may be sent again after an unknown outcome.
        repeatable: bool,
    },
}

impl Kind {
    /// Returns whether this is a read.
    pub fn is_read(self) -> bool {
        matches!(self, Self::Read { .. })
    }
}

/// A request in flight.
#[derive(Clone, Debug)]
pub struct Active {
    /// The request.
    pub request: Request,
    /// Group that serves it.
    pub group: id::GroupId,
    /// Where it stands.
    pub stage: Stage,
    /// When it arrived.
    pub arrived_at: Instant,
    /// Weight of its service.
    pub weight: u32,
    /// Whether a member may have run it without answering.
    pub ran: bool,
    /// When silence of the connection that it runs on counts against that.
    pub first_byte_by: Option<Instant>,
    /// Members that failed it.
    pub avoid: Vec<id::MemberId>,
}

impl Active {
    /// Returns the request's place in a queue for connections.
    pub fn ticket(&self) -> pool::Ticket {
        pool::Ticket {
            request: self.request.id,
            service: self.request.service,
            caller: self.request.caller,
            weight: self.weight,
        }
    }

    /// Returns whether the request has not been sent to a member.
    pub fn waits(&self) -> bool {
        matches!(
            self.stage,
            Stage::Indexing | Stage::Parked | Stage::Queued(_)
        )
    }

    /// Returns the point that a read must see, as far as known.
    pub fn point(&self) -> Option<floor::Point> {
        let floor = self.request.floor.as_ref()?;
        floor.point(self.group)
    }
}

/// Where a request stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Waits for a read index.
    Indexing,
    /// Waits for a member that may serve it.
    Parked,
    /// Waits for a connection to a member.
    Queued(id::MemberId),
    /// Runs on a connection.
    Running {
        /// The connection.
        conn: id::ConnId,
        /// The member.
        member: id::MemberId,
    },
    /// Has committed and waits for a majority.
    Confirming(floor::Point),
}
