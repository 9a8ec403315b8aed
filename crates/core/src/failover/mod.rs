//! Replacing a primary: claim a term, fence a majority at it, promote the most advanced log fenced.

mod attempt;
mod detect;
mod handover;
mod machine;
mod stage;

pub use attempt::{Attempt, Fencing, Step};
pub use detect::{Evidence, Verdict};
pub use machine::{Context, Failover};
pub use stage::{Stage, StageName};
