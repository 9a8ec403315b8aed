//! The running of effects.

use std::sync::Arc;
use std::time::Instant;

use fulmarlift_core::{effect, event, id, peer};
use fulmarlift_store::client;
use tokio::sync::{mpsc, oneshot};

use crate::engine::{Decision, Dispatched, Engine, Inner, RunningRequest};
use crate::member;
use crate::platform;

/// What effects are handed to.
#[derive(Debug)]
pub struct Outputs {
    /// The platform, if the settings name one.
    pub platform: Option<client::Client>,
    /// Heartbeats to be sent.
    pub heartbeats: mpsc::UnboundedSender<(Box<str>, peer::Message)>,
    /// Configurations to be fetched.
    pub newest_head: platform::configuration::NewestHead,
}

impl Engine {
    /// Steps the reducer and runs effects until nothing follows.
    pub(super) fn step_locked(self: &Arc<Self>, inner: &mut Inner, event: event::Event) {
        inner.follow_up_events.push_back(event);
        while let Some(event) = inner.follow_up_events.pop_front() {
            let mut effects = std::mem::take(&mut inner.effects);
            inner.state.step(Instant::now(), event, &mut effects);
            for effect in effects.drain(..) {
                self.run_effect(inner, effect);
            }
            inner.effects = effects;
        }
    }

    fn run_effect(self: &Arc<Self>, inner: &mut Inner, effect: effect::Effect) {
        match effect {
            effect::Effect::Dispatch(dispatch) => run_dispatch(inner, dispatch),
            effect::Effect::Refuse(refuse) => {
                log::debug!(
                    "event=refused request={} reason={:?}",
                    refuse.request,
                    refuse.reason
                );
                inner.metrics.refusals.increment(1);
                send_decision(inner, refuse.request, Decision::Refuse(refuse));
            }
            effect::Effect::Acknowledge {
                request,
                group,
                point,
            } => {
                inner.metrics.confirmed.increment(1);
                if let Some(waiting) = inner.waiting.get(request) {
                    let waited = waiting.since.elapsed();
                    inner.metrics.confirmation_seconds.record(waited);
                }
                send_decision(inner, request, Decision::Acknowledge(group, point));
            }
            effect::Effect::Unconfirmed(request) => {
                log::debug!("event=unconfirmed request={request}");
                send_decision(inner, request, Decision::Unconfirmed);
            }
            effect::Effect::Interrupt(request) => {
                let running = inner.running.get_mut(request);
                if let Some(interrupt) = running.and_then(|running| running.interrupt.take()) {
                    // The request may have ended meanwhile.
                    let _ = interrupt.send(());
                }
            }
            effect::Effect::Open {
                conn,
                member,
                deadline,
                ..
            } => {
                inner.metrics.connects.increment(1);
                self.open_connection(conn, member, deadline);
            }
            effect::Effect::Close(conn) => {
                inner.idle.remove(conn);
            }
            effect::Effect::AskStatus { .. }
            | effect::Effect::Fence(_)
            | effect::Effect::Promote(_) => member::question::start(self, &effect),
            effect::Effect::Claim {
                ask,
                group,
                term,
                until,
                deadline,
            } => {
                let claim = platform::Claim {
                    ask,
                    group,
                    term,
                    until,
                    deadline,
                };
                let name = group_name(inner, group);
                platform::claim::start(self, self.outputs.platform.clone(), name, claim);
            }
            effect::Effect::Send { to, message } => {
                // The receiver only ends with the process.
                let _ = self.outputs.heartbeats.send((to, message));
            }
            effect::Effect::Fetch(head) => self.outputs.newest_head.offer(head),
            effect::Effect::Record(record) => self.record(inner, &record),
            effect::Effect::Drained => {
                self.drained.send_replace(true);
            }
        }
    }

