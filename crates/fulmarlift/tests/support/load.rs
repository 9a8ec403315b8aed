//! Callers that write continuously and record the outcome of each write.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_postgres::{Client, SimpleQueryMessage};

use crate::support::{system, wait};

/// Delay before a caller sends its next write after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// SQLSTATEs of errors that guarantee that the write did not run.
const NOT_RUN_CODES: [&str; 3] = ["53300", "57P03", "25006"];

/// Outcomes of the writes of one caller, by the ids of the rows.
#[derive(Debug, Default)]
pub struct WriteOutcomes {
    /// Writes that were acknowledged.
    pub acknowledged: Vec<i64>,
    /// Writes that were refused and did not run.
    pub not_run: Vec<i64>,
    /// Writes whose outcome is unknown.
    pub unknown: Vec<i64>,
}

/// Running callers, each of which writes rows with ids that no other caller uses.
pub struct Load {
    stop: Arc<AtomicBool>,
    acknowledged_counts: Arc<Vec<AtomicU64>>,
    tasks: Vec<JoinHandle<WriteOutcomes>>,
}

/// Creates the table that the callers write to. It has no key, so that [`check`] can see a write that ran twice.
pub async fn create_table(client: &Client) {
    let result = client
        .simple_query("CREATE TABLE counter (id BIGINT)")
        .await;
    result.expect("the table is created");
}

impl Load {
    /// Starts one caller for each entry of `proxies`.
    pub fn start(proxies: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let counts = proxies.iter().map(|_| AtomicU64::new(0));
        let acknowledged_counts: Arc<Vec<AtomicU64>> = Arc::new(counts.collect());
        let tasks = proxies.iter().enumerate().map(|(index, proxy)| {
            let writer = Writer {
                proxy: *proxy,
                index,
                stop: Arc::clone(&stop),
                acknowledged_counts: Arc::clone(&acknowledged_counts),
                client: None,
                outcomes: WriteOutcomes::default(),
            };
            tokio::spawn(writer.run())
        });
        Self {
            tasks: tasks.collect(),
            stop,
            acknowledged_counts,
        }
    }

    /// Waits until `more` further writes of the caller with this index are acknowledged.
    pub async fn wait_for_acknowledged(&self, index: usize, more: u64) {
        let count = || self.acknowledged_counts[index].load(Ordering::Relaxed);
        let target = count() + more;
        wait::until("writes are acknowledged", async || count() >= target).await;
    }

    /// Stops the callers and returns the outcomes of their writes.
    pub async fn stop(self) -> Vec<WriteOutcomes> {
        self.stop.store(true, Ordering::Relaxed);
        let mut outcomes_by_caller = Vec::new();
        for task in self.tasks {
            outcomes_by_caller.push(
                wait::until_ended("a writer", task)
                    .await
                    .expect("the writer does not panic"),
            );
        }
        outcomes_by_caller
    }
}

/// One caller of a [`Load`].
struct Writer {
    proxy: SocketAddr,
    index: usize,
    stop: Arc<AtomicBool>,
    acknowledged_counts: Arc<Vec<AtomicU64>>,
    client: Option<Client>,
    outcomes: WriteOutcomes,
}

impl Writer {
    async fn run(mut self) -> WriteOutcomes {
        let step =
            i64::try_from(self.acknowledged_counts.len()).expect("the number of callers is small");
        let mut id = i64::try_from(self.index).expect("the number of callers is small");
        while !self.stop.load(Ordering::Relaxed) {
            match self.write(id).await {
                true => _ = self.acknowledged_counts[self.index].fetch_add(1, Ordering::Relaxed),
                false => tokio::time::sleep(RETRY_DELAY).await,
            }
            id += step;
        }
        self.outcomes
    }

    /// Returns the open connection, or opens one.
    async fn client(&mut self) -> Option<&Client> {
        if self.client.as_ref().is_none_or(Client::is_closed) {
            let (client, connection) = system::open(self.proxy).await.ok()?;
            tokio::spawn(connection);
            self.client = Some(client);
        }
        self.client.as_ref()
    }

    /// Writes a row, records the outcome and returns whether the write was acknowledged.
    async fn write(&mut self, id: i64) -> bool {
        let Some(client) = self.client().await else {
            return false;
        };
        let sql = format!("INSERT INTO counter VALUES ({id})");
        match client.simple_query(&sql).await {
            Ok(_) => {
                self.outcomes.acknowledged.push(id);
                return true;
            }
            Err(error)
                if error
                    .code()
                    .is_some_and(|code| NOT_RUN_CODES.contains(&code.code())) =>
            {
                self.outcomes.not_run.push(id);
            }
            Err(_) => self.outcomes.unknown.push(id),
        }
        false
    }
}

/// Asserts that every acknowledged write is stored, no refused write is stored, and no write is stored twice.
pub async fn check(client: &Client, outcomes_by_caller: &[WriteOutcomes]) {
    let rows = client
        .simple_query("SELECT id, COUNT(*) FROM counter GROUP BY id ORDER BY id")
        .await
        .expect("the read is served");
    let rows: Vec<(i64, i64)> = rows.iter().filter_map(id_and_count).collect();
    let doubled: Vec<_> = rows.iter().filter(|(_, count)| *count > 1).collect();
    assert!(doubled.is_empty(), "stored more than once: {doubled:?}");
    let is_stored = |id: &i64| rows.binary_search_by_key(id, |(id, _)| *id).is_ok();
    for outcomes in outcomes_by_caller {
        let lost: Vec<_> = outcomes
            .acknowledged
            .iter()
            .filter(|id| !is_stored(id))
            .collect();
        assert!(lost.is_empty(), "acknowledged but not stored: {lost:?}");
        let ran_anyway: Vec<_> = outcomes.not_run.iter().filter(|id| is_stored(id)).collect();
        assert!(
            ran_anyway.is_empty(),
            "refused as not run, but stored: {ran_anyway:?}"
        );
    }
}

fn id_and_count(message: &SimpleQueryMessage) -> Option<(i64, i64)> {
    let SimpleQueryMessage::Row(row) = message else {
        return None;
    };
    let number = |index| row.get(index).and_then(|text: &str| text.parse().ok());
    Some((number(0)?, number(1)?))
}
