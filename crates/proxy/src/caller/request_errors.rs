//! Error answers to requests that did not run or whose outcome is unknown.

use std::time::Instant;

use fulmarlift_core::effect;
use fulmarlift_wire::answer;

use crate::caller::proxy_answers;

/// Returns the answer to a request that the reducer refused.
pub fn refused(service: &str, refuse: effect::Refuse) -> answer::Answer {
    let remaining = refuse.retry_at.saturating_duration_since(Instant::now());
    let retry_ms = proxy_answers::whole_ms(remaining);
    match refuse.reason {
        effect::Reason::UnknownService => answer::Answer::error(
            answer::sqlstate::INVALID_CATALOG_NAME,
            format!("service \"{service}\" is no longer configured"),
        ),
        effect::Reason::Draining => answer::Answer::draining(retry_ms),
        effect::Reason::Overloaded => answer::Answer::overloaded(service, retry_ms),
        effect::Reason::NoPrimary => answer::Answer::no_primary(service, retry_ms),
        effect::Reason::FloorAhead => answer::Answer::invalid_value(
            proxy_answers::TOKEN,
            "it names a write that the database group does not have",
        ),
        effect::Reason::NoFreshMember | effect::Reason::TimedOut => {
            answer::Answer::not_served(service, retry_ms)
        }
    }
}

/// Returns the answer to a request that may have run in an earlier attempt and could not be retried in time.
pub fn retry_impossible(is_read: bool) -> answer::Answer {
    let reason = "an earlier try got no answer, and there was no time for another";
    match is_read {
        true => answer::Answer::connection_lost(reason),
        false => answer::Answer::outcome_unknown(reason),
    }
}

/// Returns the answer to a request that was cancelled before it ran.
pub fn cancelled() -> answer::Answer {
    answer::Answer::canceled()
        .with_detail(format!("{}; it waited for a connection", answer::NOT_RUN))
}
