//! Model of the proxies, the claim row and the messages under way.

use std::fmt;
use std::time::{Duration, Instant};

use fulmarlift_broker::claim;
use fulmarlift_broker::effect::{Effect, MemberCommand};
use fulmarlift_broker::event::{MemberStatus, OrderOutcome, StoreOutcome};
use fulmarlift_broker::failover::roster::{Participant, Roster};
use fulmarlift_broker::failover::{Attempt, Progress};
use fulmarlift_broker::leader::{LeaderBelief, ReplaceReason};
use fulmarlift_broker::lease;
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::trust;
use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::model::group::{Entry, Group, MEMBERS, Violation};

/// Time that passes in a pause: longer than a claim lasts. It is a multiple of the time that a lease lasts.
const PAUSE: Duration = Duration::from_secs(10);
/// Time after which a leader that has stopped is asked for what it has logged since.
const QUEUE_DURATION: Duration = Duration::from_millis(150);
/// Time after the end of a lease in which the next term starts a lease: the claim lasts for [`ORDER_LEASE`] after a promotion, which
/// may come before the end of the lease if the old leader hands over.
///
/// [`ORDER_LEASE`]: fulmarlift_broker::failover::ORDER_LEASE
const NEXT_TERM_TIMEOUT_MS: u32 = 2_500;
/// Smallest time between the two answers with which a member consents to a lease.
const CONSENT_INTERVAL_MS: u32 = 200;
const LEASE_DURATION_MS: u32 = lease::LEASE_DURATION.as_millis() as u32;
const GROUP: id::GroupId = 1;
pub const PROXIES: usize = 2;

/// Bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of attempts that each proxy may start.
    pub attempts: [u8; PROXIES],
    /// Number of writes.
    pub writes: u8,
    /// Number of pauses, in each of which the claim expires while messages are under way.
    pub pauses: u8,
    /// Number of answers that may be lost. The call itself takes effect later or never.
    pub lost_answers: u8,
    /// Whether other events may happen between a member's answer and its arrival.
    pub delayed_answers: bool,
    /// Whether an unanswered order for member 1, from an expired claim, is under way from the start.
    pub late_order: bool,
    /// Whether member 1 may announce that it leaves.
    pub leaves: bool,
    /// Whether it ends after that, and its log with it: once all proxies know that it leaves, and a member that stays has received
    /// what it had received by then, unless an attempt that is over has left all of those held.
    pub ends: bool,
    /// Cause of the replacements.
    pub reason: ReplaceReason,
    /// Whether promotions are fenced.
    pub fenced: bool,
    /// Number of steps in which time passes, other than pauses.
    pub time_steps: u8,
    /// Number of these steps in which a lease ends.
    pub steps_per_lease: u8,
    /// Whether a proxy reads at leaders.
    pub reads: bool,
    /// Whether other events may happen between a question of that proxy and the arrival of the answer.
    pub delayed_evidence: bool,
    /// Whether the store does not answer the proxy that reads.
    pub store_silent: bool,
    /// Whether that proxy also passes on the successes of writes, only within its lease. Otherwise they are passed on at once.
    pub successes_need_lease: bool,
    /// Whether successes of promoted leaders are passed on only while the claim row shows no attempt.
    pub successes_need_trust: bool,
    /// Whether that proxy passes on a success only once it knows that a member that every later choice counts has received the write.
    /// Where promotions are fenced, it then trusts a leader by a claim row that it has read at any time before.
    pub successes_need_counted: bool,
    /// Whether the record of the choice of member 2, from an expired claim, has got no answer, and its order was not given. Successes
    /// may be passed on from the start.
    pub lost_record: bool,
    /// Number of times that the store comes back from its first state.
    pub restores: u8,
    /// Whether a member that has not heard of the newest leader may still receive from an older one that leads on.
    pub late_confirms: bool,
    /// Number of restarts of held replicas, of which the proxies learn nothing.
    pub restarts: u8,
    /// Whether the last member joins later, and is listed at any time after that.
    pub joins: bool,
    /// Whether it joins only once another member is held.
    pub joins_after_hold: bool,
    /// Whether it may receive before the directory lists it.
    pub listed_late: bool,
    /// Whether the proxy that reads asks only members that the other proxies know as well.
    pub one_directory: bool,
    /// Guarantee that is judged alone; all are judged if none is named.
    pub judged: Option<Violation>,
}

/// Mechanism that is disabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    None,
    /// Held members continue to receive.
    HoldsIgnored,
    /// The platform accepts orders with any token.
    TokensUnchecked,
    /// The claim row is written regardless of its revision.
    ClaimUnconditional,
    /// The claim row does not show an order that may still be executed.
    OrdersForgotten,
    /// Members may be released after the claim has expired.
    ReleasedLate,
    /// Orders are sent without regard to the leases that proxies may have.
    LeasesNotAwaited,
    /// Reads at a leader need no lease.
    LeasesIgnored,
    /// Successes of writes need no lease.
    SuccessesNotCovered,
    /// Any member that has received a write lets its success be passed on.
    ConfirmersNotCounted,
    /// A member counts from when it is listed, whether or not the claim row has been read since.
    ListedMembersCounted,
    /// A member that leaves counts.
    LeaversCounted,
    /// A member that has restarted since the claim row was read counts.
    RestartsUnnoticed,
    /// A member answers a demotion, and questions after it, as if it had stopped, but leads on.
    DemotionsIgnored,
    /// The directory does not list members that have joined.
    JoinsNotListed,
    /// A replica that is not held starts a lease.
    ReplicasStartLeases,
    /// The claim row starts a lease while an attempt is in progress.
    ClaimInProgressStartsLease,
    /// The claim row starts a lease although another member was ordered last.
    OtherOrderedStartsLease,
    /// The claim row starts a lease although the store may have lost a newer claim.
    LostClaimStartsLease,
    /// The first claim of an era tells which member was ordered last, as far as the store knows.
    LastOrderedKeptAcrossEras,
    /// A lease is extended after it has lapsed.
    LapsedLeasesExtended,
    /// A replica that is not held extends a lease that is valid when its answer arrives.
    ReplicasExtendLeases,
    /// The next term starts a lease at any time after the last one.
    NextTermAlwaysBelieved,
    /// The consent of one member starts a lease.
    OneMemberStartsLease,
    /// A lease starts for a term that the believed leader led at any time before, not only for the term that it leads.
    OldBeliefsStartLeases,
    /// The choice of the next leader disregards older orders that a higher token has followed, as if it ended them.
    OlderOrdersEnded,
    /// A proxy claims in a new era of the store without regard to claims that the store has lost.
    LostClaimsIgnored,
    /// Tokens do not depend on the era of the store.
    TokensWithoutEra,
}

