//! The lead handed over by a leader that answers.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::claim;
use crate::effect;
use crate::event;
use crate::failover;
use crate::leader;

/// Time from the answer of a leader that it has stopped to the first question for what it has logged since.
const QUEUE_TIME: Duration = Duration::from_millis(150);
/// Time without another entry after which a leader that has logged more since then counts as done with the commits that waited there.
const QUIET_TIME: Duration = Duration::from_millis(50);

impl failover::Attempt {
    /// Returns whether the old leader is asked to hand over. Otherwise it is taken over from.
    ///
    /// The end of its log counts only if no newer leader can have acknowledged entries: no order is left that may still be executed, and
    /// it is known which member was ordered last, or the answers of all members can tell.
    pub(super) fn may_hand_over(&self, roster: &failover::roster::Roster) -> bool {
        let is_reachable = matches!(
            self.reason,
            leader::ReplaceReason::Leaving | leader::ReplaceReason::Gone
        );
        let all_run = roster.members.iter().all(|participant| participant.may_run);
        is_reachable
            && self.claim.pending_target().is_none()
            && self.old_leader.is_some()
            && (self.knows_newest_leader() || roster.knows_all_members() && all_run)
    }

    /// Returns whether the old leader is the newest one if it answers that it leads. A promotion ends the lead of the old leader where
    /// promotions are fenced. Where they are not, an order that the row does not tell may have made another member lead beside it.
    fn knows_newest_leader(&self) -> bool {
        self.fenced || self.claim.last_ordered != claim::LastOrdered::Unknown
    }

    /// Returns whether a member may lead that has not answered the survey.
    fn may_lack_newest_leader(&self, roster: &failover::roster::Roster) -> bool {
        let mut others = roster.members.iter();
        let lacks_answer = others.any(|participant| {
            let asked = self.surveyed.get(participant.member);
            asked.is_none_or(|asked| asked.answered_at.is_none())
        });
        !self.knows_newest_leader() && (lacks_answer || !roster.knows_all_members())
    }

    /// Begins to ask all members for their status.
    pub(super) fn start_survey(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        self.hands_over = true;
        self.survey_began_at = now;
        let until = now + failover::SURVEY_TIMEOUT;
        self.step = failover::Step::Surveying { until };
        self.survey_members(now, roster, out)
    }

    /// Sends the questions that are due. Once the old leader has answered and a member that stays has received what that leader had logged
    /// by its first answer, records this member as the target: it receives from the leader, and will have the rest soon.
    pub(super) fn survey_members(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let failover::Step::Surveying { until } = self.step else {
            return failover::Progress::Ongoing;
        };
        self.ask_members(now, roster, out);
        let Some(surveyed_end) = self.surveyed_end else {
            return match now >= until {
                true => self.take_over(now, roster, out),
                false => failover::Progress::Ongoing,
            };
        };
        if self.may_lack_newest_leader(roster) {
            return match now >= until {
                true => self.take_over(now, roster, out),
                false => failover::Progress::Ongoing,
            };
        }
        match self.find_successor(roster, surveyed_end) {
            // The leader leads on meanwhile. One that may confirm its last commits has to be held after it has stopped.
            Some(_) if self.awaits_survey(now, roster) => {}
            Some((member, name)) => self.record_choice(now, member, &name, out),
            None => self.ask_again(now),
        }
        failover::Progress::Ongoing
    }

    /// Returns whether a member that may run has not answered the survey yet.
    fn awaits_survey(&self, now: Instant, roster: &failover::roster::Roster) -> bool {
        let mut others = roster.members.iter();
        now < self.survey_began_at + failover::HANDOVER_ANSWER_TIMEOUT
            && others.any(|participant| {
                let asked = self.surveyed.get(participant.member);
                participant.may_run && asked.is_none_or(|asked| asked.answered_at.is_none())
            })
    }

