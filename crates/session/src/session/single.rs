//! Statements outside transactions.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fulmarlift_broker::effect;
use fulmarlift_broker::request;
use fulmarlift_broker::topology;
use fulmarlift_core::id;
use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::clock;
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::caller::Codec;
use crate::protocol::member;
use crate::session;
use crate::session::attempt;
use crate::session::plan;
use crate::shell;
use crate::values;
use crate::world::World;

/// Time of a statement's limit that is left for the answer's way to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Most connections that one statement is tried on: the members of a group twice.
const ATTEMPTS_MAX: u32 = 6;

/// Bounds of one statement.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// When it arrived.
    pub arrived_at: Instant,
    /// When it should be answered.
    pub objective_at: Instant,
    /// When it has to be answered.
    pub deadline: Instant,
    /// When a read is tried at a second member, if the first has not answered.
    pub hedge_at: Instant,
}

impl Bounds {
    /// Derives the bounds of a statement that arrives now.
    pub fn new(route: &topology::Route) -> Self {
        let arrived_at = clock::now();
        let objective = Duration::from_millis(u64::from(route.objective_ms));
        let timeout = Duration::from_millis(u64::from(route.statement_timeout_ms));
        Self {
            arrived_at,
            objective_at: arrived_at + objective,
            deadline: arrived_at + timeout.saturating_sub(ANSWER_MARGIN),
            hedge_at: arrived_at + objective.min(timeout) / 2,
        }
    }

    /// Leaves the second attempt of a forwarded statement to its home for a while longer.
    fn hedge_later(&mut self) {
        let wait = self.hedge_at.saturating_duration_since(self.arrived_at);
        self.hedge_at += wait / 2;
    }

    /// Returns how a home is to serve the statement in the time that is left.
    pub fn terms(&self, route: &topology::Route) -> caller::Terms {
        let left_ms = |until: Instant| {
            let left = until.saturating_duration_since(clock::now());
            u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
        };
        caller::Terms {
            consistency: route.consistency,
            timeout_ms: left_ms(self.deadline),
            objective_ms: left_ms(self.objective_at),
            priority: route.priority,
        }
    }
}

/// Returns what a statement demands.
pub fn requirement(
    route: &topology::Route,
    mode: protocol::Mode,
    own: Option<fulmarlift_core::floor::Point>,
) -> request::Requirement {
    match (mode, route.consistency) {
        (protocol::Mode::Write, _) => request::Requirement::Leader,
        (protocol::Mode::Read, topology::Consistency::Leader) => {
            request::Requirement::VerifiedLeader
        }
        (
            protocol::Mode::Read,
            topology::Consistency::Bounded { max_staleness_ms }
            | topology::Consistency::OwnWrites { max_staleness_ms },
        ) => {
            let age = Duration::from_millis(u64::from(max_staleness_ms));
            let now = clock::now();
            request::Requirement::Recent {
                since: now.checked_sub(age).unwrap_or(now),
                session_commit: own.filter(|_| {
                    matches!(route.consistency, topology::Consistency::OwnWrites { .. })
                }),
            }
        }
    }
}

/// What a caller is told when a statement did not succeed, and why, for the log.
#[derive(Debug)]
pub struct Failure {
    /// The code.
    pub code: protocol::Code,
    /// The text.
    pub text: String,
}

impl Failure {
    /// A refusal that says when to come back.
    pub fn refused(refusal: &effect::Refusal) -> Self {
        let wait = refusal.retry_at.saturating_duration_since(clock::now());
        Self {
            code: protocol::Code::Busy,
            text: format!("{}, retry after {} ms", refusal.reason, wait.as_millis()),
        }
    }
}

