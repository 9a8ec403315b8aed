//! The member's own functions.

use std::time::Duration;

use crate::member::statement::Command;

/// Their names.
pub const NAMES: [&str; 6] = [
    "group_status",
    "group_fence",
    "group_promote",
    "member_switch",
    "pg_sleep",
    "set_config",
];

/// The command that a call stands for; none when it takes other arguments.
pub fn call(name: &str, arguments: &[Box<str>]) -> Option<Command> {
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
        // Answered without its row, which the proxy does not read.
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
