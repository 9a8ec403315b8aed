//! Queue for a member's connections. It is fair between services, by their weights, and between the callers of a
//! service.

use std::collections::VecDeque;

use crate::id;
use crate::sorted;

/// Virtual time that one request advances a service of weight 1.
const STEP: u64 = 1 << 20;

/// A request for a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Request that is to run on the connection.
    pub request: id::RequestId,
    /// Service that the request addresses.
    pub service: id::ServiceId,
    /// Account of the caller.
    pub caller: id::CallerId,
    /// Weight of the service.
    pub weight: u32,
}

/// Requests that wait for a connection. The service that has been served least in proportion to its weight is next;
/// its callers take turns.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: sorted::Map<id::ServiceId, Lane>,
    virtual_time: u64,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    weight: u32,
    virtual_time: u64,
    turns: VecDeque<Turn>,
}

#[derive(Clone, Debug)]
struct Turn {
    caller: id::CallerId,
    requests: VecDeque<id::RequestId>,
}

impl Queue {
    /// Returns the number of requests in the queue.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue holds no request.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request to the queue.
    pub fn push(&mut self, ticket: Ticket) {
        // A service gets no credit for the time in which it had no request in the queue.
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(ticket.service);
        lane.weight = ticket.weight.max(1);
        lane.virtual_time = lane.virtual_time.max(virtual_time);
        lane.push(ticket);
        self.len += 1;
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<id::RequestId> {
        let lanes = self.lanes.iter_mut();
        let (service, lane) = lanes.min_by_key(|(_, lane)| lane.virtual_time)?;
        let request = lane.pop()?;
        self.virtual_time = lane.virtual_time;
        lane.virtual_time += STEP / u64::from(lane.weight);
        if lane.turns.is_empty() {
            self.lanes.remove(service);
        }
        self.len -= 1;
        Some(request)
    }

    /// Removes a request, if it is in the queue.
    pub fn remove(&mut self, request: id::RequestId) {
        let mut removed = 0;
        self.lanes.retain(|_, lane| {
            removed += lane.remove(request);
            !lane.turns.is_empty()
        });
        self.len -= removed;
    }

    /// Removes and returns all requests.
    pub fn take(&mut self) -> Vec<id::RequestId> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    /// Estimates how many requests would be served before this one if it were added now.
    pub fn ahead(&self, ticket: Ticket) -> u32 {
        let own = self.lanes.get(ticket.service);
        let within = own.map_or(0, |lane| lane.ahead(ticket.caller));
        let weight = u64::from(ticket.weight.max(1));
        let others = self.lanes.iter().filter(|(id, _)| *id != ticket.service);
        let others = others.map(|(_, lane)| {
            let turns = (within as u64 + 1) * u64::from(lane.weight) / weight;
            turns.min(lane.len() as u64)
        });
        u32::try_from(within as u64 + others.sum::<u64>()).unwrap_or(u32::MAX)
    }
}

impl Lane {
    fn push(&mut self, ticket: Ticket) {
        let turn = self.turns.iter_mut().find(|t| t.caller == ticket.caller);
        match turn {
            Some(turn) => turn.requests.push_back(ticket.request),
            None => self.turns.push_back(Turn {
                caller: ticket.caller,
                requests: VecDeque::from([ticket.request]),
            }),
        }
    }

    fn pop(&mut self) -> Option<id::RequestId> {
        let mut turn = self.turns.pop_front()?;
        let request = turn.requests.pop_front();
        if !turn.requests.is_empty() {
            self.turns.push_back(turn);
        }
        request
    }

    fn remove(&mut self, request: id::RequestId) -> usize {
        let before = self.len();
        for turn in &mut self.turns {
            turn.requests.retain(|queued| *queued != request);
        }
        self.turns.retain(|turn| !turn.requests.is_empty());
        before - self.len()
    }

    fn len(&self) -> usize {
        self.turns.iter().map(|turn| turn.requests.len()).sum()
    }

    fn ahead(&self, caller: id::CallerId) -> usize {
        let own = self.turns.iter().find(|turn| turn.caller == caller);
        let own = own.map_or(0, |turn| turn.requests.len());
        let others = self.turns.iter().filter(|turn| turn.caller != caller);
        own + others
            .map(|turn| turn.requests.len().min(own + 1))
            .sum::<usize>()
    }
}
