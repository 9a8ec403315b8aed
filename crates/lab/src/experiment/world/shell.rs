//! Simulated shells of the proxies: they pass events to the reducers and carry out the effects.

use std::time::Instant;

use fulmarlift_core::{effect, event, id, route};

use crate::experiment::Violation;
use crate::experiment::member::{Statement, StatusQuestion};
use crate::experiment::network::Traffic;
use crate::experiment::world::{Scheduled, World};

/// Size of a status question, a term request, or an answer to one, in bytes with headers.
pub(super) const CONTROL_MESSAGE_BYTES: u64 = 120;
/// Size of the headers of a datagram, in bytes.
const DATAGRAM_HEADER_BYTES: u64 = 28;

impl<P: route::Policy + Copy> World<P> {
    /// Passes an event to the reducer of a proxy and runs the effects. A stopped proxy gets no events.
    pub(super) fn step(&mut self, proxy: usize, event: event::Event) {
        let process = &mut self.proxies[proxy];
        if !process.alive {
            return;
        }
        let mut effects = Vec::new();
        process.state.step(self.clock.now(), event, &mut effects);
        for effect in effects {
            self.run_effect(proxy, effect);
        }
    }

    fn run_effect(&mut self, proxy: usize, effect: effect::Effect) {
        match effect {
            effect::Effect::Dispatch(dispatch) => self.dispatch(proxy, dispatch),
            effect::Effect::Refuse(refusal) => self.refuse_request(proxy, refusal),
            effect::Effect::Acknowledge { request, point, .. } => {
                self.acknowledge_write(proxy, request, point);
            }
            effect::Effect::Unconfirmed(request) => self.end_with_unknown_outcome(proxy, request),
            effect::Effect::Open {
                conn,
                member,
                deadline,
                ..
            } => {
                self.open_conn(proxy, conn, member, deadline);
            }
            effect::Effect::Close(conn) => self.close_conn(proxy, conn),
            effect::Effect::AskStatus {
                control_request,
                member,
                min_position,
                deadline,
                ..
            } => {
                self.send_status_question(proxy, control_request, member, min_position, deadline);
            }
            effect::Effect::Fence(term_request) => {
                self.send_term_request(proxy, term_request, false)
            }
            effect::Effect::Promote(term_request) => {
                self.send_term_request(proxy, term_request, true)
            }
            effect::Effect::Claim {
                control_request,
                term,
                until,
                deadline,
                ..
            } => {
                self.send_claim(proxy, control_request, term, until, deadline);
            }
            effect::Effect::SendHeartbeat { to, message } => {
                self.send_heartbeat(proxy, &to, message)
            }
            // Log lines, the configuration and the exit of the process are not part of the experiment.
            _ => {}
        }
    }

    /// Sends a statement to a member and schedules its timeout.
    fn dispatch(&mut self, proxy: usize, dispatch: effect::Dispatch) {
        let now = self.clock.now();
        let process = &mut self.proxies[proxy];
        if process
            .running
            .insert(dispatch.conn, dispatch.request)
            .is_some()
        {
            self.tally.record_violation(Violation::SharedConnection);
        }
        let Some(pending) = process.pending.get_mut(dispatch.request) else {
            return;
        };
        pending.may_have_run = true;
        pending.dispatch_count += 1;
        match pending.dispatch_count {
            1 => self.tally.record_wait(now, pending),
            _ => self.tally.retries += u64::from(self.tally.is_measuring(now)),
        }
        let statement = Statement {
            proxy,
            conn: dispatch.conn,
            request: dispatch.request,
            write: pending.write,
        };
        let domain = process.domain;
        let member = self.member_index(dispatch.member);
        let traffic = if statement.write {
            Traffic::Write
        } else {
            Traffic::Read
        };
        let bytes = self.profile.statement_bytes;
        let at = self.network.send(now, domain, member, bytes, traffic);
        self.clock
            .schedule(at, Scheduled::StatementReceived { member, statement });
        let at = dispatch.first_byte_by.min(dispatch.deadline);
        self.clock
            .schedule(at, Scheduled::StatementTimedOut { statement });
    }

