//! Routing policies, which choose the member that serves a request.

mod candidate;
mod nearest;
mod primary;

pub use candidate::{Candidate, Choice, Policy, Question};
pub use nearest::Nearest;
pub use primary::AlwaysPrimary;
