//! Replaces a primary: claims a term, fences a majority of members at it and promotes the fenced member with the most
//! advanced log. One such run, from the claim to the promotion, is an *attempt*. An attempt that replaces a primary
//! whose VM is leaving is a *handover*.

mod detect;
mod handover;
mod machine;
mod stage;
mod term_requests;

pub use detect::{Evidence, Verdict};
pub use machine::{Context, Failover};
pub use stage::{Stage, StageName};
pub use term_requests::{Action, TermAnswers, TermRequests};
