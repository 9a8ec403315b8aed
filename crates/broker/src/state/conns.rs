//! Connections to members and homes: opening, return, failures and idle timeouts.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::event;
use crate::member_state;
use crate::state;
use crate::state::pacing;

/// Idle timeout of a spare connection, which is one that the proxy need not keep: any but the last one to its member, and
/// also the last one if the member is leaving or not listed, or if the proxy is no home of the group.
///
/// A member allows few connections for all proxies together, and connections of a VM that lost power stay in use at the
/// member for seconds.
const SPARE_IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle timeout of a spare connection while the member counts as contended, so that other proxies get connections sooner. It
/// does not apply to a member that is leaving or not listed.
const CONTENDED_SPARE_IDLE_TIMEOUT: Duration = Duration::from_millis(150);
/// Idle timeout of the last connection to a member, well below the minute after which members close idle connections.
const LAST_IDLE_TIMEOUT: Duration = Duration::from_secs(12);
/// Shortest time without an answer that counts as a failure of the member: several times what a statement takes that waits
/// in the member's full queue. A statement sent with less time left before its deadline is given up without counting as a
/// failure.
const SILENCE_MIN: Duration = Duration::from_millis(250);
/// Time for which a member counts as contended after the end of a back-off from opening connections
/// (`opening_backoff_until`), which began because it allowed no further connection. It counts as contended during that
/// back-off, too.
const CONTENTION_WINDOW: Duration = Duration::from_secs(3);

/// A connection to a member or a home.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    pub(super) member: id::MemberId,
    /// Workspace that the connection serves; `None` for connections to homes, and where the configuration knows no workspaces.
    pub(super) workspace: Option<id::WorkspaceId>,
}

impl state::Broker {
    /// Returns the workspace that a connection serves, whose name the member is told.
    pub fn conn_workspace(&self, conn: id::ConnId) -> Option<id::WorkspaceId> {
        self.connections.get(conn)?.workspace
    }

    /// Lends an idle connection to a member for a command that another proxy has asked this one to send. It is in use until
    /// [`event::Event::Returned`].
    pub fn lend_connection(&mut self, member: id::MemberId) -> Option<id::ConnId> {
        let group = *self.member_groups.get(member)?;
        // A home takes no commands.
        let state = self.groups.get_mut(group)?.members.get_mut(member)?;
        Some(state.lease_any()?.conn)
    }

    pub(super) fn open_connection(
        &mut self,
        member: id::MemberId,
        workspace: Option<id::WorkspaceId>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let conn = self.next_conn;
        self.next_conn += 1;
        self.connections
            .insert(conn, Connection { member, workspace });
        if let Some(state) = self.member_state_mut(member) {
            state.start_opening(workspace);
        }
        effects.push(effect::Effect::Open { conn, member });
    }

    pub(super) fn record_opened(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let connection = self.connections.get(conn).copied();
        let workspace = connection.and_then(|connection| connection.workspace);
        let member = connection.map(|connection| connection.member);
        let Some(state) = member.and_then(|member| self.member_state_mut(member)) else {
            self.connections.remove(conn);
            effects.push(effect::Effect::Close(conn));
            return;
        };
        state.end_opening(workspace);
        state.idle.push(member_state::IdleConnection {
            conn,
            since: now,
            workspace,
        });
        state.backoff_until = None;
        state.rejected_connects = 0;
        let recovered = state.is_suspect();
        state.record_answer(now, None);
        let member = state.entry.id;
        if recovered {
            self.doubt_leader_of(now, member);
            effects.push(reachable_again(member));
            self.record_home_recovery(now, member, effects);
        }
        self.serve_queue_of_member(now, member, effects);
    }

    pub(super) fn record_open_failure(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        failure: event::OpenFailure,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(Connection { member, workspace }) = self.connections.remove(conn) else {
            return;
        };
        let Some(state) = self.member_state_mut(member) else {
            return;
        };
        state.end_opening(workspace);
        match failure {
            event::OpenFailure::Abandoned => {}
            event::OpenFailure::Full => state.record_no_connection_left(now),
            event::OpenFailure::Refused | event::OpenFailure::WrongMember => {
                record_unreachable(state, now, true, effects);
                self.record_home_failure(now, member, true);
            }
            event::OpenFailure::Silent => {
                record_unreachable(state, now, false, effects);
                self.record_home_failure(now, member, false);
            }
        }
        self.serve_queue_of_member(now, member, effects);
    }

