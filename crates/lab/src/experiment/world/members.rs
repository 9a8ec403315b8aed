//! Members and the platform: how they handle the messages of proxies.

use std::time::Instant;

use fulmarlift_core::{event, floor, id, route};

use crate::experiment::Violation;
use crate::experiment::member::{Statement, StatusQuestion};
use crate::experiment::network::Traffic;
use crate::experiment::world::shell::CONTROL_MESSAGE_BYTES;
use crate::experiment::world::{Scheduled, World, exponential};

/// Size of the answer to a write, which has no rows.
const WRITE_ANSWER_BYTES: u64 = 100;

impl<P: route::Policy + Copy> World<P> {
    /// Opens a connection to a member, or refuses it if the member has too many. A stopped member does not answer.
    pub(super) fn receive_connect(&mut self, index: usize, proxy: usize, conn: id::ConnId) {
        if !self.members[index].alive {
            return;
        }
        let limit = self.profile.connections;
        let opened = self.members[index].open_conn(proxy, conn, limit);
        let event = match opened {
            true => event::Event::Opened(conn),
            false => event::Event::OpenFailed { conn, full: true },
        };
        let at = self.clock.now()
            + self.profile.connect_time
            + self.profile.latency(index, self.proxies[proxy].domain);
        self.clock.schedule(at, Scheduled::Event { proxy, event });
    }

    /// Starts or queues a statement. The member ignores it if its connection is closed or has gone silent.
    pub(super) fn receive_statement(&mut self, index: usize, statement: Statement) {
        let member = &mut self.members[index];
        let conn = (statement.proxy, statement.conn);
        if !member.alive
            || member.silent_conns.contains(&conn)
            || !member.open_conns.contains(&conn)
        {
            return;
        }
        if let Some(started) = member.start_or_queue(statement, self.profile.slots) {
            self.run_statement(index, started);
        }
    }

    /// Schedules the end of a statement that has a slot.
    fn run_statement(&mut self, index: usize, statement: Statement) {
        let run_time = exponential(&mut self.rng, self.profile.service_time);
        let at = self.clock.now() + run_time;
        let member = index;
        self.clock
            .schedule(at, Scheduled::StatementFinished { member, statement });
    }

    /// Lets a statement take effect at the end of its run time, sends its answer and starts the next statement.
    pub(super) fn finish_statement(&mut self, index: usize, statement: Statement) {
        if !self.members[index].alive {
            return;
        }
        if let Some(next) = self.members[index].start_next() {
            self.run_statement(index, next);
        }
        let outcome = match statement.write {
            true => self.run_write(index, statement),
            false => self.run_read(index, statement),
        };
        let (bytes, traffic) = match statement.write {
            true => (WRITE_ANSWER_BYTES, Traffic::Write),
            false => (self.profile.read_bytes, Traffic::Read),
        };
        let now = self.clock.now();
        let to = self.proxies[statement.proxy].domain;
        let at = self.network.send(now, index, to, bytes, traffic);
        self.clock
            .schedule(at, Scheduled::AnswerReceived { statement, outcome });
    }

    /// Records the end of the member's log at the time of a read.
    fn run_read(&mut self, index: usize, statement: Statement) -> event::Outcome {
        let last = self.members[index].status.last;
        let proxy = &mut self.proxies[statement.proxy];
        if let Some(pending) = proxy.pending.get_mut(statement.request) {
            pending.served_by = Some((index, last));
        }
        event::Outcome::Answered
    }

    /// Commits a write in the member's log and replicates it.
    fn run_write(&mut self, index: usize, statement: Statement) -> event::Outcome {
        let Some(point) = self.members[index].append_entry() else {
            return event::Outcome::NotPrimary;
        };
        let proxy = &mut self.proxies[statement.proxy];
        if let Some(pending) = proxy.pending.get_mut(statement.request) {
            pending.commit_count += 1;
            if pending.commit_count > 1 {
                self.tally.record_violation(Violation::RanTwice);
            }
        }
        self.replicate(index, point);
        event::Outcome::Committed(point)
    }

    /// Sends the newest log entry of a member to the other members, which apply it after their delay. Also answers the
    /// member's own status questions that waited for the entry.
    fn replicate(&mut self, from: usize, point: floor::Point) {
        let now = self.clock.now();
        self.answer_questions(from);
        for member in (0..self.members.len()).filter(|member| *member != from) {
            let bytes = self.profile.entry_bytes;
            let at = self
                .network
                .send(now, from, member, bytes, Traffic::Replication);
            let delay = exponential(&mut self.rng, self.profile.apply_delay);
            let at = at + delay + self.members[member].lag;
            self.clock
                .schedule(at, Scheduled::EntryApplied { member, point });
        }
    }

    /// Lets a member apply the log of the primary with the newest last entry at once, when the fault that delayed
    /// the member's entries ends.
    pub(super) fn catch_up(&mut self, member: usize) {
        let primaries = self.members.iter().filter(|m| m.alive && m.status.primary);
        if let Some(newest) = primaries.map(|member| member.status.last).max() {
            self.apply_entry(member, newest);
        }
    }

    /// Applies the primary's log up to a point at a member, and answers the status questions that waited for it.
    pub(super) fn apply_entry(&mut self, member: usize, point: floor::Point) {
        if self.members[member].alive {
            self.members[member].apply_log(point);
            self.answer_questions(member);
        }
    }

    /// Answers a status question now, or when the member's log has reached the question's position, or when the question's
    /// time is up.
    pub(super) fn receive_question(&mut self, member: usize, question: StatusQuestion) {
        if !self.members[member].alive {
            return;
        }
        self.members[member].add_question(question);
        self.clock
            .schedule(question.answer_by, Scheduled::QuestionDue { member });
        self.answer_questions(member);
    }

    /// Answers the status questions whose position is reached or whose time is up.
    pub(super) fn answer_questions(&mut self, index: usize) {
        let now = self.clock.now();
        for question in self.members[index].take_answerable_questions(now) {
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

    /// Sends the answer to a control request of a proxy.
    fn reply(&mut self, member: usize, proxy: usize, event: event::Event) {
        let now = self.clock.now();
        let to = self.proxies[proxy].domain;
        self.proxies[proxy].control_bytes += CONTROL_MESSAGE_BYTES;
        let at = self
            .network
            .send(now, member, to, CONTROL_MESSAGE_BYTES, Traffic::Control);
        self.clock.schedule(at, Scheduled::Event { proxy, event });
    }

    /// Fences or promotes a member at a term, and answers with its status and whether it granted the term.
    pub(super) fn receive_term_request(
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
            self.tally.record_promotion(now, last);
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

    /// Records a claim in the platform's store and answers, unless the store is down.
    pub(super) fn receive_claim(
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
        // The store is in the first failure domain.
        let at = now + self.profile.latency(0, self.proxies[proxy].domain);
        let event = event::Event::ClaimAnswered(answer);
        self.clock.schedule(at, Scheduled::Event { proxy, event });
    }
}