/// Parameters of a search.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub bounds: Bounds,
    pub mutation: Mutation,
    pub start: Instant,
}

impl Rules {
    pub fn new(bounds: Bounds, mutation: Mutation) -> Self {
        Self {
            bounds,
            mutation,
            start: Instant::now(),
        }
    }

    /// Returns whether the violation ends the search.
    pub fn judges(&self, violation: Violation) -> bool {
        self.bounds.judged.is_none_or(|judged| judged == violation)
    }

    /// Returns whether attempts at a group with fenced promotions end their wait for the end of the trust as soon as nothing else is left to
    /// wait for: no time passes otherwise, and the model relates no evidence to time there.
    fn awaits_trust_at_once(&self) -> bool {
        let waived = matches!(
            self.mutation,
            Mutation::LeasesNotAwaited | Mutation::OlderOrdersEnded
        );
        waived || self.bounds.fenced && self.bounds.time_steps == 0
    }

    fn checks_tokens(&self) -> bool {
        self.bounds.fenced && self.mutation != Mutation::TokensUnchecked
    }
}

/// Input that is applied to a proxy's attempt.
type Input = Box<dyn FnOnce(&mut Attempt, &Roster, &mut Vec<Effect>) -> Progress>;

/// Message to or from a proxy.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    Store {
        token: u64,
        target: Option<usize>,
        settled: bool,
        era: u64,
        revision: (u64, u64),
    },
    /// Commands to a member, and the number of times that the proxy had read the directory when it sent them.
    Hold(usize, u8, u8),
    Demote(usize, u8, u8),
    Status(usize, u8),
    Release(usize),
    /// Status of a member: whether it leads, its term, the term and the position of its last entry, and the term of its hold. The
    /// last number is that of the command.
    Answer(usize, bool, u8, (u8, u8), u8, u8),
    Directory,
    Order(usize, u64),
    /// Call whose answer was lost and that may still take effect.
    Late(Box<Message>),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Proxy {
    attempt: Option<Attempt>,
    attempts_left: u8,
    /// Newest era of the store that the proxy knows.
    known_era: u64,
    /// Number of times that the attempt has read the directory. Each read takes some time.
    directory_reads: u8,
    /// Whether the attempt has awaited the end of the trust in the old leader where no time passes otherwise.
    trust_awaited: bool,
    /// Whether its attempt has waited for what a leader still executes that it has stopped, where that takes no other time.
    queue_awaited: bool,
}

/// Claim row in the store.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Row {
    holder: usize,
    token: u64,
    target: Option<usize>,
    settled: bool,
    revision: u64,
    expired: bool,
    /// Era in which the claim was made.
    era: u64,
    last_ordered: LastOrdered,
}

/// Member for which a promotion order was recorded last.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
enum LastOrdered {
    #[default]
    Nobody,
    Member(usize),
    /// The store may have lost the newest record.
    Unknown,
}

/// Lease of the leader at the proxy that reads: no member is promoted to a newer term before its end. Instants are in
/// milliseconds since the start.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Lease {
    term: u8,
    expires_at_ms: u32,
}

impl Lease {
    fn covers(self, term: u8, now_ms: u32) -> bool {
        self.term == term && now_ms < self.expires_at_ms
    }

    /// Sets the end of the lease, by evidence that was asked for at `asked_at_ms`. A newer term ends the lease of an older one.
    fn set(&mut self, term: u8, asked_at_ms: u32) {
        let expires_at_ms = asked_at_ms + LEASE_DURATION_MS;
        if term > self.term {
            *self = Self {
                term,
                expires_at_ms,
            };
        } else if term == self.term {
            self.expires_at_ms = self.expires_at_ms.max(expires_at_ms);
        }
    }

    /// Starts a lease by a claim row of no attempt in progress, if the believed leader was ordered last. The next promotion then
    /// waits until all members have been held for [`lease::LEASE_DURATION`] after the row was read. Returns whether it was.
    fn start_lease_from_claim(
        &mut self,
        mutation: Mutation,
        last_ordered: LastOrdered,
        (leader, term): (usize, u8),
        asked_at_ms: u32,
    ) -> bool {
        let leads = match last_ordered {
            LastOrdered::Nobody => true,
            LastOrdered::Member(member) => member == leader,
            LastOrdered::Unknown => false,
        };
        let starts = leads || mutation == Mutation::OtherOrderedStartsLease;
        if starts {
            self.set(term, asked_at_ms);
        }
        starts
    }

    /// Extends the lease by a replica that follows its term and is not held. Only mutations do so: the replica may have been released
    /// by a promotion, or may not have been held. An acknowledged commit is no other evidence than this answer of the replica
    /// that has received it.
    fn extend_lease(&mut self, mutation: Mutation, term: u8, asked_at_ms: u32, now_ms: u32) {
        let extends = match mutation {
            Mutation::ReplicasStartLeases => true,
            Mutation::LapsedLeasesExtended => self.term == term,
            Mutation::ReplicasExtendLeases => self.covers(term, now_ms),
            _ => false,
        };
        if extends {
            self.set(term, asked_at_ms);
        }
    }

    /// Starts a lease of the term that directly follows that of the last lease.
    fn observe_next_term(&mut self, mutation: Mutation, term: u8, asked_at_ms: u32) {
        let recent = asked_at_ms <= self.expires_at_ms + NEXT_TERM_TIMEOUT_MS
            || mutation == Mutation::NextTermAlwaysBelieved;
        if self.term > 0 && term == self.term + 1 && recent {
            self.set(term, asked_at_ms);
        }
    }

