//! What operators see of a proxy.

use std::time::{Duration, Instant};

use fulmarlift_core::{group, id, request, topology};
use serde::Serialize;

use crate::engine::Engine;

/// The state of a proxy.
#[derive(Clone, Debug, Serialize)]
pub struct StatusView {
    /// Name of the proxy.
    pub proxy: Box<str>,
    /// Configuration version in force.
    pub config_version: u64,
    /// Whether the proxy serves callers.
    pub ready: bool,
    /// Requests in flight.
    pub requests: usize,
    /// Database groups.
    pub groups: Vec<GroupView>,
    /// Other proxies.
    pub peers: Vec<PeerView>,
}

/// The state of a group.
#[derive(Clone, Debug, Serialize)]
pub struct GroupView {
    /// Name.
    pub name: Box<str>,
    /// Highest term known.
    pub term: id::Term,
    /// Name of the primary, if one is known.
    pub primary: Option<Box<str>>,
    /// Members.
    pub members: Vec<MemberView>,
}

/// The state of a member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberView {
    /// Name.
    pub name: Box<str>,
    /// `primary` or `replica`.
    pub role: &'static str,
    /// Term of its last log entry.
    pub last_term: id::Term,
    /// Position of its last log entry.
    pub position: id::Position,
    /// Entries behind the newest position known.
    pub lag: u64,
    /// Time since its last answer, in milliseconds.
    pub age_ms: Option<u64>,
    /// Whether it answers.
    pub reachable: bool,
    /// Connections that this proxy holds.
    pub connections_open: u32,
    /// Connections that requests hold.
    pub connections_busy: u32,
}

/// The state of a peer.
#[derive(Clone, Debug, Serialize)]
pub struct PeerView {
    /// Identifier.
    pub proxy: id::ProxyId,
    /// Failure domain.
    pub domain: Box<str>,
    /// Address for peers.
    pub address: Box<str>,
    /// Whether it was heard lately.
    pub alive: bool,
}

impl GroupView {
    /// Returns the newest point of any member as `TERM:POSITION`.
    pub fn newest(&self) -> Option<Box<str>> {
        let members = self.members.iter();
        let newest = members
            .map(|member| (member.last_term, member.position))
            .max()?;
        Some(format!("{}:{}", newest.0, newest.1).into())
    }
}

impl Engine {
    /// Returns whether the proxy serves callers: a configuration is in force and no drain has begun.
    pub fn ready(&self) -> bool {
        self.lock().state.head().version > 0 && !*self.drained.borrow()
    }

    /// Returns the state of a group as operators see it.
    pub fn group_view(&self, id: id::GroupId) -> Option<GroupView> {
        let inner = self.lock();
        let group = inner.state.groups().get(id)?;
        let config = inner.state.topology().groups.get(id)?;
        Some(group_view(Instant::now(), group, config))
    }

    /// Returns the member that would serve a request of a session without a floor, if one could now.
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

    /// Returns the state as operators see it.
    pub fn status(&self) -> StatusView {
        let now = Instant::now();
        let inner = self.lock();
        let topology = inner.state.topology();
        let groups = inner.state.groups().iter().filter_map(|(id, group)| {
            let config = topology.groups.get(id)?;
            Some(group_view(now, group, config))
        });
        let peers = inner.state.peers().peers.iter();
        StatusView {
            proxy: self.settings.name.clone(),
            config_version: inner.state.head().version,
            ready: inner.state.head().version > 0,
            requests: inner.state.in_flight(),
            groups: groups.collect(),
            peers: peers
                .map(|(proxy, peer)| PeerView {
                    proxy,
                    domain: peer.message.place.domain.clone(),
                    address: peer.message.address.clone(),
                    alive: now < peer.alive_until,
                })
                .collect(),
        }
    }
}

fn group_view(now: Instant, group: &group::Group, config: &topology::Group) -> GroupView {
    let primary = group.watch.primary().map(|member| member.id);
    let newest = group.watch.newest();
    let name = |id| config.members.get(id).map(|member| member.name.clone());
    let members = group.watch.members.iter().map(|(id, member)| {
        let last = member.last();
        let pool = group.pools.get(id);
        let age = member
            .answered_at
            .map(|at| now.saturating_duration_since(at));
        MemberView {
            name: name(id).unwrap_or_default(),
            role: if primary == Some(id) {
                "primary"
            } else {
                "replica"
            },
            last_term: last.term,
            position: last.position,
            lag: newest.position.saturating_sub(last.position),
            age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
            reachable: member.reachable,
            connections_open: pool.map_or(0, |pool| pool.open()),
            connections_busy: pool.map_or(0, |pool| pool.busy()),
        }
    });
    GroupView {
        name: config.name.clone(),
        term: group.watch.top_term(),
        primary: primary.and_then(name),
        members: members.collect(),
    }
}