impl<W: World, C: Codec> session::Session<W, C> {
    pub(super) async fn execute_single(&mut self, plan: plan::Plan) {
        let Some(route) = self.route() else {
            return self.answer_error(&protocol::Code::NoDatabase, "the database has been removed");
        };
        let mut bounds = Bounds::new(&route);
        let forwarded = self.is_forwarded();
        if !forwarded
            && self
                .shell
                .with_broker(|broker| broker.forwards_requests(route.group))
        {
            bounds.hedge_later();
        }
        let own = self.own.point(route.group);
        let held = Rc::clone(&self.held);
        let plan = Rc::new(plan);
        let requirement = requirement(&route, plan.mode, own);
        let ended = match plan.mode {
            protocol::Mode::Read => {
                let job = Job {
                    shell: Rc::clone(&self.shell),
                    plan: Rc::clone(&plan),
                    held,
                    route: route.clone(),
                    requirement,
                    bounds,
                    forwarded,
                    at: Cell::new(None),
                };
                read(Rc::new(job)).await
            }
            protocol::Mode::Write => {
                write(&self.shell, &plan, &held, &route, bounds, forwarded).await
            }
        };
        match ended {
            Ok(answer) => {
                if plan.mode == protocol::Mode::Write
                    && answer.error().is_none()
                    && let Some(point) = answer.point
                {
                    self.own.raise(route.group, point);
                }
                count(&plan, &bounds, "served");
                self.pass_on(&answer);
            }
            Err(failure) => {
                count(&plan, &bounds, "failed");
                let waited = clock::now().saturating_duration_since(bounds.arrived_at);
                log::info!(
                    "event=failed request={} database={} mode={:?} code={:?} text=\"{}\" after_ms={}",
                    plan.id(),
                    self.database,
                    plan.mode,
                    failure.code,
                    failure.text,
                    waited.as_millis()
                );
                self.answer_error(&failure.code, &failure.text);
            }
        }
    }
}

fn count(plan: &plan::Plan, bounds: &Bounds, outcome: &'static str) {
    let mode = match plan.mode {
        protocol::Mode::Read => "read",
        protocol::Mode::Write => "write",
    };
    metrics::counter!("fulmarlift_statements_total", "mode" => mode, "outcome" => outcome)
        .increment(1);
    metrics::histogram!("fulmarlift_statement_seconds", "mode" => mode)
        .record(clock::now().saturating_duration_since(bounds.arrived_at));
}

/// Asks for a connection.
pub(super) async fn take_turn<W: World>(
    shell: &Rc<shell::Shell<W>>,
    route: &topology::Route,
    requirement: request::Requirement,
    bounds: Bounds,
    avoid: Option<id::MemberId>,
    hedge: bool,
    forwarded: bool,
) -> shell::Turn<W> {
    shell
        .turn(request::Request {
            id: shell.next_request(),
            group: route.group,
            requirement,
            priority: route.priority,
            objective_at: bounds.objective_at,
            deadline: bounds.deadline,
            avoid,
            hedge,
            forwarded,
        })
        .await
}

/// A read and all that its attempts need.
struct Job<W: World> {
    shell: Rc<shell::Shell<W>>,
    plan: Rc<plan::Plan>,
    held: Rc<values::Held>,
    route: topology::Route,
    requirement: request::Requirement,
    bounds: Bounds,
    forwarded: bool,
    /// The member of the attempt under way.
    at: Cell<Option<id::MemberId>>,
}

/// One attempt of a read, with the member that it was tried at.
async fn try_once<W: World>(
    job: Rc<Job<W>>,
    avoid: Option<id::MemberId>,
    hedge: bool,
) -> Result<(id::MemberId, attempt::Outcome), effect::Refusal> {
    let turn = take_turn(
        &job.shell,
        &job.route,
        job.requirement,
        job.bounds,
        avoid,
        hedge,
        job.forwarded,
    );
    match turn.await {
        shell::Turn::Refused(refusal) => Err(refusal),
        shell::Turn::Granted { lease, grant } => {
            job.at.set(Some(grant.member));
            let outcome =
                attempt::run(lease, grant, &job.plan, &job.held, &job.route, job.bounds).await;
            Ok((grant.member, outcome))
        }
    }
}