    /// Starts a lease if all members but the believed leader have consented, and returns the instant from which it lasts.
    fn start_lease_from_members(
        &mut self,
        mutation: Mutation,
        consents: &[Option<Consent>; MEMBERS],
        known: &[bool; MEMBERS],
        (leader, term): (usize, u8),
    ) -> Option<u32> {
        let others = (0..MEMBERS).filter(|member| *member != leader && known[*member]);
        let asked_at_ms = |member: usize| {
            consents[member]
                .filter(|consent| consent.term == term)
                .filter(|consent| {
                    consent.last_asked_at_ms - consent.first_asked_at_ms >= CONSENT_INTERVAL_MS
                })
                .map(|consent| consent.last_asked_at_ms)
        };
        let oldest = match mutation {
            Mutation::OneMemberStartsLease => others.filter_map(asked_at_ms).min(),
            _ => others
                .map(asked_at_ms)
                .try_fold(u32::MAX, |oldest, asked_at_ms| {
                    Some(oldest.min(asked_at_ms?))
                })
                .filter(|oldest| *oldest < u32::MAX),
        };
        if let Some(oldest) = oldest {
            self.set(term, oldest);
        }
        oldest
    }
}

/// Answers of a member which say, without another one between them, that it follows a term and is not held.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Consent {
    term: u8,
    first_asked_at_ms: u32,
    last_asked_at_ms: u32,
}

/// What the proxy that reads has asked for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Evidence {
    /// Last ordered member in a claim row that may start a lease, and the members that every later choice counts.
    Claim(LastOrdered, [bool; MEMBERS]),
    /// Term that a member leads or follows.
    Status {
        member: usize,
        term: u8,
        /// Whether the member is a replica that is not held.
        free: bool,
    },
}

/// Proxy that reads.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Reader {
    lease: Lease,
    /// Evidence that has not arrived yet, and the instant of the question. Other evidence may overtake it.
    delayed: Option<(u32, Evidence)>,
    consents: [Option<Consent>; MEMBERS],
    /// Members that the directory listed when it was last read, and that did not leave.
    known: [bool; MEMBERS],
    /// Members that every choice counts that is made later than the newest claim row read.
    counted: [bool; MEMBERS],
    /// Members whose connection has been open since they were last asked.
    connected: [bool; MEMBERS],
    /// Log of each member when it was last asked.
    received: [Vec<Entry>; MEMBERS],
}

impl Reader {
    /// Counts a member no longer, nor by evidence that has been asked for before now.
    fn uncount(&mut self, member: usize) {
        self.counted[member] = false;
        self.consents[member] = None;
        if let Some((_, Evidence::Claim(_, counted))) = &mut self.delayed {
            counted[member] = false;
        }
    }
}

/// State of the whole model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct System {
    pub group: Group,
    /// Members that the directory lists.
    listed: [bool; MEMBERS],
    restarts_left: u8,
    proxies: [Proxy; PROXIES],
    row: Row,
    /// Era of the store.
    era: u64,
    /// Whether claims and orders of an earlier era may still be in force.
    claims_lost: bool,
    /// Messages under way, each with its proxy.
    in_flight: Vec<(usize, Message)>,
    pauses: u8,
    lost_answers_left: u8,
    leaves: bool,
    /// Log of member 1 when the last proxy learned that it leaves.
    log_of_leaver: Option<Vec<Entry>>,
    /// Whether the members that stay have been held in a pause without an attempt since.
    outlasted: bool,
    /// Number of steps in which time has passed, other than pauses.
    time_steps: u8,
    reader: Reader,
}

impl System {
    pub fn new(rules: &Rules) -> Self {
        let proxy = |attempts_left| Proxy {
            attempt: None,
            attempts_left,
            known_era: 0,
            directory_reads: 0,
            trust_awaited: false,
            queue_awaited: false,
        };
        let mut system = Self {
            group: Group::new(&rules.bounds),
            listed: [true, true, !rules.bounds.joins],
            restarts_left: rules.bounds.restarts,
            proxies: rules.bounds.attempts.map(proxy),
            row: Row {
                settled: true,
                expired: true,
                ..Row::default()
            },
            era: 0,
            claims_lost: false,
            in_flight: Vec::new(),
            pauses: 0,
            lost_answers_left: rules.bounds.lost_answers,
            leaves: false,
            log_of_leaver: None,
            outlasted: false,
            time_steps: 0,
            reader: Reader::default(),
        };
        if rules.bounds.late_order {
            system.row = Row {
                token: 1,
                target: Some(1),
                revision: 1,
                expired: true,
                last_ordered: LastOrdered::Member(1),
                ..Row::default()
            };
            let late = Message::Late(Box::new(Message::Order(1, 1)));
            system.in_flight.push((0, late));
            // The claimant that gave the order has left both replicas held.
            system.group.hold(1, 2);
            system.group.hold(2, 2);
        }
        if rules.bounds.successes_need_counted {
            system.reader.known = system.listed;
            system.reader.connected = system.listed;
        }
        if rules.bounds.lost_record {
            system.row = Row {
                token: 1,
                target: Some(2),
                revision: 1,
                expired: true,
                last_ordered: LastOrdered::Member(2),
                ..Row::default()
            };
            system.reader.lease.set(1, 0);
            system.reader.counted = system.listed;
        }
        system
    }

    /// Sorts the messages under way, so that states that differ only in their order become equal, and drops those that can have no
    /// effect any more, as well as the knowledge of a proxy that can pass on no other success.
    pub fn normalise(&mut self, rules: &Rules) {
        let judges_writes = rules.bounds.judged == Some(Violation::LostWrite);
        if rules.bounds.successes_need_counted && judges_writes && self.group.all_acknowledged() {
            self.reader = Reader::default();
        }
        let mut in_flight = std::mem::take(&mut self.in_flight);
        in_flight.retain(|(proxy, message)| match message {
            Message::Status(member, _) | Message::Answer(member, ..) => {
                self.awaits_status(*proxy, *member)
            }
            _ => true,
        });
        in_flight.sort_unstable();
        self.in_flight = in_flight;
    }

    /// Returns whether a proxy may still use the status of a member that it has asked for.
    fn awaits_status(&self, proxy: usize, member: usize) -> bool {
        let Some(attempt) = &self.proxies[proxy].attempt else {
            return false;
        };
        let (step, _, target) = attempt.step_token_and_target();
        let is_ordered = matches!(step, "ordering" | "confirming");
        !is_ordered || target == Some(member as id::MemberId)
    }

