//! What a proxy's shell does: it feeds its reducer and runs the effects.

use std::time::Instant;

use fulmarlift_core::{effect, event, id, route};

use crate::experiment::Broken;
use crate::experiment::link::Use;
use crate::experiment::member::{Question, Statement};
use crate::experiment::world::{Happening, World};

/// Size of a status question or answer, with headers.
pub(super) const STATUS_BYTES: u64 = 120;
/// Size of the headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;

impl<P: route::Policy + Copy> World<P> {
    /// Feeds an event to a proxy's reducer and runs what follows.
    pub(super) fn step(&mut self, proxy: usize, event: event::Event) {
        let node = &mut self.nodes[proxy];
        if !node.alive {
            return;
        }
        let mut effects = Vec::new();
        node.state.step(self.clock.now(), event, &mut effects);
        for effect in effects {
            self.effect(proxy, effect);
        }
    }

    fn effect(&mut self, proxy: usize, effect: effect::Effect) {
        match effect {
            effect::Effect::Dispatch(dispatch) => self.dispatch(proxy, dispatch),
            effect::Effect::Refuse(refuse) => self.refuse(proxy, refuse),
            effect::Effect::Acknowledge { request, point, .. } => {
                self.acknowledge(proxy, request, point);
            }
            effect::Effect::Unconfirmed(request) => self.unknown(proxy, request),
            effect::Effect::Open {
                conn,
                member,
                deadline,
                ..
            } => {
                self.open(proxy, conn, member, deadline);
            }
            effect::Effect::Close(conn) => self.close(proxy, conn),
            effect::Effect::AskStatus {
                control_request,
                member,
                min_position,
                deadline,
                ..
            } => {
                self.ask(proxy, control_request, member, min_position, deadline);
            }
            effect::Effect::Fence(grant) => self.ask_grant(proxy, grant, false),
            effect::Effect::Promote(grant) => self.ask_grant(proxy, grant, true),
            effect::Effect::Claim {
                control_request,
                term,
                until,
                deadline,
                ..
            } => {
                self.ask_claim(proxy, control_request, term, until, deadline);
            }
            effect::Effect::Send { to, message } => self.send(proxy, &to, message),
            // Logs, the configuration and the process's exit are not part of the experiment.
            _ => {}
        }
    }

    fn dispatch(&mut self, proxy: usize, dispatch: effect::Dispatch) {
        let now = self.clock.now();
        let node = &mut self.nodes[proxy];
        if node
            .running
            .insert(dispatch.conn, dispatch.request)
            .is_some()
        {
            self.tally.broke(Broken::SharedConnection);
        }
        let Some(pending) = node.pending.get_mut(dispatch.request) else {
            return;
        };
        pending.dispatched = true;
        pending.dispatches += 1;
        match pending.dispatches {
            1 => self.tally.wait(now, pending),
            _ => self.tally.retries += u64::from(self.tally.measures(now)),
        }
        let statement = Statement {
            proxy,
            conn: dispatch.conn,
            request: dispatch.request,
            write: pending.write,
        };
        let domain = node.domain;
        let member = self.index_of(dispatch.member);
        let what = if statement.write {
            Use::Write
        } else {
            Use::Read
        };
        let bytes = self.profile.statement_bytes;
        let at = self.network.send(now, domain, member, bytes, what);
        self.clock
            .plan(at, Happening::Statement { member, statement });
        let at = dispatch.first_byte_by.min(dispatch.deadline);
        self.clock.plan(at, Happening::Overdue { statement });
    }

    pub(super) fn answer(&mut self, statement: Statement, outcome: event::Outcome) {
        if !self.returns(statement) {
            return;
        }
        if outcome == event::Outcome::Answered {
            self.answered(statement);
        }
        self.returned(statement, outcome, true);
    }

    fn answered(&mut self, statement: Statement) {
        let Some(pending) = self.settle(statement.proxy, statement.request) else {
            return;
        };
        let Some((member, last)) = pending.served else {
            return;
        };
        if last < pending.expects {
            self.tally.broke(Broken::StaleRead);
        }
        let replica = !self.members[member].status.primary;
        let near = !self
            .profile
            .crosses(member, self.nodes[statement.proxy].domain);
        let caller_at = self.clock.now() + self.profile.caller_latency;
        self.tally.read(caller_at, &pending, replica, near);
    }

    /// The shell gives a silent statement up and closes its connection.
    pub(super) fn overdue(&mut self, statement: Statement) {
        if !self.returns(statement) {
            return;
        }
        if statement.write {
            self.unknown(statement.proxy, statement.request);
            self.returned(statement, event::Outcome::Unknown, false);
        } else {
            self.returned(statement, event::Outcome::ReadFailed, false);
        }
    }

