//! Reports of policy experiments: a page with the measurements, and a plot of the reads served by replicas and the
//! acknowledged writes over time, with marks for the faults.

mod mark;
mod page;
mod plot;

pub use mark::Mark;
pub use page::page;
pub use plot::{Error, plot};
