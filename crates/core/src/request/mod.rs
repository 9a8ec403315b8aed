//! Requests and the stages that they pass through.

use std::time::Instant;

use crate::floor;
use crate::id;
use crate::pool;

/// A caller's request as the shell passes it to the reducer.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifier, higher than that of each earlier request at this proxy.
    pub id: id::RequestId,
    /// Account of the caller.
    pub caller: id::CallerId,
    /// Service that the request addresses.
    pub service: id::ServiceId,
    /// Whether the request reads or writes.
    pub kind: Kind,
    /// The session's floor, if the caller presented a token; a read without a floor first gets a read index (see
    /// [`crate::status::ReadIndexWaits`]).
    pub floor: Option<floor::Floor>,
    /// When the answer must have reached the caller.
    pub deadline: Instant,
}

/// The kind of a request, which decides who may serve it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A read that any member at or above the floor may serve.
    Read {
        /// Instant whose acknowledged writes the read must see, in addition to its floor; `None` demands only the
        /// floor, or the read index that a read without a floor gets.
        fresh_since: Option<Instant>,
    },
    /// A write or a transaction, served by the primary.
    Write {
        /// Whether the write may be repeated after an unknown outcome.
        repeatable: bool,
    },
}

impl Kind {
    /// Returns whether the request is a read.
    pub fn is_read(self) -> bool {
        matches!(self, Self::Read { .. })
    }
}

/// A request in flight.
#[derive(Clone, Debug)]
pub struct Active {
    /// The request as it arrived; a read index is added to its floor.
    pub request: Request,
    /// Group of the request's service.
    pub group: id::GroupId,
    /// Current stage of the request.
    pub stage: Stage,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// Weight of the request's service.
    pub weight: u32,
    /// Whether an earlier run of the request failed after it was sent, so that a member may have run it.
    pub may_have_run: bool,
    /// When a connection without a first byte of the answer counts as silent; `None` before the dispatch.
    pub first_byte_by: Option<Instant>,
    /// Members that no longer serve the request: they failed it, or became unreachable or let no connection be opened
    /// while it waited for one.
    pub avoid: Vec<id::MemberId>,
}

impl Active {
    /// Returns the entry of the request in a queue for connections.
    pub fn ticket(&self) -> pool::Ticket {
        pool::Ticket {
            request: self.request.id,
            service: self.request.service,
            caller: self.request.caller,
            weight: self.weight,
        }
    }

    /// Returns whether the request waits to be sent to a member.
    pub fn waits(&self) -> bool {
        matches!(
            self.stage,
            Stage::Indexing | Stage::Parked | Stage::Queued(_)
        )
    }

    /// Returns the point of the group that the request's floor demands, if there is one.
    pub fn floor_point(&self) -> Option<floor::Point> {
        let floor = self.request.floor.as_ref()?;
        floor.point(self.group)
    }
}

/// How far a request in flight has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// The request waits for a read index.
    Indexing,
    /// The request is in no queue for a connection: it is about to be routed, no member can serve it yet, or a chosen
    /// member must catch up first.
    Parked,
    /// The request waits for a connection to a member.
    Queued(id::MemberId),
    /// The request runs on a connection.
    Running {
        /// Connection that the request has to itself.
        conn: id::ConnId,
        /// Member at the other end of the connection.
        member: id::MemberId,
    },
    /// The request has committed at this point, which a majority of members has yet to confirm.
    Confirming(floor::Point),
}