    /// Appends all possible next states to `next`, each with a description of the step if `describes` is set. A step that is
    /// impossible leaves the state as it is.
    pub fn successors(&self, rules: &Rules, describes: bool, next: &mut Vec<(String, Box<Self>)>) {
        let first = || {
            let mut system = Box::new(self.clone());
            system.group.promoted = false;
            system
        };
        let mut system = first();
        let mut add_step = |step: fmt::Arguments, apply: &dyn Fn(&mut Self) -> bool| {
            if apply(&mut system) {
                let description = if describes {
                    step.to_string()
                } else {
                    String::new()
                };
                next.push((description, std::mem::replace(&mut system, first())));
            }
        };
        add_step(format_args!("promote"), &|system| system.group.promote());
        let holds_ignored = rules.mutation == Mutation::HoldsIgnored;
        for member in 0..MEMBERS {
            add_step(format_args!("write at {member}"), &|system| {
                system.group.write(member)
            });
            add_step(format_args!("replicate {member}"), &|system| {
                system.group.replicate(member, holds_ignored)
            });
            for leader in 0..MEMBERS {
                add_step(format_args!("{member} follows {leader}"), &|system| {
                    system.group.follow(member, leader, holds_ignored)
                });
            }
            add_step(format_args!("{member} restarts"), &|system| {
                let restarted = system.restarts_left > 0 && system.group.restart(member);
                system.restarts_left -= u8::from(restarted);
                system.reader.connected[member] &= !restarted;
                restarted
            });
            add_step(format_args!("{member} joins"), &|system| {
                let any_held = system.group.members.iter().any(|member| member.held > 0);
                (any_held || !rules.bounds.joins_after_hold) && system.group.join(member)
            });
            add_step(format_args!("{member} is listed"), &|system| {
                let absent = system.group.members[member].absent;
                !absent && !std::mem::replace(&mut system.listed[member], true)
            });
            add_step(format_args!("{member} steps down"), &|system| {
                system.group.step_down(member)
            });
            for delayed in [false, true] {
                let when = if delayed { "later" } else { "at once" };
                add_step(format_args!("{member} answers {when}"), &|system| {
                    system.ask_status(rules, member, delayed)
                });
            }
            add_step(
                format_args!("{member} is asked what it has received"),
                &|system| system.ask_received(rules, member),
            );
            add_step(format_args!("read at {member}"), &|system| {
                system.read(rules, member)
            });
        }
        for entry in &self.group.unconfirmed {
            add_step(
                format_args!("success of {entry:?} is passed on"),
                &|system| system.confirm(rules, *entry),
            );
        }
        add_step(format_args!("time passes"), &|system| system.wait(rules));
        for delayed in [false, true] {
            let when = if delayed { "later" } else { "at once" };
            add_step(format_args!("claim row is read, {when}"), &|system| {
                system.read_claim_row(rules, delayed)
            });
        }
        add_step(format_args!("directory is read"), &|system| {
            system.read_directory(rules)
        });
        add_step(format_args!("evidence arrives"), &|system| {
            system.apply_delayed_evidence(rules)
        });
        add_step(format_args!("pause"), &|system| system.pause(rules));
        add_step(format_args!("store goes back"), &|system| {
            system.restore(rules)
        });
        add_step(format_args!("lost claims end"), &Self::end_lost_claims);
        add_step(format_args!("member 1 leaves"), &|system| {
            rules.bounds.leaves && !std::mem::replace(&mut system.leaves, true)
        });
        add_step(format_args!("all know that member 1 leaves"), &|system| {
            system.learn_leaver(rules)
        });
        add_step(format_args!("member 1 ends"), &|system| system.end(rules));
        let leader = self.group.leader();
        let term = leader.map_or(1, |leader| self.group.members[leader].term);
        for proxy in 0..PROXIES {
            add_step(format_args!("proxy {proxy} replaces 0"), &|system| {
                system.start_attempt(rules, proxy, Some(0), 1)
            });
            add_step(
                format_args!("proxy {proxy} replaces {leader:?}"),
                &|system| system.start_attempt(rules, proxy, leader, term),
            );
            add_step(format_args!("proxy {proxy} learns the era"), &|system| {
                system.learn_era(rules, proxy)
            });
            add_step(format_args!("proxy {proxy} ticks"), &|system| {
                system.tick(rules, proxy)
            });
        }
        for (index, (proxy, message)) in self.in_flight.iter().enumerate() {
            add_step(format_args!("proxy {proxy}: {message:?}"), &|system| {
                system.deliver(rules, index)
            });
            add_step(format_args!("proxy {proxy}: {message:?} lost"), &|system| {
                system.lose(rules, index)
            });
        }
    }

    /// Lets the last proxy learn that member 1 leaves.
    fn learn_leaver(&mut self, rules: &Rules) -> bool {
        let learns = rules.bounds.ends && self.leaves && self.log_of_leaver.is_none();
        let learns = learns && !rules.bounds.successes_need_counted;
        if learns {
            self.log_of_leaver = Some(self.group.members[1].log.clone());
        }
        learns
    }

    /// Ends member 1, which leaves.
    fn end(&mut self, rules: &Rules) -> bool {
        let Some(log) = &self.log_of_leaver else {
            return false;
        };
        let is_kept = log
            .iter()
            .all(|entry| self.group.is_kept_without(1, *entry));
        let ends = rules.bounds.ends && (is_kept || self.outlasted) && self.group.end(1);
        self.listed[1] &= !ends;
        ends
    }

    fn now(&self, rules: &Rules) -> Instant {
        rules.start + Duration::from_millis(self.now_ms(rules).into())
    }

    /// Returns the time at a proxy, at which its reads of the directory and its wait for the end of the trust have taken time.
    fn now_at(&self, rules: &Rules, proxy: usize) -> Instant {
        let reads = self.proxies[proxy].directory_reads;
        let trust = match self.proxies[proxy].trust_awaited {
            true => trust::TRUST_DURATION,
            false => Duration::ZERO,
        };
        let queue = match self.proxies[proxy].queue_awaited {
            true => QUEUE_DURATION,
            false => Duration::ZERO,
        };
        self.now(rules) + trust + queue + Duration::from_nanos(reads.into())
    }

    /// Returns the instant at which a proxy sent a command, from the number of its reads of the directory before.
    fn sent_at(&self, rules: &Rules, proxy: usize, reads: u8) -> Instant {
        match reads == self.proxies[proxy].directory_reads {
            true => self.now_at(rules, proxy),
            false => rules.start,
        }
    }

