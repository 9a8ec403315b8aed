//! Status of a proxy, for operators.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use fulmarlift_core::{floor, group, id, peer, request, topology};
use fulmarlift_store::admin;

use crate::engine::Engine;

impl Engine {
    /// Returns whether the proxy serves callers: a configuration is in force and the proxy is not stopping.
    pub fn is_ready(&self) -> bool {
        self.lock().state.head().version > 0 && !self.is_draining()
    }

    /// Returns whether the proxy is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the newest point that this proxy knows of a group.
    pub fn newest_point(&self, id: id::GroupId) -> Option<floor::Point> {
        Some(self.lock().state.groups().get(id)?.watch.newest_point())
    }

    /// Returns the name of the member that would now serve a request of a session without a floor, if there is one.
    pub fn preview(
        &self,
        group: id::GroupId,
        is_read: bool,
        max_age: Option<Duration>,
    ) -> Option<Box<str>> {
        let now = Instant::now();
        let kind = match is_read {
            true => request::Kind::Read {
                fresh_since: max_age.and_then(|age| now.checked_sub(age)),
            },
            false => request::Kind::Write { repeatable: false },
        };
        let inner = self.lock();
        let member = inner.state.preview(now, group, kind)?;
        let config = inner.state.topology().groups.get(group)?;
        Some(config.members.get(member)?.name.clone())
    }

    /// Returns the status of the proxy, its groups and its peers.
    pub fn status(&self) -> admin::Status {
        let now = Instant::now();
        let ready = self.is_ready();
        let inner = self.lock();
        let topology = inner.state.topology();
        let groups = inner.state.groups().iter().filter_map(|(id, group)| {
            let config = topology.groups.get(id)?;
            Some(group_status(now, group, config))
        });
        let peers = inner.state.peers().peers.iter();
        admin::Status {
            proxy: self.settings.name.clone(),
            config_version: inner.state.head().version,
            ready,
            groups: groups.collect(),
            peers: peers
                .filter_map(|(proxy, peer)| peer_status(now, proxy, peer))
                .collect(),
        }
    }
}

fn peer_status(now: Instant, proxy: id::ProxyId, peer: &peer::Peer) -> Option<admin::PeerStatus> {
    Some(admin::PeerStatus {
        proxy: format!("{proxy:016x}").into(),
        domain: peer.message.place.domain.clone(),
        address: peer.message.address.parse().ok()?,
        alive: now < peer.alive_until,
    })
}

fn group_status(
    now: Instant,
    group: &group::Group,
    config: &topology::Group,
) -> admin::GroupStatus {
    let primary = group.watch.primary().map(|member| member.id);
    let newest = group.watch.newest_point();
    let name = |id| config.members.get(id).map(|member| member.name.clone());
    let members = group.watch.members.iter().map(|(id, member)| {
        let last = member.last_point();
        let pool = group.pools.get(id);
        let age = member
            .answered_request_sent_at
            .map(|at| now.saturating_duration_since(at));
        admin::MemberStatus {
            name: name(id).unwrap_or_default(),
            role: match primary == Some(id) {
                true => "primary".into(),
                false => "replica".into(),
            },
            last_term: last.term,
            position: last.position,
            lag: newest.position.saturating_sub(last.position),
            age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            reachable: member.reachable,
            connections_open: pool.map_or(0, |pool| pool.open_count()),
            connections_busy: pool.map_or(0, |pool| pool.busy_count()),
        }
    });
    admin::GroupStatus {
        name: config.name.clone(),
        term: group.watch.top_term(),
        primary: primary.and_then(name),
        members: members.collect(),
    }
}
