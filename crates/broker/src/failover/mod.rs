//! Replacement of a leader. An attempt of a proxy first claims (`Waiting`, `Loading`, `Claiming`, the names of [`Step`]): it reads the
//! claim row, and a conditional write takes the next fencing token, so that one proxy at a time acts on a group.
//!
//! The chosen member must have every commit whose success a caller was told. So the choice rests on logs that were read when no
//! acknowledgement of the old leader could reach a caller any more. How that is known depends on the leader:
//!
//! - A leader that answers hands over. The proxy asks all members for their status (`Surveying`), records its choice (`Recording`),
//!   stops the leader by a demotion, and orders the promotion once the target has received the log of the stopped leader to its end
//!   (`Stopping`). The members that answer are held before the order, and the one that has received most is ordered: commits that waited
//!   at the old leader when it was stopped may have been executed and confirmed since.
//! - A leader that does not answer is taken over from. Every other member is held (`Holding`), also those that the directory no longer
//!   lists but that still run: a member that does not answer may have received commits that the others lack. A replaced leader that
//!   leads on cannot be held, so it is demoted first. The attempt then waits until no proxy trusts the old leader any more, see
//!   [`crate::lease`] and, where promotions are fenced, [`crate::trust`]. A member may have joined since and confirmed commits, so the
//!   directory is read (`ReadingDirectory`), and all members are held and their logs read once more before the choice. Where promotions
//!   are not fenced, the old leader is told to stop at that moment, through another proxy if this one does not reach it: an undone hold
//!   does less harm then. For a leader that answers everything but commits, the attempt waits until it has stopped before that second
//!   round.
//!
//! The member that has received most has everything that was acknowledged, unless a member that does not take part had received more. So
//! its log is also compared with what the answers to commits have told this proxy and those that it asks: the homes of the group and
//! others. The choice is withheld, and the attempt repeated, while the log lacks a commit that is known to be acknowledged, and for some
//! time if it may lack one: a member is missing that may come back with its log, or nobody knows the last commits.
//!
//! The choice is recorded in the claim row before the promotion order is given (`Ordering`, `Confirming`). If the store does not answer
//! a write of the row, the row is read again (`Verifying`): no order is given before the choice is known to be recorded. If the answer
//! to an order is lost, the platform may still execute the order seconds later.
//!
//! - Where promotions are not fenced, only the age of that order ends it. Until then, the next claimant orders the same member again.
//! - Where they are fenced, an answered order with a higher token ends it, so the next claimant makes a fresh choice. It holds the members
//!   at a term that outlasts late promotions: a member that is promoted late commits nothing before its successor leads. If
//!   no member can be chosen and the older order is for the old leader, that order is only repeated to end it (`EndingOlderOrder`).

mod choice;
mod claiming;
mod command;
mod handover;
mod ordering;
mod release;
pub mod roster;
mod verification;

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::claim;
use crate::effect;
use crate::event;
use crate::leader;
use crate::lease;
use crate::revision;
use crate::trust;

