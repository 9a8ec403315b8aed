//! The replacement of a leader, step by step.
//!
//! 1. Claim: a conditional write takes the next fencing token, so that one proxy at a time acts on a group.
//! 2. Hold: every other member stops receiving, so that the old leader can no longer have commits acknowledged. A member
//!    that cannot be asked may hold commits that the others lack, so all that are listed have to answer.
//! 3. Choose: the member that has received most has everything that was acknowledged.
//! 4. Record: the choice is written to the claim before it is ordered. An order whose answer is lost may be executed
//!    seconds later; whoever claims next orders the same member again with a higher token, which ends the older order.
//! 5. Order, and wait until the member says that it leads.

mod choice;

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::claim;
use crate::effect;
use crate::event;
use crate::lead;

/// Time for which a claim keeps others away: two promotions of 600 ms with their questions, with room for retries.
const CLAIM_FOR_MS: u64 = 4_000;
/// Time after an order in which no other proxy may give one: the platform's `lease-duration-ms`.
const TURN_FOR_MS: u64 = 3_000;
/// Pause before a question that was not answered is asked again: a slot's time.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// Time without an answer after which a question counts as lost.
const ASK_LOST: Duration = Duration::from_millis(900);
/// Pause before the store is asked again.
const STORE_AGAIN: Duration = Duration::from_millis(250);
/// Pause before an order is repeated.
const ORDER_AGAIN: Duration = Duration::from_millis(200);
/// Pause before members that lacked something acknowledged are asked again: holding them keeps them from catching up.
const LACKING_AGAIN: Duration = Duration::from_millis(1_500);
/// Time after which an attempt is given up and begun anew: while the claim still keeps others away for long enough that
/// members are released before anybody holds them again.
const ATTEMPT_FOR: Duration = Duration::from_millis(2_500);
/// Time in which a release is sent: a connection may have to be opened first.
const RELEASE_SENT_FOR: Duration = Duration::from_millis(500);
/// Time in which a release that was sent has arrived or never does: the sockets' limit for bytes without an
/// acknowledgement.
const RELEASE_ARRIVES_FOR: Duration = Duration::from_millis(1_000);
/// The same after an order without an answer, which may not have arrived.
const CONFIRM_UNKNOWN_FOR: Duration = Duration::from_millis(1_000);
/// Time that the chosen member has to say that it leads after the order was accepted.
const CONFIRM_FOR: Duration = Duration::from_millis(2_500);

/// Where a replacement stands.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Step {
    /// Not begun, or another proxy's claim is waited for.
    Waiting { until: Instant },
    /// The claim row is being read.
    Loading,
    /// The claim is being written.
    Claiming,
    /// Members are being held.
    Holding,
    /// The member of an older order is named again with a higher token, which ends that order.
    Flushing { again_at: Option<Instant> },
    /// The choice is being written.
    Recording,
    /// The order is under way.
    Ordering { again_at: Option<Instant> },
    /// The chosen member is asked whether it leads.
    Confirming { until: Instant, ask_at: Instant },
}

/// A question to a member during a replacement.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Asked {
    sent_at: Option<Instant>,
    again_at: Option<Instant>,
    standing: Option<event::Standing>,
}

/// A member that takes part in a replacement.
#[derive(Clone, Debug)]
pub struct Voter {
    /// The member.
    pub member: id::MemberId,
    /// Its name.
    pub name: Box<str>,
    /// Whether it may be chosen.
    pub eligible: bool,
}

/// How a replacement goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// It goes on.
    Going,
    /// The member leads.
    Done {
        /// The new leader.
        member: id::MemberId,
        /// Its standing.
        standing: event::Standing,
    },
    /// Given up; may be begun anew after the instant.
    Failed {
        /// When.
        retry_at: Instant,
    },
}

