//! Applies the answers of members and of the platform to a group's status and failover.

use std::time::Instant;

use crate::effect;
use crate::event;
use crate::failover;
use crate::id;
use crate::request;
use crate::route;
use crate::state::{MemberRef, State};
use crate::status;

impl<P: route::Policy> State<P> {
    /// Sends the members of the group the status requests that are due.
    pub(super) fn send_control_requests(
        &mut self,
        now: Instant,
        group: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(group) = self.groups.get_mut(group) {
            group
                .watch
                .send_control_requests(now, &mut self.last_control_request, effects);
        }
    }

    /// Records that a request for the group arrived.
    pub(super) fn record_activity(&mut self, now: Instant, group: id::GroupId) {
        if let Some(group) = self.groups.get_mut(group) {
            group.watch.record_activity(now);
        }
    }

    pub(super) fn handle_status_answer(
        &mut self,
        now: Instant,
        answer: event::StatusAnswer,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get_mut(answer.group) else {
            return;
        };
        let results = group.watch.apply_status_answer(now, answer);
        self.apply_status_results(now, answer.group, results, effects);
        self.send_control_requests(now, answer.group, effects);
    }

    /// Applies the results of status answers, or of missing ones, to the group and its requests.
    pub(super) fn apply_status_results(
        &mut self,
        now: Instant,
        group: id::GroupId,
        results: status::Results,
        effects: &mut Vec<effect::Effect>,
    ) {
        for (request, point) in results.confirmed {
            self.acknowledge(request, point, effects);
        }
        for request in results.unconfirmed {
            self.end_unconfirmed(request, effects);
        }
        for (request, point) in results.read_indexes {
            self.apply_read_index(now, request, point, effects);
        }
        for (member, reachable) in results.reachability_changes {
            self.record_reachability(now, MemberRef { group, member }, reachable, effects);
        }
        self.record_primary(now, group, effects);
        self.reroute_parked(now, group, effects);
    }

    fn record_reachability(
        &mut self,
        now: Instant,
        member_ref: MemberRef,
        reachable: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        effects.push(effect::Effect::RecordChange(
            effect::StateChange::Reachable {
                group: member_ref.group,
                member: member_ref.member,
                reachable,
            },
        ));
        self.expedite_peer_heartbeats(now);
        if !reachable {
            self.interrupt(member_ref.group, effects);
            self.reroute_queue(now, member_ref, effects);
        }
    }

    /// Schedules the next heartbeat for now: peers decide on failovers by what this proxy reports.
    fn expedite_peer_heartbeats(&mut self, now: Instant) {
        self.peers.heartbeat_at = self.peers.heartbeat_at.min(now);
    }

    fn record_primary(&mut self, now: Instant, id: id::GroupId, effects: &mut Vec<effect::Effect>) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let Some(primary) = group.watch.primary() else {
            return;
        };
        let term = group.watch.top_term();
        let member = primary.id;
        if group.recorded_primary != Some((term, member)) {
            group.recorded_primary = Some((term, member));
            self.interrupt(id, effects);
            self.expedite_peer_heartbeats(now);
            effects.push(effect::Effect::RecordChange(effect::StateChange::Primary {
                group: id,
                term,
                member,
            }));
        }
    }

    pub(super) fn handle_term_answer(
        &mut self,
        now: Instant,
        answer: event::TermAnswer,
        effects: &mut Vec<effect::Effect>,
    ) {
        let group = self.groups.get_mut(answer.group);
        let results = match (answer.result, group) {
            (Some((status, _)), Some(group)) => {
                group.watch.record_status(now, answer.member, status)
            }
            _ => status::Results::default(),
        };
        self.run_failover(now, answer.group, effects, |failover, context| {
            failover.apply_term_answer(context, answer);
        });
        self.apply_status_results(now, answer.group, results, effects);
    }

    pub(super) fn handle_claim_answer(
        &mut self,
        now: Instant,
        answer: event::ClaimAnswer,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.run_failover(now, answer.group, effects, |failover, context| {
            failover.apply_claim_answer(context, answer);
        });
    }

    /// Runs one step of the group's failover.
    pub(super) fn run_failover(
        &mut self,
        now: Instant,
        id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
        run: impl FnOnce(&mut failover::Failover, &mut failover::Context<'_>),
    ) {
        let Some(evidence) = self.collect_evidence(now, id) else {
            return;
        };
        let rank = self.peers.rank(now, self.identity.proxy, id);
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let mut context = failover::Context {
            now,
            group: id,
            watch: &group.watch,
            evidence,
            leaving: &group.leaving,
            proxy: self.identity.proxy,
            rank,
            last_control_request: &mut self.last_control_request,
            effects,
        };
        run(&mut group.failover, &mut context);
        let needs_answers_now = match group.failover.stage {
            // Before this proxy claims a term, every reachable member must answer once more.
            failover::Stage::Waiting { since, .. } => since == now,
            // Writes wait until a replica has the last entry of the fenced primary.
            failover::Stage::HandingOver { .. } => true,
            _ => false,
        };
        if needs_answers_now {
            group.watch.expedite_member_heartbeats(now);
            group
                .watch
                .send_control_requests(now, &mut self.last_control_request, effects);
        }
    }

    /// Collects the observations of this proxy and its live peers on a group, as input for the failover.
    fn collect_evidence(&self, now: Instant, id: id::GroupId) -> Option<failover::Evidence> {
        let group = self.groups.get(id)?;
        let primary = group.watch.primary();
        let top_term = group.watch.top_term();
        let reports = self.peers.alive(now).filter_map(|(_, peer)| {
            let groups = &peer.message.groups;
            let index = groups.binary_search_by_key(&id, |report| report.group);
            Some(groups[index.ok()?])
        });
        let current = reports.filter(|report| report.term >= top_term);
        let (answering, silent): (Vec<_>, Vec<_>) =
            current.partition(|report| report.primary_answers);
        Some(failover::Evidence {
            primary_answers: primary.is_some_and(|member| member.reachable),
            primary_lost_majority: group.watch.primary_has_lost_majority(),
            primary_leaving: primary.is_some_and(|member| group.leaving.contains(&member.id)),
            members_answering: group.watch.reachable_count(),
            members_pending: group.watch.pending_count(now),
            majority: group.watch.majority(),
            peers_reporting_silence: silent.len(),
            peers_reporting_answers: answering.len(),
            all_peers_lost: !self.peers.peers.is_empty() && self.peers.alive(now).next().is_none(),
        })
    }

    /// Returns the requests whose deadline has passed.
    pub(super) fn overdue(&self, now: Instant) -> Vec<id::RequestId> {
        let overdue = |active: &request::Active| now >= active.request.deadline;
        let requests = self.requests.iter();
        requests
            .filter(|(_, active)| overdue(active))
            .map(|(id, _)| id)
            .collect()
    }
}