    fn now_ms(&self, rules: &Rules) -> u32 {
        PAUSE.as_millis() as u32 * u32::from(self.pauses)
            + LEASE_DURATION_MS / u32::from(rules.bounds.steps_per_lease)
                * u32::from(self.time_steps)
    }

    /// Lets time pass while messages are under way.
    fn wait(&mut self, rules: &Rules) -> bool {
        let allowed = self.time_steps < rules.bounds.time_steps;
        self.time_steps += u8::from(allowed);
        allowed
    }

    /// Asks a member for its status, as the proxy that reads.
    fn ask_status(&mut self, rules: &Rules, index: usize, delayed: bool) -> bool {
        let member = &self.group.members[index];
        let counts = rules.bounds.successes_need_counted;
        if member.absent
            || rules.bounds.one_directory && !self.listed[index]
            || counts && !self.reader.known[index]
        {
            return false;
        }
        let before = self.reader.clone();
        let is_new = counts && !std::mem::replace(&mut self.reader.connected[index], true);
        if is_new {
            self.reader.uncount(index);
        }
        let member = &self.group.members[index];
        let status = Evidence::Status {
            member: index,
            term: member.term,
            free: !member.leads && member.held == 0,
        };
        self.ask(rules, status, delayed) || before != self.reader
    }

    /// Asks a member what it has received, as the proxy that passes on successes. The answer is used at once or later.
    fn ask_received(&mut self, rules: &Rules, index: usize) -> bool {
        let member = &self.group.members[index];
        let is_useful = !self.reader.connected[index]
            || self
                .group
                .unconfirmed
                .iter()
                .any(|entry| member.log.contains(entry));
        let known = rules.bounds.successes_need_counted && self.reader.known[index];
        if !known || member.absent || !is_useful {
            return false;
        }
        let before = self.reader.clone();
        let reader = &mut self.reader;
        reader.received[index].clone_from(&member.log);
        let is_new = !std::mem::replace(&mut reader.connected[index], true);
        if is_new && rules.mutation != Mutation::RestartsUnnoticed {
            reader.uncount(index);
        }
        before != self.reader
    }

    /// Reads the directory, as the proxy that passes on successes.
    fn read_directory(&mut self, rules: &Rules) -> bool {
        if !rules.bounds.successes_need_counted {
            return false;
        }
        let before = self.reader.clone();
        let leavers_counted = rules.mutation == Mutation::LeaversCounted;
        for member in 0..MEMBERS {
            let leaves = self.leaves && member == 1;
            let known = self.listed[member] && (!leaves || leavers_counted);
            let reader = &mut self.reader;
            reader.known[member] = known;
            if !known {
                reader.uncount(member);
            } else if rules.mutation == Mutation::ListedMembersCounted {
                reader.counted[member] = true;
            }
        }
        if self.leaves && rules.bounds.ends && self.log_of_leaver.is_none() {
            self.log_of_leaver = Some(self.group.members[1].log.clone());
            return true;
        }
        before != self.reader
    }

    /// Reads the claim row, as the proxy that reads. The row of an attempt in progress has no target, and its claim has not
    /// expired.
    fn read_claim_row(&mut self, rules: &Rules, delayed: bool) -> bool {
        let may_change = rules.bounds.fenced && !self.row.settled;
        let in_progress = !self.row.expired
            && (self.row.target.is_none() || may_change)
            && rules.mutation != Mutation::ClaimInProgressStartsLease;
        let lost = self.row.era < self.era && rules.mutation != Mutation::LostClaimStartsLease;
        if in_progress || lost || rules.bounds.store_silent {
            return false;
        }
        let reader = &self.reader;
        let counts = |member: usize| reader.known[member] && reader.connected[member];
        let counted = std::array::from_fn(counts);
        self.ask(
            rules,
            Evidence::Claim(self.row.last_ordered, counted),
            delayed,
        )
    }

    /// Applies evidence at once or lets it arrive later.
    fn ask(&mut self, rules: &Rules, evidence: Evidence, delayed: bool) -> bool {
        let now_ms = self.now_ms(rules);
        if !rules.bounds.reads {
            return false;
        }
        if !delayed {
            let before = self.reader.clone();
            self.apply_evidence(rules, evidence, now_ms);
            return before != self.reader;
        }
        let allowed = rules.bounds.delayed_evidence && self.reader.delayed.is_none();
        if allowed {
            self.reader.delayed = Some((now_ms, evidence));
        }
        allowed
    }

    fn apply_delayed_evidence(&mut self, rules: &Rules) -> bool {
        let Some((asked_at_ms, evidence)) = self.reader.delayed.take() else {
            return false;
        };
        self.apply_evidence(rules, evidence, asked_at_ms);
        true
    }

    /// Applies evidence that was asked for at `asked_at_ms` and arrives now.
    fn apply_evidence(&mut self, rules: &Rules, evidence: Evidence, asked_at_ms: u32) {
        let now_ms = self.now_ms(rules);
        let mutation = rules.mutation;
        // The believed leader must have shown that it leads the term, in an answer that was asked for after the row was read.
        let old = mutation == Mutation::OldBeliefsStartLeases;
        let beliefs = self.group.beliefs(old);
        let lease = &mut self.reader.lease;
        match evidence {
            Evidence::Claim(last_ordered, counted) => {
                let mut starts = false;
                for believed in beliefs {
                    starts |=
                        lease.start_lease_from_claim(mutation, last_ordered, believed, asked_at_ms);
                }
                let reader = &mut self.reader;
                for (known, counts) in reader.counted.iter_mut().zip(counted) {
                    *known |= starts && counts;
                }
            }
            Evidence::Status { member, term, free } => {
                lease.observe_next_term(mutation, term, asked_at_ms);
                if free {
                    lease.extend_lease(mutation, term, asked_at_ms, now_ms);
                }
                if !rules.bounds.store_silent {
                    return;
                }
                let known = self.reader.consents[member].filter(|consent| consent.term == term);
                self.reader.consents[member] = free.then_some(Consent {
                    term,
                    first_asked_at_ms: known
                        .map_or(asked_at_ms, |consent| consent.first_asked_at_ms),
                    last_asked_at_ms: known.map_or(asked_at_ms, |consent| {
                        consent.last_asked_at_ms.max(asked_at_ms)
                    }),
                });
                let reader = &mut self.reader;
                let counts = rules.bounds.successes_need_counted;
                let known = match counts {
                    true => reader.known,
                    false => self.listed,
                };
                for believed in beliefs {
                    let consents = &reader.consents;
                    let lease = &mut reader.lease;
                    let start_ms =
                        lease.start_lease_from_members(mutation, consents, &known, believed);
                    for (counted, consent) in reader.counted.iter_mut().zip(consents) {
                        // Its connection is older than the evidence.
                        *counted |= counts
                            && consent
                                .is_some_and(|consent| start_ms > Some(consent.first_asked_at_ms));
                    }
                }
            }
        }
    }

