//! A fake shell: carries out the effects of proxies with simulated connections, members and platform.

use std::time::{Duration, Instant};

use fulmarlift_core::{effect, event, id};

use crate::sim::member::HeldStatusRequest;
use crate::sim::network::Node;
use crate::sim::platform::Claim;
use crate::sim::run::{Query, QueryKind, Scheduled};
use crate::sim::world::{Answer, CONNECT_TIME, World, proxy_address};

impl World {
    /// Passes an event to a proxy and carries out the effects.
    pub fn step(&mut self, proxy: usize, event: event::Event) {
        let now = self.instant();
        let mut effects = Vec::new();
        self.proxies[proxy].state.step(now, event, &mut effects);
        for effect in effects {
            self.run_effect(proxy, effect);
        }
    }

    /// Passes an event that came over a connection to a proxy. If the event ends a request and the reducer
    /// returns no answer, the shell answers that the outcome is unknown.
    pub fn receive(&mut self, proxy: usize, event: event::Event) {
        let before = self.proxies[proxy].state.in_flight();
        let returned = match &event {
            event::Event::Returned(returned) => Some(*returned),
            _ => None,
        };
        self.step(proxy, event);
        let ended = self.proxies[proxy].state.in_flight() < before;
        if let Some(returned) = returned
            && ended
            && returned.outcome == event::Outcome::Unknown
        {
            let incarnation = self.proxies[proxy].incarnation;
            self.answer((proxy, incarnation, returned.request), Answer::Unknown);
        }
    }

    fn run_effect(&mut self, proxy: usize, effect: effect::Effect) {
        let incarnation = self.proxies[proxy].incarnation;
        let request_key = |request| (proxy, incarnation, request);
        match effect {
            effect::Effect::Acknowledge { request, point, .. } => {
                self.answer(request_key(request), Answer::Done(point));
            }
            effect::Effect::Refuse(refusal) => {
                self.answer(request_key(refusal.request), Answer::NotRun(refusal.reason));
            }
            effect::Effect::Unconfirmed(request) => {
                self.answer(request_key(request), Answer::Unknown)
            }
            effect::Effect::Dispatch(dispatch) => self.dispatch(proxy, dispatch),
            effect::Effect::Interrupt(request) => {
                if let Some(returned) = self.running.remove(&request_key(request)) {
                    let event = event::Event::Returned(returned);
                    let event = Scheduled::Event {
                        proxy,
                        incarnation,
                        event,
                    };
                    self.schedule(Duration::ZERO, event);
                }
            }
            effect::Effect::Open {
                conn,
                member,
                deadline,
                ..
            } => {
                let failed = event::Event::OpenFailed { conn, full: false };
                self.send_query(proxy, member, QueryKind::Open { conn }, deadline, failed);
            }
            effect::Effect::AskStatus {
                control_request,
                group,
                member,
                min_position,
                deadline,
            } => {
                self.status_messages += 1;
                let no_answer = event::StatusAnswer {
                    control_request,
                    group,
                    member,
                    status: None,
                };
                let kind = QueryKind::Status {
                    control_request,
                    min_position,
                };
                self.send_query(
                    proxy,
                    member,
                    kind,
                    deadline,
                    event::Event::StatusAnswered(no_answer),
                );
            }
            effect::Effect::Fence(term_request) => {
                let (control_request, term) = (term_request.control_request, term_request.term);
                self.send_term_request(
                    proxy,
                    term_request,
                    QueryKind::Fence {
                        control_request,
                        term,
                    },
                );
            }
            effect::Effect::Promote(term_request) => {
                let (control_request, term) = (term_request.control_request, term_request.term);
                self.send_term_request(
                    proxy,
                    term_request,
                    QueryKind::Promote {
                        control_request,
                        term,
                    },
                );
            }
            effect::Effect::Claim {
                control_request,
                group,
                term,
                until,
                deadline,
            } => {
                let claimant = self.proxies[proxy].id;
                let claim = Claim {
                    proxy,
                    claimant,
                    control_request,
                    group,
                    term,
                    until,
                    deadline,
                };
                self.send_claim(claim);
                let result = event::ClaimResult::Unavailable;
                let answer = event::ClaimAnswer {
                    control_request,
                    group,
                    result,
                };
                let event = event::Event::ClaimAnswered(answer);
                self.schedule_at(
                    deadline,
                    Scheduled::Event {
                        proxy,
                        incarnation,
                        event,
                    },
                );
            }
            effect::Effect::SendHeartbeat { to, message } => {
                self.peer_messages += 1;
                let count = 0..self.proxies.len();
                let target = count.into_iter().find(|index| proxy_address(*index) == to);
                let lost = self.link.loss;
                if let Some(target) = target
                    && let Some(time) = self.message_delay(Node::Proxy(proxy), Node::Proxy(target))
                    && !(lost > 0.0 && time >= self.link.retransmission)
                {
                    let incarnation = self.proxies[target].incarnation;
                    let event = event::Event::HeartbeatArrived(message);
                    self.schedule(
                        time,
                        Scheduled::Event {
                            proxy: target,
                            incarnation,
                            event,
                        },
                    );
                }
            }
            effect::Effect::RecordChange(change) => {
                self.state_changes.push((self.now, proxy, change))
            }
            effect::Effect::Close(_)
            | effect::Effect::FetchConfiguration(_)
            | effect::Effect::Drained => {}
        }
    }

