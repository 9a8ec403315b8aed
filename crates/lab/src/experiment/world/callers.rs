//! Callers: they generate requests and send them to the proxies.

use std::time::{Duration, Instant};

use fulmarlift_core::{event, floor, id, request, route};
use rand::prelude::*;

use crate::experiment::caller::PendingRequest;
use crate::experiment::world::{Scheduled, World, exponential};

impl<P: route::Policy + Copy> World<P> {
    /// Lets an idle session send a request, and schedules the next request.
    pub(super) fn generate_request(&mut self) {
        let now = self.clock.now();
        let rate = self.profile.requests_per_second * self.options.load * self.load_factor;
        let interval = exponential(&mut self.rng, Duration::from_secs_f64(1.0 / rate));
        self.clock.schedule(now + interval, Scheduled::NewRequest);
        let proxy = self.choose_proxy();
        let domain = self.proxies[proxy].domain;
        let (rng, profile) = (&mut self.rng, &self.profile);
        let session = self.sessions.acquire(rng, profile, proxy, domain);
        let at = now + self.profile.caller_latency;
        let sent_at = now;
        let follow_up = false;
        let entry = Scheduled::RequestSubmitted {
            session,
            sent_at,
            follow_up,
        };
        self.clock.schedule(at, entry);
    }

    /// Opens the sessions that exist at the start of the run.
    pub(super) fn open_sessions(&mut self) {
        for _ in 0..self.profile.sessions {
            let proxy = self.choose_proxy();
            let domain = self.proxies[proxy].domain;
            let (rng, profile) = (&mut self.rng, &self.profile);
            self.sessions.open(rng, profile, proxy, domain);
        }
    }

    /// Sends a read in a session whose write was acknowledged, unless the session has sent another request meanwhile.
    pub(super) fn send_follow_up_read(&mut self, session: usize) {
        if std::mem::replace(&mut self.sessions.all[session].busy, true) {
            return;
        }
        let sent_at = self.clock.now();
        let entry = Scheduled::RequestSubmitted {
            session,
            sent_at,
            follow_up: true,
        };
        let at = sent_at + self.profile.caller_latency;
        self.clock.schedule(at, entry);
    }

    /// Chooses the proxy at which a request or a new session arrives, by the shares in the options.
    fn choose_proxy(&mut self) -> usize {
        let count = self.proxies.len();
        let share = self.options.first_proxy_share;
        if share > 0.0 && self.rng.random_bool(share) {
            return 0;
        }
        let first = usize::from(share > 0.0).min(count - 1);
        self.rng.random_range(first..count)
    }

    /// Passes a request that has arrived to the proxy of its session.
    pub(super) fn submit_request(&mut self, index: usize, sent_at: Instant, follow_up: bool) {
        let now = self.clock.now();
        let proxy = self.live_proxy_of(index);
        let session = &self.sessions.all[index];
        let write = !follow_up && self.rng.random_bool(self.profile.write_share);
        let pending = PendingRequest {
            session: index,
            write,
            sent_at,
            arrived_at: now,
            expected_point: session.newest_acknowledged,
            may_have_run: false,
            dispatch_count: 0,
            commit_count: 0,
            served_by: None,
        };
        let floor = session.token_floor.clone();
        let process = &mut self.proxies[proxy];
        process.newest_request += 1;
        let id = process.newest_request;
        process.pending.insert(id, pending);
        self.tally.requests += u64::from(self.tally.is_measuring(now));
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

    /// Returns the proxy of a session. If that proxy has stopped, the session moves to a running one, of the same failure
    /// domain if possible, as a load balancer would move it.
    fn live_proxy_of(&mut self, index: usize) -> usize {
        let proxy = self.sessions.all[index].proxy;
        if self.proxies[proxy].alive {
            return proxy;
        }
        let domain = self.sessions.all[index].domain;
        let mut live = (0..self.proxies.len()).filter(|proxy| self.proxies[*proxy].alive);
        let in_same_domain = live
            .clone()
            .find(|proxy| self.proxies[*proxy].domain == domain);
        let new_proxy = in_same_domain.or_else(|| live.next()).unwrap_or(proxy);
        self.sessions.all[index].proxy = new_proxy;
        new_proxy
    }

    /// Removes a pending request and marks its session as idle. Returns `None` if the request has ended before.
    pub(super) fn end_request(
        &mut self,
        proxy: usize,
        request: id::RequestId,
    ) -> Option<PendingRequest> {
        let pending = self.proxies[proxy].pending.remove(request)?;
        self.sessions.all[pending.session].busy = false;
        Some(pending)
    }

    /// Ends a write that the proxy acknowledges, and may schedule a read of the same session after it.
    pub(super) fn acknowledge_write(
        &mut self,
        proxy: usize,
        request: id::RequestId,
        point: floor::Point,
    ) {
        let Some(pending) = self.end_request(proxy, request) else {
            return;
        };
        self.sessions
            .record_acknowledgement(pending.session, self.group, point);
        let now = self.clock.now();
        let caller_at = now + self.profile.caller_latency;
        self.tally.record_write(now, caller_at, &pending, point);
        if self.rng.random_bool(self.profile.read_after_write_share) {
            let delay = exponential(&mut self.rng, self.profile.read_after_write_delay);
            let session = pending.session;
            self.clock
                .schedule(caller_at + delay, Scheduled::FollowUpRead { session });
        }
    }
}