    /// Handles the answer to a statement, unless the statement has timed out.
    pub(super) fn receive_answer(&mut self, statement: Statement, outcome: event::Outcome) {
        if !self.release_conn(statement) {
            return;
        }
        if outcome == event::Outcome::Answered {
            self.end_read(statement);
        }
        self.return_conn(statement, outcome, true);
    }

    /// Ends an answered read, and records a violation if the read missed an acknowledged write of its session.
    fn end_read(&mut self, statement: Statement) {
        let Some(pending) = self.end_request(statement.proxy, statement.request) else {
            return;
        };
        let Some((member, last)) = pending.served_by else {
            return;
        };
        if last < pending.expected_point {
            self.tally.record_violation(Violation::StaleRead);
        }
        let by_replica = !self.members[member].status.primary;
        let in_region = !self
            .profile
            .crosses_regions(member, self.proxies[statement.proxy].domain);
        let caller_at = self.clock.now() + self.profile.caller_latency;
        self.tally
            .record_read(caller_at, &pending, by_replica, in_region);
    }

    /// Gives up a statement that has not been answered in time; its connection is not used again. A read may be retried,
    /// the outcome of a write is unknown.
    pub(super) fn time_out_statement(&mut self, statement: Statement) {
        if !self.release_conn(statement) {
            return;
        }
        if statement.write {
            self.end_with_unknown_outcome(statement.proxy, statement.request);
            self.return_conn(statement, event::Outcome::Unknown, false);
        } else {
            self.return_conn(statement, event::Outcome::ReadFailed, false);
        }
    }

    /// Takes a statement off its connection. Returns false if it no longer runs there or its proxy has stopped.
    fn release_conn(&mut self, statement: Statement) -> bool {
        let process = &mut self.proxies[statement.proxy];
        let is_running = process.running.get(statement.conn) == Some(&statement.request);
        if is_running {
            process.running.remove(statement.conn);
        }
        is_running && process.alive
    }

    /// Returns a connection to the reducer together with the outcome of its statement; `clean` tells whether it can be
    /// used again.
    fn return_conn(&mut self, statement: Statement, outcome: event::Outcome, clean: bool) {
        let process = &mut self.proxies[statement.proxy];
        if let Some(pending) = process.pending.get_mut(statement.request) {
            pending.may_have_run = !matches!(
                outcome,
                event::Outcome::NotSent | event::Outcome::NotPrimary
            );
        }
        let returned = event::Returned {
            request: statement.request,
            conn: statement.conn,
            outcome,
            clean,
        };
        self.step(statement.proxy, event::Event::Returned(returned));
    }

    /// Ends a refused request, and records a violation if a member may have run it.
    fn refuse_request(&mut self, proxy: usize, refusal: effect::Refuse) {
        let now = self.clock.now();
        let Some(pending) = self.end_request(proxy, refusal.request) else {
            return;
        };
        if pending.may_have_run || pending.commit_count > 0 {
            self.tally.record_violation(Violation::RefusedAfterDispatch);
        }
        self.tally.record_refusal(now, &pending);
    }

    /// Ends a request whose outcome is unknown.
    fn end_with_unknown_outcome(&mut self, proxy: usize, request: id::RequestId) {
        if self.end_request(proxy, request).is_some() {
            self.tally.unknown += 1;
        }
    }

    /// Opens a connection to a member. If the member has stopped, opening fails at the deadline.
    fn open_conn(
        &mut self,
        proxy: usize,
        conn: id::ConnId,
        member: id::MemberId,
        deadline: Instant,
    ) {
        let now = self.clock.now();
        let member = self.member_index(member);
        self.tally.connects += u64::from(self.tally.is_measuring(now));
        self.proxies[proxy].conn_members.insert(conn, member);
        if !self.members[member].alive {
            let event = event::Event::OpenFailed { conn, full: false };
            self.clock
                .schedule(deadline, Scheduled::Event { proxy, event });
            return;
        }
        let at = now + self.profile.latency(self.proxies[proxy].domain, member);
        self.clock.schedule(
            at,
            Scheduled::ConnectReceived {
                member,
                proxy,
                conn,
            },
        );
    }

    /// Closes a connection; the member learns of it after the latency.
    fn close_conn(&mut self, proxy: usize, conn: id::ConnId) {
        let Some(member) = self.proxies[proxy].conn_members.remove(conn) else {
            return;
        };
        let latency = self.profile.latency(self.proxies[proxy].domain, member);
        let at = self.clock.now() + latency;
        self.clock.schedule(
            at,
            Scheduled::DisconnectReceived {
                member,
                proxy,
                conn,
            },
        );
    }

