//! Routing policies, which choose the member that serves a request.

mod candidate;
mod nearest;
mod primary;

pub use candidate::{Candidate, Choice, Policy, RoutingInput};
pub use nearest::Nearest;
pub use primary::AlwaysPrimary;