    /// Reads at a member that leads the term of the lease.
    fn read(&mut self, rules: &Rules, index: usize) -> bool {
        let member = &self.group.members[index];
        let covered = self.reader.lease.covers(member.term, self.now_ms(rules));
        let allowed = member.leads && rules.bounds.reads;
        if allowed && (covered || rules.mutation == Mutation::LeasesIgnored) {
            self.group.read(index);
        }
        self.group.violation.is_some()
    }

    /// Passes on the success of a write within the lease of its term or, with [`Bounds::successes_need_trust`], while the claim row
    /// shows that nobody replaces its leader.
    fn confirm(&mut self, rules: &Rules, entry: Entry) -> bool {
        let leader = self.group.leader_of(entry.0);
        let is_undisputed = leader.is_some_and(|leader| {
            let is_free = self.row.settled || self.row.expired;
            is_free && self.row.last_ordered == LastOrdered::Member(leader)
        });
        let lease = self.reader.lease;
        let covered = match rules.bounds.successes_need_trust {
            true => is_undisputed,
            false if rules.bounds.fenced => lease.term == entry.0,
            false => lease.covers(entry.0, self.now_ms(rules)),
        };
        let uncounted = !rules.bounds.successes_need_counted
            || rules.mutation == Mutation::ConfirmersNotCounted;
        let counts = |member: usize| {
            self.reader.counted[member]
                && Some(member) != leader
                && self.reader.received[member].contains(&entry)
        };
        let allowed = covered && (uncounted || (0..MEMBERS).any(counts))
            || rules.mutation == Mutation::SuccessesNotCovered;
        if allowed {
            self.group.confirm(entry);
        }
        allowed
    }

    /// Lets time pass, so that the claim expires. No release command may be under way then: one that was sent has arrived or
    /// is lost before the claim expires.
    fn pause(&mut self, rules: &Rules) -> bool {
        let releases = |(_, message): &(usize, Message)| matches!(message, Message::Release(_));
        let none_released =
            rules.mutation == Mutation::ReleasedLate || !self.in_flight.iter().any(releases);
        // An order that is not fenced is sent early enough to arrive before its claim expires.
        let orders = |(_, message): &(usize, Message)| matches!(message, Message::Order(..));
        let none_ordered = rules.bounds.fenced || !self.in_flight.iter().any(orders);
        let allowed =
            self.pauses < rules.bounds.pauses && none_released && none_ordered && !self.row.expired;
        self.pauses += u8::from(allowed);
        self.row.expired |= allowed;
        let is_held = |index: usize| {
            let member = &self.group.members[index];
            index == 1 || member.leads || member.absent || member.held > 0
        };
        let none_attempts = self.proxies.iter().all(|proxy| proxy.attempt.is_none());
        self.outlasted |=
            allowed && none_attempts && self.log_of_leaver.is_some() && (0..MEMBERS).all(is_held);
        allowed
    }

    /// Brings the store back from its first state, without claims. Calls under way may still be executed.
    fn restore(&mut self, rules: &Rules) -> bool {
        let allowed = self.era < u64::from(rules.bounds.restores);
        if allowed {
            self.era += 1;
            self.row = Row {
                settled: true,
                expired: true,
                ..Row::default()
            };
            self.claims_lost = true;
        }
        allowed
    }

    /// Lets so much time pass that no claim or order of an earlier era is in force.
    fn end_lost_claims(&mut self) -> bool {
        let acts = |(_, message): &(usize, Message)| match message {
            Message::Order(..) | Message::Release(_) => true,
            Message::Late(call) => matches!(**call, Message::Order(..)),
            _ => false,
        };
        let allowed = self.claims_lost && !self.in_flight.iter().any(acts);
        if allowed {
            self.claims_lost = false;
            self.pauses += 1;
            self.row.expired = true;
        }
        allowed
    }

    /// Tells a proxy the era of the store.
    fn learn_era(&mut self, rules: &Rules, proxy: usize) -> bool {
        if self.proxies[proxy].known_era == self.era {
            return false;
        }
        self.proxies[proxy].known_era = self.era;
        let now = self.now(rules);
        let input: Input = Box::new(move |attempt, _, out| attempt.end_era(now, out));
        self.apply(rules, proxy, input);
        true
    }

    /// Starts a proxy's attempt to replace the member that it believes to lead: the initial leader or the current one.
    fn start_attempt(
        &mut self,
        rules: &Rules,
        proxy: usize,
        old_leader: Option<usize>,
        term: u8,
    ) -> bool {
        let Some(old_leader) = old_leader.filter(|_| self.proxies[proxy].attempts_left > 0) else {
            return false;
        };
        if self.proxies[proxy].attempt.is_some() {
            return false;
        }
        self.proxies[proxy].attempts_left -= 1;
        self.proxies[proxy].directory_reads = 0;
        self.proxies[proxy].trust_awaited = false;
        self.proxies[proxy].queue_awaited = false;
        let mut leader = LeaderBelief::default();
        leader.member = Some(old_leader as id::MemberId);
        leader.term = term.into();
        let now = self.now(rules);
        let reason = rules.bounds.reason;
        let waived = matches!(
            rules.mutation,
            Mutation::LeasesNotAwaited | Mutation::OlderOrdersEnded
        );
        let fenced = rules.bounds.fenced || waived;
        let attempt = Attempt::new(GROUP, &proxy.to_string(), fenced, reason, &leader, now);
        self.proxies[proxy].attempt = Some(attempt);
        self.tick(rules, proxy)
    }

