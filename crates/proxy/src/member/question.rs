//! Sends control questions to members: status questions, fences and promotions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarlift_core::{effect, event, floor, id};
use fulmarlift_wire::{backend, member};

use crate::engine;
use crate::member::backend::connect;

/// Time before a question's deadline by which a member must stop waiting for a position, so that its answer arrives in
/// time.
const ANSWER_RETURN_MARGIN: Duration = Duration::from_millis(100);

/// What the proxy asks of a member.
#[derive(Clone, Copy, Debug)]
enum Question {
    /// Asks for the status. The member answers when its log has reached the position, or shortly before the deadline;
    /// with position 0 it answers at once.
    Status { min_position: id::Position },
    /// Fences the member at the term.
    Fence { term: id::Term },
    /// Promotes the member to primary of the term.
    Promote { term: id::Term },
}

#[derive(Clone, Copy, Debug)]
struct ControlRequest {
    control_request: id::ControlRequestId,
    group: id::GroupId,
    member: id::MemberId,
    deadline: Instant,
    question: Question,
}

/// Sends the question of an effect in a new task, which reports the answer to the engine as an event. Ignores effects
/// that are not questions.
pub fn spawn_question(engine: &Arc<engine::Engine>, effect: &effect::Effect) {
    let Some(request) = control_request_of(effect) else {
        return;
    };
    let engine = Arc::clone(engine);
    engine.control_questions.increment(1);
    tokio::spawn(async move {
        let status = ask_or_none(&engine, request).await;
        engine.step(event_of(&engine, request, status));
    });
}

fn control_request_of(effect: &effect::Effect) -> Option<ControlRequest> {
    let term_request = |request: &effect::TermRequest, question| ControlRequest {
        control_request: request.control_request,
        group: request.group,
        member: request.member,
        deadline: request.deadline,
        question,
    };
    match effect {
        effect::Effect::AskStatus {
            control_request,
            group,
            member,
            min_position,
            deadline,
        } => Some(ControlRequest {
            control_request: *control_request,
            group: *group,
            member: *member,
            deadline: *deadline,
            question: Question::Status {
                min_position: *min_position,
            },
        }),
        effect::Effect::Fence(request) => Some(term_request(
            request,
            Question::Fence { term: request.term },
        )),
        effect::Effect::Promote(request) => Some(term_request(
            request,
            Question::Promote { term: request.term },
        )),
        _ => None,
    }
}

async fn ask_or_none(engine: &engine::Engine, request: ControlRequest) -> Option<member::Status> {
    match try_ask(engine, request).await {
        Ok(status) => Some(status),
        Err(error) => {
            log::debug!("event=question_failed ask={request:?} error={error}");
            None
        }
    }
}

async fn try_ask(
    engine: &engine::Engine,
    request: ControlRequest,
) -> Result<member::Status, backend::Error> {
    let address = engine.control_connections.address(request.member);
    let address = address.ok_or(backend::Error::Closed)?;
    let permits = engine.control_connections.permits(request.member);
    let permits = permits.ok_or(backend::Error::Closed)?;
    let deadline = tokio::time::Instant::from_std(request.deadline);
    let permit = tokio::time::timeout_at(deadline, permits.acquire()).await;
    // Holds the permit until the connection is idle again or dropped.
    let _permit = permit.map_err(|_| backend::Error::Deadline)?;
    let mut connection = match engine.control_connections.take_idle(request.member) {
        Some(connection) => connection,
        None => {
            let control = [("group_control".into(), "true".into())];
            connect(&engine.settings, address, &control, request.deadline).await?
        }
    };
    let status = ask_member(engine, &mut connection, request).await?;
    engine
        .control_connections
        .return_idle(request.member, connection);
    Ok(status)
}

async fn ask_member(
    engine: &engine::Engine,
    connection: &mut backend::Connection,
    request: ControlRequest,
) -> Result<member::Status, backend::Error> {
    let deadline = tokio::time::Instant::from_std(request.deadline);
    let claimant = format!("{:016x}", engine.proxy);
    match request.question {
        Question::Status { min_position } => {
            let remaining = request.deadline.saturating_duration_since(Instant::now());
            let wait = remaining.saturating_sub(ANSWER_RETURN_MARGIN);
            let wait = match min_position {
                0 => Duration::ZERO,
                _ => wait,
            };
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            member::status(connection, min_position, wait_ms, deadline).await
        }
        Question::Fence { term } => member::fence(connection, term, &claimant, deadline).await,
        Question::Promote { term } => member::promote(connection, term, &claimant, deadline).await,
    }
}

fn event_of(
    engine: &engine::Engine,
    request: ControlRequest,
    row: Option<member::Status>,
) -> event::Event {
    let status = row.as_ref().map(status_of);
    match request.question {
        Question::Status { .. } => event::Event::StatusAnswered(event::StatusAnswer {
            control_request: request.control_request,
            group: request.group,
            member: request.member,
            status,
        }),
        Question::Fence { term } | Question::Promote { term } => {
            let claimant = format!("{:016x}", engine.proxy);
            let granted = row.is_some_and(|row| row.term == term && *row.claimant == *claimant);
            event::Event::TermAnswered(event::TermAnswer {
                control_request: request.control_request,
                group: request.group,
                member: request.member,
                result: status.map(|status| (status, granted)),
            })
        }
    }
}

fn status_of(row: &member::Status) -> event::Status {
    event::Status {
        term: row.term,
        primary: row.role == member::Role::Primary,
        last: floor::Point::new(row.last_term, row.position),
        term_start: row.term_start,
        connections_used: row.connections_used,
        upstream_silence: row.upstream_silence,
    }
}
