//! Runs a statement once, on a granted connection.

use std::time::Instant;

use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_core::floor;

use crate::clock;
use crate::deployment::Deployment;
use crate::link;
use crate::protocol;
use crate::protocol::member;
use crate::session::scope;
use crate::session::single;
use crate::session::statement;
use crate::shell;
use crate::values;

/// Reason why a statement has certainly not run.
#[derive(Debug, thiserror::Error)]
pub enum Unrun {
    /// The member refused the statement, or a command of the proxy that comes before it.
    #[error("refused with {0:?}")]
    Refused(protocol::Code),
    /// The connection became unusable before the statement was sent.
    #[error("not sent: {0}")]
    Unsent(#[from] link::LinkError),
}

impl Unrun {
    /// Returns the reason as a log key with its value.
    pub fn cause(&self) -> String {
        match self {
            Self::Refused(code) => format!("code={code:?}"),
            Self::Unsent(_) => format!("error=\"{self}\""),
        }
    }
}

/// Outcome of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The member ran the statement.
    Answered(member::Answer),
    /// A home answered the statement, after attempts of its own.
    AnsweredByHome(member::Answer),
    /// The statement has certainly not run; another attempt is safe.
    NotRun(Unrun),
    /// The statement must not be sent to a member, and has not been.
    Withheld(protocol::Withheld),
    /// The statement was sent, but the connection broke or timed out before the answer.
    Lost(link::LinkError),
}

/// Brings a connection, in the given transaction state, to the session's state: sets the session values that differ, after a reset
/// if need be, and prepares the statement.
///
/// # Errors
///
/// [`link::LinkError::Withheld`] when a change must not be sent and [`link::LinkError::Refused`] when one was refused, which leave the
/// connection usable, and any other [`link::LinkError`] when it is unusable; the session's statement has not been sent.
pub async fn synchronize<D: Deployment>(
    lease: &mut shell::Lease<D>,
    session_state: &values::SessionState,
    statement: &statement::MemberStatement,
    believed: protocol::TransactionState,
    deadline: Instant,
) -> Result<(), link::LinkError> {
    // A home gets the definition with each statement and prepares it at the members itself.
    let prepared = statement.required_prepared().filter(|_| !lease.is_home());
    let upstream = lease.upstream();
    let diff = upstream
        .connection_state()
        .sync_with(session_state, prepared);
    let mut sent = 0;
    let mut pushed = Ok(());
    for command in diff.commands() {
        pushed = match sent {
            0 => upstream.push_statement(command, believed),
            _ => upstream.push(command),
        };
        if pushed.is_err() {
            break;
        }
        sent += 1;
    }
    let mut refused = None;
    for _ in 0..sent {
        let answer = upstream.exchange(deadline).await?;
        if let Some(code) = answer.error() {
            refused.get_or_insert(code.clone());
        }
    }
    if let Some(code) = refused {
        upstream.connection_state().mark_uncertain();
        lease.log_values_refused(&code);
        return Err(link::LinkError::Refused(code));
    }
    if let Err(reason) = pushed {
        upstream.connection_state().mark_uncertain();
        lease.log_withheld(&statement.id_text(), reason);
        return Err(reason.into());
    }
    Ok(())
}

/// Verifies that the member is the leader, by a read-write transaction that only a leader begins. Returns the last point
/// of the member's log. Appends the rollback of that transaction, which the connection sends with the next command.
///
/// # Errors
///
/// Returns the code with which the member refused, or the error of the connection.
pub async fn verify_leader<D: Deployment>(
    lease: &mut shell::Lease<D>,
    deadline: Instant,
) -> Result<Option<floor::Point>, Unrun> {
    let sent_at = clock::now();
    let begin = member::Command::Begin;
    let begun = lease.upstream().request(begin, deadline).await;
    let begun = begun.map_err(|error| {
        lease.report_failure(&error, false);
        Unrun::Unsent(error)
    })?;
    if let Some(code) = begun.error() {
        lease.report(classify_code(code), begun.point);
        return Err(Unrun::Refused(code.clone()));
    }
    let led = event::Answer::Led {
        sent_at,
        commit: false,
    };
    lease.report(led, begun.point);
    lease.start_statement();
    let rollback = lease.upstream().push(member::Command::Rollback);
    rollback.map_err(link::LinkError::from)?;
    Ok(begun.point)
}

/// Awaits the answer to the rollback that [`verify_leader`] has appended, and returns its result.
///
/// # Errors
///
/// [`link::LinkError`] when the connection is unusable, or still in the transaction.
pub async fn end_verification<D: Deployment>(
    lease: &mut shell::Lease<D>,
    deadline: Instant,
) -> Result<member::End, link::LinkError> {
    match lease.exchange(deadline).await {
        Ok(ended) if ended.state == protocol::TransactionState::Idle => Ok(ended.end),
        // The member has not rolled back. Answers to what was sent behind the rollback are not awaited; it runs in the transaction
        // to roll back, which is never committed.
        Ok(ended) => {
            let expected = protocol::TransactionState::Idle;
            let told = ended.state;
            lease.log_state(expected, told);
            Err(link::LinkError::State { expected, told })
        }
        Err(error) => {
            lease.report_failure(&error, false);
            Err(error)
        }
    }
}