    fn send_query(
        &mut self,
        proxy: usize,
        member: id::MemberId,
        kind: QueryKind,
        deadline: Instant,
        deadline_event: event::Event,
    ) {
        let incarnation = self.proxies[proxy].incarnation;
        let member = self.member_index(member);
        let query = Query {
            proxy,
            incarnation,
            member,
            kind,
        };
        if let Some(time) = self.message_delay(Node::Proxy(proxy), Node::Member(member)) {
            self.schedule(time, Scheduled::Query(query));
        }
        let event = deadline_event;
        self.schedule_at(
            deadline,
            Scheduled::Event {
                proxy,
                incarnation,
                event,
            },
        );
    }

    fn send_term_request(
        &mut self,
        proxy: usize,
        term_request: effect::TermRequest,
        kind: QueryKind,
    ) {
        let no_answer = event::TermAnswer {
            control_request: term_request.control_request,
            group: term_request.group,
            member: term_request.member,
            result: None,
        };
        let no_answer = event::Event::TermAnswered(no_answer);
        self.send_query(
            proxy,
            term_request.member,
            kind,
            term_request.deadline,
            no_answer,
        );
    }

    fn dispatch(&mut self, proxy: usize, dispatch: effect::Dispatch) {
        let effect::Dispatch {
            request,
            conn,
            member,
            deadline,
            ..
        } = dispatch;
        let id = (proxy, self.proxies[proxy].incarnation, request);
        let key = self.requests[&id].key;
        let kind = QueryKind::Run { request, conn, key };
        let outcome = outcome_without_answer(key);
        let returned = event::Returned {
            request,
            conn,
            outcome,
            clean: false,
        };
        self.running.insert(id, returned);
        self.send_query(
            proxy,
            member,
            kind,
            deadline,
            event::Event::Returned(returned),
        );
    }

