//! Measurement of how the cost of a proxy grows with groups, peers and requests. The slope of a linear fit is the cost
//! of one more of them. The module runs the real reducer on a virtual clock, fits lines, and reads the resource usage
//! of processes.

mod driver;
mod fit;
mod reducer;
mod usage;

pub use driver::Driver;
pub use fit::Fit;
pub use reducer::{Cost, Setup, measure_cost, run_driver};
pub use usage::{Usage, process_usage};
