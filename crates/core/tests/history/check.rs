//! Whether answers agree with the final log.

use std::time::Duration;

use crate::sim::world::{Answer, Asked, World};

/// Time after its deadline within which a request must have been answered.
const GRACE: Duration = Duration::from_secs(5);

/// Answers over all schedules.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub done: u64,
    pub read: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub failovers: u64,
}

/// Checks a run that has recovered.
pub fn world(world: &World, totals: &mut Totals) -> Result<(), String> {
    let log = final_log(world)?;
    totals.failovers += world.members.iter().map(|m| m.term).max().unwrap_or(1) - 1;
    for asked in world.asked.values() {
        count(asked, totals);
        answered(world, asked)?;
        match asked.key {
            Some(key) => written(asked, key, &log)?,
            None => rows(world, asked, &log)?,
        }
    }
    order(world, &log)
}

/// Returns the log that all members have in the end.
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

fn count(asked: &Asked, totals: &mut Totals) {
    match asked.answer {
        Some((_, Answer::Done(_))) => totals.done += 1,
        Some((_, Answer::Rows { .. })) => totals.read += 1,
        Some((_, Answer::NotRun(_))) => totals.not_run += 1,
        Some((_, Answer::Unknown)) => totals.unknown += 1,
        None => {}
    }
}

fn answered(world: &World, asked: &Asked) -> Result<(), String> {
    let overdue = world.now > asked.at + GRACE + Duration::from_secs(4);
    match asked.answer.is_none() && overdue {
        true => Err(format!("no answer: {asked:?}")),
        false => Ok(()),
    }
}

/// A write that was acknowledged is in the log, and one that was refused is not.
fn written(asked: &Asked, key: u64, log: &[u64]) -> Result<(), String> {
    let found = log.contains(&key);
    match &asked.answer {
        Some((_, Answer::Done(_))) if !found => Err(format!("lost: {asked:?} in {log:?}")),
        Some((_, Answer::NotRun(_))) if found => Err(format!("ran: {asked:?} in {log:?}")),
        _ => Ok(()),
    }
}

/// A read sees a state that the log went through, with all that it must see: by a token the session's writes,
/// without one everything acknowledged before it was asked.
fn rows(world: &World, asked: &Asked, log: &[u64]) -> Result<(), String> {
    let Some((_, Answer::Rows { keys, .. })) = &asked.answer else {
        return Ok(());
    };
    let kept: Vec<u64> = keys
        .iter()
        .copied()
        .filter(|key| log.contains(key))
        .collect();
    if !log.starts_with(&kept) {
        return Err(format!("{asked:?} saw no state of {log:?}"));
    }
    for write in world.asked.values() {
        let (Some(key), Some((at, Answer::Done(point)))) = (write.key, &write.answer) else {
            continue;
        };
        let due = match &asked.floor {
            Some(floor) => floor.point(world.group) >= Some(*point),
            None => *at < asked.at,
        };
        if due && !keys.contains(&key) {
            return Err(format!("{asked:?} missed {write:?}"));
        }
    }
    Ok(())
}

/// A write that was acknowledged before another was asked stands before it in the log.
fn order(world: &World, log: &[u64]) -> Result<(), String> {
    let place = |key: Option<u64>| log.iter().position(|other| Some(*other) == key);
    for first in world.asked.values() {
        let Some((done_at, Answer::Done(_))) = first.answer else {
            continue;
        };
        let later = world.asked.values().filter(|asked| asked.at > done_at);
        for second in later {
            if let (Some(one), Some(two)) = (place(first.key), place(second.key))
                && one > two
            {
                return Err(format!("{second:?} stands before {first:?} in {log:?}"));
            }
        }
    }
    Ok(())
}
