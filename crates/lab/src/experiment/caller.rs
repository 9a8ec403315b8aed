//! Callers: sessions that send requests in an open loop.

use std::time::Instant;

use fulmarlift_core::{floor, id};
use rand::prelude::*;

use crate::experiment::Profile;

/// A session. It sends one request at a time.
#[derive(Clone, Debug)]
pub struct Session {
    /// Failure domain in which it entered.
    pub domain: usize,
    /// Proxy of its last request.
    pub proxy: usize,
    /// The floor it carries, if it carries a token.
    pub token: Option<floor::Floor>,
    /// The newest point of its own that was acknowledged.
    pub acknowledged: floor::Point,
    /// Whether a request is under way.
    pub busy: bool,
}

/// A request that is not answered.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Index of the session.
    pub session: usize,
    /// Whether it writes.
    pub write: bool,
    /// When the caller sent it.
    pub sent_at: Instant,
    /// When it arrived at the proxy.
    pub arrived_at: Instant,
    /// The session's newest acknowledged point when it was sent.
    pub expects: floor::Point,
    /// Whether it is on a connection.
    pub dispatched: bool,
    /// Times that it was put on a connection.
    pub dispatches: u32,
    /// Times that it took effect.
    pub effects: u32,
    /// Index of the member that ran it and the end of that member's log then.
    pub served: Option<(usize, floor::Point)>,
}

/// All sessions.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    /// The sessions.
    pub all: Vec<Session>,
}

/// Tries to find an idle session before a new one is opened.
const PICKS: usize = 16;

impl Sessions {
    /// Picks an idle session, or opens one at `proxy`, and marks it busy.
    pub fn pick(
        &mut self,
        rng: &mut StdRng,
        profile: &Profile,
        proxy: usize,
        domain: usize,
    ) -> usize {
        let known = self.all.len();
        if known > 0 {
            for _ in 0..PICKS {
                let index = rng.random_range(0..known);
                let session = &mut self.all[index];
                if !session.busy && session.domain == domain {
                    session.busy = true;
                    if rng.random_bool(profile.roam_share) {
                        session.proxy = proxy;
                    }
                    return index;
                }
            }
        }
        self.open(rng, profile, proxy, domain);
        self.all[known].busy = true;
        known
    }

    /// Opens a session.
    pub fn open(&mut self, rng: &mut StdRng, profile: &Profile, proxy: usize, domain: usize) {
        let token = rng.random_bool(profile.token_share);
        self.all.push(Session {
            domain,
            proxy,
            token: token.then(floor::Floor::default),
            acknowledged: floor::Point::default(),
            busy: false,
        });
    }

    /// Notes that a write of the session was acknowledged.
    pub fn acknowledged(&mut self, index: usize, group: id::GroupId, point: floor::Point) {
        let session = &mut self.all[index];
        session.acknowledged = session.acknowledged.max(point);
        if let Some(token) = &mut session.token {
            token.raise(group, point);
        }
    }
}