    fn open_connection(
        self: &Arc<Self>,
        conn: id::ConnId,
        member: id::MemberId,
        deadline: Instant,
    ) {
        let engine = Arc::clone(self);
        let Some(address) = self.control_connections.address(member) else {
            return;
        };
        tokio::spawn(async move {
            let opened = member::Backend::open(&engine.settings, address, deadline).await;
            let mut inner = engine.lock();
            let event = match opened {
                Ok(backend) => {
                    inner.idle.insert(conn, Box::new(backend));
                    event::Event::Opened(conn)
                }
                Err(error) => {
                    log::debug!("event=connect_failed address={address} error={error:?}");
                    let full = error.full;
                    event::Event::OpenFailed { conn, full }
                }
            };
            engine.step_locked(&mut inner, event);
        });
    }

    fn record(&self, inner: &Inner, record: &effect::Record) {
        match record {
            effect::Record::Reachable {
                group,
                member,
                reachable,
            } => log::info!(
                "event=member_reachable group={} member={} reachable={reachable}",
                group_name(inner, *group),
                member_name(inner, *group, *member)
            ),
            effect::Record::Failover { group, term, stage } => log::info!(
                "event=failover group={} term={term} stage={stage:?}",
                group_name(inner, *group)
            ),
            effect::Record::Primary {
                group,
                term,
                member,
            } => log::info!(
                "event=primary group={} term={term} member={}",
                group_name(inner, *group),
                member_name(inner, *group, *member)
            ),
        }
    }
}

fn group_name(inner: &Inner, group: id::GroupId) -> Box<str> {
    let config = inner.state.topology().groups.get(group);
    config.map(|config| config.name.clone()).unwrap_or_default()
}

fn member_name(inner: &Inner, group: id::GroupId, member: id::MemberId) -> Box<str> {
    let config = inner.state.topology().groups.get(group);
    let member = config.and_then(|config| config.members.get(member));
    member.map(|member| member.name.clone()).unwrap_or_default()
}

fn send_decision(inner: &mut Inner, request: id::RequestId, decision: Decision) {
    if let Some(waiter) = inner.waiting.remove(request) {
        // A caller that is gone wants no answer.
        let _ = waiter.decision_sender.send(decision);
    }
}

fn keep_open(mut backend: Box<member::Backend>) -> Option<Box<member::Backend>> {
    (!backend.is_closed()).then_some(backend)
}

impl Inner {
    fn record_dispatch(
        &mut self,
        dispatch: &effect::Dispatch,
        is_read: bool,
        since: Instant,
        interrupt: oneshot::Sender<()>,
    ) {
        self.metrics.wait_seconds.record(since.elapsed());
        if is_read {
            self.count_read(dispatch.member);
        }
        let running = RunningRequest {
            interrupt: Some(interrupt),
            is_read,
        };
        self.running.insert(dispatch.request, running);
    }
}

fn run_dispatch(inner: &mut Inner, dispatch: effect::Dispatch) {
    let waiter = inner.waiting.remove(dispatch.request);
    let backend = inner.idle.remove(dispatch.conn);
    let backend = backend.and_then(keep_open);
    let undispatched = match (waiter, backend) {
        (Some(waiter), Some(backend)) => {
            let (interrupt, interrupted) = oneshot::channel();
            let dispatched = Dispatched {
                dispatch,
                backend,
                interrupted,
            };
            match waiter.decision_sender.send(Decision::Dispatch(dispatched)) {
                Ok(()) => {
                    inner.record_dispatch(&dispatch, waiter.is_read, waiter.since, interrupt);
                    return;
                }
                Err(Decision::Dispatch(unsent)) => {
                    inner.idle.insert(dispatch.conn, unsent.backend);
                    (true, event::Outcome::Answered)
                }
                Err(_) => return,
            }
        }
        // The connection has ended while it was idle; the request goes elsewhere.
        (Some(waiter), _) => {
            inner.waiting.insert(dispatch.request, waiter);
            (false, event::Outcome::NotSent)
        }
        (None, Some(backend)) => {
            inner.idle.insert(dispatch.conn, backend);
            (true, event::Outcome::Answered)
        }
        (None, None) => (false, event::Outcome::Answered),
    };
    let (clean, outcome) = undispatched;
    inner
        .follow_up_events
        .push_back(event::Event::Returned(event::Returned {
            request: dispatch.request,
            conn: dispatch.conn,
            outcome,
            clean,
        }));
}