    /// Records the answer to a question of the survey.
    pub(super) fn apply_survey(
        &mut self,
        now: Instant,
        member: id::MemberId,
        status: Option<event::MemberStatus>,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let is_old_leader = Some(member) == self.old_leader;
        let may_be_replaced =
            status.is_some_and(|status| self.may_be_replaced(member, status.term, roster));
        self.surveyed.entry(member).record_answer(now, status);
        if let Some(status) = status {
            self.raise_hold_term(status);
            if is_old_leader && (!status.leads || may_be_replaced) {
                // It has nothing to hand over. It is held like the others, unless it leads on after its replacement.
                self.old_leader = self.old_leader.filter(|_| status.leads);
                return self.take_over(now, roster, out);
            }
            if is_old_leader {
                self.surveyed_end.get_or_insert(status.received);
            } else if status.leads && may_be_replaced {
                let command = effect::MemberCommand::Demote(self.hold_term);
                self.send_command(Some(member), command, out);
            } else if status.leads {
                return self.end_beside_other_leader(now, member, status, roster, out);
            }
        }
        self.survey_members(now, roster, out)
    }

    /// Begins to stop the old leader.
    pub(super) fn start_stop(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let until = now + failover::STOP_TIMEOUT;
        self.step = failover::Step::Stopping { until };
        self.stop_leader(now, roster, out)
    }

    /// Stops the old leader, and holds the members once it logs nothing more and one that stays has received its whole log. If none does
    /// so in time, because entries were under way or only a member that is gone had them, the old leader itself is promoted again.
    pub(super) fn stop_leader(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let failover::Step::Stopping { until } = self.step else {
            return failover::Progress::Ongoing;
        };
        let Some(log_end) = self.log_end else {
            if now >= until {
                return self.go_on_without_answer(now, roster, out);
            }
            if self.demotion.send_if_due(now) {
                let command = effect::MemberCommand::Demote(self.hold_term);
                self.send_command(self.old_leader, command, out);
            }
            return failover::Progress::Ongoing;
        };
        if !self.hands_over {
            self.read_directory(out);
            return failover::Progress::Ongoing;
        }
        if self.handover_held_at.is_some() {
            return self.hold_for_handover(now, roster, out);
        }
        self.ask_members(now, roster, out);
        let Some(quiet_at) = self.quiet_since() else {
            return match now >= until {
                true => self.go_on_beside_stopped_leader(now, roster, out),
                false => failover::Progress::Ongoing,
            };
        };
        // A successor that has been recorded needs no other call of the store.
        let awaits_target = now < quiet_at + failover::COMMAND_RETRY_DELAY;
        let found = self.find_successor(roster, log_end);
        let found = found.filter(|(member, _)| Some(*member) == self.target || !awaits_target);
        if found.is_some() {
            self.handover_held_at = Some(now);
            self.ask_stopped_leader(now);
            return self.hold_for_handover(now, roster, out);
        }
        match self.old_leader.filter(|_| now >= until) {
            Some(old_leader) => self.order_recorded(now, old_leader, roster, out),
            None => self.ask_again(now),
        }
        failover::Progress::Ongoing
    }

    /// Holds all members but the old leader, and orders the promotion of a member that has received most. The old leader may have
    /// acknowledged commits after it answered that it had stopped: those that waited there for their execution. A member that is not
    /// known yet may have confirmed them. So the old leader is asked for the end of its log once more, and leads on itself if it or a
    /// member that runs does not answer, or none that may be ordered has received as much as it and the others.
    fn hold_for_handover(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let held_at = self.handover_held_at.unwrap_or(now);
        self.ask_member_status(now, self.old_leader, out);
        let stopped = self.stopped().and_then(|stopped| stopped.status);
        let stopped_end = stopped.map(|status| status.received);
        let (mut awaits_running, mut awaits_other) = (stopped_end.is_none(), false);
        for participant in &roster.members {
            if Some(participant.member) == self.old_leader {
                continue;
            }
            let asked = self.surveyed.get(participant.member);
            let has_answered = asked.is_some_and(|asked| asked.answered_at.is_some());
            let runs = has_answered || participant.answered_at >= Some(self.survey_began_at);
            let hold = self.holds.entry(participant.member);
            awaits_running |= hold.status.is_none() && runs;
            awaits_other |= hold.status.is_none() && !runs;
            if hold.send_if_due(now) {
                let command = effect::MemberCommand::Hold(self.hold_term);
                self.send_command(Some(participant.member), command, out);
            }
        }
        let waited = now.saturating_duration_since(held_at);
        if awaits_running && waited < failover::HANDOVER_ANSWER_TIMEOUT
            || awaits_other && waited < failover::HANDOVER_HOLD_TIMEOUT
        {
            return failover::Progress::Ongoing;
        }
        let furthest = self.find_furthest(roster).ok().filter(|participant| {
            let hold = self.holds.get(participant.member);
            let status = hold.and_then(|hold| hold.status);
            status.is_some_and(|status| Some(status.received) >= self.log_end.max(stopped_end))
        });
        let furthest = furthest.filter(|_| !awaits_running);
        let successor = furthest.map(|participant| participant.member);
        let old_leader = self
            .old_leader
            .filter(|member| roster.name(*member).is_some());
        match successor.or(old_leader) {
            Some(successor) => self.order_recorded(now, successor, roster, out),
            None if now >= self.gives_up_at() => return self.give_up(now, out),
            None => {}
        }
        failover::Progress::Ongoing
    }

