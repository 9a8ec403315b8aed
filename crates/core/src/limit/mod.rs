//! Admission of requests.

mod admission;

pub use admission::Admission;