    /// Sends a status question to a member. The member answers in three quarters of the time until the deadline at the
    /// latest. At the deadline, the reducer gets an answer without a status, which it ignores if the member has answered.
    fn send_status_question(
        &mut self,
        proxy: usize,
        control_request: id::ControlRequestId,
        member: id::MemberId,
        min_position: id::Position,
        deadline: Instant,
    ) {
        let now = self.clock.now();
        let index = self.member_index(member);
        let process = &mut self.proxies[proxy];
        process.control_bytes += CONTROL_MESSAGE_BYTES;
        let domain = process.domain;
        let at = self
            .network
            .send(now, domain, index, CONTROL_MESSAGE_BYTES, Traffic::Control);
        let question = StatusQuestion {
            proxy,
            control_request,
            min_position,
            answer_by: deadline - (deadline - now) / 4,
        };
        let member_index = index;
        self.clock.schedule(
            at,
            Scheduled::QuestionReceived {
                member: member_index,
                question,
            },
        );
        let answer = event::StatusAnswer {
            control_request,
            group: self.group,
            member,
            status: None,
        };
        let event = event::Event::StatusAnswered(answer);
        self.clock
            .schedule(deadline, Scheduled::Event { proxy, event });
    }

    /// Asks a member to grant a term to the proxy (to be fenced) or, with `promote`, to become the primary of a term
    /// that it has granted.
    fn send_term_request(
        &mut self,
        proxy: usize,
        term_request: effect::TermRequest,
        promote: bool,
    ) {
        let now = self.clock.now();
        let member = self.member_index(term_request.member);
        let process = &mut self.proxies[proxy];
        process.control_bytes += CONTROL_MESSAGE_BYTES;
        let domain = process.domain;
        let at = self
            .network
            .send(now, domain, member, CONTROL_MESSAGE_BYTES, Traffic::Control);
        let (control_request, term) = (term_request.control_request, term_request.term);
        let entry = Scheduled::TermRequestReceived {
            member,
            proxy,
            control_request,
            term,
            promote,
        };
        self.clock.schedule(at, entry);
    }

    /// Sends a claim to the platform's store. At the deadline, the reducer is told that the store is unavailable, which
    /// it ignores if the store has answered.
    fn send_claim(
        &mut self,
        proxy: usize,
        control_request: id::ControlRequestId,
        term: id::Term,
        until: Instant,
        deadline: Instant,
    ) {
        let now = self.clock.now();
        let at = now + self.profile.latency(self.proxies[proxy].domain, 0);
        self.clock.schedule(
            at,
            Scheduled::ClaimReceived {
                proxy,
                control_request,
                term,
                until,
            },
        );
        let answer = event::ClaimAnswer {
            control_request,
            group: self.group,
            result: event::ClaimResult::Unavailable,
        };
        let event = event::Event::ClaimAnswered(answer);
        self.clock
            .schedule(deadline, Scheduled::Event { proxy, event });
    }

    /// Sends a heartbeat to the peer with this address.
    fn send_heartbeat(&mut self, proxy: usize, to: &str, message: fulmarlift_core::peer::Message) {
        let now = self.clock.now();
        let size = message.encoded_len() as u64 + DATAGRAM_HEADER_BYTES;
        let Some(target) = self
            .proxies
            .iter()
            .position(|process| process.address.as_ref() == to)
        else {
            return;
        };
        self.proxies[proxy].control_bytes += size;
        self.proxies[target].control_bytes += size;
        self.proxies[proxy].peer_bytes += size;
        self.proxies[target].peer_bytes += size;
        let (from, domain) = (self.proxies[proxy].domain, self.proxies[target].domain);
        let at = self.network.send(now, from, domain, size, Traffic::Control);
        let event = event::Event::HeartbeatArrived(message);
        self.clock.schedule(
            at,
            Scheduled::Event {
                proxy: target,
                event,
            },
        );
    }

    fn member_index(&self, id: id::MemberId) -> usize {
        let position = self.members.iter().position(|member| member.id == id);
        position.expect("the topology has only the members of the world")
    }
}
