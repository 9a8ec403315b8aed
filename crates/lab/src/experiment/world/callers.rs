//! Requests on their way from callers to proxies.

use std::time::{Duration, Instant};

use fulmarlift_core::{event, floor, id, request, route};
use rand::prelude::*;

use crate::experiment::caller::Pending;
use crate::experiment::world::{Happening, World, exponential};

impl<P: route::Policy + Copy> World<P> {
    pub(super) fn arrival(&mut self) {
        let now = self.clock.now();
        let rate = self.profile.requests_per_second * self.options.load * self.rush;
        let pause = exponential(&mut self.rng, Duration::from_secs_f64(1.0 / rate));
        self.clock.plan(now + pause, Happening::Arrival);
        let proxy = self.entry();
        let domain = self.nodes[proxy].domain;
        let (rng, profile) = (&mut self.rng, &self.profile);
        let session = self.sessions.pick(rng, profile, proxy, domain);
        let at = now + self.profile.caller_latency;
        let sent_at = now;
        let follows = false;
        let happening = Happening::Submitted {
            session,
            sent_at,
            follows,
        };
        self.clock.plan(at, happening);
    }

    /// Opens the sessions that the run starts with.
    pub(super) fn open_sessions(&mut self) {
        for _ in 0..self.profile.sessions {
            let proxy = self.entry();
            let domain = self.nodes[proxy].domain;
            let (rng, profile) = (&mut self.rng, &self.profile);
            self.sessions.open(rng, profile, proxy, domain);
        }
    }

    /// Reads in a session that has just written.
    pub(super) fn follow_up(&mut self, session: usize) {
        if std::mem::replace(&mut self.sessions.all[session].busy, true) {
            return;
        }
        let sent_at = self.clock.now();
        let happening = Happening::Submitted {
            session,
            sent_at,
            follows: true,
        };
        let at = sent_at + self.profile.caller_latency;
        self.clock.plan(at, happening);
    }

    /// Picks the proxy at which a request enters.
    fn entry(&mut self) -> usize {
        let count = self.nodes.len();
        let share = self.options.first_proxy_share;
        if share > 0.0 && self.rng.random_bool(share) {
            return 0;
        }
        let first = usize::from(share > 0.0).min(count - 1);
        self.rng.random_range(first..count)
    }

    pub(super) fn submitted(&mut self, index: usize, sent_at: Instant, follows: bool) {
        let now = self.clock.now();
        let proxy = self.live_proxy(index);
        let session = &self.sessions.all[index];
        let write = !follows && self.rng.random_bool(self.profile.write_share);
        let pending = Pending {
            session: index,
            write,
            sent_at,
            arrived_at: now,
            expects: session.acknowledged,
            dispatched: false,
            dispatches: 0,
            effects: 0,
            served: None,
        };
        let floor = session.token.clone();
        let node = &mut self.nodes[proxy];
        node.newest += 1;
        let id = node.newest;
        node.pending.insert(id, pending);
        self.tally.requests += u64::from(self.tally.measures(now));
        let kind = match write {
            true => request::Kind::Write { repeatable: false },
            false => request::Kind::Read { fresh_since: None },
        };
        let request = request::Request {
            id,
            caller: index as u64,
            service: self.group,
            kind,
            floor,
            deadline: now + self.profile.request_timeout,
        };
        self.step(proxy, event::Event::Arrived(request));
    }

    /// Returns the session's proxy; the balancer moves it when that one is dead.
    fn live_proxy(&mut self, index: usize) -> usize {
        let proxy = self.sessions.all[index].proxy;
        if self.nodes[proxy].alive {
            return proxy;
        }
        let domain = self.sessions.all[index].domain;
        let mut live = (0..self.nodes.len()).filter(|proxy| self.nodes[*proxy].alive);
        let near = live
            .clone()
            .find(|proxy| self.nodes[*proxy].domain == domain);
        let moved = near.or_else(|| live.next()).unwrap_or(proxy);
        self.sessions.all[index].proxy = moved;
        moved
    }

    /// Ends a request: its session may send the next one. Returns what was pending.
    pub(super) fn settle(&mut self, proxy: usize, request: id::RequestId) -> Option<Pending> {
        let pending = self.nodes[proxy].pending.remove(request)?;
        self.sessions.all[pending.session].busy = false;
        Some(pending)
    }

    pub(super) fn acknowledge(
        &mut self,
        proxy: usize,
        request: id::RequestId,
        point: floor::Point,
    ) {
        let Some(pending) = self.settle(proxy, request) else {
            return;
        };
        self.sessions
            .acknowledged(pending.session, self.group, point);
        let now = self.clock.now();
        let caller_at = now + self.profile.caller_latency;
        self.tally.write(now, caller_at, &pending, point);
        if self.rng.random_bool(self.profile.follow_share) {
            let pause = exponential(&mut self.rng, self.profile.follow_pause);
            let session = pending.session;
            self.clock
                .plan(caller_at + pause, Happening::FollowUp { session });
        }
    }
}