/// Time for which a claim excludes other proxies where promotions are not fenced: enough for the end of the leases, two promotions of
/// 600 ms with their commands to members, and for retries.
const UNFENCED_CLAIM_LEASE_MS: u64 = 4_000;
/// The same where they are fenced, with the longer wait for the end of the trust.
const FENCED_CLAIM_LEASE_MS: u64 = 4_500;
/// Time for which the claim lasts after the end of its promotion order (confirmed or refused), so that no other proxy gives
/// an order meanwhile: the platform's setting `lease-duration-ms`.
pub const ORDER_LEASE: Duration = Duration::from_secs(3);
/// Time after the record of the choice in which promotion orders are sent, where they are not fenced: the claim lasts long
/// enough after it that no other proxy sends an order before this one has arrived.
const UNFENCED_ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after the record of the choice in which fenced promotion orders are sent. It bounds [`LOST_CLAIM_TIMEOUT`].
const FENCED_ORDER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time after which an order that was sent can no longer be executed, where orders are not fenced. The platform executes
/// unanswered orders seconds later.
const LATE_ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// Most orders without an answer that may be executed one after the other while a later attempt holds the members: those of the
/// attempts within [`LATE_ORDER_TIMEOUT`], each of which claims for [`UNFENCED_CLAIM_LEASE_MS`] at least.
const LATE_ORDERS_MAX: id::Term = 4;
/// Longest time from the choice of a member to the execution of its promotion order, where orders are not fenced.
pub const ORDER_AGE_MAX: Duration = UNFENCED_ORDER_TIMEOUT.saturating_add(LATE_ORDER_TIMEOUT);
/// Time after the begin of an era of the store from which no claim of an earlier era is in force, and no promotion order of
/// such a claim can be executed, although the store may have lost the claim.
pub const LOST_CLAIM_TIMEOUT: Duration = Duration::from_secs(14);
/// Delay before a hold command that the shell reported as unanswered is sent again, and interval of status commands.
const COMMAND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without an answer after which a command counts as lost.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before the store is called again.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay before a promotion order is repeated.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay before the next attempt after all members lacked acknowledged entries. Held members cannot catch up.
const CATCH_UP_DELAY: Duration = Duration::from_millis(1_500);
/// Time in which a release command is sent, including the opening of a connection.
const RELEASE_SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a release command that was sent can no longer arrive: the `TCP_USER_TIMEOUT` of the sockets.
const RELEASE_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time before the end of the claim at which an attempt that still holds members, or ends an older order, is given up: members can be
/// released before another proxy holds them again.
const RELEASE_TIMEOUT: Duration = RELEASE_SEND_TIMEOUT.saturating_add(RELEASE_ARRIVAL_TIMEOUT);
/// Time in which the old leader must answer that it leads, or else is taken over from.
const SURVEY_TIMEOUT: Duration = COMMAND_TIMEOUT;
/// Time in which the old leader must answer that it has stopped, and then in which a member must have received its log to the end.
const STOP_TIMEOUT: Duration = COMMAND_TIMEOUT;
/// Time in which a member that has not answered the survey may answer the hold command of a hand-over. It is passed over after that.
const HANDOVER_HOLD_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a member that may run answers the survey, before the old leader is stopped without its answer, and time in which one that
/// has answered must answer the hold command, or else the old leader leads on: a command that is lost is sent once more.
const HANDOVER_ANSWER_TIMEOUT: Duration = COMMAND_TIMEOUT.saturating_add(HANDOVER_HOLD_TIMEOUT);
/// Time from a member's answer to the last hold command to the choice that counts it, and from the choice to the end of its record, after
/// which the members are held once more. A member that starts again forgets its hold.
const HOLD_AGE_MAX: Duration = Duration::from_millis(400);
/// Time that the chosen member has to confirm that it leads after an order without an answer, which may not have arrived.
const CONFIRM_UNKNOWN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that the chosen member has to confirm that it leads after the order was accepted.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Current step of an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Step {
    /// The attempt has not begun, or the store did not answer.
    Waiting { until: Instant },
    /// The claim row is being read.
    Loading,
    /// The claim is being written.
    Claiming,
    /// A write of the claim row got no answer, and the row is read again.
    Verifying(verification::Verification),
    /// The row that was read shows that the write was made.
    Written(verification::Write),
    /// The members are asked for their status. A leader that does not answer until `until` is taken over from.
    Surveying { until: Instant },
    /// The old leader is being stopped, and then a member awaited that has received its whole log.
    Stopping { until: Instant },
    /// The members are being held.
    Holding,
    /// The directory is being read, or is read again at `retry_at`.
    ReadingDirectory { retry_at: Option<Instant> },
    /// The old leader was the target of an older order and is ordered again with a higher token, which ends that order.
    EndingOlderOrder { retry_at: Option<Instant> },
    /// The chosen target is being written to the claim row.
    Recording,
    /// The promotion order is under way, or is repeated at `retry_at`.
    Ordering { retry_at: Option<Instant> },
    /// The proxy asks the target whether it leads.
    Confirming { until: Instant, poll_at: Instant },
}

/// Progress of an attempt after an input.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The attempt continues.
    Ongoing,
    /// A new leader has confirmed that it leads.
    Done {
        /// New leader.
        member: id::MemberId,
        /// Status in which the new leader confirmed that it leads.
        status: event::MemberStatus,
    },
    /// The attempt is given up, or was not begun because another claim is in force.
    GivenUp {
        /// Earliest instant of the next attempt.
        retry_at: Instant,
    },
}

