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
//! The member that has received most has everything that was acknowledged, unless a member that is gone had received more. So
//! its log is also compared with the point up to which commits are known to be acknowledged.
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
mod handover;
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

/// State of the command to one member.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct CommandState {
    /// Instant at which the unanswered command was sent; `None` if no command is under way.
    sent_at: Option<Instant>,
    /// Earliest instant of the next command.
    retry_at: Option<Instant>,
    /// Status in the answer that counts.
    status: Option<event::MemberStatus>,
    /// Instant of the last answer.
    answered_at: Option<Instant>,
}

impl CommandState {
    /// Records that the command is sent if it is due and neither answered nor under way. Returns whether to send it.
    fn send_if_due(&mut self, now: Instant) -> bool {
        let is_lost = self
            .sent_at
            .is_some_and(|sent_at| now.saturating_duration_since(sent_at) > COMMAND_TIMEOUT);
        let is_due = self.retry_at.is_none_or(|retry_at| now >= retry_at);
        let sends = self.status.is_none() && (is_lost || self.sent_at.is_none() && is_due);
        if sends {
            self.sent_at = Some(now);
        }
        sends
    }

    /// Records the answer to the command, or its absence.
    fn record_answer(&mut self, now: Instant, status: Option<event::MemberStatus>) {
        self.sent_at = None;
        self.retry_at = Some(now + COMMAND_RETRY_DELAY);
        self.status = status;
        if status.is_some() {
            self.answered_at = Some(now);
        }
    }

    /// Discards the answer, so that the command is sent again at `retry_at`.
    fn discard_answer(&mut self, retry_at: Instant) {
        self.status = None;
        self.retry_at = Some(retry_at);
    }
}

/// The facts about a member that an attempt needs.
#[derive(Clone, Debug)]
pub struct Participant {
    /// Identifier of the member.
    pub member: id::MemberId,
    /// Name of the member.
    pub name: Box<str>,
    /// Whether the directory lists the member. One that it does not list is held, but cannot become the leader.
    pub listed: bool,
    /// Whether the member leaves. Its log counts until it ends, and is gone then. So it is chosen only where no member that stays has
    /// received as much, and hands over afterwards.
    pub leaving: bool,
    /// Whether the member may run: its process has not shown to be gone, and it has not been silent for long.
    pub may_run: bool,
    /// Instant of its last answer to this proxy.
    pub answered_at: Option<Instant>,
}

impl Participant {
    /// Returns whether the member may lead for longer than until its successor is found.
    fn stays(&self) -> bool {
        self.listed && !self.leaving
    }
}

/// The members of a group, as far as a proxy knows them.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// Members that the directory lists, and those that it no longer lists but that do not count as gone.
    pub members: Vec<Participant>,
    /// Whether all members that run have had the time to be listed since the directory was reached again.
    pub is_complete: bool,
    /// What the answers to commits have told this proxy and those that it has asked.
    pub points: leader::KnownPoints,
    /// Whether a member is missing that may come back with its log.
    pub awaits_missing: bool,
    /// Whether the last commits are not known, since no proxy that has run for long has told.
    pub is_uninformed: bool,
    /// Whether all homes of the group have told what they know since the end of the leases.
    pub homes_told: bool,
    /// Names of the VMs whose proxies have told what they know since the attempt began.
    pub told_by: Vec<Box<str>>,
}

impl Roster {
    /// Returns the name of a member.
    fn name(&self, member: id::MemberId) -> Option<Box<str>> {
        let found = self.members.iter().find(|known| known.member == member);
        found.map(|known| known.name.clone())
    }

