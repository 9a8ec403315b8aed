//! Pool of connections to one member.

use std::time::{Duration, Instant};

use crate::effect;
use crate::id;
use crate::pool::{Conn, Lending, Queue, State, Ticket};
use crate::sorted;

/// Time within which a connection must open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a failed open in which no further connection is opened. Opens fail if the member has no connection left
/// or does not answer.
const OPEN_BACKOFF: Duration = Duration::from_millis(200);

/// Length of the time window for which the peak demand is measured.
const PEAK_WINDOW: Duration = Duration::from_secs(1);

/// Minimum time without an answer after a dispatch before a connection counts as silent.
const SILENCE_TIMEOUT_MIN: Duration = Duration::from_millis(500);
/// Time without an answer after which a connection counts as silent, as a multiple of the longest recent lease time.
const SILENCE_TIMEOUT_FACTOR: u32 = 4;

/// Connections to one member, and the requests that wait for a connection.
#[derive(Clone, Debug)]
pub struct Pool {
    group: id::GroupId,
    member: id::MemberId,
    /// Number of connections to the member that this proxy may have open.
    pub limit: u32,
    /// Share and loans that the limit results from.
    pub lending: Lending,
    conns: sorted::Map<id::ConnId, Conn>,
    queue: Queue,
    open_backoff_until: Instant,
    /// Smoothed lease time: the time for which a request uses a connection. The time of an answer is taken to be that
    /// of the lease.
    mean_lease_time: Duration,
    /// Longest recent lease time; it decays with each lease.
    longest_lease_time: Duration,
    peak: Peak,
}

/// Highest number of connections in demand at once, in the current and the last time window.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    current: u32,
    last: u32,
    window_ends_at: Option<Instant>,
}

impl Peak {
    fn record(&mut self, now: Instant, demand: u32) {
        if self.window_ends_at.is_none_or(|at| now >= at) {
            self.last = self.current;
            self.current = 0;
            self.window_ends_at = Some(now + PEAK_WINDOW);
        }
        self.current = self.current.max(demand);
    }

    fn value(self) -> u32 {
        self.current.max(self.last)
    }
}

/// Result of a request for a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lease {
    /// The request has exclusive use of this connection.
    Granted(id::ConnId),
    /// The request waits in the queue.
    Queued,
}

impl Pool {
    /// Creates an empty pool. `share` is the number of connections that this proxy may open at first.
    pub fn new(group: id::GroupId, member: id::MemberId, share: u32, now: Instant) -> Self {
        Self {
            group,
            member,
            limit: share,
            lending: Lending::new(share),
            peak: Peak::default(),
            conns: sorted::Map::default(),
            queue: Queue::default(),
            open_backoff_until: now,
            mean_lease_time: Duration::ZERO,
            longest_lease_time: Duration::ZERO,
        }
    }

