//! SQL functions that the member implements itself, not SQLite.

use std::time::Duration;

use crate::member::statement::Command;

/// Names of the functions.
pub const NAMES: [&str; 6] = [
    "group_status",
    "group_fence",
    "group_promote",
    "member_switch",
    "pg_sleep",
    "set_config",
];

/// Returns the command for a function call, or `None` if the function does not accept the arguments.
pub fn parse_call(name: &str, arguments: &[Box<str>]) -> Option<Command> {
    let command = match (name, arguments) {
        ("group_status", [min_position, wait_ms]) => Command::GroupStatus {
            min_position: min_position.parse().ok()?,
            wait: Duration::from_millis(wait_ms.parse().ok()?),
        },
        ("group_fence", [term, claimant]) => Command::GroupFence {
            term: term.parse().ok()?,
            claimant: claimant.clone(),
        },
        ("group_promote", [term, claimant]) => Command::GroupPromote {
            term: term.parse().ok()?,
            claimant: claimant.clone(),
        },
        ("member_switch", [name, value]) => Command::Switch {
            name: name.clone(),
            value: value.clone(),
        },
        // Answered like SET, without the row that PostgreSQL returns; the proxy does not read that row.
        ("set_config", [name, value, local]) => Command::Set {
            name: name.clone(),
            value: value.clone(),
            local: **local == *"true",
        },
        ("pg_sleep", [seconds]) => {
            Command::Sleep(Duration::try_from_secs_f64(seconds.parse().ok()?).ok()?)
        }
        _ => return None,
    };
    Some(command)
}
