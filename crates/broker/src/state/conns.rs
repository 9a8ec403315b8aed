//! Connections to members.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::event;
use crate::member_state;
use crate::state;

/// Time for which a connection beyond the first is kept without use. A member allows few for all proxies together, and the
/// connections of a VM that lost power stay in use there for seconds.
const SPARE_KEEP: Duration = Duration::from_millis(700);
/// The same, while the member has few left: a few statements' time.
const SPARE_KEEP_CONTENDED: Duration = Duration::from_millis(150);
/// Time for which the last connection is kept without use, well below the minute after which members close it.
const LAST_KEEP: Duration = Duration::from_secs(12);
/// Time without an answer that says something about a member: several times what a statement takes beside a full queue
/// there. One that was sent with less time left is given up without blame.
const SILENCE_MIN: Duration = Duration::from_millis(250);
/// Time after a member had no connection left during which it counts as contended.
const CONTENDED_FOR: Duration = Duration::from_secs(3);

impl state::Broker {
    pub(super) fn open(&mut self, member: id::MemberId, effects: &mut Vec<effect::Effect>) {
        let conn = self.next_conn;
        self.next_conn += 1;
        self.conns.insert(conn, member);
        if let Some(state) = self.member_state_mut(member) {
            state.opening += 1;
        }
        effects.push(effect::Effect::Open { conn, member });
    }

    pub(super) fn opened(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let member = self.conns.get(conn).copied();
        let Some(state) = member.and_then(|member| self.member_state_mut(member)) else {
            self.conns.remove(conn);
            effects.push(effect::Effect::Close(conn));
            return;
        };
        state.opening = state.opening.saturating_sub(1);
        state.idle.push(member_state::Idle { conn, since: now });
        state.backoff_until = None;
        state.full_in_a_row = 0;
        let recovered = state.is_suspect();
        state.answered(now, None);
        let member = state.entry.id;
        if recovered {
            effects.push(effect::Effect::RecordChange(
                effect::StateChange::Reachable {
                    member,
                    reachable: true,
                },
            ));
            self.home_is_back(now, member, effects);
        }
        self.pump_of(now, member, effects);
    }

    pub(super) fn open_failed(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        failure: event::OpenFailure,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(member) = self.conns.remove(conn) else {
            return;
        };
        let Some(state) = self.member_state_mut(member) else {
            return;
        };
        state.opening = state.opening.saturating_sub(1);
        match failure {
            event::OpenFailure::Full => state.full(now),
            event::OpenFailure::Refused | event::OpenFailure::WrongMember => {
                fail(state, now, true, effects);
                self.home_has_failed(now, member, true);
            }
            event::OpenFailure::Silent => {
                fail(state, now, false, effects);
                self.home_has_failed(now, member, false);
            }
        }
        self.pump_of(now, member, effects);
    }

    pub(super) fn lost(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(member) = self.conns.remove(conn) else {
            return;
        };
        if let Some(state) = self.member_state_mut(member) {
            state.idle.retain(|idle| idle.conn != conn);
        }
        self.pump_of(now, member, effects);
    }

    pub(super) fn returned(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        reusable: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(member) = self.conns.get(conn).copied() else {
            return;
        };
        if let Some(state) = self.member_state_mut(member) {
            state.leased = state.leased.saturating_sub(1);
            if reusable {
                state.idle.push(member_state::Idle { conn, since: now });
            }
        }
        if !reusable {
            self.conns.remove(conn);
        } else if self.member_state(member).is_none() {
            self.conns.remove(conn);
            effects.push(effect::Effect::Close(conn));
        }
        self.pump_of(now, member, effects);
    }

    fn close_idle(&mut self, member: id::MemberId, effects: &mut Vec<effect::Effect>) {
        let Some(state) = self.member_state_mut(member) else {
            return;
        };
        for idle in std::mem::take(&mut state.idle) {
            effects.push(effect::Effect::Close(idle.conn));
            self.conns.remove(idle.conn);
        }
    }

    pub(super) fn started(&mut self, member: id::MemberId) {
        if let Some(state) = self.member_state_mut(member) {
            state.running += 1;
        }
    }