    /// Returns the number of connections open or being opened.
    pub fn open_count(&self) -> u32 {
        u32::try_from(self.conns.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of connections in use by requests.
    pub fn busy_count(&self) -> u32 {
        self.count(|state| matches!(state, State::Busy(_)))
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> u32 {
        self.count(|state| state == State::Idle)
    }

    /// Returns the number of requests that wait for a connection.
    pub fn waiting_count(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Estimates the time until a connection is free for another request.
    pub fn estimated_wait(&self, connect_time: Duration, ticket: Ticket) -> Duration {
        if self.idle_count() > 0 {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead(ticket);
        let queue_time = self.mean_lease_time * (ahead + 1) / self.open_count().max(1);
        let openable = self.limit.saturating_sub(self.open_count());
        match (self.open_count(), self.waiting_count() < openable) {
            (0, _) => connect_time.max(queue_time),
            (_, true) => connect_time.min(queue_time),
            (_, false) => queue_time,
        }
    }

    /// Returns how long an answer may take before the connection counts as silent.
    pub fn silence_timeout(&self) -> Duration {
        SILENCE_TIMEOUT_MIN.max(self.longest_lease_time * SILENCE_TIMEOUT_FACTOR)
    }

    /// Estimates the time until every request now in the queue has got a connection.
    pub fn estimated_queue_time(&self) -> Duration {
        self.mean_lease_time * self.waiting_count() / self.open_count().max(1)
    }

    /// Estimates the time from a dispatch to the answer; zero while no request runs.
    pub fn estimated_answer_time(&self) -> Duration {
        match self.busy_count() {
            0 => Duration::ZERO,
            _ => self.mean_lease_time,
        }
    }

    fn count(&self, predicate: impl Fn(State) -> bool) -> u32 {
        let count = self
            .conns
            .values()
            .filter(|conn| predicate(conn.state))
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Gives the request an idle connection, or adds it to the queue.
    pub fn lease(&mut self, now: Instant, ticket: Ticket) -> Lease {
        let idle = self
            .conns
            .iter()
            .rev()
            .find(|(_, c)| c.state == State::Idle);
        let Some(conn) = idle.map(|(id, _)| id) else {
            self.queue.push(ticket);
            self.record_demand(now);
            return Lease::Queued;
        };
        self.assign(now, conn, ticket.request);
        self.record_demand(now);
        Lease::Granted(conn)
    }

    /// Opens connections for waiting requests, up to the limit.
    pub fn grow(
        &mut self,
        now: Instant,
        next_conn: &mut id::ConnId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let opening = self.count(|state| state == State::Opening);
        let missing = self.waiting_count().saturating_sub(opening);
        let openable = self.limit.saturating_sub(self.open_count());
        if now < self.open_backoff_until {
            return;
        }
        for _ in 0..missing.min(openable) {
            *next_conn += 1;
            let state = State::Opening;
            self.conns.insert(*next_conn, Conn { state, since: now });
            effects.push(effect::Effect::Open {
                conn: *next_conn,
                group: self.group,
                member: self.member,
                deadline: now + OPEN_TIMEOUT,
            });
        }
    }

    /// Marks a connection as open, clean and unused. If a request used it, its lease time enters the estimates.
    pub fn mark_idle(&mut self, now: Instant, conn: id::ConnId) {
        let Some(entry) = self.conns.get_mut(conn) else {
            return;
        };
        if let State::Busy(_) = entry.state {
            let lease_time = now.saturating_duration_since(entry.since);
            self.mean_lease_time = self.mean_lease_time * 7 / 8 + lease_time / 8;
            self.longest_lease_time = lease_time.max(self.longest_lease_time * 31 / 32);
        }
        entry.state = State::Idle;
        entry.since = now;
    }

    /// Gives a connection to the next request in the queue and returns the request. If no request waits, marks the
    /// connection as idle.
    pub fn assign_next(&mut self, now: Instant, conn: id::ConnId) -> Option<id::RequestId> {
        if !self.conns.contains(conn) {
            return None;
        }
        let Some(request) = self.queue.pop() else {
            self.conns.insert(
                conn,
                Conn {
                    state: State::Idle,
                    since: now,
                },
            );
            return None;
        };
        self.assign(now, conn, request);
        Some(request)
    }

    /// Gives the request exclusive use of the connection.
    fn assign(&mut self, now: Instant, conn: id::ConnId, request: id::RequestId) {
        let state = State::Busy(request);
        self.conns.insert(conn, Conn { state, since: now });
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, conn: id::ConnId) {
        self.conns.remove(conn);
    }

    /// Removes a connection that could not be opened, and delays further opens.
    pub fn record_open_failure(&mut self, now: Instant, conn: id::ConnId) {
        self.conns.remove(conn);
        self.open_backoff_until = now + OPEN_BACKOFF;
    }

    /// Removes a request from the queue.
    pub fn remove_queued(&mut self, request: id::RequestId) {
        self.queue.remove(request);
    }

    /// Removes and returns all requests in the queue.
    pub fn take_queue(&mut self) -> Vec<id::RequestId> {
        self.queue.take_all()
    }

    /// Records the current demand for connections in the peak.
    fn record_demand(&mut self, now: Instant) {
        let demand = self.busy_count() + self.waiting_count();
        self.peak.record(now, demand);
    }

    /// Returns whether more connections are open than the limit allows.
    pub fn is_over_limit(&self) -> bool {
        self.open_count() > self.limit
    }

    /// Returns how many connections of this proxy's share it can lend: they are neither lent, open nor in demand.
    /// The proxy always keeps one.
    pub fn spare(&self) -> u32 {
        let needed = self
            .open_count()
            .max(self.busy_count() + self.waiting_count());
        self.lending.unlent().saturating_sub(needed.max(1))
    }

    /// Removes and returns idle connections above the limit, and idle borrowed ones that the peak demand does not need.
    pub fn remove_surplus(&mut self, now: Instant) -> Vec<id::ConnId> {
        self.record_demand(now);
        let needed = self.lending.unlent().max(self.peak.value());
        self.remove_idle_above(needed.min(self.limit))
    }

    /// Removes and returns idle connections above the recent peak demand, so that they can be lent.
    pub fn remove_idle_for_lending(&mut self) -> Vec<id::ConnId> {
        self.remove_idle_above(self.peak.value().max(1))
    }

    /// Removes and returns idle connections, as long as more than `keep` connections are open.
    fn remove_idle_above(&mut self, keep: u32) -> Vec<id::ConnId> {
        let surplus = self.open_count().saturating_sub(keep) as usize;
        let idle = self.conns.iter().filter(|(_, c)| c.state == State::Idle);
        let closed: Vec<_> = idle.map(|(id, _)| id).take(surplus).collect();
        for conn in &closed {
            self.conns.remove(*conn);
        }
        closed
    }

    /// Removes and returns all idle connections.
    pub fn take_idle(&mut self) -> Vec<id::ConnId> {
        let idle = self.conns.iter().filter(|(_, c)| c.state == State::Idle);
        let closed: Vec<_> = idle.map(|(id, _)| id).collect();
        for conn in &closed {
            self.conns.remove(*conn);
        }
        closed
    }
}
