//! Sessions of callers, and their requests. Requests arrive at a given rate, whether or not earlier ones have been
//! answered.

use std::time::Instant;

use fulmarlift_core::{floor, id};
use rand::prelude::*;

use crate::experiment::Profile;

/// A session of a caller, which sends one request at a time. Its floor, for each group, is the point that the log of
/// the member that serves a read must have reached; the token carries it from one proxy to another.
#[derive(Clone, Debug)]
pub struct Session {
    /// Index of the failure domain of the session's first proxy.
    pub domain: usize,
    /// Index of the proxy that gets the session's requests.
    pub proxy: usize,
    /// Floor in the session's token, or `None` if the session presents no token.
    pub token_floor: Option<floor::Floor>,
    /// Point of the session's newest acknowledged write.
    pub newest_acknowledged: floor::Point,
    /// Whether the session has sent a request that is not answered yet.
    pub busy: bool,
}

/// A request that the proxy has received and not answered yet.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// Index of the session that sent the request.
    pub session: usize,
    /// Whether the request writes.
    pub write: bool,
    /// When the caller sent the request.
    pub sent_at: Instant,
    /// When the request arrived at the proxy.
    pub arrived_at: Instant,
    /// Point of the session's newest acknowledged write, which a read must see.
    pub expected_point: floor::Point,
    /// Whether the request may have run: it was dispatched, and no outcome has excluded that a member ran it.
    pub may_have_run: bool,
    /// Number of times that the request was dispatched.
    pub dispatch_count: u32,
    /// Number of times that a member committed the request.
    pub commit_count: u32,
    /// Index of the member that ran the read, and the last point of its log at that time.
    pub served_by: Option<(usize, floor::Point)>,
}

/// The sessions of all callers.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    /// Sessions by index, in the order in which they were opened.
    pub all: Vec<Session>,
}

/// Number of randomly chosen sessions that are tried before a new session is opened.
const ACQUIRE_ATTEMPTS: usize = 16;

impl Sessions {
    /// Marks an idle session of this failure domain as busy and returns its index. The session may move to `proxy`
    /// first; if no idle session is found, a new one is opened there.
    pub fn acquire(
        &mut self,
        rng: &mut StdRng,
        profile: &Profile,
        proxy: usize,
        domain: usize,
    ) -> usize {
        let count = self.all.len();
        if count > 0 {
            for _ in 0..ACQUIRE_ATTEMPTS {
                let index = rng.random_range(0..count);
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
        self.all[count].busy = true;
        count
    }

    /// Opens an idle session at this proxy.
    pub fn open(&mut self, rng: &mut StdRng, profile: &Profile, proxy: usize, domain: usize) {
        let has_token = rng.random_bool(profile.token_share);
        self.all.push(Session {
            domain,
            proxy,
            token_floor: has_token.then(floor::Floor::default),
            newest_acknowledged: floor::Point::default(),
            busy: false,
        });
    }

    /// Records that the session's write at this point was acknowledged.
    pub fn record_acknowledgement(
        &mut self,
        index: usize,
        group: id::GroupId,
        point: floor::Point,
    ) {
        let session = &mut self.all[index];
        session.newest_acknowledged = session.newest_acknowledged.max(point);
        if let Some(floor) = &mut session.token_floor {
            floor.raise(group, point);
        }
    }
}
