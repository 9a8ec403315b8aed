//! One attempt to run something on a granted connection.

use std::time::Instant;

use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::topology;
use fulmarlift_core::floor;

use crate::clock;
use crate::deployment::Deployment;
use crate::link;
use crate::protocol;
use crate::protocol::member;
use crate::session::plan;
use crate::session::single;
use crate::shell;
use crate::values;

/// How an attempt ended.
#[derive(Debug)]
pub enum Outcome {
    /// The member answered that the statement ran.
    Answered(member::Answer),
    /// The statement has not run.
    NotRun(protocol::Code),
    /// The statement was sent, and no answer came.
    Lost(link::LinkError),
}

/// Brings a connection to what the session was promised.
///
/// # Errors
///
/// [`link::LinkError`] when the connection cannot be used; the session's statement has not been sent.
pub async fn synchronize<D: Deployment>(
    lease: &mut shell::Lease<D>,
    held: &values::Held,
    prepared: Option<&member::Prepared>,
    deadline: Instant,
) -> Result<(), link::LinkError> {
    // A home prepares for itself what it needs.
    let prepared = prepared.filter(|_| !lease.is_home());
    let link = lease.link();
    let gap = link.mirror().close_gap(held, prepared);
    let mut sent = 0;
    if gap.reset {
        link.push(member::Command::Reset);
        sent += 1;
    }
    for (name, value) in &gap.values {
        link.push(member::Command::Set { name, value });
        sent += 1;
    }
    if let Some(prepared) = &gap.prepare {
        link.push(member::Command::Prepare(prepared));
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
pub async fn verify<D: Deployment>(
    lease: &mut shell::Lease<D>,
    deadline: Instant,
) -> Result<Option<floor::Point>, Option<protocol::Code>> {
    let asked_at = clock::now();
    lease.link().push(member::Command::Begin);
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
    lease.link().push(member::Command::Rollback);
    Ok(begun.point)
}

/// Runs a single statement on a granted connection and returns the connection.
pub async fn run<D: Deployment>(
    mut lease: Box<shell::Lease<D>>,
    grant: effect::Grant,
    plan: &plan::Plan,
    held: &values::Held,
    route: &topology::Route,
    bounds: single::Bounds,
) -> Outcome {
    let deadline = bounds.deadline;
    if let Err(error) = synchronize(&mut lease, held, plan.needs(), deadline).await {
        lease.report_failure(&error, false);
        return Outcome::NotRun(protocol::Code::Busy);
    }
    let mut floor = grant.floor;
    if grant.verify {
        match verify(&mut lease, deadline).await {
            Ok(point) => floor = floor.max(point),
            Err(code) => {
                if code.is_some() {
                    lease.give_back();
                }
                return Outcome::NotRun(code.unwrap_or(protocol::Code::Busy));
            }
        }
    }
    let asked_at = clock::now();
    lease.demand(floor);
    plan.push(lease.link(), floor, bounds.terms(route));
    if grant.verify {
        // The end of the verifying transaction is answered first.
        match lease.exchange(deadline).await {
            Ok(ended) if ended.state == protocol::State::Idle => {}
            Ok(_) => return Outcome::Lost(link::LinkError::Silent),
            Err(error) => {
                lease.report_failure(&error, false);
                return Outcome::Lost(error);
            }
        }
    }
    let writes = plan.mode == protocol::Mode::Write;
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

/// A home's answer is passed on, its refusal included: it has tried the members that there are.
fn pass_on<D: Deployment>(mut lease: shell::Lease<D>, answer: member::Answer) -> Outcome {
    let reading = match answer.error() {
        Some(protocol::Code::Busy) => event::Answer::Busy,
        _ => event::Answer::Served,
    };
    lease.report(reading, answer.point);
    if answer.state == protocol::State::Idle {
        lease.give_back();
    }
    Outcome::Answered(answer)
}

fn conclude<D: Deployment>(
    mut lease: shell::Lease<D>,
    answer: member::Answer,
    success: event::Answer,
) -> Outcome {
    let reading = answer.error().map_or(success, reading_of);
    lease.report(reading, answer.point);
    if answer.error() == Some(&protocol::Code::NoStatement) {
        lease.link().mirror().doubt();
    }
    if answer.state == protocol::State::Idle {
        lease.give_back();
    }
    match answer.error() {
        Some(code) if code.not_run() => Outcome::NotRun(code.clone()),
        _ => Outcome::Answered(answer),
    }
}

/// Returns what an error says about the member.
pub fn reading_of(code: &protocol::Code) -> event::Answer {
    match code {
        protocol::Code::Busy => event::Answer::Busy,
        protocol::Code::Failed => event::Answer::Failed,
        protocol::Code::Behind => event::Answer::Behind,
        protocol::Code::ReadOnly => event::Answer::NotLeading,
        protocol::Code::Misrouted | protocol::Code::TooMany => event::Answer::Broken,
        _ => event::Answer::Served,
    }
}
