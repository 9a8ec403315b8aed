//! Admission of requests.

mod admission;
mod retry;

pub use admission::Admission;
pub use retry::RetryBudget;