    /// Records the answer to a hold command of a hand-over.
    pub(super) fn apply_handover_hold(
        &mut self,
        now: Instant,
        member: id::MemberId,
        status: Option<event::MemberStatus>,
    ) {
        if let Some(status) = status.filter(|_| Some(member) != self.old_leader) {
            self.raise_hold_term(status);
            self.discard_outdated_holds(now);
        }
        let held = status.filter(|status| status.held_term >= self.hold_term);
        self.holds.entry(member).record_answer(now, held);
    }

    /// Orders the promotion of a member, after it was written to the claim row.
    fn order_recorded(
        &mut self,
        now: Instant,
        member: id::MemberId,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) {
        if self.is_recorded(now, member) {
            self.give_order(out);
        } else if let Some(name) = roster.name(member) {
            self.record_choice(now, member, &name, out);
        }
    }

    /// Records the answer to the command that stops the old leader, or to a question for the log of a member, which was sent at
    /// `asked_at`.
    pub(super) fn apply_stop(
        &mut self,
        now: Instant,
        member: id::MemberId,
        asked_at: Instant,
        status: Option<event::MemberStatus>,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        if Some(member) != self.old_leader {
            match self.handover_held_at {
                Some(_) => self.apply_handover_hold(now, member, status),
                None => self.surveyed.entry(member).record_answer(now, status),
            }
            return self.stop_leader(now, roster, out);
        }
        if self.log_end.is_some() {
            return self.apply_stopped_status(now, member, asked_at, status, roster, out);
        }
        if let Some(status) = self.record_stop(now, status) {
            if !self.is_whole_log(status, roster) {
                return self.go_on_without_answer(now, roster, out);
            }
            self.log_end = Some(status.received);
            let until = now + failover::STOP_TIMEOUT;
            self.step = failover::Step::Stopping { until };
            if self.hands_over {
                self.ask_stopped_leader(now + QUEUE_TIME);
            }
            let found = self.find_successor(roster, status.received);
            if found.is_none_or(|(member, _)| Some(member) != self.target) {
                self.discard_surveyed(now);
            }
        }
        self.stop_leader(now, roster, out)
    }

    /// Records the answer of the old leader, which has stopped, to a question for the end of its log. If that has grown, commits that
    /// waited for their execution are being executed, and others may follow.
    fn apply_stopped_status(
        &mut self,
        now: Instant,
        member: id::MemberId,
        asked_at: Instant,
        status: Option<event::MemberStatus>,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let asked = self.surveyed.entry(member);
        // An answer that is older than the question tells nothing of what was executed until then.
        if asked.sent_at.is_none() || Some(asked_at) < asked.retry_at {
            return failover::Progress::Ongoing;
        }
        let stopped = status.filter(|status| !status.leads && status.term == self.newest_term);
        asked.record_answer(now, stopped);
        if let Some(status) = stopped.filter(|_| self.handover_held_at.is_none()) {
            if Some(status.received) < self.log_end {
                return self.go_on_without_answer(now, roster, out);
            }
            if Some(status.received) > self.log_end {
                self.log_end = Some(status.received);
                self.discard_surveyed(now + QUIET_TIME);
            }
        }
        self.stop_leader(now, roster, out)
    }

    /// Returns the state of the question to the old leader, which has stopped, for the end of its log.
    fn stopped(&self) -> Option<&failover::command::CommandState> {
        let old_leader = self.old_leader?;
        self.surveyed.get(old_leader)
    }

    /// Returns the instant at which the old leader, which has stopped, has answered that it has logged nothing more.
    fn quiet_since(&self) -> Option<Instant> {
        let stopped = self.stopped();
        stopped
            .filter(|stopped| stopped.status.is_some())?
            .answered_at
    }