    /// Runs a message at its member and sends the reply.
    pub fn handle_query(&mut self, query: Query) {
        let nodes = (Node::Member(query.member), Node::Proxy(query.proxy));
        if !self.connected(nodes.0, nodes.1) {
            return;
        }
        let group = self.group;
        let member = self.member_id(query.member);
        let claimant = self.proxies[query.proxy].id;
        let at = self.now;
        let up = self.members_up[query.member];
        let database = &mut self.members[query.member];
        let event = match query.kind {
            QueryKind::Status {
                control_request,
                min_position,
            } => {
                if up && min_position > database.log.len() as u64 {
                    let proxy = query.proxy;
                    database.held.push(HeldStatusRequest {
                        proxy,
                        control_request,
                        min_position,
                    });
                    return;
                }
                let status = up.then(|| database.status());
                event::Event::StatusAnswered(event::StatusAnswer {
                    control_request,
                    group,
                    member,
                    status,
                })
            }
            QueryKind::Fence {
                control_request,
                term,
            } => {
                let result = up.then(|| {
                    let granted = database.fence(term, claimant);
                    (database.status(), granted)
                });
                event::Event::TermAnswered(event::TermAnswer {
                    control_request,
                    group,
                    member,
                    result,
                })
            }
            QueryKind::Promote {
                control_request,
                term,
            } => {
                let result = up.then(|| {
                    let granted = database.promote(term, claimant, at);
                    (database.status(), granted)
                });
                event::Event::TermAnswered(event::TermAnswer {
                    control_request,
                    group,
                    member,
                    result,
                })
            }
            QueryKind::Open { conn } if up => event::Event::Opened(conn),
            QueryKind::Open { conn } => event::Event::OpenFailed { conn, full: false },
            QueryKind::Run { request, conn, key } => {
                let outcome = match key {
                    _ if !up => outcome_without_answer(key),
                    Some(key) => match database.write(key, at) {
                        Some(point) => event::Outcome::Committed(point),
                        None => event::Outcome::NotPrimary,
                    },
                    None => return self.serve_read(query, request, conn),
                };
                let returned = event::Returned {
                    request,
                    conn,
                    outcome,
                    clean: up,
                };
                event::Event::Returned(returned)
            }
        };
        let connect = match query.kind {
            QueryKind::Open { .. } if up => CONNECT_TIME,
            _ => Duration::ZERO,
        };
        self.reply(query, connect, event);
    }

    fn serve_read(&mut self, query: Query, request: id::RequestId, conn: id::ConnId) {
        let Query {
            proxy,
            incarnation,
            member,
            ..
        } = query;
        let keys = self.members[member].keys();
        let outcome = event::Outcome::Answered;
        let returned = event::Returned {
            request,
            conn,
            outcome,
            clean: true,
        };
        let event = event::Event::Returned(returned);
        if let Some(time) = self.message_delay(Node::Member(member), Node::Proxy(proxy)) {
            let rows = Scheduled::Rows {
                proxy,
                incarnation,
                event,
                request,
                member,
                keys,
            };
            self.schedule(time, rows);
        }
    }

    fn reply(&mut self, query: Query, delay: Duration, event: event::Event) {
        let Query {
            proxy,
            incarnation,
            member,
            ..
        } = query;
        if let Some(time) = self.message_delay(Node::Member(member), Node::Proxy(proxy)) {
            self.schedule(
                delay + time,
                Scheduled::Event {
                    proxy,
                    incarnation,
                    event,
                },
            );
        }
    }

    /// Sends the member's answers to held status requests whose position it has reached.
    pub fn answer_held(&mut self, member: usize) {
        for held in self.members[member].take_answerable() {
            let incarnation = self.proxies[held.proxy].incarnation;
            let answer = event::StatusAnswer {
                control_request: held.control_request,
                group: self.group,
                member: self.member_id(member),
                status: Some(self.members[member].status()),
            };
            let kind = QueryKind::Status {
                control_request: held.control_request,
                min_position: 0,
            };
            let query = Query {
                proxy: held.proxy,
                incarnation,
                member,
                kind,
            };
            self.reply(query, Duration::ZERO, event::Event::StatusAnswered(answer));
        }
    }
}

fn outcome_without_answer(key: Option<u64>) -> event::Outcome {
    match key {
        Some(_) => event::Outcome::Unknown,
        None => event::Outcome::ReadFailed,
    }
}
