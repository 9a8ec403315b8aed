//! Transactions.

use std::time::{Duration, Instant};

use fulmarlift_broker::event;
use fulmarlift_broker::topology;

use crate::clock;
use crate::link;
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::caller::Codec;
use crate::protocol::member;
use crate::session;
use crate::session::attempt::{self, reading_of};
use crate::session::plan;
use crate::session::single;
use crate::shell;
use crate::world::World;

/// Pause before a statement that its member had no slot for is sent again: about a mean statement.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Most connections on which a transaction is tried to be begun.
const ATTEMPTS_MAX: u32 = 6;

/// A session's transaction.
pub enum Transaction<W: World> {
    /// There is none.
    None,
    /// Begun by the caller, not yet at a member.
    Begun {
        /// The caller's statement that began it.
        begin: plan::Plan,
        /// The route that it follows.
        route: topology::Route,
    },
    /// Under way on a connection of its own.
    Open {
        /// The connection.
        lease: Box<shell::Lease<W>>,
        /// Whether it may write.
        mode: protocol::Mode,
        /// The route that it follows.
        route: topology::Route,
        /// Whether a write was sent.
        wrote: bool,
    },
    /// Rolled back; the caller has to end it.
    Failed {
        /// Whether the caller has heard of it.
        told: bool,
    },
}

impl<W: World> Transaction<W> {
    pub(super) fn begun(
        mode: protocol::Mode,
        query: &caller::Query,
        route: topology::Route,
    ) -> Self {
        let begin = plan::Plan::direct(query, member::Verb::Begin(mode));
        Self::Begun { begin, route }
    }

    pub(super) fn state(&self) -> protocol::State {
        match self {
            Self::None => protocol::State::Idle,
            Self::Begun { .. } | Self::Open { .. } => protocol::State::Transaction,
            Self::Failed { .. } => protocol::State::Failed,
        }
    }

    pub(super) fn holds_connection(&self) -> bool {
        matches!(self, Self::Open { .. })
    }

    /// Notes that a session value was set: a rollback may or may not undo it at the member.
    pub(super) fn value_set(&mut self) {
        if let Self::Open { lease, .. } = self {
            lease.link().mirror().doubt();
        }
    }

    /// Takes the time that a forwarding proxy leaves for the next statement.
    pub(super) fn set_terms(&mut self, terms: &caller::Terms) {
        if let Self::Begun { route, .. } | Self::Open { route, .. } = self {
            route.statement_timeout_ms = terms.timeout_ms;
            route.objective_ms = terms.objective_ms;
        }
    }

    /// Ends the transaction without keeping anything.
    pub(super) fn abandon(&mut self) {
        if let Self::Open { lease, .. } = std::mem::replace(self, Self::None) {
            lease.roll_back();
        }
    }

    /// Ends the transaction without keeping anything; the caller has to end it as well.
    pub(super) fn fail(&mut self, told: bool) {
        self.abandon();
        *self = Self::Failed { told };
    }

    /// Returns whether the caller has yet to hear that the transaction was rolled back, and counts it as told.
    pub(super) fn tell(&mut self) -> bool {
        match self {
            Self::Failed { told } => !std::mem::replace(told, true),
            _ => false,
        }
    }
}

impl<W: World, C: Codec> session::Session<W, C> {
    pub(super) async fn execute_in_transaction(&mut self, plan: plan::Plan) {
        if let Err(failure) = self.open_transaction().await {
            return self.fail_transaction(&plan, &failure);
        }
        let held = std::rc::Rc::clone(&self.held);
        let Transaction::Open {
            lease,
            route,
            wrote,
            ..
        } = &mut self.transaction
        else {
            return self.answer_error(&protocol::Code::Aborted, "the transaction has ended");
        };
        let bounds = single::Bounds::new(route);
        *wrote |= plan.mode == protocol::Mode::Write;
        lease.start();
        let synchronized = attempt::synchronize(lease, &held, plan.needs(), bounds.deadline).await;
        let answered = match synchronized {
            Ok(()) => exchange(lease, &plan, bounds.deadline, bounds.terms(route)).await,
            Err(error) => Err(error),
        };
        match answered {
            Ok(answer) => {
                let reading = answer.error().map_or(event::Answer::Served, reading_of);
                lease.report(reading, answer.point);
                if answer.state != protocol::State::Transaction {
                    log::info!(
                        "event=transaction_failed request={} end={:?}",
                        plan.id(),
                        answer.end
                    );
                    self.transaction.fail(true);
                }
                self.pass_on(&answer);
            }
            Err(error) => {
                lease.report_failure(&error, false);
                // The connection is closed, which rolls back at the member.
                let failure = single::Failure {
                    code: protocol::Code::Aborted,
                    text: error.to_string(),
                };
                self.fail_transaction(&plan, &failure);
            }
        }
    }

    fn fail_transaction(&mut self, plan: &plan::Plan, failure: &single::Failure) {
        log::info!(
            "event=failed request={} database={} in_transaction=true code={:?} text=\"{}\"",
            plan.id(),
            self.database,
            failure.code,
            failure.text
        );
        self.transaction = Transaction::Failed { told: true };
        self.answer_error(&failure.code, &failure.text);
    }