/// An attempt of one proxy to replace the leader of a group.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Attempt {
    group: id::GroupId,
    /// Name of this proxy, including its incarnation.
    proxy: Box<str>,
    /// Whether promotions are fenced, see [`crate::state::Settings::fenced`].
    fenced: bool,
    /// Reason for the replacement.
    pub reason: leader::ReplaceReason,
    old_leader: Option<id::MemberId>,
    /// Newest term that was known when the attempt was created.
    term: id::Term,
    /// Newest term that is known to have a leader.
    newest_term: id::Term,
    /// Term that the last order before this attempt has ended if it was executed, or ends when it is.
    replaced_term: id::Term,
    /// Term at which the members are held: above every term that a member has reported.
    hold_term: id::Term,
    step: Step,
    /// Instant at which the claim row was asked for; before that, the instant at which the attempt is to begin.
    read_sent_at: Instant,
    claim: claim::Claim,
    /// Revision of the claim row.
    revision: revision::Revision,
    /// An instant, and the time on the store's clock at that instant, in milliseconds.
    store_clock: (Instant, u64),
    holds: sorted::Map<id::MemberId, command::CommandState>,
    /// Instant at which the last lease of the old leader, or the last trust in it, ends.
    leases_end_at: Instant,
    /// Whether the old leader hands over, rather than being taken over from.
    hands_over: bool,
    /// Instant at which the hold commands of a hand-over were sent first.
    handover_held_at: Option<Instant>,
    /// Instant since which the members are held for the second time: no acknowledgement of the old leader can reach a caller any more.
    second_round_at: Option<Instant>,
    /// Questions for the status of the members while the old leader hands over.
    surveyed: sorted::Map<id::MemberId, command::CommandState>,
    /// Command that stops the old leader; its answer counts once the leader has stopped.
    demotion: command::CommandState,
    /// Instant of the last choice of a target.
    chosen_at: Instant,
    /// Whether members have been asked again because their answers were too old for the choice. That happens once: among slow members,
    /// some answers are always old.
    holds_again: bool,
    /// Instant at which the members were first asked for their status while the old leader leads.
    survey_began_at: Instant,
    /// End of the old leader's log when it first answered the survey.
    surveyed_end: Option<floor::Point>,
    /// End of the log of the old leader, which has stopped.
    log_end: Option<floor::Point>,
    /// Member that was ordered last before this attempt.
    ordered_before: claim::LastOrdered,
    /// Term in which that member has confirmed that it leads; 0 if that is not known.
    led_before: id::Term,
    /// Target of an order before this attempt that may still be executed.
    pending_before: Option<Box<str>>,
    /// End of the time in which promotion orders are sent; `None` until the choice is recorded.
    orders_end_at: Option<Instant>,
    target: Option<id::MemberId>,
    /// Whether a promotion order got no answer and may still be executed, although this attempt has ordered since.
    unanswered_order: bool,
    /// Whether the platform may have taken a promotion order that it has not executed.
    order_taken: bool,
    /// Instant until which no other proxy can claim.
    claim_expires_at: Instant,
    /// Whether the write of the claim row that is under way repeats one that got no answer.
    repeats_write: bool,
}

impl Attempt {
    /// Creates an attempt that begins at `start_at`.
    pub fn new(
        group: id::GroupId,
        proxy: &str,
        fenced: bool,
        reason: leader::ReplaceReason,
        leader: &leader::LeaderBelief,
        start_at: Instant,
    ) -> Self {
        Self {
            group,
            proxy: proxy.into(),
            fenced,
            reason,
            old_leader: leader.member,
            term: leader.term,
            newest_term: leader.term,
            replaced_term: 0,
            hold_term: leader.term.saturating_add(1),
            step: Step::Waiting { until: start_at },
            read_sent_at: start_at,
            claim: claim::Claim::default(),
            revision: revision::Revision::default(),
            store_clock: (start_at, 0),
            holds: sorted::Map::default(),
            leases_end_at: start_at,
            hands_over: false,
            handover_held_at: None,
            second_round_at: None,
            surveyed: sorted::Map::default(),
            demotion: command::CommandState::default(),
            chosen_at: start_at,
            holds_again: false,
            survey_began_at: start_at,
            surveyed_end: None,
            log_end: None,
            ordered_before: claim::LastOrdered::default(),
            led_before: 0,
            pending_before: None,
            orders_end_at: None,
            target: None,
            unanswered_order: false,
            order_taken: false,
            claim_expires_at: start_at,
            repeats_write: false,
        }
    }

