//! Choosing the member that serves a request.

mod candidate;
mod nearest;
mod primary;

pub use candidate::{Candidate, Choice, Policy, Question};
pub use nearest::{Hold, Nearest, Waiting, Yield};
pub use primary::AlwaysPrimary;
