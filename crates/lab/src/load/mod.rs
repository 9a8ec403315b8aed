//! Load on real proxies: sessions that arrive as planned whatever the answers, roam over several proxies and
//! check that they read their own writes.

mod connection;
mod counter;
mod error;
mod options;
mod outcome;
mod report;
mod session;
mod tally;

use std::sync::Arc;
use std::time::{Duration, Instant};

pub use counter::{Counter, Seen};
pub use error::Error;
pub use options::{Invalid, Options};
pub use outcome::{Kind, Outcome, outcome};
pub use report::{KindReport, Latency, Progress, Report};
pub use tally::Tally;

/// Time between two calls for progress.
const PROGRESS: Duration = Duration::from_secs(1);

/// Runs the load and reports what was measured; `progress` is called once a second.
///
/// # Errors
///
/// Returns an error when the options cannot be used or the table cannot be prepared.
pub async fn run(options: &Options, mut progress: impl FnMut(&Progress)) -> Result<Report, Error> {
    options.check()?;
    connection::prepare(options).await?;
    let tally = Arc::new(Tally::default());
    let started = Instant::now();
    let until = started + options.length;
    let sessions = (0..options.sessions)
        .map(|number| session::Session::new(number, options, Arc::clone(&tally)));
    let tasks: Vec<_> = sessions
        .map(|session| tokio::spawn(session.run(started, until)))
        .collect();
    while Instant::now() < until {
        tokio::time::sleep(PROGRESS.min(until - Instant::now().min(until))).await;
        progress(&tally.progress(started.elapsed()));
    }
    for task in tasks {
        task.await?;
    }
    Ok(tally.report(options, started.elapsed()))
}