/// A replacement under way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Attempt {
    group: id::GroupId,
    me: Box<str>,
    /// Why the leader is replaced.
    pub reason: lead::Reason,
    old: Option<id::MemberId>,
    term: id::Term,
    acknowledged: Option<floor::Point>,
    hold_term: id::Term,
    step: Step,
    began_at: Instant,
    claim: claim::Claim,
    revision: u64,
    loaded: (Instant, u64),
    asked: sorted::Map<id::MemberId, Asked>,
    target: Option<id::MemberId>,
    unanswered_order: bool,
    claimed_until: Instant,
}

impl Attempt {
    /// Begins a replacement after a pause that differs between proxies.
    pub fn new(
        group: id::GroupId,
        me: &str,
        reason: lead::Reason,
        lead: &lead::Lead,
        begin_at: Instant,
    ) -> Self {
        Self {
            group,
            me: me.into(),
            reason,
            old: lead.member,
            term: lead.term,
            acknowledged: lead.acknowledged,
            hold_term: lead.term + 1,
            step: Step::Waiting { until: begin_at },
            began_at: begin_at,
            claim: claim::Claim::default(),
            revision: 0,
            loaded: (begin_at, 0),
            asked: sorted::Map::default(),
            target: None,
            unanswered_order: false,
            claimed_until: begin_at,
        }
    }

    /// Returns whether nothing has been changed yet, so that it may be dropped without a trace.
    pub fn may_be_dropped(&self) -> bool {
        matches!(self.step, Step::Waiting { .. } | Step::Loading)
    }

    /// Returns the step's name, the token and the chosen member, for the log.
    pub fn describe(&self) -> (&'static str, u64, Option<id::MemberId>) {
        let name = match self.step {
            Step::Waiting { .. } => "waiting",
            Step::Loading => "loading",
            Step::Claiming => "claiming",
            Step::Holding => "holding",
            Step::Flushing { .. } => "flushing",
            Step::Recording => "recording",
            Step::Ordering { .. } => "ordering",
            Step::Confirming { .. } => "confirming",
        };
        (name, self.claim.token, self.target)
    }

    /// Goes on as time has passed.
    pub fn tick(
        &mut self,
        now: Instant,
        voters: &[Voter],
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        let bounded = matches!(self.step, Step::Flushing { .. } | Step::Holding);
        if bounded && now.saturating_duration_since(self.began_at) > ATTEMPT_FOR {
            return self.give_up(now, out);
        }
        match self.step {
            Step::Waiting { until } if now >= until => {
                self.step = Step::Loading;
                self.began_at = now;
                out.push(effect::Effect::LoadClaim(self.group));
            }
            Step::Holding => return self.hold(now, voters, out),
            Step::Flushing {
                again_at: Some(again_at),
            } if now >= again_at => {
                self.step = Step::Flushing { again_at: None };
                self.order(self.target, out);
            }
            Step::Ordering {
                again_at: Some(again_at),
            } if now >= again_at => {
                self.step = Step::Ordering { again_at: None };
                self.order(self.target, out);
            }
            Step::Confirming { until, ask_at } => {
                if now >= until {
                    self.step = Step::Ordering { again_at: None };
                    self.order(self.target, out);
                } else if now >= ask_at {
                    let ask_at = now + ASK_AGAIN;
                    self.step = Step::Confirming { until, ask_at };
                    self.ask(self.target, effect::Question::Status, out);
                }
            }
            _ => {}
        }
        Progress::Going
    }

    /// Takes the claim row.
    pub fn loaded(
        &mut self,
        now: Instant,
        stored: Option<claim::Stored>,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        if self.step != Step::Loading {
            return Progress::Going;
        }
        let Some(stored) = stored else {
            self.wait(now + STORE_AGAIN);
            return Progress::Going;
        };
        // An own claim is waited for as well: releases may still be under way to members that would be held anew.
        let lasts = stored.now_ms < stored.claim.until_ms;
        if lasts {
            let left_ms = stored.claim.until_ms - stored.now_ms;
            let left = Duration::from_millis(left_ms).min(STORE_AGAIN * 2);
            return Progress::Failed {
                retry_at: now + left,
            };
        }
        let pending = stored.claim.pending().map(Box::from);
        // The store's clock was read at some time since it was asked.
        self.claimed_until = self.began_at + Duration::from_millis(CLAIM_FOR_MS);
        self.loaded = (self.began_at, stored.now_ms);
        self.revision = stored.revision;
        self.claim = claim::Claim {
            holder: self.me.clone(),
            token: stored.claim.token + 1,
            settled: pending.is_none(),
            target: pending,
            until_ms: stored.now_ms + CLAIM_FOR_MS,
        };
        self.step = Step::Claiming;
        self.store(out);
        Progress::Going
    }