    fn tick(&mut self, rules: &Rules, proxy: usize) -> bool {
        if self.proxies[proxy].attempt.is_none() {
            return false;
        }
        let before = (self.proxies[proxy].clone(), self.in_flight.len());
        let now = self.now_at(rules, proxy);
        let input: Input = Box::new(move |attempt, roster, out| attempt.tick(now, roster, out));
        self.apply(rules, proxy, input);
        before != (self.proxies[proxy].clone(), self.in_flight.len())
    }

    /// Applies an input to a proxy's attempt, and sends the messages that follow from it.
    fn apply(&mut self, rules: &Rules, proxy: usize, input: Input) {
        let now = self.now_at(rules, proxy);
        let leaves = self.leaves;
        let listed = self.listed;
        let participant = |member: usize| Participant {
            member: member as id::MemberId,
            name: member.to_string().into(),
            listed: true,
            leaving: leaves && member == 1,
            may_run: true,
            answered_at: None,
        };
        let roster = Roster {
            members: (0..MEMBERS)
                .filter(|member| listed[*member])
                .map(participant)
                .collect(),
            is_complete: true,
            ..Roster::default()
        };
        let Some(attempt) = &mut self.proxies[proxy].attempt else {
            return;
        };
        let mut out = Vec::new();
        let mut progress = input(attempt, &roster, &mut out);
        // Ticks that change the attempt follow at once.
        while matches!(progress, Progress::Ongoing) {
            let before = (attempt.clone(), out.len());
            progress = attempt.tick(now, &roster, &mut out);
            if before == (attempt.clone(), out.len()) {
                break;
            }
        }
        if matches!(progress, Progress::Ongoing) && rules.awaits_trust_at_once() {
            let waits = |attempt: &Attempt| attempt.step_token_and_target().0 == "holding";
            let (mut waited, mut sent) = (attempt.clone(), Vec::new());
            let later = now + trust::TRUST_DURATION;
            let outcome = waited.tick(later, &roster, &mut sent);
            let ends_wait = outcome != Progress::Ongoing || !waits(&waited);
            if waits(attempt) && ends_wait && !self.proxies[proxy].trust_awaited {
                (*attempt, progress) = (waited, outcome);
                out.extend(sent);
                self.proxies[proxy].trust_awaited = true;
            }
            let (mut waited, mut sent) = (attempt.clone(), Vec::new());
            let outcome = waited.tick(now + QUEUE_DURATION, &roster, &mut sent);
            let has_stopped = attempt.choice_basis(&roster).log_end.is_some()
                && attempt.step_token_and_target().0 == "stopping";
            if has_stopped && !sent.is_empty() && !self.proxies[proxy].queue_awaited {
                (*attempt, progress) = (waited, outcome);
                out.extend(sent);
                self.proxies[proxy].queue_awaited = true;
                // Answers to commands that were sent before the wait are told from later ones.
                self.proxies[proxy].directory_reads += 1;
            }
        }
        if !matches!(progress, Progress::Ongoing) {
            self.proxies[proxy].attempt = None;
        }
        let reads = self.proxies[proxy].directory_reads;
        let mut loads = false;
        for effect in out {
            let message = match effect {
                Effect::LoadClaim(_) => {
                    loads = true;
                    continue;
                }
                Effect::StoreClaim {
                    claim, revision, ..
                } => Message::Store {
                    token: claim.token,
                    target: claim.target.as_deref().and_then(|name| name.parse().ok()),
                    settled: claim.settled,
                    era: claim.era,
                    revision: (revision.era, revision.version),
                },
                Effect::OrderPromotion { until, .. } if until.is_some_and(|until| now >= until) => {
                    continue;
                }
                Effect::OrderPromotion { member, token, .. } => {
                    Message::Order(member as usize, token)
                }
                Effect::SendCommand {
                    member, command, ..
                } => {
                    let member = member as usize;
                    match command {
                        MemberCommand::Status => Message::Status(member, reads),
                        MemberCommand::Hold(term) => Message::Hold(member, term as u8, reads),
                        MemberCommand::Demote(term) => Message::Demote(member, term as u8, reads),
                        MemberCommand::Release { until } => {
                            if now >= until && rules.mutation != Mutation::ReleasedLate {
                                continue;
                            }
                            Message::Release(member)
                        }
                    }
                }
                Effect::ReadDirectory(_) => Message::Directory,
                _ => continue,
            };
            self.in_flight.push((proxy, message));
        }
        if loads {
            self.proxies[proxy].known_era = self.era;
            let stored = self.stored_claim(rules);
            let loaded: Input =
                Box::new(move |attempt, _, out| attempt.apply_claim(now, now, Some(stored), out));
            self.apply(rules, proxy, loaded);
        }
    }

