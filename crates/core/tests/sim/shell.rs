//! The fakes of what carries out effects: connections, members' answers and the platform's.

use std::time::{Duration, Instant};

use fulmarlift_core::{effect, event, id};

use crate::sim::member::Held;
use crate::sim::network::Node;
use crate::sim::platform::Claim;
use crate::sim::run::{Item, Query, QueryKind};
use crate::sim::world::{Answer, CONNECT, World, proxy_address};

impl World {
    /// Gives a proxy an event and runs the effects.
    pub fn step(&mut self, proxy: usize, event: event::Event) {
        let now = self.instant();
        let mut effects = Vec::new();
        self.proxies[proxy].state.step(now, event, &mut effects);
        for effect in effects {
            self.run_effect(proxy, effect);
        }
    }

    /// Gives a proxy an event that came over a connection. A request that it ends without a word of the
    /// reducer is answered by the shell.
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
        let own = |request| (proxy, incarnation, request);
        match effect {
            effect::Effect::Acknowledge { request, point, .. } => {
                self.answer(own(request), Answer::Done(point));
            }
            effect::Effect::Refuse(refusal) => {
                self.answer(own(refusal.request), Answer::NotRun(refusal.reason));
            }
            effect::Effect::Unconfirmed(request) => self.answer(own(request), Answer::Unknown),
            effect::Effect::Dispatch(dispatch) => self.dispatch(proxy, dispatch),
            effect::Effect::Interrupt(request) => {
                if let Some(returned) = self.running.remove(&own(request)) {
                    let event = event::Event::Returned(returned);
                    let event = Item::Event {
                        proxy,
                        incarnation,
                        event,
                    };
                    self.push(Duration::ZERO, event);
                }
            }
            effect::Effect::Open {
                conn,
                member,
                deadline,
                ..
            } => {
                let failed = event::Event::OpenFailed { conn, full: false };
                self.query(proxy, member, QueryKind::Open { conn }, deadline, failed);
            }
            effect::Effect::AskStatus {
                control_request,
                group,
                member,
                min_position,
                deadline,
            } => {
                self.status_messages += 1;
                let missing = event::StatusAnswer {
                    control_request,
                    group,
                    member,
                    status: None,
                };
                let kind = QueryKind::Status {
                    control_request,
                    min_position,
                };
                self.query(
                    proxy,
                    member,
                    kind,
                    deadline,
                    event::Event::StatusAnswered(missing),
                );
            }
            effect::Effect::Fence(grant) => {
                let (control_request, term) = (grant.control_request, grant.term);
                self.grant(
                    proxy,
                    grant,
                    QueryKind::Fence {
                        control_request,
                        term,
                    },
                );
            }
            effect::Effect::Promote(grant) => {
                let (control_request, term) = (grant.control_request, grant.term);
                self.grant(
                    proxy,
                    grant,
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
                self.push_at(
                    deadline,
                    Item::Event {
                        proxy,
                        incarnation,
                        event,
                    },
                );
            }
            effect::Effect::Send { to, message } => {
                self.peer_messages += 1;
                let count = 0..self.proxies.len();
                let target = count.into_iter().find(|index| proxy_address(*index) == to);
                let lost = self.link.loss;
                if let Some(target) = target
                    && let Some(time) = self.travel(Node::Proxy(proxy), Node::Proxy(target))
                    && !(lost > 0.0 && time >= self.link.retransmission)
                {
                    let incarnation = self.proxies[target].incarnation;
                    let event = event::Event::PeerMessage(message);
                    self.push(
                        time,
                        Item::Event {
                            proxy: target,
                            incarnation,
                            event,
                        },
                    );
                }
            }
            effect::Effect::RecordChange(record) => self.records.push((self.now, proxy, record)),
            effect::Effect::Close(_) | effect::Effect::Fetch(_) | effect::Effect::Drained => {}
        }
    }

    fn query(
        &mut self,
        proxy: usize,
        member: id::MemberId,
        kind: QueryKind,
        deadline: Instant,
        missing: event::Event,
    ) {
        let incarnation = self.proxies[proxy].incarnation;
        let member = self.member_index(member);
        let query = Query {
            proxy,
            incarnation,
            member,
            kind,
        };
        if let Some(time) = self.travel(Node::Proxy(proxy), Node::Member(member)) {
            self.push(time, Item::Query(query));
        }
        let event = missing;
        self.push_at(
            deadline,
            Item::Event {
                proxy,
                incarnation,
                event,
            },
        );
    }

    fn grant(&mut self, proxy: usize, grant: effect::TermRequest, kind: QueryKind) {
        let missing = event::TermAnswer {
            control_request: grant.control_request,
            group: grant.group,
            member: grant.member,
            result: None,
        };
        let missing = event::Event::TermAnswered(missing);
        self.query(proxy, grant.member, kind, grant.deadline, missing);
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
        let key = self.asked[&id].key;
        let kind = QueryKind::Run { request, conn, key };
        let outcome = failed(key);
        let returned = event::Returned {
            request,
            conn,
            outcome,
            clean: false,
        };
        self.running.insert(id, returned);
        self.query(
            proxy,
            member,
            kind,
            deadline,
            event::Event::Returned(returned),
        );
    }

    /// A member takes in a question.
    pub fn serve(&mut self, query: Query) {
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
                    database.held.push(Held {
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
                    _ if !up => failed(key),
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
            QueryKind::Open { .. } if up => CONNECT,
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
        if let Some(time) = self.travel(Node::Member(member), Node::Proxy(proxy)) {
            let rows = Item::Rows {
                proxy,
                incarnation,
                event,
                request,
                member,
                keys,
            };
            self.push(time, rows);
        }
    }

    fn reply(&mut self, query: Query, delay: Duration, event: event::Event) {
        let Query {
            proxy,
            incarnation,
            member,
            ..
        } = query;
        if let Some(time) = self.travel(Node::Member(member), Node::Proxy(proxy)) {
            self.push(
                delay + time,
                Item::Event {
                    proxy,
                    incarnation,
                    event,
                },
            );
        }
    }

    /// A member answers the questions that it held.
    pub fn answer_held(&mut self, member: usize) {
        for held in self.members[member].take_due() {
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

fn failed(key: Option<u64>) -> event::Outcome {
    match key {
        Some(_) => event::Outcome::Unknown,
        None => event::Outcome::ReadFailed,
    }
}
