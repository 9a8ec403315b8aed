//! Load tool for real proxies. Its sessions send requests at scheduled times, whether or not earlier requests have been
//! answered in time, move between proxies, and check that they read their own writes.

mod connection;
mod error;
mod expected_counter;
mod options;
mod outcome;
mod report;
mod session;
mod tally;

use std::sync::Arc;
use std::time::{Duration, Instant};

pub use error::Error;
pub use expected_counter::{ExpectedCounter, ReadVerdict};
pub use options::{InvalidOptions, Options};
pub use outcome::{Kind, Outcome, classify_outcome};
pub use report::{KindReport, Latency, Progress, Report};
pub use tally::Tally;

/// Interval at which the load reports its progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a load and returns its measurements; `progress` is called once a second while sessions generate requests.
///
/// # Errors
///
/// Returns an error if the options are invalid, if the load's table cannot be prepared, or if the task of a session
/// fails.
pub async fn run(options: &Options, mut progress: impl FnMut(&Progress)) -> Result<Report, Error> {
    options.check()?;
    connection::prepare(options).await?;
    let tally = Arc::new(Tally::default());
    let started = Instant::now();
    let arrivals_end = started + options.length;
    let sessions = (0..options.sessions)
        .map(|number| session::Session::new(number, options, Arc::clone(&tally)));
    let tasks: Vec<_> = sessions
        .map(|session| tokio::spawn(session.run(started, arrivals_end)))
        .collect();
    while Instant::now() < arrivals_end {
        tokio::time::sleep(PROGRESS_INTERVAL.min(arrivals_end - Instant::now().min(arrivals_end)))
            .await;
        progress(&tally.progress(started.elapsed()));
    }
    for task in tasks {
        task.await?;
    }
    Ok(tally.report(options, started.elapsed()))
}
