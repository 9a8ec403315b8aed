//! Slopes of a daemon's costs: the real reducer on a virtual clock, straight lines through what was measured, and
//! what the kernel says of a process.

mod driver;
mod fit;
mod reducer;
mod usage;

pub use driver::Driver;
pub use fit::Fit;
pub use reducer::{Cost, Setup, cost, run};
pub use usage::{Usage, usage};
