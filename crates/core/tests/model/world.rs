//! A state of the search, with members, claimants, an acknowledging proxy and undelivered messages, and every step that
//! leads to another state.

use std::collections::BTreeSet;
use std::rc::Rc;

use fulmarlift_core::{effect, event, floor, status};

use crate::model::claimant::{Claimant, Observation};
use crate::model::member::{Entry, MEMBERS, Member};
use crate::model::rules::{CLAIMANTS, Message, Mutation, Rules, SentRequest};

const READ: u64 = 1;

/// A member's report that arrives later than it was made.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Report {
    member: usize,
    status: event::Status,
    requested_after_read: bool,
}

/// Stage of the read without a token.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Read {
    NotArrived,
    /// The read waits for its index. These writes were acknowledged before it arrived.
    Waiting(Vec<(u8, floor::Point)>),
    /// The read has its index. It must see these writes on any member at or past the index.
    Indexed(Vec<(u8, floor::Point)>, floor::Point),
}

/// A state of the search.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub members: [Member; MEMBERS],
    claimants: [Rc<Claimant>; CLAIMANTS],
    /// Undelivered messages, sorted.
    messages: Vec<Message>,
    confirmations: Rc<status::Confirmations>,
    read_index_waits: Rc<status::ReadIndexWaits>,
    /// Number of writes that a primary has committed.
    written: u8,
    pub acknowledged: Vec<(u8, floor::Point)>,
    pub read: Read,
    /// Report that newer ones may overtake.
    delayed: Option<Report>,
    /// Terms and members of all primaries so far, by term.
    pub primaries: Vec<(u8, usize)>,
    violation: Option<&'static str>,
}

impl World {
    /// Returns the first state: member 0 is the primary of term 1, and all members have its log.
    pub fn new() -> Self {
        let mut start = Member {
            term: 1,
            ..Member::default()
        };
        start.log.push(Entry { term: 1, write: 0 });
        let primary = Member {
            primary: true,
            primary_of_term: 1,
            ..start
        };
        Self {
            members: [primary, start, start],
            claimants: Default::default(),
            messages: Vec::new(),
            confirmations: Rc::default(),
            read_index_waits: Rc::default(),
            written: 0,
            acknowledged: Vec::new(),
            read: Read::NotArrived,
            delayed: None,
            primaries: vec![(1, 0)],
            violation: None,
        }
    }

