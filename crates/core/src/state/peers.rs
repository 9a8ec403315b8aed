//! Handles heartbeats between proxies and the platform's list of VMs.

use std::time::Instant;

use crate::effect;
use crate::group;
use crate::id;
use crate::peer;
use crate::pool;
use crate::route;
use crate::state::State;

impl<P: route::Policy> State<P> {
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Instant,
        message: peer::Message,
        effects: &mut Vec<effect::Effect>,
    ) {
        if message.proxy == self.identity.proxy {
            return;
        }
        let head = message.head.clone();
        let from = message.proxy;
        self.compare_reports(now, &message.groups);
        let newer = self.peers.receive(now, message);
        if newer {
            self.apply_loans(now, from);
        }
        if newer && head.version > self.head.version {
            effects.push(effect::Effect::FetchConfiguration(head));
        }
    }

    /// Marks a group as uncertain if a peer reports a higher term for it, or reports the primary of the same term as
    /// silent.
    fn compare_reports(&mut self, now: Instant, reports: &[peer::GroupReport]) {
        for report in reports {
            let Some(group) = self.groups.get_mut(report.group) else {
                continue;
            };
            let known = group.watch.top_term();
            let primary_silent = report.term == known && !report.primary_answers;
            if report.term > known || primary_silent {
                group.watch.mark_uncertain(now);
            }
        }
    }

    pub(super) fn handle_vms(
        &mut self,
        now: Instant,
        vms: &[peer::Vm],
        effects: &mut Vec<effect::Effect>,
    ) {
        let leaving: Vec<&str> = vms
            .iter()
            .filter(|vm| vm.state == peer::VmState::Leaving)
            .map(|vm| vm.address.as_ref())
            .collect();
        for (id, group) in self.groups.iter_mut() {
            let Some(config) = self.topology.groups.get(id) else {
                continue;
            };
            let members = config.members.iter();
            group.leaving = members
                .filter(|(_, member)| leaving.contains(&member.address.as_ref()))
                .map(|(member, _)| member)
                .collect();
        }
        self.move_off_leaving_replicas(now, effects);
    }

    /// Sends a heartbeat to all peers if one is due.
    pub(super) fn send_heartbeats(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        if !self.peers.is_due(now, &self.heartbeat(now)) {
            return;
        }
        self.heartbeat_sequence += 1;
        self.peers.forget(now);
        self.lend_to_peers(now, effects);
        let message = self.heartbeat(now);
        self.peers.record_sent(now, &message);
        let own_address = self.identity.address.as_ref();
        for address in self
            .peers
            .addresses
            .iter()
            .filter(|to| to.as_ref() != own_address)
        {
            effects.push(effect::Effect::SendHeartbeat {
                to: address.clone(),
                message: message.clone(),
            });
        }
    }

    fn heartbeat(&self, now: Instant) -> peer::Message {
        let groups = self.groups.iter();
        let pools = self.groups.values().flat_map(|group| group.pools.iter());
        let mut connection_reports: Vec<_> = pools
            .filter_map(|(member, pool)| connection_report(now, member, pool))
            .collect();
        connection_reports.sort_by_key(|report| report.member);
        peer::Message {
            proxy: self.identity.proxy,
            sequence: self.heartbeat_sequence,
            address: self.identity.address.clone(),
            place: self.identity.place.clone(),
            head: self.head.clone(),
            draining: self.draining,
            groups: groups
                .filter_map(|(id, group)| group_report(id, group))
                .collect(),
            connection_reports,
        }
    }
}

/// Returns the report on a group; `None` if this proxy's own view of the group is too old to report.
fn group_report(id: id::GroupId, group: &group::Group) -> Option<peer::GroupReport> {
    Some(peer::GroupReport {
        group: id,
        term: group.watch.top_term(),
        primary_answers: group.watch.primary_answers()?,
    })
}

fn connection_report(
    now: Instant,
    member: id::MemberId,
    pool: &pool::Pool,
) -> Option<peer::ConnectionReport> {
    let report = peer::ConnectionReport {
        member,
        open: pool.open_count(),
        waiting: pool.waiting_count(),
        loans: pool.lending.report(now),
    };
    let has_content = report.open > 0 || report.waiting > 0 || !report.loans.is_empty();
    has_content.then_some(report)
}