    /// Returns whether a log that ends at `end` is known to contain each commit that was answered: all homes have told how far the log
    /// of the leader was, and it was no further.
    fn is_proven_whole(&self, end: floor::Point) -> bool {
        let sufficient = self.points.sufficient();
        self.homes_told && sufficient.is_some_and(|sufficient| end >= sufficient)
    }
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
    holds: sorted::Map<id::MemberId, CommandState>,
    /// Instant at which the last lease of the old leader, or the last trust in it, ends.
    leases_end_at: Instant,
    /// Whether the old leader hands over, rather than being taken over from.
    hands_over: bool,
    /// Instant at which the hold commands of a hand-over were sent first.
    handover_held_at: Option<Instant>,
    /// Instant since which the members are held for the second time: no acknowledgement of the old leader can reach a caller any more.
    second_round_at: Option<Instant>,
    /// Questions for the status of the members while the old leader hands over.
    surveyed: sorted::Map<id::MemberId, CommandState>,
    /// Command that stops the old leader; its answer counts once the leader has stopped.
    demotion: CommandState,
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
            demotion: CommandState::default(),
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
    pub fn choice_basis(&self, roster: &Roster) -> effect::ChoiceBasis {
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
        roster: &Roster,
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

    /// Continues after a read of the claim row that was sent at `asked_at`.
    pub fn apply_claim(
        &mut self,
        now: Instant,
        asked_at: Instant,
        stored: Option<claim::ClaimRow>,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        match self.step {
            Step::Loading => {}
            Step::Verifying(verification) => {
                return self.apply_verification(now, asked_at, verification, stored, out);
            }
            _ => return Progress::Ongoing,
        }
        let Some(stored) = stored else {
            self.wait_until(now + STORE_RETRY_DELAY);
            return Progress::Ongoing;
        };
        self.read_sent_at = asked_at;
        // The attempt also waits for an earlier claim of this proxy to expire: release commands of that claim may still be
        // under way to members that this attempt would hold.
        let claimed = stored.now_ms < stored.claim.until_ms;
        if claimed {
            let remaining_ms = stored.claim.until_ms - stored.now_ms;
            let remaining = Duration::from_millis(remaining_ms).min(STORE_RETRY_DELAY * 2);
            return Progress::GivenUp {
                retry_at: now + remaining,
            };
        }
        // Where a higher token does not end an order, only its age does.
        let ended_by_age = !self.fenced && stored.now_ms >= stored.claim.order_ends_ms;
        let pending = stored.claim.pending_target();
        // An order that has ended by its age may have been executed before.
        let last_ordered = match pending.is_some() && ended_by_age || stored.may_lack_newest_claim()
        {
            true => claim::LastOrdered::Unknown,
            false => stored.claim.last_ordered.clone(),
        };
        self.replaced_term = stored.claim.last_ordered.replaced_term();
        self.newest_term = self.newest_term.max(stored.promoted_term().unwrap_or(0));
        let pending: Option<Box<str>> = pending.filter(|_| !ended_by_age).map(Box::from);
        self.pending_before = pending.clone();
        self.hold_term = self.hold_term.max(self.hold_term_after(self.newest_term));
        self.unanswered_order = !self.fenced && pending.is_some();
        self.order_taken = self.unanswered_order;
        // The store read its clock after the read of the claim row was sent, so the estimate of its clock that starts at the
        // sending is never behind. This proxy ends its claim no later than the store does, and writes expiry times that are
        // no earlier than intended.
        self.claim_expires_at = self.read_sent_at + Duration::from_millis(self.claim_lease_ms());
        self.store_clock = (self.read_sent_at, stored.now_ms);
        self.revision = stored.revision;
        self.claim = claim::Claim {
            holder: self.proxy.clone(),
            token: stored.claim.next_token(stored.revision.era),
            settled: pending.is_none(),
            target: pending,
            until_ms: stored.now_ms + self.claim_lease_ms(),
            order_ends_ms: stored.claim.order_ends_ms,
            era: stored.revision.era,
            led_term: match last_ordered {
                claim::LastOrdered::Unknown => 0,
                _ => stored.claim.led_term,
            },
            last_ordered,
            choice: None,
        };
        self.ordered_before = self.claim.last_ordered.clone();
        self.led_before = self.claim.led_term;
        // With the term, the row would tell that its pending target leads undisputed.
        if self.fenced && self.pending_before.is_some() {
            self.claim.led_term = 0;
        }
        self.step = Step::Claiming;
        self.store_claim(out);
        Progress::Ongoing
    }

    /// Continues after a conditional write of the claim row.
    pub fn apply_store_outcome(
        &mut self,
        now: Instant,
        outcome: event::StoreOutcome,
        roster: &Roster,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        // An outcome of a write before the last one, by an earlier attempt.
        if matches!(outcome, event::StoreOutcome::Written(revision) if revision <= self.revision) {
            return Progress::Ongoing;
        }
        // What was written in another era than the claim was read in may have replaced a row that this proxy has not read.
        let outcome = match outcome {
            event::StoreOutcome::Written(revision) if revision.era != self.revision.era => {
                event::StoreOutcome::Unknown
            }
            outcome => outcome,
        };
        let may_be_written = outcome == event::StoreOutcome::Unknown
            || outcome == event::StoreOutcome::Conflict && self.repeats_write;
        match (self.step, outcome) {
            (Step::Claiming, event::StoreOutcome::Written(revision)) => {
                self.revision = revision;
                self.repeats_write = false;
                self.start_replacement(now, roster, out)
            }
            (Step::Recording, event::StoreOutcome::Written(revision)) => {
                self.revision = revision;
                // The logs may have been read before the members were released, or before others joined.
                let is_outdated =
                    !self.hands_over && !self.holds_again && now > self.chosen_at + HOLD_AGE_MAX;
                self.holds_again |= is_outdated;
                let is_late = std::mem::take(&mut self.repeats_write)
                    || is_outdated
                    || now >= self.claim_expires_at;
                match is_late {
                    true => {
                        let write = verification::Write::Choice;
                        self.continue_after_write(now, write, roster, out)
                    }
                    false => self.continue_with_choice(now, roster, out),
                }
            }
            (Step::Claiming, _) if may_be_written => {
                self.start_verification(now, verification::Write::Claim, out)
            }
            (Step::Recording, _) if may_be_written => {
                self.start_verification(now, verification::Write::Choice, out)
            }
            (Step::Claiming, _) => Progress::GivenUp {
                retry_at: now + STORE_RETRY_DELAY,
            },
            // Another proxy has claimed and holds the members itself, so this attempt does not release them.
            (Step::Recording, event::StoreOutcome::Conflict) => Progress::GivenUp {
                retry_at: now + STORE_RETRY_DELAY,
            },
            // The choice is not recorded, so no order is given.
            (Step::Recording, event::StoreOutcome::Refused) => self.give_up(now, out),
            _ => Progress::Ongoing,
        }
    }

    /// Begins to replace the leader under the claim.
    fn start_replacement(
        &mut self,
        now: Instant,
        roster: &Roster,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        match self.may_hand_over() {
            true => self.start_survey(now, roster, out),
            false => self.take_over(now, roster, out),
        }
    }

    /// Stops a leader that hands over, or gives the order for the recorded target.
    fn continue_with_choice(
        &mut self,
        now: Instant,
        roster: &Roster,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        if self.hands_over && self.log_end.is_none() {
            return self.start_stop(now, roster, out);
        }
        if self.handover_held_at.is_some() && self.target != self.old_leader {
            // Members may have answered their hold commands meanwhile.
            let until = now + STOP_TIMEOUT;
            self.step = Step::Stopping { until };
            return self.stop_leader(now, roster, out);
        }
        let is_fit =
            self.hands_over || self.are_all_held(roster) && self.find_furthest(roster).is_ok();
        if !is_fit {
            // A member has joined meanwhile, or a proxy has told of commits that all of them lack.
            return self.start_second_round(now, roster, out);
        }
        self.give_order(out);
        Progress::Ongoing
    }

    /// Returns whether the logs on which the choice of a take-over rests are still those of all members.
    fn is_choice_current(&self, roster: &Roster) -> bool {
        self.hands_over || self.are_all_held(roster) && self.find_furthest(roster).is_ok()
    }

    /// Continues after a member's answer to a command that was sent at `asked_at`, or after its absence (`None`).
    pub fn apply_status(
        &mut self,
        now: Instant,
        member: id::MemberId,
        asked_at: Instant,
        status: Option<event::MemberStatus>,
        roster: &Roster,
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
        roster: &Roster,
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

    /// Ends the attempt because another member has been promoted meanwhile. That promotion released the members that were held before
    /// it; those that were held after it, at a later term, still are.
    fn end_beside_other_leader(
        &mut self,
        now: Instant,
        member: id::MemberId,
        status: event::MemberStatus,
        roster: &Roster,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        if !self.order_taken {
            self.restore_pending();
        }
        let leader = roster.name(member);
        let pending = self.claim.pending_target();
        let settles = pending.is_none();
        if settles || pending == leader.as_deref() {
            if let Some(name) = leader.filter(|_| settles) {
                self.record_leader(name, status.term);
            }
            self.release(now, Duration::ZERO, out);
        }
        Progress::Done { member, status }
    }

    /// Continues after a promotion order.
    pub fn apply_order_outcome(
        &mut self,
        now: Instant,
        outcome: event::OrderOutcome,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        match (self.step, outcome) {
            (
                Step::EndingOlderOrder { .. },
                event::OrderOutcome::Accepted | event::OrderOutcome::Refused,
            ) => {
                self.claim.settled = true;
                self.give_up_with_lease(now, ORDER_LEASE, out)
            }
            (Step::EndingOlderOrder { .. }, _) => {
                let retry_at = Some(now + ORDER_RETRY_DELAY);
                self.step = Step::EndingOlderOrder { retry_at };
                Progress::Ongoing
            }
            (Step::Ordering { .. }, event::OrderOutcome::Accepted) => {
                self.order_taken = true;
                self.step = Step::Confirming {
                    until: now + CONFIRM_TIMEOUT,
                    poll_at: now,
                };
                let may_lead_on = self.log_end.is_none() && self.target != self.old_leader;
                if may_lead_on && self.reason != leader::ReplaceReason::Unreachable {
                    // The demoted leader refuses commits at once. Otherwise they would wait for confirmations that the
                    // held replicas no longer send.
                    self.send_command(
                        self.old_leader,
                        effect::MemberCommand::Demote(self.hold_term),
                        out,
                    );
                }
                Progress::Ongoing
            }
            (Step::Ordering { .. }, event::OrderOutcome::Refused) => {
                // Either a higher token was used, or the member does not run. The next read of the claim row shows which.
                if !self.unanswered_order {
                    self.withdraw_target();
                    self.claim.until_ms = self.store_now_ms(now + ORDER_LEASE);
                    self.store_claim(out);
                }
                Progress::GivenUp {
                    retry_at: now + STORE_RETRY_DELAY,
                }
            }
            (Step::Ordering { .. }, event::OrderOutcome::Unknown) => {
                self.unanswered_order = true;
                self.order_taken = true;
                self.step = Step::Confirming {
                    until: now + CONFIRM_UNKNOWN_TIMEOUT,
                    poll_at: now,
                };
                Progress::Ongoing
            }
            (Step::Ordering { .. }, event::OrderOutcome::Deferred) => {
                self.step = Step::Ordering {
                    retry_at: Some(now + ORDER_RETRY_DELAY),
                };
                Progress::Ongoing
            }
            _ => Progress::Ongoing,
        }
    }

    /// Ends the attempt because the store may have lost the claim. Until [`LOST_CLAIM_TIMEOUT`] has passed, no other proxy
    /// claims, so members can still be released, and an order that was given can still be confirmed.
    pub fn end_era(&mut self, now: Instant, out: &mut Vec<effect::Effect>) -> Progress {
        match self.step {
            Step::Waiting { .. } | Step::Loading | Step::Claiming => Progress::GivenUp {
                retry_at: now + STORE_RETRY_DELAY,
            },
            Step::Verifying(verification) => self.give_up_write(now, verification.write, out),
            Step::Written(write) => self.give_up_write(now, write, out),
            Step::Surveying { .. }
            | Step::Stopping { .. }
            | Step::Holding
            | Step::ReadingDirectory { .. }
            | Step::EndingOlderOrder { .. }
            | Step::Recording => self.give_up(now, out),
            Step::Ordering { .. } | Step::Confirming { .. } => {
                self.orders_end_at = Some(now);
                Progress::Ongoing
            }
        }
    }

    /// Repeats the promotion order, or gives the attempt up if orders are not sent any more.
    fn repeat_order(
        &mut self,
        now: Instant,
        roster: &Roster,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        if self.orders_end_at.is_some_and(|end_at| now >= end_at) {
            return self.give_up(now, out);
        }
        if !self.order_taken && !self.is_choice_current(roster) {
            return self.give_up(now, out);
        }
        self.give_order(out);
        Progress::Ongoing
    }

    /// Returns whether a member that leads `term` may have been replaced: a newer term has a leader or, where a replaced leader may
    /// lead on, the last order has been given for another member since, or the member leads no newer term than the one that was
    /// known when another member became the believed leader.
    fn may_be_replaced(&self, member: id::MemberId, term: id::Term) -> bool {
        let other_leads = self.old_leader.is_some_and(|leader| leader != member);
        let ended_term = match other_leads {
            true => self.replaced_term.max(self.term),
            false => self.replaced_term,
        };
        term < self.newest_term || !self.fenced && term <= ended_term
    }

    /// Records in the claim that a member has been promoted by an earlier order and leads `term`.
    fn record_leader(&mut self, name: Box<str>, term: id::Term) {
        self.claim.target = Some(name.clone());
        self.claim.last_ordered = claim::LastOrdered::Member {
            name,
            replaced_term: term.saturating_sub(1),
        };
        self.claim.led_term = term;
    }

    /// Records in the claim that the order for the target has not been executed and will not be. An older order for another member may
    /// still be.
    fn withdraw_target(&mut self) {
        let ends_older_order = self.claim.target == self.pending_before;
        self.restore_pending();
        if ends_older_order {
            self.claim.target = None;
            self.claim.settled = true;
        }
    }

    /// Records in the claim that no order has been given for the target. An older order may still be executed, for the same member
    /// as well.
    fn restore_pending(&mut self) {
        self.claim.target = self.pending_before.clone();
        self.claim.settled = self.claim.target.is_none();
        self.claim.last_ordered = self.ordered_before.clone();
        self.claim.led_term = self.led_before;
    }

    /// Ends the attempt after the target has confirmed that it leads. The claim lasts for [`ORDER_LEASE`] from now on.
    fn finish(
        &mut self,
        now: Instant,
        member: id::MemberId,
        status: event::MemberStatus,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        self.release_held_above(now, member, status.term, out);
        self.claim.settled = !self.unanswered_order;
        self.claim.led_term = status.term;
        self.claim.until_ms = self.store_now_ms(now + ORDER_LEASE);
        self.store_claim(out);
        Progress::Done { member, status }
    }

    fn give_up(&mut self, now: Instant, out: &mut Vec<effect::Effect>) -> Progress {
        if !self.order_taken {
            self.restore_pending();
        }
        self.give_up_with_lease(now, Duration::ZERO, out)
    }

    /// Gives up the attempt. The claim lasts for at least `lease` from now on.
    fn give_up_with_lease(
        &mut self,
        now: Instant,
        lease: Duration,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        // Members stay held while an older order may still be executed. Otherwise entries could be acknowledged that the
        // target of that order lacks.
        if self.claim.pending_target().is_none() {
            self.release(now, lease, out);
        } else if self.fenced && !self.order_taken && self.led_before > 0 {
            // The pending target leads undisputed again, also under another name.
            self.store_claim(out);
        }
        Progress::GivenUp {
            retry_at: now + STORE_RETRY_DELAY * 2,
        }
    }

    /// Releases the members that another claimant has held at a term above that of the new leader: the promotion did not.
    fn release_held_above(
        &self,
        now: Instant,
        leader: id::MemberId,
        term: id::Term,
        out: &mut Vec<effect::Effect>,
    ) {
        let claim_left_ms = self.claim.until_ms.saturating_sub(self.store_now_ms(now));
        let claim_left = Duration::from_millis(claim_left_ms);
        let send_timeout = claim_left.saturating_sub(RELEASE_ARRIVAL_TIMEOUT);
        let until = now + RELEASE_SEND_TIMEOUT.min(send_timeout);
        for (member, hold) in self.holds.iter() {
            let is_held_above = hold.status.is_some_and(|status| status.held_term > term);
            if is_held_above && member != leader {
                self.send_command(Some(member), effect::MemberCommand::Release { until }, out);
            }
        }
    }

    /// Releases the members that got a hold command, and sets the claim to expire when the release commands can no longer
    /// arrive, but not before `lease` has passed.
    fn release(&mut self, now: Instant, lease: Duration, out: &mut Vec<effect::Effect>) {
        let until =
            (now + RELEASE_SEND_TIMEOUT).min(self.claim_expires_at - RELEASE_ARRIVAL_TIMEOUT);
        let held = self
            .holds
            .keys()
            .filter(|member| Some(*member) != self.old_leader);
        for member in held {
            self.send_command(Some(member), effect::MemberCommand::Release { until }, out);
        }
        let remaining = RELEASE_TIMEOUT.max(lease);
        // Half of the maximum, so that the sum does not overflow.
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX / 2);
        self.claim.until_ms = self.store_now_ms(now) + remaining_ms;
        self.store_claim(out);
    }

    /// Returns the time on the store's clock, in milliseconds, estimated from its answer when the claim row was read.
    fn store_now_ms(&self, now: Instant) -> u64 {
        let (read_at, read_ms) = self.store_clock;
        let elapsed = now.saturating_duration_since(read_at).as_millis();
        read_ms + u64::try_from(elapsed).unwrap_or(u64::MAX / 2)
    }

    /// Returns for how long a proxy relies on evidence that no attempt is under way.
    fn lease_duration(&self) -> Duration {
        match self.fenced {
            true => trust::TRUST_DURATION,
            false => lease::LEASE_DURATION,
        }
    }

    /// Returns for how many milliseconds a claim excludes other proxies.
    fn claim_lease_ms(&self) -> u64 {
        match self.fenced {
            true => FENCED_CLAIM_LEASE_MS,
            false => UNFENCED_CLAIM_LEASE_MS,
        }
    }

    /// Returns the instant at which the attempt is given up if it still holds members.
    fn gives_up_at(&self) -> Instant {
        self.claim_expires_at - RELEASE_TIMEOUT
    }

    fn wait_until(&mut self, until: Instant) {
        self.step = Step::Waiting { until };
    }

    fn store_claim(&self, out: &mut Vec<effect::Effect>) {
        out.push(effect::Effect::StoreClaim {
            group: self.group,
            claim: self.claim.clone(),
            revision: self.revision,
        });
    }

    /// Gives the order for the recorded target.
    fn give_order(&mut self, out: &mut Vec<effect::Effect>) {
        self.step = Step::Ordering { retry_at: None };
        self.order_promotion(self.target, out);
    }

    fn read_directory(&mut self, out: &mut Vec<effect::Effect>) {
        self.step = Step::ReadingDirectory { retry_at: None };
        out.push(effect::Effect::ReadDirectory(self.group));
    }

    fn order_promotion(&self, member: Option<id::MemberId>, out: &mut Vec<effect::Effect>) {
        if let Some(member) = member {
            out.push(effect::Effect::OrderPromotion {
                group: self.group,
                member,
                token: self.claim.token,
                until: self.orders_end_at,
            });
        }
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
