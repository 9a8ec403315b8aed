//! Callers that write without pause, and what became of each write.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_postgres::{Client, SimpleQueryMessage};

use crate::support::{system, wait};

/// Time before a writer tries again after a failure.
const PAUSE: Duration = Duration::from_millis(20);
/// SQLSTATEs of answers that say that a write did not run.
const NOT_RUN: [&str; 3] = ["53300", "57P03", "25006"];

/// What became of the writes of one caller.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Those that were acknowledged.
    pub acknowledged: Vec<i64>,
    /// Those that were refused as not run.
    pub not_run: Vec<i64>,
    /// Those whose outcome is unknown.
    pub unknown: Vec<i64>,
}

/// Callers that write rows with numbers that no other row has.
pub struct Load {
    stop: Arc<AtomicBool>,
    acknowledged: Arc<Vec<AtomicU64>>,
    tasks: Vec<JoinHandle<Ledger>>,
}

/// Creates the table that the callers write to. It has no key, so that a doubled write shows.
pub async fn create_table(client: &Client) {
    let created = client
        .simple_query("CREATE TABLE counter (id BIGINT)")
        .await;
    created.expect("the table is created");
}

impl Load {
    /// Starts a caller at each of these proxies.
    pub fn start(proxies: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let counts = proxies.iter().map(|_| AtomicU64::new(0));
        let acknowledged: Arc<Vec<AtomicU64>> = Arc::new(counts.collect());
        let tasks = proxies.iter().enumerate().map(|(index, proxy)| {
            let writer = Writer {
                proxy: *proxy,
                index,
                stop: Arc::clone(&stop),
                counts: Arc::clone(&acknowledged),
                client: None,
                ledger: Ledger::default(),
            };
            tokio::spawn(writer.run())
        });
        Self {
            tasks: tasks.collect(),
            stop,
            acknowledged,
        }
    }

    /// Waits until some more writes of a caller were acknowledged.
    pub async fn until_acknowledged(&self, index: usize, more: u64) {
        let count = || self.acknowledged[index].load(Ordering::Relaxed);
        let wanted = count() + more;
        wait::until("writes are acknowledged", async || count() >= wanted).await;
    }

    /// Stops the callers and returns what became of their writes.
    pub async fn stop(self) -> Vec<Ledger> {
        self.stop.store(true, Ordering::Relaxed);
        let mut ledgers = Vec::new();
        for task in self.tasks {
            ledgers.push(wait::ended("a writer", task).await.expect("it ends"));
        }
        ledgers
    }
}

struct Writer {
    proxy: SocketAddr,
    index: usize,
    stop: Arc<AtomicBool>,
    counts: Arc<Vec<AtomicU64>>,
    client: Option<Client>,
    ledger: Ledger,
}

impl Writer {
    async fn run(mut self) -> Ledger {
        let step = i64::try_from(self.counts.len()).expect("a few callers");
        let mut id = i64::try_from(self.index).expect("a few callers");
        while !self.stop.load(Ordering::Relaxed) {
            match self.write(id).await {
                true => _ = self.counts[self.index].fetch_add(1, Ordering::Relaxed),
                false => tokio::time::sleep(PAUSE).await,
            }
            id += step;
        }
        self.ledger
    }

    async fn client(&mut self) -> Option<&Client> {
        if self.client.as_ref().is_none_or(Client::is_closed) {
            let (client, connection) = system::open(self.proxy).await.ok()?;
            tokio::spawn(connection);
            self.client = Some(client);
        }
        self.client.as_ref()
    }

    async fn write(&mut self, id: i64) -> bool {
        let Some(client) = self.client().await else {
            return false;
        };
        let sql = format!("INSERT INTO counter VALUES ({id})");
        match client.simple_query(&sql).await {
            Ok(_) => {
                self.ledger.acknowledged.push(id);
                return true;
            }
            Err(error) if error.code().is_some_and(|c| NOT_RUN.contains(&c.code())) => {
                self.ledger.not_run.push(id);
            }
            Err(_) => self.ledger.unknown.push(id),
        }
        false
    }
}

/// Asserts that each acknowledged write is there, each at most once, and none that did not run.
pub async fn check(client: &Client, ledgers: &[Ledger]) {
    let rows = client
        .simple_query("SELECT id, COUNT(*) FROM counter GROUP BY id ORDER BY id")
        .await
        .expect("the read is served");
    let rows: Vec<(i64, i64)> = rows.iter().filter_map(row).collect();
    let doubled: Vec<_> = rows.iter().filter(|(_, count)| *count > 1).collect();
    assert!(doubled.is_empty(), "written more than once: {doubled:?}");
    let there = |id: &i64| rows.binary_search_by_key(id, |(id, _)| *id).is_ok();
    for ledger in ledgers {
        let lost: Vec<_> = ledger.acknowledged.iter().filter(|id| !there(id)).collect();
        assert!(lost.is_empty(), "acknowledged and lost: {lost:?}");
        let ran: Vec<_> = ledger.not_run.iter().filter(|id| there(id)).collect();
        assert!(ran.is_empty(), "refused as not run, yet there: {ran:?}");
    }
}

fn row(message: &SimpleQueryMessage) -> Option<(i64, i64)> {
    let SimpleQueryMessage::Row(row) = message else {
        return None;
    };
    let number = |index| row.get(index).and_then(|text: &str| text.parse().ok());
    Some((number(0)?, number(1)?))
}