/// Runs a single statement on a granted connection, and gives the connection back if it is usable. First brings the
/// connection to the session's state, and verifies that the member leads if the grant demands it.
pub async fn run<D: Deployment>(
    mut lease: Box<shell::Lease<D>>,
    grant: effect::Grant,
    statement: &statement::MemberStatement,
    session_state: &values::SessionState,
    scope: &scope::Scope,
    timing: single::Timing,
) -> Outcome {
    let deadline = timing.deadline;
    lease.set_request(&statement.id);
    if let Some(belief) = &grant.new_belief {
        lease.log_belief(&grant, belief, &statement.id_text());
    }
    let believed = protocol::TransactionState::Idle;
    match synchronize(&mut lease, session_state, statement, believed, deadline).await {
        Ok(()) => {}
        Err(link::LinkError::Withheld(reason)) if !reason.concerns_connection() => {
            lease.give_back();
            return Outcome::Withheld(reason);
        }
        Err(error) => {
            lease.report_failure(&error, false);
            if matches!(error, link::LinkError::Refused(_)) {
                lease.give_back();
            }
            return Outcome::NotRun(error.into());
        }
    }
    let mut floor = grant.floor;
    if grant.verify {
        match verify_leader(&mut lease, deadline).await {
            Ok(point) => floor = floor.max(point),
            Err(reason) => {
                if matches!(reason, Unrun::Refused(_)) {
                    lease.give_back();
                }
                return Outcome::NotRun(reason);
            }
        }
    }
    let sent_at = clock::now();
    lease.set_floor(floor);
    let pushed = statement.push(&mut lease, believed, floor, timing.options(scope));
    if let Err(reason) = pushed
        && reason.concerns_connection()
    {
        return Outcome::NotRun(link::LinkError::from(reason).into());
    }
    let verified = match grant.verify {
        true => end_verification(&mut lease, deadline).await.map(Some),
        false => Ok(None),
    };
    let rollback_result = match (pushed, verified) {
        (Ok(()), Ok(result)) => result,
        (Ok(()), Err(error)) => return Outcome::Lost(error),
        (Err(reason), verified) => {
            if verified.is_ok() {
                lease.give_back();
            }
            return Outcome::Withheld(reason);
        }
    };
    let writes = statement.mode == protocol::Mode::Write;
    match lease.exchange(deadline).await {
        // Each statement has a signature of its own, so this is the answer to the rollback once more.
        Ok(answer) if answer.error().is_none() && Some(&answer.end) == rollback_result.as_ref() => {
            let error = protocol::WireError::Malformed("answer to another command").into();
            lease.report_failure(&error, writes);
            Outcome::Lost(error)
        }
        Ok(answer) if lease.is_home() => finish_at_home(*lease, answer),
        Ok(answer) => {
            let led = event::Answer::Led {
                sent_at,
                commit: true,
            };
            let success = if writes { led } else { event::Answer::Served };
            finish_at_member(*lease, answer, success)
        }
        Err(error) => {
            lease.report_failure(&error, writes);
            Outcome::Lost(error)
        }
    }
}

/// Reports a home's answer to the broker, and accepts it even if it is a refusal: the home has tried the group's members.
fn finish_at_home<D: Deployment>(mut lease: shell::Lease<D>, answer: member::Answer) -> Outcome {
    let classified = match answer.error() {
        Some(protocol::Code::Busy) => event::Answer::Busy,
        _ => event::Answer::Served,
    };
    lease.report(classified, answer.point);
    if answer.state == protocol::TransactionState::Idle {
        lease.give_back();
    }
    Outcome::AnsweredByHome(answer)
}

/// Reports a member's answer to the broker and derives the attempt's outcome from it.
fn finish_at_member<D: Deployment>(
    mut lease: shell::Lease<D>,
    answer: member::Answer,
    success: event::Answer,
) -> Outcome {
    let classified = answer.error().map_or(success, classify_code);
    lease.report(classified, answer.point);
    if answer.error() == Some(&protocol::Code::NoStatement) {
        lease.upstream().connection_state().mark_uncertain();
    }
    if answer.state == protocol::TransactionState::Idle {
        lease.give_back();
    }
    match answer.error() {
        Some(code) if code.means_not_run() => Outcome::NotRun(Unrun::Refused(code.clone())),
        _ => Outcome::Answered(answer),
    }
}

/// Converts a member's error code to the kind of answer that the broker distinguishes.
pub fn classify_code(code: &protocol::Code) -> event::Answer {
    match code {
        protocol::Code::Busy => event::Answer::Busy,
        protocol::Code::Failed => event::Answer::Failed,
        protocol::Code::Behind => event::Answer::Behind,
        protocol::Code::ReadOnly => event::Answer::NotLeading,
        protocol::Code::Misrouted | protocol::Code::TooMany => event::Answer::Broken,
        _ => event::Answer::Served,
    }
}