    /// Delivers a message.
    fn deliver(&mut self, rules: &Rules, index: usize) -> bool {
        let (proxy, message) = self.in_flight.remove(index);
        let now = self.now_at(rules, proxy);
        match message {
            Message::Store { .. } => {
                let outcome = match self.write_row(rules, proxy, &message) {
                    true => StoreOutcome::Written(self.revision(rules)),
                    false => StoreOutcome::Conflict,
                };
                let input: Input = Box::new(move |attempt, roster, out| {
                    attempt.apply_store_outcome(now, outcome, roster, out)
                });
                self.apply(rules, proxy, input);
            }
            Message::Order(target, token) => {
                let check_token = rules.checks_tokens();
                let outcome = match self.group.order(target, token, proxy, check_token) {
                    true => OrderOutcome::Accepted,
                    false => OrderOutcome::Refused,
                };
                let input: Input =
                    Box::new(move |attempt, _, out| attempt.apply_order_outcome(now, outcome, out));
                self.apply(rules, proxy, input);
            }
            Message::Release(_) => self.apply_command(&message),
            Message::Directory => {
                // Unless it is listed late, a member has an entry before it receives.
                let listed_late =
                    rules.bounds.listed_late || rules.mutation == Mutation::JoinsNotListed;
                for (member, listed) in self.group.members.iter().zip(&mut self.listed) {
                    *listed |= !member.absent && !listed_late;
                }
                self.proxies[proxy].directory_reads += 1;
                let now = self.now_at(rules, proxy);
                let input: Input = Box::new(move |attempt, roster, out| {
                    attempt.apply_directory(now, true, roster, out)
                });
                self.apply(rules, proxy, input);
            }
            Message::Hold(member, _, reads)
            | Message::Demote(member, _, reads)
            | Message::Status(member, reads) => {
                if self.group.members[member].ended {
                    self.miss_answer(rules, proxy, member, reads);
                    return true;
                }
                let ignores_demotions = rules.mutation == Mutation::DemotionsIgnored;
                let ignored = ignores_demotions && matches!(message, Message::Demote(..));
                if !ignored {
                    self.apply_command(&message);
                }
                let attempt = self.proxies[proxy].attempt.as_ref();
                let has_answered_demotion = attempt.is_some_and(|attempt| {
                    attempt.choice_basis(&Roster::default()).log_end.is_some()
                });
                let mut status = self.group.status(member);
                status.leads &= !(ignored || ignores_demotions && has_answered_demotion);
                let answer = Message::Answer(
                    member,
                    status.leads,
                    status.term as u8,
                    (status.received.term as u8, status.received.position as u8),
                    status.held_term as u8,
                    reads,
                );
                self.in_flight.push((proxy, answer));
                if !rules.bounds.delayed_answers {
                    return self.deliver(rules, self.in_flight.len() - 1);
                }
            }
            Message::Answer(member, leads, term, (last_term, position), held, reads) => {
                let sent_at = self.sent_at(rules, proxy, reads);
                let status = MemberStatus {
                    leads,
                    term: term.into(),
                    received: floor::Point::new(last_term.into(), position.into()),
                    held_term: held.into(),
                };
                let input: Input = Box::new(move |attempt, roster, out| {
                    let member = member as id::MemberId;
                    attempt.apply_status(now, member, sent_at, Some(status), roster, out)
                });
                self.apply(rules, proxy, input);
            }
            Message::Late(call) => match *call {
                Message::Store { .. } => {
                    self.write_row(rules, proxy, &call);
                }
                Message::Order(target, token) => {
                    let check_token = rules.checks_tokens();
                    self.group.order(target, token, proxy, check_token);
                }
                _ => {}
            },
        }
        true
    }

    /// Loses the answer to a call, or a command together with its answer. The call may still take effect later.
    fn lose(&mut self, rules: &Rules, index: usize) -> bool {
        if self.lost_answers_left == 0 || matches!(self.in_flight[index].1, Message::Answer(..)) {
            return false;
        }
        self.lost_answers_left -= 1;
        let (proxy, message) = self.in_flight.remove(index);
        let now = self.now_at(rules, proxy);
        match &message {
            Message::Store { .. } => {
                let late = Message::Late(Box::new(message));
                self.in_flight.push((proxy, late));
                let input: Input = Box::new(move |attempt, roster, out| {
                    attempt.apply_store_outcome(now, StoreOutcome::Unknown, roster, out)
                });
                self.apply(rules, proxy, input);
            }
            Message::Order(..) => {
                let late = Message::Late(Box::new(message));
                self.in_flight.push((proxy, late));
                let input: Input = Box::new(move |attempt, _, out| {
                    attempt.apply_order_outcome(now, OrderOutcome::Unknown, out)
                });
                self.apply(rules, proxy, input);
            }
            Message::Hold(member, _, reads)
            | Message::Demote(member, _, reads)
            | Message::Status(member, reads) => {
                self.miss_answer(rules, proxy, *member, *reads);
            }
            Message::Directory => {
                let input: Input = Box::new(move |attempt, roster, out| {
                    attempt.apply_directory(now, false, roster, out)
                });
                self.apply(rules, proxy, input);
            }
            Message::Late(_) | Message::Release(_) | Message::Answer(..) => {}
        }
        true
    }

    /// Tells a proxy that a member has not answered a command.
    fn miss_answer(&mut self, rules: &Rules, proxy: usize, member: usize, reads: u8) {
        let now = self.now_at(rules, proxy);
        let sent_at = self.sent_at(rules, proxy, reads);
        let member = member as id::MemberId;
        let input: Input = Box::new(move |attempt, roster, out| {
            attempt.apply_status(now, member, sent_at, None, roster, out)
        });
        self.apply(rules, proxy, input);
    }

    fn apply_command(&mut self, message: &Message) {
        match message {
            Message::Hold(member, term, _) => self.group.hold(*member, *term),
            Message::Release(member) => self.group.release(*member),
            Message::Demote(member, term, _) => self.group.demote(*member, *term),
            _ => {}
        }
    }

    fn write_row(&mut self, rules: &Rules, proxy: usize, message: &Message) -> bool {
        let Message::Store {
            token,
            target,
            settled,
            era,
            revision: (_, version),
        } = *message
        else {
            return false;
        };
        let conditional = rules.mutation != Mutation::ClaimUnconditional;
        if conditional && version != self.row.revision {
            return false;
        }
        let kept = rules.mutation == Mutation::LastOrderedKeptAcrossEras;
        let last_ordered = match target {
            Some(target) => LastOrdered::Member(target),
            None if era > self.row.era && !kept => LastOrdered::Unknown,
            None => self.row.last_ordered,
        };
        self.row = Row {
            holder: proxy,
            token,
            target,
            settled,
            revision: self.row.revision + 1,
            expired: false,
            era,
            last_ordered,
        };
        true
    }

    /// Returns the revision of the claim row.
    fn revision(&self, rules: &Rules) -> Revision {
        let era = match rules.mutation == Mutation::TokensWithoutEra {
            true => 0,
            false => self.era,
        };
        let version = self.row.revision;
        Revision { era, version }
    }

    fn stored_claim(&self, rules: &Rules) -> claim::ClaimRow {
        // The broker extends the claim of such a row.
        let lost = self.claims_lost
            && self.row.era < self.era
            && rules.mutation != Mutation::LostClaimsIgnored;
        let forgotten = rules.mutation == Mutation::OrdersForgotten;
        claim::ClaimRow {
            claim: claim::Claim {
                holder: self.row.holder.to_string().into(),
                token: self.row.token,
                target: self.row.target.map(|target| target.to_string().into()),
                settled: self.row.settled || forgotten,
                until_ms: 1,
                // Orders never end by their age.
                order_ends_ms: u64::MAX,
                era: self.row.era,
                last_ordered: claim::LastOrdered::default(),
                led_term: 0,
                choice: None,
            },
            revision: self.revision(rules),
            now_ms: u64::from(self.row.expired && !lost),
        }
    }
}
