//! The running of effects.

use std::sync::Arc;
use std::time::Instant;

use fulmarlift_core::{effect, event, id, peer};
use fulmarlift_store::client;
use tokio::sync::{mpsc, oneshot};

use crate::engine::{Dispatched, Engine, Inner, Notice, Running};
use crate::member;
use crate::platform;

/// What effects are handed to.
#[derive(Debug)]
pub struct Tasks {
    /// The platform, if the settings name one.
    pub platform: Option<client::Client>,
    /// Heartbeats to be sent.
    pub heartbeats: mpsc::UnboundedSender<(Box<str>, peer::Message)>,
    /// Configurations to be fetched.
    pub wanted: platform::follow::Wanted,
}

impl Engine {
    /// Steps the reducer and runs effects until nothing follows.
    pub(super) fn run(self: &Arc<Self>, inner: &mut Inner, event: event::Event) {
        inner.follow_ups.push_back(event);
        while let Some(event) = inner.follow_ups.pop_front() {
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
            effect::Effect::Dispatch(dispatch) => dispatch_to(inner, dispatch),
            effect::Effect::Refuse(refuse) => {
                log::debug!(
                    "event=refused request={} reason={:?}",
                    refuse.request,
                    refuse.reason
                );
                inner.meter.refusals.increment(1);
                notify(inner, refuse.request, Notice::Refuse(refuse));
            }
            effect::Effect::Acknowledge {
                request,
                group,
                point,
            } => {
                inner.meter.confirmed.increment(1);
                if let Some(waiting) = inner.waiters.get(request) {
                    let waited = waiting.since.elapsed();
                    inner.meter.confirmation_seconds.record(waited);
                }
                notify(inner, request, Notice::Acknowledge(group, point));
            }
            effect::Effect::Unconfirmed(request) => {
                log::debug!("event=unconfirmed request={request}");
                notify(inner, request, Notice::Unconfirmed);
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
                inner.meter.connects.increment(1);
                self.open(conn, member, deadline);
            }
            effect::Effect::Close(conn) => {
                inner.idle.remove(conn);
            }
            effect::Effect::AskStatus { .. }
            | effect::Effect::Fence(_)
            | effect::Effect::Promote(_) => member::question::start(self, &effect),
            effect::Effect::Claim {
                control_request,
                group,
                term,
                until,
                deadline,
            } => {
                let claim = platform::Claim {
                    control_request,
                    group,
                    term,
                    until,
                    deadline,
                };
                let name = group_name(inner, group);
                platform::claim::start(self, self.tasks.platform.clone(), name, claim);
            }
            effect::Effect::Send { to, message } => {
                // The receiver only ends with the process.
                let _ = self.tasks.heartbeats.send((to, message));
            }
            effect::Effect::Fetch(head) => self.tasks.wanted.offer(head),
            effect::Effect::RecordChange(record) => self.record(inner, &record),
            effect::Effect::Drained => {
                self.drained.send_replace(true);
            }
        }
    }

    fn open(self: &Arc<Self>, conn: id::ConnId, member: id::MemberId, deadline: Instant) {
        let engine = Arc::clone(self);
        let Some(address) = self.control.address(member) else {
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
            engine.run(&mut inner, event);
        });
    }

    fn record(&self, inner: &Inner, record: &effect::StateChange) {
        match record {
            effect::StateChange::Reachable {
                group,
                member,
                reachable,
            } => log::info!(
                "event=member_reachable group={} member={} reachable={reachable}",
                group_name(inner, *group),
                member_name(inner, *group, *member)
            ),
            effect::StateChange::Failover { group, term, stage } => log::info!(
                "event=failover group={} term={term} stage={stage:?}",
                group_name(inner, *group)
            ),
            effect::StateChange::Primary {
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

fn notify(inner: &mut Inner, request: id::RequestId, notice: Notice) {
    if let Some(waiter) = inner.waiters.remove(request) {
        // A caller that is gone wants no answer.
        let _ = waiter.notify.send(notice);
    }
}

fn open(mut backend: Box<member::Backend>) -> Option<Box<member::Backend>> {
    (!backend.is_closed()).then_some(backend)
}

impl Inner {
    fn note_dispatch(
        &mut self,
        dispatch: &effect::Dispatch,
        is_read: bool,
        since: Instant,
        interrupt: oneshot::Sender<()>,
    ) {
        self.meter.wait_seconds.record(since.elapsed());
        if is_read {
            self.count_read(dispatch.member);
        }
        let running = Running {
            interrupt: Some(interrupt),
            is_read,
        };
        self.running.insert(dispatch.request, running);
    }
}

fn dispatch_to(inner: &mut Inner, dispatch: effect::Dispatch) {
    let waiter = inner.waiters.remove(dispatch.request);
    let backend = inner.idle.remove(dispatch.conn);
    let backend = backend.and_then(open);
    let unsent = match (waiter, backend) {
        (Some(waiter), Some(backend)) => {
            let (interrupt, interrupted) = oneshot::channel();
            let dispatched = Dispatched {
                dispatch,
                backend,
                interrupted,
            };
            match waiter.notify.send(Notice::Dispatch(dispatched)) {
                Ok(()) => {
                    inner.note_dispatch(&dispatch, waiter.is_read, waiter.since, interrupt);
                    return;
                }
                Err(Notice::Dispatch(unsent)) => {
                    inner.idle.insert(dispatch.conn, unsent.backend);
                    (true, event::Outcome::Answered)
                }
                Err(_) => return,
            }
        }
        // The connection has ended while it was idle; the request goes elsewhere.
        (Some(waiter), _) => {
            inner.waiters.insert(dispatch.request, waiter);
            (false, event::Outcome::NotSent)
        }
        (None, Some(backend)) => {
            inner.idle.insert(dispatch.conn, backend);
            (true, event::Outcome::Answered)
        }
        (None, None) => (false, event::Outcome::Answered),
    };
    let (clean, outcome) = unsent;
    inner
        .follow_ups
        .push_back(event::Event::Returned(event::Returned {
            request: dispatch.request,
            conn: dispatch.conn,
            outcome,
            clean,
        }));
}
