//! Reports of policy experiments: a plot of both measures over time with faults marked, and a page.

mod mark;
mod page;
mod plot;

pub use mark::Mark;
pub use page::page;
pub use plot::{Error, plot};
