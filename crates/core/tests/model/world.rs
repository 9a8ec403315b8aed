//! Members, claimants, an acknowledging proxy and messages under way, and every step they may take.

use std::collections::BTreeSet;
use std::rc::Rc;

use fulmarlift_core::{effect, event, floor, status};

use crate::model::claimant::{Claimant, View};
use crate::model::member::{Entry, MEMBERS, Member};
use crate::model::rules::{CLAIMANTS, Message, Mutation, Question, Rules};

const READ: u64 = 1;

/// A report that will be overtaken.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Report {
    member: usize,
    status: event::Status,
    asked_after_read: bool,
}

/// A read without a token.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Read {
    Before,
    /// Waits; these writes were acknowledged before it arrived.
    Waiting(Vec<(u8, floor::Point)>),
    /// Must see these writes at any member at or past the index.
    Indexed(Vec<(u8, floor::Point)>, floor::Point),
}

/// A state of the search.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub members: [Member; MEMBERS],
    claimants: [Rc<Claimant>; CLAIMANTS],
    /// Sorted.
    messages: Vec<Message>,
    confirmations: Rc<status::Confirmations>,
    indexes: Rc<status::Indexes>,
    written: u8,
    pub acknowledged: Vec<(u8, floor::Point)>,
    pub read: Read,
    delayed: Option<Report>,
    /// Primaries so far, by term.
    pub primaries: Vec<(u8, usize)>,
    violation: Option<&'static str>,
}

impl World {
    /// Returns the first state: member 0 is the primary of term 1 and its log is everywhere.
    pub fn new() -> Self {
        let mut start = Member {
            term: 1,
            ..Member::default()
        };
        start.log.push(Entry { term: 1, write: 0 });
        let primary = Member {
            primary: true,
            leads: 1,
            ..start
        };
        Self {
            members: [primary, start, start],
            claimants: Default::default(),
            messages: Vec::new(),
            confirmations: Rc::default(),
            indexes: Rc::default(),
            written: 0,
            acknowledged: Vec::new(),
            read: Read::Before,
            delayed: None,
            primaries: vec![(1, 0)],
            violation: None,
        }
    }