    pub(super) fn remove_lost_connection(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(Connection { member, .. }) = self.connections.remove(conn) else {
            return;
        };
        if let Some(state) = self.member_state_mut(member) {
            state.idle.retain(|idle| idle.conn != conn);
        }
        self.serve_queue_of_member(now, member, effects);
    }

    pub(super) fn record_returned(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        reusable: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(Connection { member, workspace }) = self.connections.get(conn).copied() else {
            return;
        };
        if let Some(state) = self.member_state_mut(member) {
            state.end_lease(workspace);
            if reusable {
                state.idle.push(member_state::IdleConnection {
                    conn,
                    since: now,
                    workspace,
                });
            }
        }
        if !reusable {
            self.connections.remove(conn);
        } else if self.member_state(member).is_none() {
            self.connections.remove(conn);
            effects.push(effect::Effect::Close(conn));
        }
        self.serve_queue_of_member(now, member, effects);
    }

    fn close_all_idle(&mut self, member: id::MemberId, effects: &mut Vec<effect::Effect>) {
        let Some(state) = self.member_state_mut(member) else {
            return;
        };
        for idle in std::mem::take(&mut state.idle) {
            effects.push(effect::Effect::Close(idle.conn));
            self.connections.remove(idle.conn);
        }
    }

    pub(super) fn record_statement_start(&mut self, member: id::MemberId) {
        if let Some(state) = self.member_state_mut(member) {
            state.running += 1;
        }
    }

    pub(super) fn record_statement_end(
        &mut self,
        now: Instant,
        report: event::StatementReport,
        effects: &mut Vec<effect::Effect>,
    ) {
        let member = report.member;
        let Some(group_id) = self.member_groups.get(member).copied() else {
            return;
        };
        let choice_log = &mut self.groups.entry(group_id).choice_log;
        choice_log.record_log_end(report.point);
        let is_home = self.is_home(member);
        let Some(state) = self.member_state_mut(member) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        let was_suspect = state.is_suspect();
        let sent_at = report.took.and_then(|took| now.checked_sub(took));
        match report.answer {
            event::Answer::Broken => {
                // If the member's process has died, all its connections break. Opening a connection shows whether the
                // process has died, so that does not wait for the end of the back-off from requests.
                state.backoff_until = None;
                state.record_statement_error(now);
                if is_home {
                    // Connections to a home are cheap, whereas each broken one would cost a request an attempt.
                    self.close_all_idle(member, effects);
                }
            }
            event::Answer::Malformed => {
                if state.record_malformed_answer(now) {
                    effects.push(avoidance(state, true));
                }
                if is_home {
                    self.close_all_idle(member, effects);
                }
            }
            event::Answer::Silent { .. } if report.took.is_some_and(|took| took < SILENCE_MIN) => {}
            // The home has answered another statement meanwhile, so the home is reachable, and the unanswered statement
            // waits there for a member.
            event::Answer::Silent { .. } if is_home && state.answered_at > sent_at => {}
            event::Answer::Silent { .. } => {
                self.close_all_idle(member, effects);
                if let Some(state) = self.member_state_mut(member) {
                    record_unreachable(state, now, false, effects);
                }
                self.record_home_failure(now, member, false);
            }
            event::Answer::Unfinished => {}
            event::Answer::Busy if is_home => state.record_home_refusal(now),
            event::Answer::Busy => state.record_busy(now),
            event::Answer::Failed => {
                state.record_answer(now, None);
                // A home only passes on the failure of a member.
                if !is_home {
                    state.record_statement_error(now);
                }
            }
            event::Answer::Behind => {
                state.record_answer(now, None);
                state.record_missing_point(now, report.floor);
            }
            event::Answer::NotLeading => {
                state.record_answer(now, None);
                // The member may have been promoted after it had refused.
                let answered_as_leader = state.led_term_known_at > sent_at.or(Some(now));
                state.denies_leadership |= !answered_as_leader;
            }
            event::Answer::Served | event::Answer::Led { .. } => {
                state.record_answer(now, report.took);
                state.record_point(report.point);
                // A leader shows that it leads by commands of the proxy, too.
                if report.answer == event::Answer::Served && state.record_usable_answer() {
                    effects.push(avoidance(state, false));
                }
                if was_suspect {
                    self.record_home_recovery(now, member, effects);
                }
            }
        }
        if was_suspect && !self.is_suspect(member) {
            self.doubt_leader_of(now, member);
            effects.push(reachable_again(member));
        }
        if let Some(point) = report.point {
            self.watch_stopped_leader(group_id, member, point, effects);
        }
        // A member that refuses may still have to drop entries that the leader of the newest term lacks.
        let refused = matches!(
            report.answer,
            event::Answer::Busy | event::Answer::NotLeading | event::Answer::Behind
        );
        if let (Some(point), Some(connected_at)) = (report.point, report.connected_at)
            && !refused
        {
            self.record_receipt(now, member, point, connected_at);
        }
        self.record_pace(now, group_id, &report, effects);
        self.record_leader_evidence(now, group_id, &report, effects);
        self.serve_queue(now, group_id, effects);
    }