    /// Takes the outcome of a conditional write.
    pub fn stored(
        &mut self,
        now: Instant,
        outcome: event::StoreOutcome,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        match (self.step, outcome) {
            (Step::Claiming, event::StoreOutcome::Written(revision)) => {
                self.revision = revision;
                self.step = Step::Holding;
                Progress::Going
            }
            (Step::Recording, event::StoreOutcome::Written(revision)) => {
                self.revision = revision;
                self.step = Step::Ordering { again_at: None };
                self.order(self.target, out);
                Progress::Going
            }
            (Step::Claiming, _) => Progress::Failed {
                retry_at: now + STORE_AGAIN,
            },
            // Whoever holds the claim now acts on what it finds; held members stay held for it.
            (Step::Recording, event::StoreOutcome::Conflict) => Progress::Failed {
                retry_at: now + STORE_AGAIN,
            },
            (Step::Recording, event::StoreOutcome::Unknown) => self.give_up(now, out),
            _ => Progress::Going,
        }
    }

    /// Takes a member's answer to a question.
    pub fn answered(
        &mut self,
        now: Instant,
        member: id::MemberId,
        standing: Option<event::Standing>,
        voters: &[Voter],
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        if let Step::Confirming { .. } = self.step
            && Some(member) == self.target
            && let Some(standing) = standing
            && standing.leads
        {
            return self.finish(now, member, standing, out);
        }
        if self.step != Step::Holding {
            return Progress::Going;
        }
        let asked = self.asked.entry(member);
        asked.sent_at = None;
        asked.again_at = Some(now + ASK_AGAIN);
        asked.standing = standing;
        if let Some(standing) = standing {
            let newest = standing.term.max(standing.held_term);
            if standing.leads && Some(member) != self.old {
                // Somebody else has been promoted meanwhile, which has released all that were held before; those held
                // since, at a later term, still are.
                let leader = voters.iter().find(|voter| voter.member == member);
                let pending = self.claim.pending();
                if pending.is_none() || pending == leader.map(|voter| voter.name.as_ref()) {
                    self.release(now, Duration::ZERO, out);
                }
                return Progress::Done { member, standing };
            }
            if standing.term >= self.hold_term {
                self.hold_term = newest + 1;
            }
            self.ask_unheld_again(now);
        }
        self.hold(now, voters, out)
    }

    /// Takes the outcome of an order.
    pub fn ordered(
        &mut self,
        now: Instant,
        outcome: event::OrderOutcome,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        match (self.step, outcome) {
            (
                Step::Flushing { .. },
                event::OrderOutcome::Accepted | event::OrderOutcome::Refused,
            ) => {
                self.claim.settled = true;
                self.give_up_after(now, Duration::from_millis(TURN_FOR_MS), out)
            }
            (Step::Flushing { .. }, _) => {
                let again_at = Some(now + ORDER_AGAIN);
                self.step = Step::Flushing { again_at };
                Progress::Going
            }
            (Step::Ordering { .. }, event::OrderOutcome::Accepted) => {
                self.step = Step::Confirming {
                    until: now + CONFIRM_FOR,
                    ask_at: now,
                };
                if self.reason != lead::Reason::Unreachable {
                    // Callers are told at once instead of waiting for commits that can no longer be acknowledged.
                    self.ask(self.old, effect::Question::Demote(self.hold_term), out);
                }
                Progress::Going
            }
            (Step::Ordering { .. }, event::OrderOutcome::Refused) => {
                // Either a higher token was used, or the member does not run. The claim row tells.
                if !self.unanswered_order {
                    self.claim.settled = true;
                    self.claim.until_ms = self.store_now_ms(now) + TURN_FOR_MS;
                    self.store(out);
                }
                Progress::Failed {
                    retry_at: now + STORE_AGAIN,
                }
            }
            (Step::Ordering { .. }, event::OrderOutcome::Unknown) => {
                self.unanswered_order = true;
                self.step = Step::Confirming {
                    until: now + CONFIRM_UNKNOWN_FOR,
                    ask_at: now,
                };
                Progress::Going
            }
            (Step::Ordering { .. }, event::OrderOutcome::Deferred) => {
                self.step = Step::Ordering {
                    again_at: Some(now + ORDER_AGAIN),
                };
                Progress::Going
            }
            _ => Progress::Going,
        }
    }

