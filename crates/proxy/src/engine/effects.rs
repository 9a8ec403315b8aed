//! Executes the effects of the reducer.

use std::sync::Arc;
use std::time::Instant;

use fulmarlift_core::{effect, event, id, peer};
use fulmarlift_store::client;
use tokio::sync::{mpsc, oneshot};

use crate::engine::{Decision, Dispatched, Engine, Inner, RunningRequest};
use crate::member;
use crate::platform;

/// Client and queues that effects go to.
#[derive(Debug)]
pub struct Outputs {
    /// Client of the platform, if the settings name one.
    pub platform: Option<client::Client>,
    /// Queue of heartbeats, each with the address of the peer.
    pub heartbeats: mpsc::UnboundedSender<(Box<str>, peer::Message)>,
    /// Newest head; a task fetches its document.
    pub newest_head: platform::configuration::NewestHead,
}

impl Engine {
    /// Passes an event and the events that follow from it to the reducer, and executes all effects.
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
                inner.idle_connections.remove(conn);
            }
            effect::Effect::AskStatus { .. }
            | effect::Effect::Fence(_)
            | effect::Effect::Promote(_) => member::question::spawn_question(self, &effect),
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
                platform::claim::spawn_write(self, self.outputs.platform.clone(), name, claim);
            }
            effect::Effect::SendHeartbeat { to, message } => {
                // Fails only at the end of the process, when the task that sends heartbeats is gone.
                let _ = self.outputs.heartbeats.send((to, message));
            }
            effect::Effect::FetchConfiguration(head) => {
                self.outputs.newest_head.replace_if_newer(head)
            }
            effect::Effect::RecordChange(change) => self.log_change(inner, &change),
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
            // The member is not configured, or its address does not parse.
            return;
        };
        tokio::spawn(async move {
            let opened = member::Backend::open(&engine.settings, address, deadline).await;
            let mut inner = engine.lock();
            let event = match opened {
                Ok(backend) => {
                    inner.idle_connections.insert(conn, Box::new(backend));
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

    fn log_change(&self, inner: &Inner, change: &effect::StateChange) {
        match change {
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

fn send_decision(inner: &mut Inner, request: id::RequestId, decision: Decision) {
    if let Some(waiting_request) = inner.waiting.remove(request) {
        // Fails if the session has ended, which then needs no decision.
        let _ = waiting_request.decision_sender.send(decision);
    }
}

fn if_usable(mut backend: Box<member::Backend>) -> Option<Box<member::Backend>> {
    (!backend.is_unusable()).then_some(backend)
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

/// Gives a request its connection. If that is not possible, reports the connection as returned: with the outcome
/// `NotSent` the reducer assigns another connection to the request, with `Answered` it drops the request.
fn run_dispatch(inner: &mut Inner, dispatch: effect::Dispatch) {
    let waiting_request = inner.waiting.remove(dispatch.request);
    let backend = inner.idle_connections.remove(dispatch.conn);
    let backend = backend.and_then(if_usable);
    let undispatched = match (waiting_request, backend) {
        (Some(waiting_request), Some(backend)) => {
            let (interrupt, interrupted) = oneshot::channel();
            let dispatched = Dispatched {
                dispatch,
                backend,
                interrupted,
            };
            match waiting_request
                .decision_sender
                .send(Decision::Dispatch(dispatched))
            {
                Ok(()) => {
                    inner.record_dispatch(
                        &dispatch,
                        waiting_request.is_read,
                        waiting_request.since,
                        interrupt,
                    );
                    return;
                }
                // The session no longer waits for the decision.
                Err(Decision::Dispatch(unsent)) => {
                    inner.idle_connections.insert(dispatch.conn, unsent.backend);
                    (true, event::Outcome::Answered)
                }
                Err(_) => return,
            }
        }
        // The connection became unusable while it was idle. The request waits again.
        (Some(waiting_request), _) => {
            inner.waiting.insert(dispatch.request, waiting_request);
            (false, event::Outcome::NotSent)
        }
        // The request was withdrawn.
        (None, Some(backend)) => {
            inner.idle_connections.insert(dispatch.conn, backend);
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