    pub(super) fn answered(
        &mut self,
        now: Instant,
        report: event::Report,
        effects: &mut Vec<effect::Effect>,
    ) {
        let member = report.member;
        let Some(group_id) = self.members.get(member).copied() else {
            return;
        };
        let is_home = self.is_peer(member);
        let Some(state) = self.member_state_mut(member) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        let sent_at = report.took.and_then(|took| now.checked_sub(took));
        match report.answer {
            event::Answer::Broken => {
                // Other connections to a process that died break by themselves; a new one tells whether it did.
                state.backoff_until = None;
                state.erred(now);
                if is_home {
                    // A new one is cheap there, and attempts are not.
                    self.close_idle(member, effects);
                }
            }
            event::Answer::Silent { .. } if report.took.is_some_and(|took| took < SILENCE_MIN) => {}
            // The home is there; it waits for a member.
            event::Answer::Silent { .. } if is_home && state.answered_at > sent_at => {}
            event::Answer::Silent { .. } => {
                self.close_idle(member, effects);
                if let Some(state) = self.member_state_mut(member) {
                    fail(state, now, false, effects);
                }
                self.home_has_failed(now, member, false);
            }
            event::Answer::Unfinished => {}
            event::Answer::Busy if is_home => state.turned_away(now),
            event::Answer::Busy => state.busy(now),
            event::Answer::Failed => {
                state.answered(now, None);
                // A home passes on how its member failed.
                if !is_home {
                    state.erred(now);
                }
            }
            event::Answer::Behind => {
                state.answered(now, None);
                state.behind(now, report.floor);
            }
            event::Answer::NotLeading => {
                state.answered(now, None);
                state.denies_lead = true;
            }
            event::Answer::Served | event::Answer::Led { .. } => {
                let recovered = state.is_suspect();
                state.answered(now, report.took);
                state.reached(report.point);
                if recovered {
                    self.home_is_back(now, member, effects);
                }
            }
        }
        self.learn_lead(now, group_id, &report, effects);
        self.pump(now, group_id, effects);
    }

    /// Tries, beside the requests, members that have failed and may be back, and homes that have never answered.
    pub(super) fn try_doubtful(
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
            let doubtful = state.is_suspect() || homes.is_some() && state.is_unproven();
            let untried = state.idle.is_empty() && state.opening == 0;
            doubtful && untried && state.usable(now) && state.may_open(now)
        };
        let due = members.values().filter(due).map(|state| state.entry.id);
        for member in due.collect::<Vec<_>>() {
            self.open(member, effects);
        }
    }

    pub(super) fn trim(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let conns = &mut self.conns;
        for (_, group) in self.groups.iter_mut() {
            let is_home = group.is_home;
            let members = group.members.iter_mut().map(|(_, state)| (state, is_home));
            let homes = group.homes.iter_mut().map(|(_, state)| (state, true));
            for (state, keeps_last) in members.chain(homes) {
                while let Some(oldest) = state.idle.first().copied() {
                    if now.saturating_duration_since(oldest.since)
                        < keep_for(state, keeps_last, now)
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

/// Returns for how long the connection that has been idle longest is kept. Only a home keeps the last one to a member.
fn keep_for(state: &member_state::MemberState, keeps_last: bool, now: Instant) -> Duration {
    let unwanted = state.entry.leaving || state.missing_since.is_some();
    let contended = state
        .full_until
        .is_some_and(|full| now.saturating_duration_since(full) < CONTENDED_FOR);
    if unwanted {
        SPARE_KEEP
    } else if state.idle.len() == 1 && keeps_last {
        LAST_KEEP
    } else if contended {
        SPARE_KEEP_CONTENDED
    } else {
        SPARE_KEEP
    }
}

fn fail(
    state: &mut member_state::MemberState,
    now: Instant,
    refused: bool,
    effects: &mut Vec<effect::Effect>,
) {
    if state.failures == 0 {
        effects.push(effect::Effect::RecordChange(
            effect::StateChange::Reachable {
                member: state.entry.id,
                reachable: false,
            },
        ));
    }
    state.failed(now, refused);
}