/// Runs a read. It may be tried at several members, one after the other, and at two at once when the first is slow.
async fn read<W: World>(job: Rc<Job<W>>) -> Result<member::Answer, Failure> {
    let (plan, bounds) = (&job.plan, job.bounds);
    let again = |avoid, hedge| try_once(Rc::clone(&job), avoid, hedge);
    job.shell.earn_hedge();
    let mut running = FuturesUnordered::new();
    running.push(again(None, false));
    let mut attempts = 1;
    let mut hedged = false;
    let mut was_sent = false;
    let hedge = tokio::time::sleep_until(clock::timer(bounds.hedge_at));
    tokio::pin!(hedge);
    let ended = loop {
        let next = tokio::select! {
            next = running.next() => next,
            () = &mut hedge, if !hedged => {
                hedged = true;
                // One that still waits for its turn would only wait twice.
                if job.at.get().is_some() && job.shell.spend_hedge() {
                    attempts += 1;
                    running.push(again(job.at.get(), true));
                    metrics::counter!("fulmarlift_hedges_total").increment(1);
                }
                continue;
            }
        };
        let avoid = match next {
            Some(Ok((home, attempt::Outcome::Answered(answer))))
                if attempts == 1 && is_refused(&answer) && job.shell.spend_hedge() =>
            {
                log_retry(&job.shell, plan, home, "code=Busy");
                Some(home)
            }
            Some(Ok((_, attempt::Outcome::Answered(answer)))) => {
                let failed = answer.error() == Some(&protocol::Code::Failed);
                if !failed || attempts >= ATTEMPTS_MAX || !running.is_empty() {
                    break Ok(answer);
                }
                None
            }
            Some(Ok((member, attempt::Outcome::NotRun(code)))) => {
                log_retry(&job.shell, plan, member, &format!("code={code:?}"));
                Some(member)
            }
            Some(Ok((member, attempt::Outcome::Lost(error)))) => {
                was_sent = true;
                log_retry(&job.shell, plan, member, &format!("error=\"{error}\""));
                Some(member)
            }
            Some(Err(refusal)) if running.is_empty() => break Err(given_up(&refusal, was_sent)),
            Some(Err(_)) => continue,
            None => break Err(timed_out(was_sent)),
        };
        if attempts < ATTEMPTS_MAX && clock::now() < bounds.deadline {
            attempts += 1;
            job.at.set(None);
            running.push(again(avoid, false));
        } else if running.is_empty() {
            break Err(timed_out(was_sent));
        }
    };
    if !running.is_empty() {
        // The slower attempt still returns its connection, and tells how the member is.
        tokio::task::spawn_local(async move { while running.next().await.is_some() {} });
    }
    ended
}

/// Logs why a statement is tried again, and where it has been tried.
fn log_retry<W: World>(shell: &shell::Shell<W>, plan: &plan::Plan, at: id::MemberId, why: &str) {
    log::info!(
        "event=retried request={} member={} {why}",
        plan.id(),
        shell.member_name(at)
    );
}

/// Returns whether a home refused a statement, which another one may have room for. A member's refusal is no answer.
fn is_refused(answer: &member::Answer) -> bool {
    answer.error() == Some(&protocol::Code::Busy)
}

fn given_up(refusal: &effect::Refusal, was_sent: bool) -> Failure {
    let mut failure = Failure::refused(refusal);
    if was_sent {
        failure.code = protocol::Code::Failed;
    }
    failure
}

fn timed_out(was_sent: bool) -> Failure {
    match was_sent {
        true => Failure {
            code: protocol::Code::Timeout,
            text: "no member answered in time".to_owned(),
        },
        false => Failure {
            code: protocol::Code::Busy,
            text: "no member took the statement in time".to_owned(),
        },
    }
}

/// Runs a write. Once it has been sent, only the member's word that it has not run allows another attempt.
async fn write<W: World>(
    shell: &Rc<shell::Shell<W>>,
    plan: &plan::Plan,
    held: &values::Held,
    route: &topology::Route,
    bounds: Bounds,
    forwarded: bool,
) -> Result<member::Answer, Failure> {
    shell.earn_hedge();
    let mut refused = protocol::Code::Busy;
    let mut avoid = None;
    for attempt in 1..=ATTEMPTS_MAX {
        if clock::now() >= bounds.deadline {
            break;
        }
        let turn = take_turn(
            shell,
            route,
            request::Requirement::Leader,
            bounds,
            avoid,
            false,
            forwarded,
        )
        .await;
        let (lease, grant) = match turn {
            shell::Turn::Granted { lease, grant } => (lease, grant),
            shell::Turn::Refused(refusal) => return Err(Failure::refused(&refusal)),
        };
        let member = grant.member;
        match attempt::run(lease, grant, plan, held, route, bounds).await {
            attempt::Outcome::Answered(answer)
                if attempt == 1 && is_refused(&answer) && shell.spend_hedge() =>
            {
                log_retry(shell, plan, member, "code=Busy");
                avoid = Some(member);
            }
            attempt::Outcome::Answered(answer) => return Ok(answer),
            attempt::Outcome::NotRun(code) => {
                log_retry(shell, plan, member, &format!("code={code:?}"));
                refused = code;
            }
            attempt::Outcome::Lost(error) => {
                return Err(Failure {
                    code: protocol::Code::InDoubt,
                    text: error.to_string(),
                });
            }
        }
    }
    let text = format!("not run, last refused with {refused:?}");
    let code = protocol::Code::Busy;
    Err(Failure { code, text })
}
