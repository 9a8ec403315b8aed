//! Status questions, fences and promotions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarlift_core::{effect, event, floor, id};
use fulmarlift_wire::{backend, member};

use crate::engine;
use crate::member::backend::connect;

/// Part of a question's time that is left for the way back when a member holds its answer.
const HOLD_MARGIN: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
enum Question {
    Status { min_position: id::Position },
    Fence { term: id::Term },
    Promote { term: id::Term },
}

#[derive(Clone, Copy, Debug)]
struct Ask {
    control_request: id::ControlRequestId,
    group: id::GroupId,
    member: id::MemberId,
    deadline: Instant,
    question: Question,
}

/// Starts the question of an effect; its answer comes back as an event. Other effects are ignored.
pub fn start(engine: &Arc<engine::Engine>, effect: &effect::Effect) {
    let Some(ask) = ask_of(effect) else {
        return;
    };
    let engine = Arc::clone(engine);
    engine.questions.increment(1);
    tokio::spawn(async move {
        let status = answer(&engine, ask).await;
        engine.step(event_of(&engine, ask, status));
    });
}

fn ask_of(effect: &effect::Effect) -> Option<Ask> {
    let grant = |grant: &effect::TermRequest, question| Ask {
        control_request: grant.control_request,
        group: grant.group,
        member: grant.member,
        deadline: grant.deadline,
        question,
    };
    match effect {
        effect::Effect::AskStatus {
            control_request,
            group,
            member,
            min_position,
            deadline,
        } => Some(Ask {
            control_request: *control_request,
            group: *group,
            member: *member,
            deadline: *deadline,
            question: Question::Status {
                min_position: *min_position,
            },
        }),
        effect::Effect::Fence(g) => Some(grant(g, Question::Fence { term: g.term })),
        effect::Effect::Promote(g) => Some(grant(g, Question::Promote { term: g.term })),
        _ => None,
    }
}

async fn answer(engine: &engine::Engine, ask: Ask) -> Option<member::Status> {
    match try_answer(engine, ask).await {
        Ok(status) => Some(status),
        Err(error) => {
            log::debug!("event=question_failed ask={ask:?} error={error}");
            None
        }
    }
}

async fn try_answer(engine: &engine::Engine, ask: Ask) -> Result<member::Status, backend::Error> {
    let address = engine.control.address(ask.member);
    let address = address.ok_or(backend::Error::Closed)?;
    let permits = engine.control.permits(ask.member);
    let permits = permits.ok_or(backend::Error::Closed)?;
    let deadline = tokio::time::Instant::from_std(ask.deadline);
    let permit = tokio::time::timeout_at(deadline, permits.acquire()).await;
    // Held until the connection is given back or dropped.
    let _permit = permit.map_err(|_| backend::Error::Deadline)?;
    let mut connection = match engine.control.take(ask.member) {
        Some(connection) => connection,
        None => {
            let control = [("group_control".into(), "true".into())];
            connect(&engine.settings, address, &control, ask.deadline).await?
        }
    };
    let status = put_question(engine, &mut connection, ask).await?;
    engine.control.put(ask.member, connection);
    Ok(status)
}

async fn put_question(
    engine: &engine::Engine,
    connection: &mut backend::Connection,
    ask: Ask,
) -> Result<member::Status, backend::Error> {
    let deadline = tokio::time::Instant::from_std(ask.deadline);
    let claimant = format!("{:016x}", engine.proxy);
    match ask.question {
        Question::Status { min_position } => {
            let left = ask.deadline.saturating_duration_since(Instant::now());
            let wait = left.saturating_sub(HOLD_MARGIN);
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

fn event_of(engine: &engine::Engine, ask: Ask, row: Option<member::Status>) -> event::Event {
    let status = row.as_ref().map(status_of);
    match ask.question {
        Question::Status { .. } => event::Event::StatusAnswered(event::StatusAnswer {
            control_request: ask.control_request,
            group: ask.group,
            member: ask.member,
            status,
        }),
        Question::Fence { term } | Question::Promote { term } => {
            let claimant = format!("{:016x}", engine.proxy);
            let granted = row.is_some_and(|row| row.term == term && *row.claimant == *claimant);
            event::Event::TermAnswered(event::TermAnswer {
                control_request: ask.control_request,
                group: ask.group,
                member: ask.member,
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