    /// Returns whether the attempt has changed nothing yet and may be dropped without clean-up.
    pub fn may_be_dropped(&self) -> bool {
        matches!(self.step, Step::Waiting { .. } | Step::Loading)
    }

    /// Returns the instant at which the attempt began, by a read of the claim row.
    pub fn began_at(&self) -> Instant {
        self.read_sent_at
    }

    /// Returns the name of the current step, the fencing token and the target, for the proxy's diagnostic log.
    pub fn step_token_and_target(&self) -> (&'static str, u64, Option<id::MemberId>) {
        let name = match self.step {
            Step::Waiting { .. } => "waiting",
            Step::Loading => "loading",
            Step::Claiming => "claiming",
            Step::Verifying(_) | Step::Written(_) => "verifying",
            Step::Surveying { .. } => "surveying",
            Step::Stopping { .. } => "stopping",
            Step::Holding => "holding",
            Step::ReadingDirectory { .. } => "reading_directory",
            Step::EndingOlderOrder { .. } => "flushing",
            Step::Recording => "recording",
            Step::Ordering { .. } => "ordering",
            Step::Confirming { .. } => "confirming",
        };
        (name, self.claim.token, self.target)
    }

    /// Returns the members that have answered a hold command or the survey, each with its last status.
    pub fn answered(&self) -> impl Iterator<Item = (id::MemberId, event::MemberStatus)> {
        let answers = self.holds.iter().chain(self.surveyed.iter());
        answers.filter_map(|(member, command)| Some((member, command.status?)))
    }

    /// Returns whether the attempt has asked a member for its log.
    pub fn has_asked(&self, member: id::MemberId) -> bool {
        self.holds.contains(member) || self.surveyed.contains(member)
    }

    /// Returns whether a member leads by an order of this attempt, once the attempt is done.
    pub fn has_confirmed(&self, leader: id::MemberId) -> bool {
        matches!(self.step, Step::Confirming { .. }) && self.target == Some(leader)
    }

    /// Returns the end of the target's log when its promotion was ordered.
    pub fn target_log_end(&self) -> Option<floor::Point> {
        let target = self.target?;
        let held = self.holds.get(target).and_then(|hold| hold.status);
        let received = held.map(|status| status.received);
        received.or(self.log_end.filter(|_| self.target == self.old_leader))
    }

    /// Returns what the attempt knows of the old leader, for the proxy's diagnostic log.
    pub fn choice_basis(&self, roster: &roster::Roster) -> effect::ChoiceBasis {
        effect::ChoiceBasis {
            old_leader: self.old_leader,
            hands_over: self.hands_over,
            surveyed_end: self.surveyed_end,
            log_end: self.log_end,
            acknowledged: roster.points.required(),
            answered_end: roster.points.sufficient(),
        }
    }

    /// Checks the timeouts of the current step and continues the attempt.
    pub fn tick(
        &mut self,
        now: Instant,
        roster: &roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        let can_time_out = matches!(
            self.step,
            Step::EndingOlderOrder { .. }
                | Step::Surveying { .. }
                | Step::Holding
                | Step::ReadingDirectory { .. }
        );
        if can_time_out && now > self.gives_up_at() {
            return self.give_up(now, out);
        }
        match self.step {
            Step::Waiting { until } if now >= until => {
                self.step = Step::Loading;
                self.read_sent_at = now;
                out.push(effect::Effect::LoadClaim(self.group));
            }
            Step::Verifying(verification) => {
                return self.continue_verification(now, verification, out);
            }
            Step::Written(write) => return self.continue_after_write(now, write, roster, out),
            Step::Surveying { .. } => return self.survey_members(now, roster, out),
            Step::Stopping { .. } => return self.stop_leader(now, roster, out),
            Step::Holding => return self.hold_members(now, roster, out),
            Step::ReadingDirectory {
                retry_at: Some(retry_at),
            } if now >= retry_at => self.read_directory(out),
            Step::EndingOlderOrder {
                retry_at: Some(retry_at),
            } if now >= retry_at => {
                self.step = Step::EndingOlderOrder { retry_at: None };
                self.order_promotion(self.target, out);
            }
            Step::Ordering {
                retry_at: Some(retry_at),
            } if now >= retry_at => return self.repeat_order(now, roster, out),
            Step::Confirming { until, poll_at } => {
                if now >= until {
                    return self.repeat_order(now, roster, out);
                } else if now >= poll_at {
                    let poll_at = now + COMMAND_RETRY_DELAY;
                    self.step = Step::Confirming { until, poll_at };
                    self.send_command(self.target, effect::MemberCommand::Status, out);
                }
            }
            _ => {}
        }
        Progress::Ongoing
    }

