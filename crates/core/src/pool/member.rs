//! The pool of one member's connections.

use std::time::{Duration, Instant};

use crate::effect;
use crate::id;
use crate::pool::{Conn, Lending, Queue, State, Ticket};
use crate::sorted;

/// Time that a connection is given to open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without new connections after the member said that it has none left or did not answer.
const OPEN_BACKOFF: Duration = Duration::from_millis(200);

/// Time over which the most connections wanted at once are remembered.
const PEAK_WINDOW: Duration = Duration::from_secs(1);

/// Shortest silence after a dispatch that counts against a connection.
const PATIENCE_MIN: Duration = Duration::from_millis(500);
/// Silence that counts against a connection, as a multiple of the slowest answer lately.
const PATIENCE_FACTOR: u32 = 4;

/// Connections to one member and the requests that wait for one.
#[derive(Clone, Debug)]
pub struct Pool {
    group: id::GroupId,
    member: id::MemberId,
    /// Connections that this proxy may hold to the member.
    pub share: u32,
    /// Where those connections come from.
    pub lending: Lending,
    conns: sorted::Map<id::ConnId, Conn>,
    queue: Queue,
    open_after: Instant,
    hold_time: Duration,
    slowest: Duration,
    peak: Peak,
}

/// The most connections that were wanted at once, lately.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    current: u32,
    last: u32,
    until: Option<Instant>,
}

impl Peak {
    fn note(&mut self, now: Instant, wanted: u32) {
        if self.until.is_none_or(|until| now >= until) {
            self.last = self.current;
            self.current = 0;
            self.until = Some(now + PEAK_WINDOW);
        }
        self.current = self.current.max(wanted);
    }

    fn value(self) -> u32 {
        self.current.max(self.last)
    }
}

/// The outcome of asking for a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lease {
    /// The request holds this connection.
    Granted(id::ConnId),
    /// The request waits.
    Queued,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(group: id::GroupId, member: id::MemberId, share: u32, now: Instant) -> Self {
        Self {
            group,
            member,
            share,
            lending: Lending::new(share),
            peak: Peak::default(),
            conns: sorted::Map::default(),
            queue: Queue::default(),
            open_after: now,
            hold_time: Duration::ZERO,
            slowest: Duration::ZERO,
        }
    }

    /// Returns the number of connections open or being opened.
    pub fn open(&self) -> u32 {
        u32::try_from(self.conns.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of connections held by requests.
    pub fn busy(&self) -> u32 {
        self.count(|state| matches!(state, State::Busy(_)))
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> u32 {
        self.count(|state| state == State::Idle)
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Estimates the time until a connection is free for another request.
    pub fn estimated_wait(&self, connect_time: Duration, ticket: Ticket) -> Duration {
        if self.idle() > 0 {
            return Duration::ZERO;
        }
        let ahead = self.queue.ahead(ticket);
        let queue = self.hold_time * (ahead + 1) / self.open().max(1);
        let room = self.share.saturating_sub(self.open());
        match (self.open(), self.waiting() < room) {
            (0, _) => connect_time.max(queue),
            (_, true) => connect_time.min(queue),
            (_, false) => queue,
        }
    }

    /// Returns how long a connection may be silent after a dispatch.
    pub fn patience(&self) -> Duration {
        PATIENCE_MIN.max(self.slowest * PATIENCE_FACTOR)
    }

    /// Estimates the time until all that wait now have had a connection.
    pub fn drain_time(&self) -> Duration {
        self.hold_time * self.waiting() / self.open().max(1)
    }

    /// Estimates the time from a dispatch to the answer; zero when nothing runs that tells.
    pub fn estimated_answer(&self) -> Duration {
        match self.busy() {
            0 => Duration::ZERO,
            _ => self.hold_time,
        }
    }

    fn count(&self, wanted: impl Fn(State) -> bool) -> u32 {
        let count = self
            .conns
            .values()
            .filter(|conn| wanted(conn.state))
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Gives the request an idle connection, or puts it in the queue.
    pub fn lease(&mut self, now: Instant, ticket: Ticket) -> Lease {
        let idle = self
            .conns
            .iter()
            .rev()
            .find(|(_, c)| c.state == State::Idle);
        let Some(conn) = idle.map(|(id, _)| id) else {
            self.queue.push(ticket);
            self.note_peak(now);
            return Lease::Queued;
        };
        self.hold(now, conn, ticket.request);
        self.note_peak(now);
        Lease::Granted(conn)
    }

    /// Opens connections for requests that wait, within the share.
    pub fn grow(
        &mut self,
        now: Instant,
        next_conn: &mut id::ConnId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let opening = self.count(|state| state == State::Opening);
        let wanted = self.waiting().saturating_sub(opening);
        let room = self.share.saturating_sub(self.open());
        if now < self.open_after {
            return;
        }
        for _ in 0..wanted.min(room) {
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

    /// Notes that a connection is open and clean.
    pub fn ready(&mut self, now: Instant, conn: id::ConnId) {
        let Some(entry) = self.conns.get_mut(conn) else {
            return;
        };
        if let State::Busy(_) = entry.state {
            let held = now.saturating_duration_since(entry.since);
            self.hold_time = self.hold_time * 7 / 8 + held / 8;
            self.slowest = held.max(self.slowest * 31 / 32);
        }
        entry.state = State::Idle;
        entry.since = now;
    }

    /// Gives a connection that is ready to the next request that waits, and returns that.
    pub fn serve(&mut self, now: Instant, conn: id::ConnId) -> Option<id::RequestId> {
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
        self.hold(now, conn, request);
        Some(request)
    }

    fn hold(&mut self, now: Instant, conn: id::ConnId, request: id::RequestId) {
        let state = State::Busy(request);
        self.conns.insert(conn, Conn { state, since: now });
    }

    /// Forgets a connection that is closed.
    pub fn closed(&mut self, conn: id::ConnId) {
        self.conns.remove(conn);
    }

    /// Forgets a connection that could not be opened and opens none for a while.
    pub fn open_failed(&mut self, now: Instant, conn: id::ConnId) {
        self.conns.remove(conn);
        self.open_after = now + OPEN_BACKOFF;
    }

    /// Takes a request out of the queue.
    pub fn abandon(&mut self, request: id::RequestId) {
        self.queue.remove(request);
    }

    /// Empties the queue and returns the requests that were in it.
    pub fn take_queue(&mut self) -> Vec<id::RequestId> {
        self.queue.take()
    }

    fn note_peak(&mut self, now: Instant) {
        let wanted = self.busy() + self.waiting();
        self.peak.note(now, wanted);
    }

    /// Returns whether more connections are open than this proxy may hold.
    pub fn is_over(&self) -> bool {
        self.open() > self.share
    }

    /// Returns how many connections of the own share are neither open nor wanted. One is always kept.
    pub fn spare(&self) -> u32 {
        let used = self.open().max(self.busy() + self.waiting());
        self.lending.kept().saturating_sub(used.max(1))
    }

    /// Removes and returns idle connections above the share, and borrowed ones that are not needed.
    pub fn shrink(&mut self, now: Instant) -> Vec<id::ConnId> {
        self.note_peak(now);
        let needed = self.lending.kept().max(self.peak.value());
        self.close_idle(needed.min(self.share))
    }

    /// Removes and returns idle connections that were not needed lately, so that others can be lent them.
    pub fn trim(&mut self) -> Vec<id::ConnId> {
        self.close_idle(self.peak.value().max(1))
    }

    fn close_idle(&mut self, keep: u32) -> Vec<id::ConnId> {
        let surplus = self.open().saturating_sub(keep) as usize;
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
