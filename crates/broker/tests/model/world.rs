//! Proxies, the claim row, and messages under way.

use std::time::{Duration, Instant};

use fulmarlift_broker::claim;
use fulmarlift_broker::effect::{Effect, MemberCommand};
use fulmarlift_broker::event::{MemberStatus, OrderOutcome, StoreOutcome};
use fulmarlift_broker::failover::{Attempt, Progress, Voter};
use fulmarlift_broker::leader::{LeaderBelief, ReplaceReason};
use fulmarlift_core::id;

use crate::model::group::{Group, MEMBERS};

/// Time that passes while everybody stands still: longer than a claim.
const PAUSE: Duration = Duration::from_secs(10);
const GROUP: id::GroupId = 1;
pub const PROXIES: usize = 2;

/// How far a search goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Replacements that each proxy may begin.
    pub attempts: [u8; PROXIES],
    /// Writes.
    pub writes: u8,
    /// Times at which a claim's time passes while messages are under way.
    pub pauses: u8,
    /// Answers that may be lost; the call takes effect later, or never.
    pub lost_answers: u8,
    /// Whether members' answers may be overtaken by what happens after them.
    pub delayed_answers: bool,
    /// Whether an order to member 1 without an answer, of a claim that has lapsed, is under way from the start.
    pub late_order: bool,
    /// Whether member 1 may announce that it leaves.
    pub leaves: bool,
    /// Why leaders are replaced.
    pub reason: ReplaceReason,
}

/// A mechanism that is taken out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    None,
    /// Members that are held go on receiving.
    HoldsIgnored,
    /// The platform takes orders with any token.
    TokensUnchecked,
    /// A claim is written whatever the row holds.
    ClaimUnconditional,
    /// A claim says nothing of an order that may still be carried out.
    OrdersForgotten,
    /// Members are released after the claim's time.
    ReleasedLate,
}

/// What a search goes by.
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
}

/// What is handed to a proxy's attempt.
type Act = Box<dyn FnOnce(&mut Attempt, &[Voter], &mut Vec<Effect>) -> Progress>;

/// A message to or from a proxy.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Message {
    Store {
        token: u64,
        target: Option<usize>,
        settled: bool,
        revision: u64,
    },
    Hold(usize, u8),
    Release(usize),
    Demote(usize, u8),
    Status(usize),
    /// A member's answer: whether it leads, its term, the number of its last entry, the term up to which it is held.
    Answer(usize, bool, u8, u8, u8),
    Order(usize, u64),
    /// A call whose answer was lost and that may still take effect.
    Late(Box<Message>),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Proxy {
    attempt: Option<Attempt>,
    attempts_left: u8,
}

/// The claim row as the store has it.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Row {
    holder: usize,
    token: u64,
    target: Option<usize>,
    settled: bool,
    revision: u64,
    lapsed: bool,
}

/// Everything.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub group: Group,
    proxies: [Proxy; PROXIES],
    row: Row,
    /// Messages under way, each with its proxy.
    flight: Vec<(usize, Message)>,
    pauses: u8,
    lost_left: u8,
    leaves: bool,
}

impl World {
    pub fn new(rules: &Rules) -> Self {
        let proxy = |attempts_left| Proxy {
            attempt: None,
            attempts_left,
        };
        let mut world = Self {
            group: Group::new(rules.bounds.writes),
            proxies: rules.bounds.attempts.map(proxy),
            row: Row {
                settled: true,
                lapsed: true,
                ..Row::default()
            },
            flight: Vec::new(),
            pauses: 0,
            lost_left: rules.bounds.lost_answers,
            leaves: false,
        };
        if rules.bounds.late_order {
            world.row = Row {
                token: 1,
                target: Some(1),
                revision: 1,
                lapsed: true,
                ..Row::default()
            };
            let late = Message::Late(Box::new(Message::Order(1, 1)));
            world.flight.push((0, late));
            // Its claimant has left the others held.
            world.group.hold(1, 2);
            world.group.hold(2, 2);
        }
        world
    }

    /// Makes states equal that differ by the order of messages only.
    pub fn normalise(&mut self) {
        self.flight.sort_unstable();
    }