    /// Returns whether the logs on which the choice of a take-over rests are still those of all members.
    fn is_choice_current(&self, roster: &roster::Roster) -> bool {
        self.hands_over || self.are_all_held(roster) && self.find_furthest(roster).is_ok()
    }

    /// Continues after a member's answer to a command that was sent at `asked_at`, or after its absence (`None`).
    pub fn apply_status(
        &mut self,
        now: Instant,
        member: id::MemberId,
        asked_at: Instant,
        status: Option<event::MemberStatus>,
        roster: &roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        match self.step {
            Step::Confirming { .. } => match status {
                Some(status) if status.leads && Some(member) == self.target => {
                    self.finish(now, member, status, out)
                }
                _ => Progress::Ongoing,
            },
            Step::Surveying { .. } => self.apply_survey(now, member, status, roster, out),
            Step::Stopping { .. } => self.apply_stop(now, member, asked_at, status, roster, out),
            Step::Holding => self.apply_hold(now, member, asked_at, status, roster, out),
            Step::Recording | Step::Verifying(_) | Step::Written(_) if self.hands_over => {
                // Members that have answered may be asked again once the leader has stopped.
                match self.handover_held_at {
                    Some(_) => self.apply_handover_hold(now, member, status),
                    None => self.surveyed.entry(member).record_answer(now, status),
                }
                Progress::Ongoing
            }
            _ => Progress::Ongoing,
        }
    }

    /// Continues after a read of the directory; `is_read` tells whether it answered.
    pub fn apply_directory(
        &mut self,
        now: Instant,
        is_read: bool,
        roster: &roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        match self.step {
            Step::ReadingDirectory { .. } if is_read => self.start_second_round(now, roster, out),
            Step::ReadingDirectory { .. } => {
                let retry_at = Some(now + STORE_RETRY_DELAY);
                self.step = Step::ReadingDirectory { retry_at };
                Progress::Ongoing
            }
            _ => Progress::Ongoing,
        }
    }

    /// Returns the term at which members are held that follow a term: that of the next leader or, if other members may be promoted
    /// late before it, a later one.
    fn hold_term_after(&self, term: id::Term) -> id::Term {
        let late_orders = match self.fenced && self.pending_before.is_some() {
            true => LATE_ORDERS_MAX,
            false => 0,
        };
        term.saturating_add(1 + late_orders)
    }

    /// Raises the hold term above the term in a status. A hold that another proxy has left there tells nothing of the term of the next
    /// leader.
    fn raise_hold_term(&mut self, status: event::MemberStatus) {
        self.newest_term = self.newest_term.max(status.term);
        self.hold_term = self.hold_term.max(self.hold_term_after(status.term));
    }

    /// Returns for how long a proxy relies on evidence that no attempt is under way.
    fn lease_duration(&self) -> Duration {
        match self.fenced {
            true => trust::TRUST_DURATION,
            false => lease::LEASE_DURATION,
        }
    }

    fn read_directory(&mut self, out: &mut Vec<effect::Effect>) {
        self.step = Step::ReadingDirectory { retry_at: None };
        out.push(effect::Effect::ReadDirectory(self.group));
    }

    fn send_command(
        &self,
        member: Option<id::MemberId>,
        command: effect::MemberCommand,
        out: &mut Vec<effect::Effect>,
    ) {
        if let Some(member) = member {
            out.push(effect::Effect::SendCommand {
                group: self.group,
                member,
                command,
                conn: None,
            });
        }
    }
}