    /// Takes a connection for a transaction that has none and begins it there.
    async fn open_transaction(&mut self) -> Result<(), single::Failure> {
        let Transaction::Begun { begin, route } = &self.transaction else {
            return Ok(());
        };
        let (begin, route) = (begin.clone(), route.clone());
        let bounds = single::Bounds::new(&route);
        let mut avoid = None;
        for _ in 0..ATTEMPTS_MAX {
            if clock::now() >= bounds.deadline {
                break;
            }
            let requirement = single::requirement(&route, begin.mode, self.own.point(route.group));
            let turn = single::take_turn(
                &self.shell,
                &route,
                requirement,
                bounds,
                avoid,
                false,
                self.is_forwarded(),
            )
            .await;
            let (mut lease, grant) = match turn {
                shell::Turn::Granted { lease, grant } => (lease, grant),
                shell::Turn::Refused(refusal) => return Err(single::Failure::refused(&refusal)),
            };
            avoid = Some(grant.member);
            let mut floor = grant.floor;
            if grant.verify {
                match attempt::verify(&mut lease, bounds.deadline).await {
                    Ok(point) => floor = floor.max(point),
                    Err(Some(_)) => {
                        lease.give_back();
                        continue;
                    }
                    Err(None) => continue,
                }
            }
            if self
                .begin_on(&mut lease, &begin, &route, floor, grant.verify, bounds)
                .await
            {
                let mode = begin.mode;
                self.transaction = Transaction::Open {
                    lease,
                    mode,
                    route,
                    wrote: false,
                };
                return Ok(());
            }
        }
        Err(single::Failure {
            code: protocol::Code::Busy,
            text: "no member began the transaction in time".to_owned(),
        })
    }

    async fn begin_on(
        &self,
        lease: &mut shell::Lease<W>,
        begin: &plan::Plan,
        route: &topology::Route,
        floor: Option<fulmarlift_core::floor::Point>,
        verified: bool,
        bounds: single::Bounds,
    ) -> bool {
        let asked_at = clock::now();
        lease.demand(floor);
        begin.push(lease.link(), floor, bounds.terms(route));
        if verified {
            // The end of the verifying transaction is answered first.
            match lease.exchange(bounds.deadline).await {
                Ok(ended) if ended.state == protocol::State::Idle => {}
                Ok(_) => return false,
                Err(error) => {
                    lease.report_failure(&error, false);
                    return false;
                }
            }
        }
        match lease.exchange(bounds.deadline).await {
            Ok(answer) => {
                let begun =
                    answer.error().is_none() && answer.state == protocol::State::Transaction;
                let success = match begin.mode {
                    protocol::Mode::Write if !lease.is_home() => event::Answer::Led {
                        asked_at,
                        commit: false,
                    },
                    _ => event::Answer::Served,
                };
                lease.report(answer.error().map_or(success, reading_of), answer.point);
                begun
            }
            Err(error) => {
                lease.report_failure(&error, false);
                false
            }
        }
    }

    pub(super) async fn commit(&mut self, query: &caller::Query) {
        match self.transaction.state() {
            protocol::State::Idle => {
                return self.answer_error(&protocol::Code::Malformed, "not in a transaction");
            }
            protocol::State::Failed => {
                self.transaction = Transaction::None;
                return self
                    .answer_error(&protocol::Code::Aborted, "the transaction was rolled back");
            }
            protocol::State::Transaction => {}
        }
        let plan = plan::Plan::direct(query, member::Verb::Commit);
        if let Err(failure) = self.open_transaction().await {
            self.transaction = Transaction::None;
            log::info!(
                "event=failed request={} commit=true code={:?} text=\"{}\"",
                plan.id(),
                failure.code,
                failure.text
            );
            return self.answer_error(&failure.code, &failure.text);
        }
        let ended = std::mem::replace(&mut self.transaction, Transaction::None);
        let Transaction::Open {
            mut lease,
            mode,
            route,
            wrote,
        } = ended
        else {
            return self.answer_error(&protocol::Code::Aborted, "the transaction has ended");
        };
        let bounds = single::Bounds::new(&route);
        let asked_at = clock::now();
        lease.start();
        match exchange(&mut lease, &plan, bounds.deadline, bounds.terms(&route)).await {
            Ok(answer) => {
                let success = match mode {
                    protocol::Mode::Write if !lease.is_home() => event::Answer::Led {
                        asked_at,
                        commit: wrote,
                    },
                    _ => event::Answer::Served,
                };
                lease.report(answer.error().map_or(success, reading_of), answer.point);
                if answer.error().is_none()
                    && wrote
                    && let Some(point) = answer.point
                {
                    self.own.raise(route.group, point);
                }
                if let Some(code) = answer.error() {
                    log::info!("event=commit_failed request={} code={code:?}", plan.id());
                }
                match answer.state {
                    protocol::State::Idle => lease.give_back(),
                    protocol::State::Transaction | protocol::State::Failed => lease.roll_back(),
                }
                self.pass_on(&answer);
            }
            Err(error) => {
                lease.report_failure(&error, wrote);
                // What wrote nothing leaves nothing behind, whatever became of its end.
                let code = if wrote {
                    protocol::Code::InDoubt
                } else {
                    protocol::Code::Aborted
                };
                log::info!(
                    "event=failed request={} commit=true code={code:?} error=\"{error}\"",
                    plan.id()
                );
                self.answer_error(&code, &error.to_string());
            }
        }
    }
}

/// Sends a statement of a transaction, again and again while its member has no slot for it.
async fn exchange<W: World>(
    lease: &mut shell::Lease<W>,
    plan: &plan::Plan,
    deadline: Instant,
    terms: caller::Terms,
) -> Result<member::Answer, link::LinkError> {
    loop {
        plan.push(lease.link(), None, terms);
        let answer = lease.exchange(deadline).await?;
        let busy = answer.error() == Some(&protocol::Code::Busy)
            && answer.state == protocol::State::Transaction;
        if !busy || clock::now() + BUSY_PAUSE >= deadline {
            return Ok(answer);
        }
        tokio::time::sleep(BUSY_PAUSE).await;
    }
}
