//! What members and the platform do with what reaches them.

use std::time::Instant;

use fulmarlift_core::{event, floor, id, route};

use crate::experiment::Broken;
use crate::experiment::link::Use;
use crate::experiment::member::{Question, Statement};
use crate::experiment::world::shell::STATUS_BYTES;
use crate::experiment::world::{Happening, World, exponential};

/// Size of an answer without rows.
const SHORT_ANSWER_BYTES: u64 = 100;

impl<P: route::Policy + Copy> World<P> {
    pub(super) fn connect(&mut self, index: usize, proxy: usize, conn: id::ConnId) {
        if !self.members[index].alive {
            return;
        }
        let limit = self.profile.connections;
        let admitted = self.members[index].admit(proxy, conn, limit);
        let event = match admitted {
            true => event::Event::Opened(conn),
            false => event::Event::OpenFailed { conn, full: true },
        };
        let at = self.clock.now()
            + self.profile.connect_time
            + self.profile.latency(index, self.nodes[proxy].domain);
        self.clock.plan(at, Happening::Event { proxy, event });
    }

    pub(super) fn statement(&mut self, index: usize, statement: Statement) {
        let member = &mut self.members[index];
        let conn = (statement.proxy, statement.conn);
        if !member.alive || member.silent.contains(&conn) || !member.open.contains(&conn) {
            return;
        }
        if let Some(started) = member.start(statement, self.profile.slots) {
            self.run_statement(index, started);
        }
    }

    fn run_statement(&mut self, index: usize, statement: Statement) {
        let time = exponential(&mut self.rng, self.profile.service_time);
        let at = self.clock.now() + time;
        let member = index;
        self.clock
            .plan(at, Happening::Finished { member, statement });
    }

    pub(super) fn finished(&mut self, index: usize, statement: Statement) {
        if !self.members[index].alive {
            return;
        }
        if let Some(next) = self.members[index].finish() {
            self.run_statement(index, next);
        }
        let outcome = match statement.write {
            true => self.commit(index, statement),
            false => self.read(index, statement),
        };
        let (bytes, what) = match statement.write {
            true => (SHORT_ANSWER_BYTES, Use::Write),
            false => (self.profile.read_bytes, Use::Read),
        };
        let now = self.clock.now();
        let to = self.nodes[statement.proxy].domain;
        let at = self.network.send(now, index, to, bytes, what);
        self.clock
            .plan(at, Happening::Answer { statement, outcome });
    }

    fn read(&mut self, index: usize, statement: Statement) -> event::Outcome {
        let last = self.members[index].status.last;
        let node = &mut self.nodes[statement.proxy];
        if let Some(pending) = node.pending.get_mut(statement.request) {
            pending.served = Some((index, last));
        }
        event::Outcome::Answered
    }

    fn commit(&mut self, index: usize, statement: Statement) -> event::Outcome {
        let Some(point) = self.members[index].append() else {
            return event::Outcome::NotPrimary;
        };
        let node = &mut self.nodes[statement.proxy];
        if let Some(pending) = node.pending.get_mut(statement.request) {
            pending.effects += 1;
            if pending.effects > 1 {
                self.tally.broke(Broken::RanTwice);
            }
        }
        self.replicate(index, point);
        event::Outcome::Committed(point)
    }

    fn replicate(&mut self, from: usize, point: floor::Point) {
        let now = self.clock.now();
        self.answer_questions(from);
        for member in (0..self.members.len()).filter(|member| *member != from) {
            let bytes = self.profile.entry_bytes;
            let at = self
                .network
                .send(now, from, member, bytes, Use::Replication);
            let delay = exponential(&mut self.rng, self.profile.apply_delay);
            let at = at + delay + self.members[member].lag;
            self.clock.plan(at, Happening::Apply { member, point });
        }
    }

    /// A replica whose lag ends applies all that it has received.
    pub(super) fn catch_up(&mut self, member: usize) {
        let primaries = self.members.iter().filter(|m| m.alive && m.status.primary);
        if let Some(newest) = primaries.map(|member| member.status.last).max() {
            self.apply(member, newest);
        }
    }

    pub(super) fn apply(&mut self, member: usize, point: floor::Point) {
        if self.members[member].alive {
            self.members[member].apply(point);
            self.answer_questions(member);
        }
    }

    pub(super) fn asked(&mut self, member: usize, question: Question) {
        if !self.members[member].alive {
            return;
        }
        self.members[member].hold(question);
        self.clock
            .plan(question.answer_by, Happening::AskDue { member });
        self.answer_questions(member);
    }

    pub(super) fn answer_questions(&mut self, index: usize) {
        let now = self.clock.now();
        for question in self.members[index].answerable(now) {
            let answer = event::StatusAnswer {
                control_request: question.control_request,
                group: self.group,
                member: self.members[index].id,
                status: Some(self.members[index].status),
            };
            let event = event::Event::StatusAnswered(answer);
            self.reply(index, question.proxy, event);
        }
    }

    fn reply(&mut self, member: usize, proxy: usize, event: event::Event) {
        let now = self.clock.now();
        let to = self.nodes[proxy].domain;
        self.nodes[proxy].control_bytes += STATUS_BYTES;
        let at = self
            .network
            .send(now, member, to, STATUS_BYTES, Use::Control);
        self.clock.plan(at, Happening::Event { proxy, event });
    }

    pub(super) fn grant(
        &mut self,
        index: usize,
        proxy: usize,
        control_request: id::ControlRequestId,
        term: id::Term,
        promote: bool,
    ) {
        let now = self.clock.now();
        let member = &mut self.members[index];
        if !member.alive {
            return;
        }
        let (last, was_primary) = (member.status.last, member.status.primary);
        let granted = match promote {
            true => member.promote(term, proxy),
            false => member.fence(term, proxy),
        };
        let status = member.status;
        if promote && granted && !was_primary {
            self.tally.promotion(now, last);
            self.replicate(index, status.last);
        }
        let answer = event::TermAnswer {
            control_request,
            group: self.group,
            member: self.members[index].id,
            result: Some((status, granted)),
        };
        self.reply(index, proxy, event::Event::TermAnswered(answer));
    }

    pub(super) fn claim(
        &mut self,
        proxy: usize,
        control_request: id::ControlRequestId,
        term: id::Term,
        until: Instant,
    ) {
        let now = self.clock.now();
        let result = self.store.claim(now, proxy, term, until);
        if result == event::ClaimResult::Unavailable {
            return;
        }
        let answer = event::ClaimAnswer {
            control_request,
            group: self.group,
            result,
        };
        let at = now + self.profile.latency(0, self.nodes[proxy].domain);
        let event = event::Event::ClaimAnswered(answer);
        self.clock.plan(at, Happening::Event { proxy, event });
    }
}