    /// Opens a connection, independently of requests, to each suspect member that may have recovered and to each home that
    /// has never answered.
    pub(super) fn reconnect_suspects(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get(group_id) else {
            return;
        };
        let homes = group.forwards_to();
        let members = homes.unwrap_or(&group.members);
        let due = |state: &&member_state::MemberState| {
            let uncertain = state.is_suspect() || homes.is_some() && state.never_answered();
            let unconnected = state.idle.is_empty() && state.opening == 0;
            uncertain && unconnected && state.is_usable(now) && state.may_open(now)
        };
        let due = members.values().filter(due).map(|state| state.entry.id);
        for member in due.collect::<Vec<_>>() {
            self.open_connection(member, None, effects);
        }
    }

    /// Closes the connections that have been idle for their idle timeout.
    pub(super) fn close_timed_out(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let conns = &mut self.connections;
        for (_, group) in self.groups.iter_mut() {
            let this_proxy_is_home = group.this_proxy_is_home;
            let members = group
                .members
                .iter_mut()
                .map(|(_, state)| (state, this_proxy_is_home));
            let homes = group.homes.iter_mut().map(|(_, state)| (state, true));
            for (state, keeps_last) in members.chain(homes) {
                while let Some(oldest) = state.idle.first().copied() {
                    if now.saturating_duration_since(oldest.since)
                        < idle_timeout(state, &oldest, keeps_last, now)
                    {
                        break;
                    }
                    state.idle.remove(0);
                    conns.remove(oldest.conn);
                    effects.push(effect::Effect::Close(oldest.conn));
                }
            }
        }
    }
}

/// Returns the idle timeout of the connection that has been idle longest. The connection of a workspace is kept like the last one, since
/// it is closed anyway when another workspace needs its place, see [`crate::share`]. `keeps_last` tells whether the last connection is
/// kept for longer: a home keeps the last one to a member, and every proxy the last one to a home.
fn idle_timeout(
    state: &member_state::MemberState,
    oldest: &member_state::IdleConnection,
    keeps_last: bool,
    now: Instant,
) -> Duration {
    let unwanted = state.entry.leaving || state.unlisted_since.is_some();
    let contended = state
        .opening_backoff_until
        .is_some_and(|until| now.saturating_duration_since(until) < CONTENTION_WINDOW);
    if unwanted {
        SPARE_IDLE_TIMEOUT
    } else if state.idle.len() == 1 && keeps_last {
        LAST_IDLE_TIMEOUT
    } else if contended {
        CONTENDED_SPARE_IDLE_TIMEOUT
    } else if oldest.workspace.is_some() && keeps_last {
        LAST_IDLE_TIMEOUT
    } else {
        SPARE_IDLE_TIMEOUT
    }
}

/// Returns the effect that logs whether a member is avoided, since its answers are malformed.
pub(super) fn avoidance(state: &member_state::MemberState, begins: bool) -> effect::Effect {
    effect::Effect::RecordChange(effect::StateChange::Avoided {
        member: state.entry.id,
        until: state.avoided_until.filter(|_| begins),
        malformed_answers: state.malformed_answers,
    })
}

/// Returns the effect that logs the recovery of a suspect member or home.
fn reachable_again(member: id::MemberId) -> effect::Effect {
    let reachable = true;
    effect::Effect::RecordChange(effect::StateChange::Reachable { member, reachable })
}

/// Records that a member or a home did not answer, refused the connection, or has another process at its address. Logs that
/// it is unreachable unless it was suspect already. `process_gone` is whether the failure shows that its process is gone from
/// its address.
fn record_unreachable(
    state: &mut member_state::MemberState,
    now: Instant,
    process_gone: bool,
    effects: &mut Vec<effect::Effect>,
) {
    if !state.is_suspect() {
        effects.push(effect::Effect::RecordChange(
            effect::StateChange::Reachable {
                member: state.entry.id,
                reachable: false,
            },
        ));
    }
    state.record_failure(now, process_gone);
    pacing::record_silence(state, now, effects);
}