    /// Adds all states that may come next, each with what happens.
    pub fn successors(&self, rules: &Rules, next: &mut Vec<(String, Self)>) {
        let mut step = |what: String, act: &dyn Fn(&mut Self) -> bool| {
            let mut world = self.clone();
            world.group.promoted = false;
            if act(&mut world) {
                next.push((what, world));
            }
        };
        step("write".into(), &|world| world.group.write());
        step("promote".into(), &|world| world.group.promote());
        let ignores_holds = rules.mutation == Mutation::HoldsIgnored;
        for replica in 0..MEMBERS {
            step(format!("replicate {replica}"), &|world| {
                world.group.replicate(replica, ignores_holds)
            });
        }
        step("pause".into(), &|world| world.pause(rules));
        step("member 1 leaves".into(), &|world| {
            rules.bounds.leaves && !std::mem::replace(&mut world.leaves, true)
        });
        let leader = self.group.leader();
        let term = leader.map_or(1, |leader| self.group.members[leader].term);
        for proxy in 0..PROXIES {
            step(format!("proxy {proxy} replaces 0"), &|world| {
                world.begin(rules, proxy, Some(0), 1)
            });
            step(format!("proxy {proxy} replaces {leader:?}"), &|world| {
                world.begin(rules, proxy, leader, term)
            });
            step(format!("proxy {proxy} ticks"), &|world| {
                world.tick(rules, proxy)
            });
        }
        for (index, (proxy, message)) in self.flight.iter().enumerate() {
            step(format!("proxy {proxy}: {message:?}"), &|world| {
                world.deliver(rules, index)
            });
            step(format!("proxy {proxy}: {message:?} lost"), &|world| {
                world.lose(rules, index)
            });
        }
    }

    fn now(&self, rules: &Rules) -> Instant {
        rules.start + PAUSE * u32::from(self.pauses)
    }

    /// Time passes for all, so that a claim lapses. A release that was sent has arrived by then or never does.
    fn pause(&mut self, rules: &Rules) -> bool {
        let releases = |(_, message): &(usize, Message)| matches!(message, Message::Release(_));
        let free = rules.mutation == Mutation::ReleasedLate || !self.flight.iter().any(releases);
        let allowed = self.pauses < rules.bounds.pauses && free && !self.row.lapsed;
        self.pauses += u8::from(allowed);
        self.row.lapsed |= allowed;
        allowed
    }

    /// A proxy sets out to replace the member that it believes to lead: the first leader, or the present one.
    fn begin(&mut self, rules: &Rules, proxy: usize, old: Option<usize>, term: u8) -> bool {
        let Some(old) = old.filter(|_| self.proxies[proxy].attempts_left > 0) else {
            return false;
        };
        if self.proxies[proxy].attempt.is_some() {
            return false;
        }
        self.proxies[proxy].attempts_left -= 1;
        let mut leader = LeaderBelief::default();
        leader.member = Some(old as id::MemberId);
        leader.term = term.into();
        let now = self.now(rules);
        let reason = rules.bounds.reason;
        let attempt = Attempt::new(GROUP, &proxy.to_string(), reason, &leader, now);
        self.proxies[proxy].attempt = Some(attempt);
        self.tick(rules, proxy)
    }

    fn tick(&mut self, rules: &Rules, proxy: usize) -> bool {
        let before = self.clone();
        let now = self.now(rules);
        let act: Act = Box::new(move |attempt, voters, out| attempt.tick(now, voters, out));
        self.drive(rules, proxy, act);
        *self != before
    }

