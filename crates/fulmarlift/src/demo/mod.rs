//! A whole system in one process: a platform, a group of three members and two proxies.

mod system;
mod tour;

pub use system::{Error, System};
pub use tour::{Check, Report, run};