    /// Lets the old leader, which has stopped, be asked for the end of its log at `ask_at`. Answers to earlier questions do not count.
    fn ask_stopped_leader(&mut self, ask_at: Instant) {
        if let Some(old_leader) = self.old_leader {
            let asked = self.surveyed.entry(old_leader);
            asked.sent_at = None;
            asked.discard_answer(ask_at);
        }
    }

    /// Continues after a time in which the old leader, which has stopped, has gone on logging, or has not answered. In the first case it
    /// leads on.
    fn go_on_beside_stopped_leader(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let answered_at = self.stopped().and_then(|stopped| stopped.answered_at);
        match self.old_leader {
            Some(old_leader) if answered_at > self.demotion.answered_at => {
                self.order_recorded(now, old_leader, roster, out);
                failover::Progress::Ongoing
            }
            _ => self.go_on_without_answer(now, roster, out),
        }
    }

    /// Records the answer to the command that stops the old leader. Returns its status if it has stopped.
    pub(super) fn record_stop(
        &mut self,
        now: Instant,
        status: Option<event::MemberStatus>,
    ) -> Option<event::MemberStatus> {
        let stopped = status.filter(|status| !status.leads);
        self.demotion.record_answer(now, stopped);
        if let Some(status) = status {
            self.raise_hold_term(status);
        }
        stopped
    }

    /// Takes over from a leader that does not stop, or whose log does not tell what it has acknowledged.
    fn go_on_without_answer(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        if !self.hands_over {
            self.read_directory(out);
            return failover::Progress::Ongoing;
        }
        self.restore_pending();
        self.target = None;
        self.handover_held_at = None;
        self.take_over(now, roster, out)
    }

    /// Returns whether the log of a leader that has stopped contains all that it has acknowledged: the leader has not restarted without
    /// its log, and follows no newer one.
    fn is_whole_log(
        &self,
        stopped: event::MemberStatus,
        roster: &failover::roster::Roster,
    ) -> bool {
        let answered = self.surveyed.values().chain(self.holds.values());
        let furthest = answered
            .filter_map(|answered| answered.status.map(|status| status.received))
            .max();
        stopped.term == self.newest_term
            && Some(stopped.received) >= furthest.max(self.surveyed_end)
            && self.has_all_acknowledged(stopped.received, roster)
    }

    /// Returns a listed member that stays and whose log has reached `end`, the target if it is one.
    fn find_successor(
        &self,
        roster: &failover::roster::Roster,
        end: floor::Point,
    ) -> Option<(id::MemberId, Box<str>)> {
        let has_reached = |participant: &&failover::roster::Participant| {
            let asked = self.surveyed.get(participant.member);
            let status = asked.and_then(|asked| asked.status);
            status.is_some_and(|status| {
                status.received >= end && self.has_all_acknowledged(status.received, roster)
            })
        };
        let reached = roster
            .members
            .iter()
            .filter(|participant| participant.stays())
            .filter(|participant| Some(participant.member) != self.old_leader)
            .filter(has_reached);
        let found = reached.min_by_key(|participant| Some(participant.member) != self.target);
        found.map(|participant| (participant.member, participant.name.clone()))
    }

    /// Sends the questions for the status that are due.
    fn ask_members(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) {
        for participant in &roster.members {
            self.ask_member_status(now, Some(participant.member), out);
        }
    }

    /// Sends a member the question for its status if it is due.
    fn ask_member_status(
        &mut self,
        now: Instant,
        member: Option<id::MemberId>,
        out: &mut Vec<effect::Effect>,
    ) {
        if let Some(member) = member
            && self.surveyed.entry(member).send_if_due(now)
        {
            self.send_command(Some(member), effect::MemberCommand::Status, out);
        }
    }

    /// Asks the members again that have answered, after a delay. The answer of an old leader that logs nothing more stands.
    fn ask_again(&mut self, now: Instant) {
        let stopped = self.old_leader.filter(|_| self.log_end.is_some());
        for (member, asked) in self.surveyed.iter_mut() {
            if asked.status.is_some() && Some(member) != stopped {
                asked.discard_answer(now + failover::COMMAND_RETRY_DELAY);
            }
        }
    }

    fn discard_surveyed(&mut self, retry_at: Instant) {
        for (_, asked) in self.surveyed.iter_mut() {
            if asked.status.is_some() {
                asked.discard_answer(retry_at);
            }
        }
    }
}