    /// Hands something to a proxy's attempt and sends what it asks for.
    fn drive(&mut self, rules: &Rules, proxy: usize, act: Act) {
        let now = self.now(rules);
        let Some(attempt) = &mut self.proxies[proxy].attempt else {
            return;
        };
        let leaves = self.leaves;
        let voter = |member: usize| Voter {
            member: member as id::MemberId,
            name: member.to_string().into(),
            eligible: !(leaves && member == 1),
        };
        let voters: Vec<Voter> = (0..MEMBERS).map(voter).collect();
        let mut out = Vec::new();
        let mut progress = act(attempt, &voters, &mut out);
        // What follows by itself follows at once.
        while matches!(progress, Progress::Going) {
            let before = (attempt.clone(), out.len());
            progress = attempt.tick(now, &voters, &mut out);
            if before == (attempt.clone(), out.len()) {
                break;
            }
        }
        if !matches!(progress, Progress::Going) {
            self.proxies[proxy].attempt = None;
        }
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
                    revision,
                },
                Effect::OrderPromotion { member, token, .. } => {
                    Message::Order(member as usize, token)
                }
                Effect::SendCommand {
                    member, command, ..
                } => {
                    let member = member as usize;
                    match command {
                        MemberCommand::Status => Message::Status(member),
                        MemberCommand::Hold(term) => Message::Hold(member, term as u8),
                        MemberCommand::Demote(term) => Message::Demote(member, term as u8),
                        MemberCommand::Release { until } => {
                            if now >= until && rules.mutation != Mutation::ReleasedLate {
                                continue;
                            }
                            Message::Release(member)
                        }
                    }
                }
                _ => continue,
            };
            self.flight.push((proxy, message));
        }
        if loads {
            let stored = self.stored(rules);
            let loaded: Act =
                Box::new(move |attempt, _, out| attempt.loaded(now, Some(stored), out));
            self.drive(rules, proxy, loaded);
        }
    }

    /// A message arrives.
    fn deliver(&mut self, rules: &Rules, index: usize) -> bool {
        let (proxy, message) = self.flight.remove(index);
        let now = self.now(rules);
        match message {
            Message::Store { .. } => {
                let outcome = match self.store(rules, proxy, &message) {
                    true => StoreOutcome::Written(self.row.revision),
                    false => StoreOutcome::Conflict,
                };
                let act: Act = Box::new(move |attempt, _, out| attempt.stored(now, outcome, out));
                self.drive(rules, proxy, act);
            }
            Message::Order(target, token) => {
                let check = rules.mutation != Mutation::TokensUnchecked;
                let outcome = match self.group.order(target, token, proxy, check) {
                    true => OrderOutcome::Accepted,
                    false => OrderOutcome::Refused,
                };
                let act: Act = Box::new(move |attempt, _, out| attempt.ordered(now, outcome, out));
                self.drive(rules, proxy, act);
            }
            Message::Release(_) | Message::Demote(..) => self.ask(&message),
            Message::Hold(member, _) | Message::Status(member) => {
                self.ask(&message);
                let told = self.group.status(member);
                let answer = Message::Answer(
                    member,
                    told.leads,
                    told.term as u8,
                    told.received.position as u8,
                    told.held_term as u8,
                );
                self.flight.push((proxy, answer));
                if !rules.bounds.delayed_answers {
                    return self.deliver(rules, self.flight.len() - 1);
                }
            }
            Message::Answer(member, leads, term, position, held) => {
                let status = MemberStatus {
                    leads,
                    term: term.into(),
                    received: fulmarlift_core::floor::Point::new(term.into(), position.into()),
                    held_term: held.into(),
                };
                let act: Act = Box::new(move |attempt, voters, out| {
                    attempt.answered(now, member as id::MemberId, Some(status), voters, out)
                });
                self.drive(rules, proxy, act);
            }
            Message::Late(call) => match *call {
                Message::Store { .. } => {
                    self.store(rules, proxy, &call);
                }
                Message::Order(target, token) => {
                    let check = rules.mutation != Mutation::TokensUnchecked;
                    self.group.order(target, token, proxy, check);
                }
                _ => {}
            },
        }
        true
    }

    /// A call's answer is lost, or a question with its answer. The call may still take effect later.
    fn lose(&mut self, rules: &Rules, index: usize) -> bool {
        if self.lost_left == 0 {
            return false;
        }
        self.lost_left -= 1;
        let (proxy, message) = self.flight.remove(index);
        let now = self.now(rules);
        match &message {
            Message::Store { .. } => {
                let late = Message::Late(Box::new(message));
                self.flight.push((proxy, late));
                let act: Act = Box::new(move |attempt, _, out| {
                    attempt.stored(now, StoreOutcome::Unknown, out)
                });
                self.drive(rules, proxy, act);
            }
            Message::Order(..) => {
                let late = Message::Late(Box::new(message));
                self.flight.push((proxy, late));
                let act: Act = Box::new(move |attempt, _, out| {
                    attempt.ordered(now, OrderOutcome::Unknown, out)
                });
                self.drive(rules, proxy, act);
            }
            Message::Hold(member, _) | Message::Status(member) => {
                let member = *member as id::MemberId;
                let act: Act = Box::new(move |attempt, voters, out| {
                    attempt.answered(now, member, None, voters, out)
                });
                self.drive(rules, proxy, act);
            }
            Message::Late(_) | Message::Release(_) | Message::Demote(..) => {}
            Message::Answer(..) => return false,
        }
        true
    }

    fn ask(&mut self, message: &Message) {
        match message {
            Message::Hold(member, term) => self.group.hold(*member, *term),
            Message::Release(member) => self.group.release(*member),
            Message::Demote(member, term) => self.group.demote(*member, *term),
            _ => {}
        }
    }

    fn store(&mut self, rules: &Rules, proxy: usize, message: &Message) -> bool {
        let Message::Store {
            token,
            target,
            settled,
            revision,
        } = *message
        else {
            return false;
        };
        let conditional = rules.mutation != Mutation::ClaimUnconditional;
        if conditional && revision != self.row.revision {
            return false;
        }
        self.row = Row {
            holder: proxy,
            token,
            target,
            settled,
            revision: self.row.revision + 1,
            lapsed: false,
        };
        true
    }

    fn stored(&self, rules: &Rules) -> claim::Stored {
        let forgotten = rules.mutation == Mutation::OrdersForgotten;
        claim::Stored {
            claim: claim::Claim {
                holder: self.row.holder.to_string().into(),
                token: self.row.token,
                target: self.row.target.map(|target| target.to_string().into()),
                settled: self.row.settled || forgotten,
                until_ms: 1,
            },
            revision: self.row.revision,
            now_ms: u64::from(self.row.lapsed),
        }
    }
}