    /// Returns the invariant that this state breaks.
    pub fn violation(&self) -> Option<&'static str> {
        self.violation
    }

    /// Returns whether a claimant is in a handover and has not found a successor yet.
    pub fn is_handing_over(&self) -> bool {
        let mut claimants = self.claimants.iter();
        claimants.any(|claimant| claimant.is_handing_over())
    }

    /// Appends every state that one step from this one leads to.
    pub fn successors(&self, rules: &Rules, next: &mut Vec<Self>) {
        if self.is_finished(rules) {
            return;
        }
        self.push_attempts(rules, next);
        self.push_deliveries(rules, next);
        self.push_replication(rules, next);
        self.push_writes(rules, next);
        self.push_reports(rules, next);
        self.push_reads(rules, next);
    }

    /// Returns whether no later step can break an invariant: all writes are decided and none is acknowledged.
    fn is_finished(&self, rules: &Rules) -> bool {
        let has_undecided_writes =
            self.written < rules.bounds.writes || !self.confirmations.is_empty();
        rules.bounds.writes > 0 && !has_undecided_writes && self.acknowledged.is_empty()
    }

    /// Drops messages that their member would refuse: for the claimant, a refused message equals a lost one.
    fn drop_refused(&mut self, rules: &Rules) {
        let members = &self.members;
        let shared = rules.mutation == Mutation::SharedGrants;
        self.messages.retain(|message| match message {
            Message::Fence(request) => {
                let member = &members[request.member];
                let same = shared || usize::from(member.claimant) == request.claimant + 1;
                request.term > member.term || request.term == member.term && same
            }
            Message::Promote(request) => request.term >= members[request.member].term,
        });
    }

    /// Ends attempts that have sent their promotion: the answer to it changes nothing.
    fn end_promotions(&mut self) {
        for claimant in &mut self.claimants {
            if claimant.is_promoting() {
                Rc::make_mut(claimant).time_out();
            }
        }
    }

    /// Appends the state after `change`.
    fn push(&self, rules: &Rules, next: &mut Vec<Self>, change: impl FnOnce(&mut Self)) {
        let mut world = self.clone();
        change(&mut world);
        world.finish_step(rules);
        next.push(world);
    }

    fn push_attempts(&self, rules: &Rules, next: &mut Vec<Self>) {
        for (id, claimant) in self.claimants.iter().enumerate() {
            if claimant.is_handing_over() {
                self.push(rules, next, |world| world.tick(rules, id));
                self.push(rules, next, |world| world.time_out(rules, id));
                continue;
            }
            // Timing out changes nothing for a claimant without another attempt.
            if claimant.attempts >= rules.bounds.attempts[id] {
                continue;
            }
            if !claimant.is_idle() {
                self.push(rules, next, |world| world.time_out(rules, id));
                continue;
            }
            let terms: BTreeSet<u8> = self.members.iter().map(|member| member.term).collect();
            for term in terms {
                self.push(rules, next, |world| {
                    world.start(rules, id, Observation::PrimaryMissed(term))
                });
            }
            if rules.bounds.handovers {
                let statuses = self.statuses();
                self.push(rules, next, |world| {
                    world.start(rules, id, Observation::PrimaryLeaving(&statuses))
                });
            }
        }
    }

    fn statuses(&self) -> [event::Status; MEMBERS] {
        self.members.each_ref().map(Member::status)
    }

    fn start(&mut self, rules: &Rules, id: usize, observation: Observation<'_>) {
        let claimant = Rc::make_mut(&mut self.claimants[id]);
        if rules.mutation == Mutation::ReuseTerm {
            claimant.failover.used_term = 0;
        }
        if let Some(effects) = claimant.start(rules.now, observation) {
            self.send(rules, id, effects);
        }
    }

    fn tick(&mut self, rules: &Rules, id: usize) {
        let statuses = self.statuses();
        let claimant = Rc::make_mut(&mut self.claimants[id]);
        let effects = claimant.tick(rules.now, Observation::PrimaryLeaving(&statuses));
        self.send(rules, id, effects);
    }

    fn time_out(&mut self, rules: &Rules, id: usize) {
        let effects = Rc::make_mut(&mut self.claimants[id]).time_out();
        self.send(rules, id, effects);
    }

    fn send(&mut self, rules: &Rules, claimant: usize, effects: Vec<effect::Effect>) {
        for effect in effects {
            let sent_request = |request: effect::TermRequest| SentRequest {
                claimant,
                member: request.member as usize,
                term: request.term as u8,
                control_request: request.control_request,
            };
            match effect {
                effect::Effect::Fence(request) => {
                    self.messages.push(Message::Fence(sent_request(request)));
                }
                effect::Effect::Promote(request) => {
                    let mut request = sent_request(request);
                    if rules.mutation == Mutation::PromoteFirst {
                        request.member = self.first_granted(claimant, request.term);
                    }
                    self.messages.push(Message::Promote(request));
                }
                _ => {}
            }
        }
        self.messages.sort_unstable();
    }

    /// Returns the first member that granted the term to the claimant.
    fn first_granted(&self, claimant: usize, term: u8) -> usize {
        let granted =
            |member: &Member| member.term == term && member.claimant == claimant as u8 + 1;
        let first = self.members.iter().position(granted);
        first.expect("a promotion follows grants")
    }

    fn push_deliveries(&self, rules: &Rules, next: &mut Vec<Self>) {
        for message in &self.messages {
            for answered in [true, false] {
                if !answered && !rules.bounds.lost_answers {
                    continue;
                }
                self.push(rules, next, |world| {
                    world.messages.retain(|other| other != message);
                    world.deliver(rules, message, answered);
                });
            }
        }
    }

    fn deliver(&mut self, rules: &Rules, message: &Message, answered: bool) {
        let (request, granted) = match *message {
            Message::Fence(request) => {
                let member = &mut self.members[request.member];
                let claimant = request.claimant as u8 + 1;
                let granted = member.fence(request.term, claimant, rules.broken_rules());
                (request, granted)
            }
            Message::Promote(request) => {
                let member = &mut self.members[request.member];
                let claimant = request.claimant as u8 + 1;
                let granted = member.promote(request.term, claimant, rules.broken_rules());
                if granted && !self.primaries.contains(&(request.term, request.member)) {
                    self.primaries.push((request.term, request.member));
                    self.primaries.sort_unstable();
                }
                (request, granted)
            }
        };
        if answered {
            let status = self.members[request.member].status();
            self.answer_claimant(rules, request, status, granted);
        }
    }

    fn answer_claimant(
        &mut self,
        rules: &Rules,
        request: SentRequest,
        status: event::Status,
        granted: bool,
    ) {
        self.record_report(rules, request.member, status);
        let mut answers = vec![(request.member, request.control_request)];
        if rules.mutation == Mutation::FenceMinority {
            let other = (request.member + 1) % MEMBERS;
            answers.push((
                other,
                request.control_request + other as u64 - request.member as u64,
            ));
        }
        for (member, control_request) in answers {
            let answer = event::TermAnswer {
                control_request,
                group: 1,
                member: member as u64,
                result: Some((status, granted)),
            };
            let claimant = Rc::make_mut(&mut self.claimants[request.claimant]);
            let effects =
                claimant.answer_term_request(rules.now, Observation::PrimaryMissed(0), answer);
            self.send(rules, request.claimant, effects);
        }
    }

    fn push_replication(&self, rules: &Rules, next: &mut Vec<Self>) {
        for source in 0..MEMBERS {
            for replica in (0..MEMBERS).filter(|replica| *replica != source) {
                let mut world = self.clone();
                let primary = self.members[source];
                if world.members[replica].follow(&primary, rules.broken_rules()) {
                    world.finish_step(rules);
                    next.push(world);
                }
            }
        }
    }

    fn push_writes(&self, rules: &Rules, next: &mut Vec<Self>) {
        if self.written >= rules.bounds.writes {
            return;
        }
        for member in (0..MEMBERS).filter(|member| self.members[*member].primary) {
            self.push(rules, next, |world| {
                world.written += 1;
                let write = world.written;
                let point = world.members[member].write(write);
                let confirmations = Rc::make_mut(&mut world.confirmations);
                confirmations.add(u64::from(write), point, member as u64);
            });
        }
    }

    fn push_reports(&self, rules: &Rules, next: &mut Vec<Self>) {
        if self.confirmations.is_empty() && !matches!(self.read, Read::Waiting(_)) {
            return;
        }
        for member in 0..MEMBERS {
            let report = Report {
                member,
                status: self.members[member].status(),
                requested_after_read: !matches!(self.read, Read::NotArrived),
            };
            self.push(rules, next, |world| world.report(rules, report));
            if rules.bounds.delayed_reports && self.delayed.is_none() {
                self.push(rules, next, |world| world.delayed = Some(report));
            }
        }
        if let Some(report) = self.delayed {
            self.push(rules, next, |world| {
                world.delayed = None;
                world.report(rules, report);
            });
        }
    }

    fn report(&mut self, rules: &Rules, report: Report) {
        self.record_report(rules, report.member, report.status);
        let Read::Waiting(before) = &self.read else {
            return;
        };
        let majority = match rules.mutation {
            Mutation::IndexOfPrimary if !report.status.primary => return,
            Mutation::IndexOfPrimary => 1,
            _ => MEMBERS / 2 + 1,
        };
        let after =
            report.requested_after_read || rules.mutation == Mutation::IndexOfEarlierAnswers;
        let started_at = match after {
            true => rules.read_at(),
            false => rules.before_read(),
        };
        let last = report.status.last;
        let member = report.member as u64;
        let indexed = Rc::make_mut(&mut self.read_index_waits)
            .record_report(member, started_at, last, majority);
        if let [(_, index)] = indexed.as_slice() {
            self.read = Read::Indexed(before.clone(), *index);
        }
    }

    fn record_report(&mut self, rules: &Rules, member: usize, mut status: event::Status) {
        if rules.mutation == Mutation::VoteAtAnyTerm {
            status.term = status.last.term;
        }
        let members = match rules.mutation {
            Mutation::AcknowledgeAlone => 1,
            _ => MEMBERS,
        };
        let confirmations = Rc::make_mut(&mut self.confirmations);
        let decided = confirmations.record_report(member as u64, status, members);
        for (request, point) in decided.confirmed {
            self.acknowledged.push((request as u8, point));
            self.acknowledged.sort_unstable();
        }
    }

    fn push_reads(&self, rules: &Rules, next: &mut Vec<Self>) {
        if rules.bounds.reads && self.read == Read::NotArrived && !self.acknowledged.is_empty() {
            self.push(rules, next, |world| {
                Rc::make_mut(&mut world.read_index_waits).add(READ, rules.read_at());
                world.read = Read::Waiting(world.acknowledged.clone());
            });
        }
    }

    /// Removes what later steps cannot depend on, and checks the invariants.
    fn finish_step(&mut self, rules: &Rules) {
        self.drop_refused(rules);
        self.end_promotions();
        self.violation = self.find_violation();
    }
}
