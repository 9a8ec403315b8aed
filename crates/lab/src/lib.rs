//! Load tool, experiments with routing policies, reports of them, and measurements of a proxy's cost.
//!
//! A proxy makes its decisions in a reducer, a state machine without I/O that takes events and returns effects. Its
//! shell passes the events on and carries out the effects. An experiment replaces the shells, and all with which they
//! talk, by a simulation: [`experiment::run`] runs the reducers of all proxies of one database group on a virtual
//! clock:
//!
//! ```
//! use std::time::Duration;
//!
//! use fulmarlift_lab::experiment;
//!
//! let profile = experiment::Profile::petra();
//! let options = experiment::Options {
//!     length: Duration::from_secs(2),
//!     ..experiment::Options::default()
//! };
//! let report = experiment::run(&profile, &options);
//! assert!(report.violations.is_empty());
//! ```

pub mod experiment;
pub mod load;
pub mod report;
pub mod slopes;
