//! Measurement of how the cost of a proxy grows with groups, peers and requests: the real reducer on a virtual clock,
//! linear fits of the measurements, and the resource usage of processes.

mod driver;
mod fit;
mod reducer;
mod usage;

pub use driver::Driver;
pub use fit::Fit;
pub use reducer::{Cost, Setup, measure_cost, run_driver};
pub use usage::{Usage, process_usage};
