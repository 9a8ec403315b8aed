//! Checks that the answers to callers agree with the final log.

use std::time::Duration;

use crate::sim::world::{Answer, CallerRequest, World};

/// Time after a request's deadline within which the caller must have an answer.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Counts of answers and failovers over all schedules.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub done: u64,
    pub read: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub failovers: u64,
}

/// Checks a simulation after its recovery, and adds its answers to `totals`.
pub fn check_world(world: &World, totals: &mut Totals) -> Result<(), String> {
    let log = final_log(world)?;
    totals.failovers += world.members.iter().map(|m| m.term).max().unwrap_or(1) - 1;
    for request in world.requests.values() {
        count_answer(request, totals);
        check_answered(world, request)?;
        match request.key {
            Some(key) => check_write(request, key, &log)?,
            None => check_read(world, request, &log)?,
        }
    }
    check_order(world, &log)
}

/// Returns the keys of the final log, which is that of the primary of the highest term; fails if a write ran
/// twice.
fn final_log(world: &World) -> Result<Vec<u64>, String> {
    let primary = world.members.iter().filter(|member| member.primary);
    let Some(primary) = primary.max_by_key(|member| member.term) else {
        return Err("no primary after all faults ended".to_owned());
    };
    let keys = primary.keys();
    let mut sorted = keys.clone();
    sorted.sort_unstable();
    sorted.dedup();
    match sorted.len() == keys.len() {
        true => Ok(keys),
        false => Err(format!("a write ran twice: {keys:?}")),
    }
}

fn count_answer(request: &CallerRequest, totals: &mut Totals) {
    match request.answer {
        Some((_, Answer::Done(_))) => totals.done += 1,
        Some((_, Answer::Rows { .. })) => totals.read += 1,
        Some((_, Answer::NotRun(_))) => totals.not_run += 1,
        Some((_, Answer::Unknown)) => totals.unknown += 1,
        None => {}
    }
}

fn check_answered(world: &World, request: &CallerRequest) -> Result<(), String> {
    // The deadline is 4 s after the request was sent: `ANSWER_TIMEOUT` in schedule.rs.
    let overdue = world.now > request.sent_at + ANSWER_GRACE_PERIOD + Duration::from_secs(4);
    match request.answer.is_none() && overdue {
        true => Err(format!("request got no answer: {request:?}")),
        false => Ok(()),
    }
}

/// Checks that the log contains the write if it was acknowledged, and does not contain it if it was refused.
fn check_write(request: &CallerRequest, key: u64, log: &[u64]) -> Result<(), String> {
    let found = log.contains(&key);
    match &request.answer {
        Some((_, Answer::Done(_))) if !found => Err(format!(
            "acknowledged write {request:?} is not in the log {log:?}"
        )),
        Some((_, Answer::NotRun(_))) if found => {
            Err(format!("refused write {request:?} is in the log {log:?}"))
        }
        _ => Ok(()),
    }
}

/// Checks that the keys that a read saw are a prefix of the log, apart from keys that a failover has dropped, and
/// that they include every write that the read must see: with a token the session's writes, without one all
/// writes acknowledged before the read was sent.
fn check_read(world: &World, request: &CallerRequest, log: &[u64]) -> Result<(), String> {
    let Some((_, Answer::Rows { keys, .. })) = &request.answer else {
        return Ok(());
    };
    let surviving: Vec<u64> = keys
        .iter()
        .copied()
        .filter(|key| log.contains(key))
        .collect();
    if !log.starts_with(&surviving) {
        return Err(format!(
            "read {request:?} saw keys that are not a prefix of the log {log:?}"
        ));
    }
    for write in world.requests.values() {
        let (Some(key), Some((at, Answer::Done(point)))) = (write.key, &write.answer) else {
            continue;
        };
        let must_be_seen = match &request.floor {
            Some(floor) => floor.point(world.group) >= Some(*point),
            None => *at < request.sent_at,
        };
        if must_be_seen && !keys.contains(&key) {
            return Err(format!("read {request:?} did not see write {write:?}"));
        }
    }
    Ok(())
}

/// Checks that a write that was acknowledged before another one was sent precedes that one in the log.
fn check_order(world: &World, log: &[u64]) -> Result<(), String> {
    let position_of = |key: Option<u64>| log.iter().position(|other| Some(*other) == key);
    for first in world.requests.values() {
        let Some((done_at, Answer::Done(_))) = first.answer else {
            continue;
        };
        let later = world
            .requests
            .values()
            .filter(|request| request.sent_at > done_at);
        for second in later {
            if let (Some(one), Some(two)) = (position_of(first.key), position_of(second.key))
                && one > two
            {
                return Err(format!(
                    "write {second:?} precedes the earlier write {first:?} in the log {log:?}"
                ));
            }
        }
    }
    Ok(())
}
