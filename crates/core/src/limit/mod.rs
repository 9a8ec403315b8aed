//! Limits on requests in flight and on retries.

mod admission;
mod retry;

pub use admission::Admission;
pub use retry::RetryBudget;
