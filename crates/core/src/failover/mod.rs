//! Replaces a primary: claims a term, fences a majority of members at it and promotes the fenced member with the
//! most advanced log.

mod attempt;
mod detect;
mod handover;
mod machine;
mod stage;

pub use attempt::{Action, Attempt, TermAnswers};
pub use detect::{Evidence, Verdict};
pub use machine::{Context, Failover};
pub use stage::{Stage, StageName};
