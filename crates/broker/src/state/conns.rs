//! Connections to members.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::event;
use crate::seat;
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
        if let Some(seat) = self.seat_mut(member) {
            seat.opening += 1;
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
        let Some(seat) = member.and_then(|member| self.seat_mut(member)) else {
            self.conns.remove(conn);
            effects.push(effect::Effect::Close(conn));
            return;
        };
        seat.opening = seat.opening.saturating_sub(1);
        seat.idle.push(seat::Idle { conn, since: now });
        seat.rest_until = None;
        seat.full_in_a_row = 0;
        let recovered = seat.is_suspect();
        seat.answered(now, None);
        let member = seat.member.id;
        if recovered {
            effects.push(effect::Effect::Note(effect::Note::Reachable {
                member,
                reachable: true,
            }));
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
        let Some(seat) = self.seat_mut(member) else {
            return;
        };
        seat.opening = seat.opening.saturating_sub(1);
        match failure {
            event::OpenFailure::Full => seat.full(now),
            event::OpenFailure::Refused | event::OpenFailure::Elsewhere => {
                fail(seat, now, true, effects);
                self.home_has_failed(now, member, true);
            }
            event::OpenFailure::Silent => {
                fail(seat, now, false, effects);
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
        if let Some(seat) = self.seat_mut(member) {
            seat.idle.retain(|idle| idle.conn != conn);
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
        if let Some(seat) = self.seat_mut(member) {
            seat.leased = seat.leased.saturating_sub(1);
            if reusable {
                seat.idle.push(seat::Idle { conn, since: now });
            }
        }
        if !reusable {
            self.conns.remove(conn);
        } else if self.seat(member).is_none() {
            self.conns.remove(conn);
            effects.push(effect::Effect::Close(conn));
        }
        self.pump_of(now, member, effects);
    }

    fn close_idle(&mut self, member: id::MemberId, effects: &mut Vec<effect::Effect>) {
        let Some(seat) = self.seat_mut(member) else {
            return;
        };
        for idle in std::mem::take(&mut seat.idle) {
            effects.push(effect::Effect::Close(idle.conn));
            self.conns.remove(idle.conn);
        }
    }

    pub(super) fn started(&mut self, member: id::MemberId) {
        if let Some(seat) = self.seat_mut(member) {
            seat.running += 1;
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
        let Some(seat) = self.seat_mut(member) else {
            return;
        };
        seat.running = seat.running.saturating_sub(1);
        let sent_at = report.took.and_then(|took| now.checked_sub(took));
        match report.answer {
            event::Answer::Broken => {
                // Other connections to a process that died break by themselves; a new one tells whether it did.
                seat.rest_until = None;
                seat.erred(now);
                if is_home {
                    // A new one is cheap there, and attempts are not.
                    self.close_idle(member, effects);
                }
            }
            event::Answer::Silent { .. } if report.took.is_some_and(|took| took < SILENCE_MIN) => {}
            // The home is there; it waits for a member.
            event::Answer::Silent { .. } if is_home && seat.answered_at > sent_at => {}
            event::Answer::Silent { .. } => {
                self.close_idle(member, effects);
                if let Some(seat) = self.seat_mut(member) {
                    fail(seat, now, false, effects);
                }
                self.home_has_failed(now, member, false);
            }
            event::Answer::Unfinished => {}
            event::Answer::Busy if is_home => seat.turned_away(now),
            event::Answer::Busy => seat.busy(now),
            event::Answer::Failed => {
                seat.answered(now, None);
                // A home passes on how its member failed.
                if !is_home {
                    seat.erred(now);
                }
            }
            event::Answer::Behind => {
                seat.answered(now, None);
                seat.behind(now, report.floor);
            }
            event::Answer::NotLeading => {
                seat.answered(now, None);
                seat.denies_lead = true;
            }
            event::Answer::Served | event::Answer::Led { .. } => {
                let recovered = seat.is_suspect();
                seat.answered(now, report.took);
                seat.reached(report.point);
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
        let seats = homes.unwrap_or(&group.seats);
        let due = |seat: &&seat::Seat| {
            let doubtful = seat.is_suspect() || homes.is_some() && seat.is_unproven();
            let untried = seat.idle.is_empty() && seat.opening == 0;
            doubtful && untried && seat.usable(now) && seat.may_open(now)
        };
        let due = seats.values().filter(due).map(|seat| seat.member.id);
        for member in due.collect::<Vec<_>>() {
            self.open(member, effects);
        }
    }

    pub(super) fn trim(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let conns = &mut self.conns;
        for (_, group) in self.groups.iter_mut() {
            let is_home = group.is_home;
            let members = group.seats.iter_mut().map(|(_, seat)| (seat, is_home));
            let homes = group.homes.iter_mut().map(|(_, seat)| (seat, true));
            for (seat, keeps_last) in members.chain(homes) {
                while let Some(oldest) = seat.idle.first().copied() {
                    if now.saturating_duration_since(oldest.since) < keep_for(seat, keeps_last, now)
                    {
                        break;
                    }
                    seat.idle.remove(0);
                    conns.remove(oldest.conn);
                    effects.push(effect::Effect::Close(oldest.conn));
                }
            }
        }
    }
}

/// Returns for how long the connection that has been idle longest is kept. Only a home keeps the last one to a member.
fn keep_for(seat: &seat::Seat, keeps_last: bool, now: Instant) -> Duration {
    let unwanted = seat.member.leaving || seat.missing_since.is_some();
    let contended = seat
        .full_until
        .is_some_and(|full| now.saturating_duration_since(full) < CONTENDED_FOR);
    if unwanted {
        SPARE_KEEP
    } else if seat.idle.len() == 1 && keeps_last {
        LAST_KEEP
    } else if contended {
        SPARE_KEEP_CONTENDED
    } else {
        SPARE_KEEP
    }
}

fn fail(seat: &mut seat::Seat, now: Instant, refused: bool, effects: &mut Vec<effect::Effect>) {
    if seat.failures == 0 {
        effects.push(effect::Effect::Note(effect::Note::Reachable {
            member: seat.member.id,
            reachable: false,
        }));
    }
    seat.failed(now, refused);
}
