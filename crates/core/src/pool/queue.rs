//! Queue for a member's connections. It is fair between services, by their weights, and between the callers of a
//! service.

use std::collections::VecDeque;

use crate::id;
use crate::sorted;

/// Virtual time by which one request advances a service of weight 1. It has no unit and is large enough to divide by
/// any weight.
const VIRTUAL_TIME_PER_REQUEST: u64 = 1 << 20;

/// The entry of a caller's request in the queue for a connection, with what decides its turn.
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

/// Requests that wait for a connection. The service that has had the fewest requests served in proportion to its
/// weight is next; its callers take turns.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    services: sorted::Map<id::ServiceId, ServiceQueue>,
    /// Virtual time of the service served last, before that request was charged.
    virtual_time: u64,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct ServiceQueue {
    weight: u32,
    /// Work done for the service, divided by its weight; the service with the lowest value is next. Raised to
    /// [`Queue::virtual_time`] when a request is added.
    virtual_time: u64,
    /// Callers with waiting requests; the first one is next.
    callers: VecDeque<CallerQueue>,
}

#[derive(Clone, Debug)]
struct CallerQueue {
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
        let service_queue = self.services.entry(ticket.service);
        service_queue.weight = ticket.weight.max(1);
        service_queue.virtual_time = service_queue.virtual_time.max(virtual_time);
        service_queue.push(ticket);
        self.len += 1;
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<id::RequestId> {
        let services = self.services.iter_mut();
        let (service, service_queue) = services.min_by_key(|(_, queue)| queue.virtual_time)?;
        let request = service_queue.pop()?;
        self.virtual_time = service_queue.virtual_time;
        service_queue.virtual_time += VIRTUAL_TIME_PER_REQUEST / u64::from(service_queue.weight);
        if service_queue.callers.is_empty() {
            self.services.remove(service);
        }
        self.len -= 1;
        Some(request)
    }

    /// Removes a request, if it is in the queue.
    pub fn remove(&mut self, request: id::RequestId) {
        let mut removed = 0;
        self.services.retain(|_, queue| {
            removed += queue.remove(request);
            !queue.callers.is_empty()
        });
        self.len -= removed;
    }

    /// Removes and returns all requests.
    pub fn take_all(&mut self) -> Vec<id::RequestId> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    /// Estimates how many requests would be served before this one if it were added now.
    pub fn ahead(&self, ticket: Ticket) -> u32 {
        let own_service = self.services.get(ticket.service);
        let ahead_in_service = own_service.map_or(0, |queue| queue.ahead(ticket.caller));
        let weight = u64::from(ticket.weight.max(1));
        let others = self.services.iter().filter(|(id, _)| *id != ticket.service);
        // Services are served in proportion to their weights.
        let others = others.map(|(_, queue)| {
            let ahead = (ahead_in_service as u64 + 1) * u64::from(queue.weight) / weight;
            ahead.min(queue.len() as u64)
        });
        u32::try_from(ahead_in_service as u64 + others.sum::<u64>()).unwrap_or(u32::MAX)
    }
}

impl ServiceQueue {
    fn push(&mut self, ticket: Ticket) {
        let caller_queue = self
            .callers
            .iter_mut()
            .find(|queue| queue.caller == ticket.caller);
        match caller_queue {
            Some(caller_queue) => caller_queue.requests.push_back(ticket.request),
            None => self.callers.push_back(CallerQueue {
                caller: ticket.caller,
                requests: VecDeque::from([ticket.request]),
            }),
        }
    }

    fn pop(&mut self) -> Option<id::RequestId> {
        let mut caller_queue = self.callers.pop_front()?;
        let request = caller_queue.requests.pop_front();
        if !caller_queue.requests.is_empty() {
            self.callers.push_back(caller_queue);
        }
        request
    }

    fn remove(&mut self, request: id::RequestId) -> usize {
        let len_before = self.len();
        for caller_queue in &mut self.callers {
            caller_queue.requests.retain(|queued| *queued != request);
        }
        self.callers.retain(|queue| !queue.requests.is_empty());
        len_before - self.len()
    }

    fn len(&self) -> usize {
        self.callers.iter().map(|queue| queue.requests.len()).sum()
    }

    fn ahead(&self, caller: id::CallerId) -> usize {
        let own_queue = self.callers.iter().find(|queue| queue.caller == caller);
        let own_len = own_queue.map_or(0, |queue| queue.requests.len());
        let others = self.callers.iter().filter(|queue| queue.caller != caller);
        own_len
            + others
                .map(|queue| queue.requests.len().min(own_len + 1))
                .sum::<usize>()
    }
}