    /// Returns the invariant that this state breaks.
    pub fn violation(&self) -> Option<&'static str> {
        self.violation
    }

    /// Returns whether a primary is being moved.
    pub fn is_moving(&self) -> bool {
        let mut claimants = self.claimants.iter();
        claimants.any(|claimant| claimant.is_handing_over())
    }

    /// Appends every state that one step leads to.
    pub fn successors(&self, rules: &Rules, next: &mut Vec<Self>) {
        if self.is_settled(rules) {
            return;
        }
        self.attempts(rules, next);
        self.deliveries(rules, next);
        self.replication(rules, next);
        self.writes(rules, next);
        self.reports(rules, next);
        self.reads(rules, next);
    }

    /// Returns whether nothing is left in this state that later steps could break.
    fn is_settled(&self, rules: &Rules) -> bool {
        let open = self.written < rules.bounds.writes || !self.confirmations.is_empty();
        rules.bounds.writes > 0 && !open && self.acknowledged.is_empty()
    }

    /// Drops messages that their member would refuse: to the claimant that equals a lost one.
    fn drop_refused(&mut self, rules: &Rules) {
        let members = &self.members;
        let shared = rules.mutation == Mutation::SharedGrants;
        self.messages.retain(|message| match message {
            Message::Fence(question) => {
                let member = &members[question.member];
                let same = shared || usize::from(member.claimant) == question.claimant + 1;
                question.term > member.term || question.term == member.term && same
            }
            Message::Promote(question) => question.term >= members[question.member].term,
        });
    }

    /// Ends attempts from which nothing more follows: once a promotion has been sent, its answer changes
    /// nothing.
    fn end_promotions(&mut self) {
        for claimant in &mut self.claimants {
            if claimant.is_promoting() {
                Rc::make_mut(claimant).time_out();
            }
        }
    }

    fn push(&self, rules: &Rules, next: &mut Vec<Self>, change: impl FnOnce(&mut Self)) {
        let mut world = self.clone();
        change(&mut world);
        world.check(rules);
        next.push(world);
    }

    fn attempts(&self, rules: &Rules, next: &mut Vec<Self>) {
        for (id, claimant) in self.claimants.iter().enumerate() {
            if claimant.is_handing_over() {
                self.push(rules, next, |world| world.look(rules, id));
                self.push(rules, next, |world| world.time_out(rules, id));
                continue;
            }
            // A claimant without another attempt may as well go on waiting.
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
                    world.start(rules, id, View::Missed(term))
                });
            }
            if rules.bounds.moves {
                let statuses = self.statuses();
                self.push(rules, next, |world| {
                    world.start(rules, id, View::Leaving(&statuses))
                });
            }
        }
    }

    fn statuses(&self) -> [event::Status; MEMBERS] {
        self.members.each_ref().map(Member::status)
    }

    fn start(&mut self, rules: &Rules, id: usize, view: View<'_>) {
        let claimant = Rc::make_mut(&mut self.claimants[id]);
        if rules.mutation == Mutation::ReuseTerm {
            claimant.failover.used_term = 0;
        }
        if let Some(effects) = claimant.start(rules.now, view) {
            self.send(rules, id, effects);
        }
    }

    fn look(&mut self, rules: &Rules, id: usize) {
        let statuses = self.statuses();
        let claimant = Rc::make_mut(&mut self.claimants[id]);
        let effects = claimant.look(rules.now, View::Leaving(&statuses));
        self.send(rules, id, effects);
    }

    fn time_out(&mut self, rules: &Rules, id: usize) {
        let effects = Rc::make_mut(&mut self.claimants[id]).time_out();
        self.send(rules, id, effects);
    }

    fn send(&mut self, rules: &Rules, claimant: usize, effects: Vec<effect::Effect>) {
        for effect in effects {
            let question = |grant: effect::TermRequest| Question {
                claimant,
                member: grant.member as usize,
                term: grant.term as u8,
                control_request: grant.control_request,
            };
            match effect {
                effect::Effect::Fence(grant) => {
                    self.messages.push(Message::Fence(question(grant)));
                }
                effect::Effect::Promote(grant) => {
                    let mut question = question(grant);
                    if rules.mutation == Mutation::PromoteFirst {
                        question.member = self.first_granted(claimant, question.term);
                    }
                    self.messages.push(Message::Promote(question));
                }
                _ => {}
            }
        }
        self.messages.sort_unstable();
    }

    fn first_granted(&self, claimant: usize, term: u8) -> usize {
        let granted =
            |member: &Member| member.term == term && member.claimant == claimant as u8 + 1;
        let first = self.members.iter().position(granted);
        first.expect("a promotion follows grants")
    }

    fn deliveries(&self, rules: &Rules, next: &mut Vec<Self>) {
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
        let (question, granted) = match *message {
            Message::Fence(question) => {
                let member = &mut self.members[question.member];
                let claimant = question.claimant as u8 + 1;
                let granted = member.fence(question.term, claimant, rules.broken());
                (question, granted)
            }
            Message::Promote(question) => {
                let member = &mut self.members[question.member];
                let claimant = question.claimant as u8 + 1;
                let granted = member.promote(question.term, claimant, rules.broken());
                if granted && !self.primaries.contains(&(question.term, question.member)) {
                    self.primaries.push((question.term, question.member));
                    self.primaries.sort_unstable();
                }
                (question, granted)
            }
        };
        if answered {
            let status = self.members[question.member].status();
            self.granted(rules, question, status, granted);
        }
    }

    fn granted(&mut self, rules: &Rules, question: Question, status: event::Status, granted: bool) {
        self.confirm(rules, question.member, status);
        let mut answers = vec![(question.member, question.control_request)];
        if rules.mutation == Mutation::FenceMinority {
            let other = (question.member + 1) % MEMBERS;
            answers.push((
                other,
                question.control_request + other as u64 - question.member as u64,
            ));
        }
        for (member, control_request) in answers {
            let answer = event::TermAnswer {
                control_request,
                group: 1,
                member: member as u64,
                result: Some((status, granted)),
            };
            let claimant = Rc::make_mut(&mut self.claimants[question.claimant]);
            let effects = claimant.granted(rules.now, View::Missed(0), answer);
            self.send(rules, question.claimant, effects);
        }
    }

    fn replication(&self, rules: &Rules, next: &mut Vec<Self>) {
        for source in 0..MEMBERS {
            for replica in (0..MEMBERS).filter(|replica| *replica != source) {
                let mut world = self.clone();
                let primary = self.members[source];
                if world.members[replica].follow(&primary, rules.broken()) {
                    world.check(rules);
                    next.push(world);
                }
            }
        }
    }

    fn writes(&self, rules: &Rules, next: &mut Vec<Self>) {
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

    fn reports(&self, rules: &Rules, next: &mut Vec<Self>) {
        if self.confirmations.is_empty() && !matches!(self.read, Read::Waiting(_)) {
            return;
        }
        for member in 0..MEMBERS {
            let report = Report {
                member,
                status: self.members[member].status(),
                asked_after_read: !matches!(self.read, Read::Before),
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
        self.confirm(rules, report.member, report.status);
        let Read::Waiting(before) = &self.read else {
            return;
        };
        let majority = match rules.mutation {
            Mutation::IndexOfPrimary if !report.status.primary => return,
            Mutation::IndexOfPrimary => 1,
            _ => MEMBERS / 2 + 1,
        };
        let after = report.asked_after_read || rules.mutation == Mutation::IndexOfEarlierAnswers;
        let started_at = match after {
            true => rules.read_at(),
            false => rules.before_read(),
        };
        let last = report.status.last;
        let member = report.member as u64;
        let indexed =
            Rc::make_mut(&mut self.indexes).record_report(member, started_at, last, majority);
        if let [(_, index)] = indexed.as_slice() {
            self.read = Read::Indexed(before.clone(), *index);
        }
    }

    fn confirm(&mut self, rules: &Rules, member: usize, mut status: event::Status) {
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

    fn reads(&self, rules: &Rules, next: &mut Vec<Self>) {
        if rules.bounds.reads && self.read == Read::Before && !self.acknowledged.is_empty() {
            self.push(rules, next, |world| {
                Rc::make_mut(&mut world.indexes).add(READ, rules.read_at());
                world.read = Read::Waiting(world.acknowledged.clone());
            });
        }
    }

    fn check(&mut self, rules: &Rules) {
        self.drop_refused(rules);
        self.end_promotions();
        self.violation = self.find_violation();
    }
}
