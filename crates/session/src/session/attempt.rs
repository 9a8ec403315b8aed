//! One attempt to run something on a granted connection.

use std::time::Instant;

use fulmarlift_broker::effect::Grant;
use fulmarlift_broker::event;
use fulmarlift_broker::topology::Route;
use fulmarlift_core::floor::Point;

use crate::clock;
use crate::link::LinkError;
use crate::protocol::member::{Answer, Command, Prepared};
use crate::protocol::{Code, Mode, State};
use crate::session::plan::Plan;
use crate::session::single::Bounds;
use crate::shell::Lease;
use crate::values::Held;
use crate::world::World;

/// How an attempt ended.
#[derive(Debug)]
pub enum Outcome {
    /// The member answered that the statement ran.
    Answered(Answer),
    /// The statement has not run.
    NotRun(Code),
    /// The statement was sent, and no answer came.
    Lost(LinkError),
}

/// Brings a connection to what the session was promised.
///
/// # Errors
///
/// [`LinkError`] when the connection cannot be used; the session's statement has not been sent.
pub async fn synchronize<W: World>(
    lease: &mut Lease<W>,
    held: &Held,
    prepared: Option<&Prepared>,
    deadline: Instant,
) -> Result<(), LinkError> {
    // A home prepares for itself what it needs.
    let prepared = prepared.filter(|_| !lease.is_home());
    let link = lease.link();
    let gap = link.mirror().close_gap(held, prepared);
    let mut sent = 0;
    if gap.reset {
        link.push(Command::Reset);
        sent += 1;
    }
    for (name, value) in &gap.values {
        link.push(Command::Set { name, value });
        sent += 1;
    }
    if let Some(prepared) = &gap.prepare {
        link.push(Command::Prepare(prepared));
        sent += 1;
    }
    for _ in 0..sent {
        let answer = link.exchange(deadline).await?;
        if answer.error().is_some() {
            log::warn!("event=synchronize_failed answer={answer:?}");
            let error = crate::protocol::WireError::Malformed("session values refused");
            return Err(error.into());
        }
    }
    Ok(())
}

/// Shows that the member leads: it begins a transaction that may write. Returns its newest point, and leaves the end of
/// that transaction to be sent with the next command.
///
/// # Errors
///
/// The code with which the member refused, or none if the connection broke.
pub async fn verify<W: World>(
    lease: &mut Lease<W>,
    deadline: Instant,
) -> Result<Option<Point>, Option<Code>> {
    let asked_at = clock::now();
    lease.link().push(Command::Begin);
    let begun = lease.exchange(deadline).await.map_err(|error| {
        lease.report_failure(&error, false);
        None
    })?;
    if let Some(code) = begun.error() {
        lease.report(reading_of(code), begun.point);
        return Err(Some(code.clone()));
    }
    let led = event::Answer::Led {
        asked_at,
        commit: false,
    };
    lease.report(led, begun.point);
    lease.start();
    lease.link().push(Command::Rollback);
    Ok(begun.point)
}

/// Runs a single statement on a granted connection and returns the connection.
pub async fn run<W: World>(
    mut lease: Box<Lease<W>>,
    grant: Grant,
    plan: &Plan,
    held: &Held,
    route: &Route,
    bounds: Bounds,
) -> Outcome {
    let deadline = bounds.deadline;
    if let Err(error) = synchronize(&mut lease, held, plan.needs(), deadline).await {
        lease.report_failure(&error, false);
        return Outcome::NotRun(Code::Busy);
    }
    let mut floor = grant.floor;
    if grant.verify {
        match verify(&mut lease, deadline).await {
            Ok(point) => floor = floor.max(point),
            Err(code) => {
                if code.is_some() {
                    lease.give_back();
                }
                return Outcome::NotRun(code.unwrap_or(Code::Busy));
            }
        }
    }
    let asked_at = clock::now();
    lease.demand(floor);
    plan.push(lease.link(), floor, bounds.terms(route));
    if grant.verify {
        // The end of the verifying transaction is answered first.
        match lease.exchange(deadline).await {
            Ok(ended) if ended.state == State::Idle => {}
            Ok(_) => return Outcome::Lost(LinkError::Silent),
            Err(error) => {
                lease.report_failure(&error, false);
                return Outcome::Lost(error);
            }
        }
    }
    let writes = plan.mode == Mode::Write;
    match lease.exchange(deadline).await {
        Ok(answer) if lease.is_home() => pass_on(*lease, answer),
        Ok(answer) => {
            let led = event::Answer::Led {
                asked_at,
                commit: true,
            };
            let success = if writes { led } else { event::Answer::Served };
            conclude(*lease, answer, success)
        }
        Err(error) => {
            lease.report_failure(&error, writes);
            Outcome::Lost(error)
        }
    }
}

/// A home's answer is final, its refusal included: it has tried the members that there are.
fn pass_on<W: World>(mut lease: Lease<W>, answer: Answer) -> Outcome {
    lease.report(event::Answer::Served, answer.point);
    if answer.state == State::Idle {
        lease.give_back();
    }
    Outcome::Answered(answer)
}

fn conclude<W: World>(mut lease: Lease<W>, answer: Answer, success: event::Answer) -> Outcome {
    let reading = answer.error().map_or(success, reading_of);
    lease.report(reading, answer.point);
    if answer.error() == Some(&Code::NoStatement) {
        lease.link().mirror().doubt();
    }
    if answer.state == State::Idle {
        lease.give_back();
    }
    match answer.error() {
        Some(code) if code.not_run() => Outcome::NotRun(code.clone()),
        _ => Outcome::Answered(answer),
    }
}

/// Returns what an error says about the member.
pub fn reading_of(code: &Code) -> event::Answer {
    match code {
        Code::Busy => event::Answer::Busy,
        Code::Behind => event::Answer::Behind,
        Code::ReadOnly => event::Answer::NotLeading,
        Code::Misrouted | Code::TooMany => event::Answer::Broken,
        _ => event::Answer::Served,
    }
}