    /// Returns whether the statement is the one that its connection carries, and takes it off.
    fn returns(&mut self, statement: Statement) -> bool {
        let node = &mut self.nodes[statement.proxy];
        let carried = node.running.get(statement.conn) == Some(&statement.request);
        if carried {
            node.running.remove(statement.conn);
        }
        carried && node.alive
    }

    fn returned(&mut self, statement: Statement, outcome: event::Outcome, clean: bool) {
        let node = &mut self.nodes[statement.proxy];
        if let Some(pending) = node.pending.get_mut(statement.request) {
            pending.dispatched = !matches!(
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

    fn refuse(&mut self, proxy: usize, refuse: effect::Refuse) {
        let now = self.clock.now();
        let Some(pending) = self.settle(proxy, refuse.request) else {
            return;
        };
        if pending.dispatched || pending.effects > 0 {
            self.tally.broke(Broken::RefusedAfterDispatch);
        }
        self.tally.refusal(now, &pending);
    }

    fn unknown(&mut self, proxy: usize, request: id::RequestId) {
        if self.settle(proxy, request).is_some() {
            self.tally.unknown += 1;
        }
    }

    fn open(&mut self, proxy: usize, conn: id::ConnId, member: id::MemberId, deadline: Instant) {
        let now = self.clock.now();
        let member = self.index_of(member);
        self.tally.connects += u64::from(self.tally.measures(now));
        self.nodes[proxy].conns.insert(conn, member);
        if !self.members[member].alive {
            let event = event::Event::OpenFailed { conn, full: false };
            self.clock.plan(deadline, Happening::Event { proxy, event });
            return;
        }
        let at = now + self.profile.latency(self.nodes[proxy].domain, member);
        self.clock.plan(
            at,
            Happening::Connect {
                member,
                proxy,
                conn,
            },
        );
    }

    fn close(&mut self, proxy: usize, conn: id::ConnId) {
        let Some(member) = self.nodes[proxy].conns.remove(conn) else {
            return;
        };
        let way = self.profile.latency(self.nodes[proxy].domain, member);
        let at = self.clock.now() + way;
        self.clock.plan(
            at,
            Happening::Disconnect {
                member,
                proxy,
                conn,
            },
        );
    }

    fn ask(
        &mut self,
        proxy: usize,
        control_request: id::ControlRequestId,
        member: id::MemberId,
        min_position: id::Position,
        deadline: Instant,
    ) {
        let now = self.clock.now();
        let index = self.index_of(member);
        let node = &mut self.nodes[proxy];
        node.control_bytes += STATUS_BYTES;
        let domain = node.domain;
        let at = self
            .network
            .send(now, domain, index, STATUS_BYTES, Use::Control);
        let question = Question {
            proxy,
            control_request,
            min_position,
            answer_by: deadline - (deadline - now) / 4,
        };
        let member_index = index;
        self.clock.plan(
            at,
            Happening::Ask {
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
        self.clock.plan(deadline, Happening::Event { proxy, event });
    }

    fn ask_grant(&mut self, proxy: usize, grant: effect::TermRequest, promote: bool) {
        let now = self.clock.now();
        let member = self.index_of(grant.member);
        let node = &mut self.nodes[proxy];
        node.control_bytes += STATUS_BYTES;
        let domain = node.domain;
        let at = self
            .network
            .send(now, domain, member, STATUS_BYTES, Use::Control);
        let (control_request, term) = (grant.control_request, grant.term);
        let happening = Happening::Grant {
            member,
            proxy,
            control_request,
            term,
            promote,
        };
        self.clock.plan(at, happening);
    }

    fn ask_claim(
        &mut self,
        proxy: usize,
        control_request: id::ControlRequestId,
        term: id::Term,
        until: Instant,
        deadline: Instant,
    ) {
        let now = self.clock.now();
        let at = now + self.profile.latency(self.nodes[proxy].domain, 0);
        self.clock.plan(
            at,
            Happening::Claim {
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
        self.clock.plan(deadline, Happening::Event { proxy, event });
    }

    fn send(&mut self, proxy: usize, to: &str, message: fulmarlift_core::peer::Message) {
        let now = self.clock.now();
        let size = message.encoded_len() as u64 + DATAGRAM_HEADER_BYTES;
        let Some(target) = self
            .nodes
            .iter()
            .position(|node| node.address.as_ref() == to)
        else {
            return;
        };
        self.nodes[proxy].control_bytes += size;
        self.nodes[target].control_bytes += size;
        self.nodes[proxy].peer_bytes += size;
        self.nodes[target].peer_bytes += size;
        let (from, domain) = (self.nodes[proxy].domain, self.nodes[target].domain);
        let at = self.network.send(now, from, domain, size, Use::Control);
        let event = event::Event::PeerMessage(message);
        self.clock.plan(
            at,
            Happening::Event {
                proxy: target,
                event,
            },
        );
    }

    fn index_of(&self, id: id::MemberId) -> usize {
        let position = self.members.iter().position(|member| member.id == id);
        position.expect("the topology names the world's members only")
    }
}