    fn finish(
        &mut self,
        now: Instant,
        member: id::MemberId,
        standing: event::Standing,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        self.claim.settled = !self.unanswered_order;
        self.claim.until_ms = self.store_now_ms(now) + TURN_FOR_MS;
        self.store(out);
        Progress::Done { member, standing }
    }

    fn give_up(&mut self, now: Instant, out: &mut Vec<effect::Effect>) -> Progress {
        self.give_up_after(now, Duration::ZERO, out)
    }

    /// Gives up, and lets the claim last for at least `turn`.
    fn give_up_after(
        &mut self,
        now: Instant,
        turn: Duration,
        out: &mut Vec<effect::Effect>,
    ) -> Progress {
        // Members stay held while an older order may still be executed: what they lack then cannot be acknowledged.
        if self.claim.pending().is_none() {
            self.release(now, turn, out);
        }
        Progress::Failed {
            retry_at: now + STORE_AGAIN * 2,
        }
    }

    /// Lets the members that were asked to be held receive again, and the claim end once that has arrived, but not before
    /// `turn` is over.
    fn release(&mut self, now: Instant, turn: Duration, out: &mut Vec<effect::Effect>) {
        let until = (now + RELEASE_SENT_FOR).min(self.claimed_until - RELEASE_ARRIVES_FOR);
        let held = self.asked.keys().filter(|member| Some(*member) != self.old);
        for member in held {
            self.ask(Some(member), effect::Question::Release { until }, out);
        }
        let lasts = (RELEASE_SENT_FOR + RELEASE_ARRIVES_FOR).max(turn);
        let lasts_ms = u64::try_from(lasts.as_millis()).unwrap_or(u64::MAX / 2);
        self.claim.until_ms = self.store_now_ms(now) + lasts_ms;
        self.store(out);
    }

    /// Returns the store's clock, from its answer when the claim was read.
    fn store_now_ms(&self, now: Instant) -> u64 {
        let (then, then_ms) = self.loaded;
        let passed = now.saturating_duration_since(then).as_millis();
        then_ms + u64::try_from(passed).unwrap_or(u64::MAX / 2)
    }

    fn wait(&mut self, until: Instant) {
        self.step = Step::Waiting { until };
    }

    fn store(&self, out: &mut Vec<effect::Effect>) {
        out.push(effect::Effect::StoreClaim {
            group: self.group,
            claim: self.claim.clone(),
            revision: self.revision,
        });
    }

    fn order(&self, member: Option<id::MemberId>, out: &mut Vec<effect::Effect>) {
        if let Some(member) = member {
            out.push(effect::Effect::Order {
                group: self.group,
                member,
                token: self.claim.token,
            });
        }
    }

    fn ask(
        &self,
        member: Option<id::MemberId>,
        question: effect::Question,
        out: &mut Vec<effect::Effect>,
    ) {
        if let Some(member) = member {
            out.push(effect::Effect::Ask {
                group: self.group,
                member,
                question,
                conn: None,
            });
        }
    }
}
