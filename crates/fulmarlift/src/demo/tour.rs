//! A tour of the demo: checks the consistency that sessions are guaranteed, before and after a failover.

use std::time::{Duration, Instant};

use fulmarlift_standin::member;
use serde::Serialize;
use tokio_postgres::NoTls;

use crate::demo::system::{CALLER, SERVICE, System};

/// Number of writes before and again after the failover; each is read back at the other proxy.
const ROUNDS: i64 = 50;
/// Delay before a failed write is retried while there is no primary.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time after which the tour stops waiting for a new primary.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of a check.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// Claim about the system that the check verifies.
    pub name: &'static str,
    /// Whether the claim is true.
    #[serde(rename = "held")]
    pub passed: bool,
    /// Counts or times from which the result follows, as text.
    #[serde(rename = "seen")]
    pub observed: Box<str>,
}

/// Results of the tour.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Results of all checks, in the order of their run.
    pub checks: Vec<Check>,
    /// Share of reads served by replicas, between 0 and 1.
    pub replica_share: f64,
    /// Time from the failure of the primary to the next accepted write, in milliseconds.
    pub failover_gap_ms: u64,
}

impl Report {
    /// Returns whether every check passed.
    pub fn passed(&self) -> bool {
        self.checks.iter().all(|check| check.passed)
    }

    fn record_check(&mut self, name: &'static str, passed: bool, observed: impl Into<Box<str>>) {
        let observed = observed.into();
        self.checks.push(Check {
            name,
            passed,
            observed,
        });
    }
}

/// Two callers: the writer is connected to the first proxy, the reader to the second.
struct Callers {
    writer: tokio_postgres::Client,
    reader: tokio_postgres::Client,
}

/// Runs all checks; between them, cuts the primary off and waits for a failover.
///
/// # Errors
///
/// Returns an error when a statement fails for another reason than the failover that the tour causes.
pub async fn run(system: &System) -> Result<Report, tokio_postgres::Error> {
    let mut report = Report {
        checks: Vec::new(),
        replica_share: 0.0,
        failover_gap_ms: 0,
    };
    let callers = Callers {
        writer: connect(system, 0).await?,
        reader: connect(system, 1).await?,
    };
    let create = "CREATE TABLE handover (id BIGINT PRIMARY KEY, signed TEXT)";
    callers.writer.batch_execute(create).await?;
    let stale_reads = callers.write_and_read(0..ROUNDS).await?;
    report.record_check(
        "a write through one proxy is seen at once through the other",
        stale_reads == 0,
        format!("{stale_reads} of {ROUNDS} reads were stale"),
    );
    let gap = fail_over(system, &callers).await?;
    report.failover_gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
    report.record_check(
        "writes go on after the primary is cut off",
        gap < FAILOVER_TIMEOUT,
        format!("accepted again after {} ms", report.failover_gap_ms),
    );
    let stale_reads = callers.write_and_read(ROUNDS..2 * ROUNDS).await?;
    report.record_check(
        "sessions see their writes after the failover",
        stale_reads == 0,
        format!("{stale_reads} of {ROUNDS} reads were stale"),
    );
    // The rows of both rounds, and that of the first write that was accepted after the primary was cut off.
    let row_count = count_rows(&callers.reader).await?;
    report.record_check(
        "no acknowledged write is lost, none is doubled",
        row_count == 2 * ROUNDS + 1,
        format!("{row_count} of {} rows are there", 2 * ROUNDS + 1),
    );
    report.replica_share = replica_share(system);
    report.record_check(
        "replicas serve reads",
        report.replica_share > 0.0,
        format!("share {:.3}", report.replica_share),
    );
    Ok(report)
}

async fn connect(
    system: &System,
    index: usize,
) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
    let address = system.proxies[index].caller_address;
    let settings = format!(
        "host={} port={} user={CALLER} dbname={SERVICE}",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&settings, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

impl Callers {
    /// Writes rows through the first proxy, reads each through the second, and returns how many were missing.
    async fn write_and_read(
        &self,
        ids: std::ops::Range<i64>,
    ) -> Result<u64, tokio_postgres::Error> {
        let mut missing = 0;
        for id in ids {
            write(&self.writer, id).await?;
            let select = "SELECT signed FROM handover WHERE id = $1";
            let rows = self.reader.query(select, &[&id]).await?;
            missing += u64::from(rows.len() != 1);
        }
        Ok(missing)
    }
}

async fn write(client: &tokio_postgres::Client, id: i64) -> Result<u64, tokio_postgres::Error> {
    let insert = "INSERT INTO handover VALUES ($1, 'signed')";
    client.execute(insert, &[&id]).await
}

async fn count_rows(client: &tokio_postgres::Client) -> Result<i64, tokio_postgres::Error> {
    let row = client
        .query_one("SELECT count(*) FROM handover", &[])
        .await?;
    Ok(row.get(0))
}

/// Cuts all connections of the primary and returns the time until a write is accepted again; at least
/// [`FAILOVER_TIMEOUT`] if none was, or if there is no primary.
async fn fail_over(system: &System, callers: &Callers) -> Result<Duration, tokio_postgres::Error> {
    let Some(primary) = system.primary() else {
        return Ok(FAILOVER_TIMEOUT);
    };
    let cut_at = Instant::now();
    let cut = member::Switch::Cut(member::Cut::All);
    system.members[primary].switch(cut);
    // A failed write may still have run, so each attempt uses a new id.
    let mut id = -1;
    while cut_at.elapsed() < FAILOVER_TIMEOUT {
        match write(&callers.writer, id).await {
            Ok(_) => break,
            Err(error) if error.code().is_some() => tokio::time::sleep(WRITE_RETRY_DELAY).await,
            Err(error) => return Err(error),
        }
        id -= 1;
    }
    let gap = cut_at.elapsed();
    remove_attempts(callers, id).await?;
    Ok(gap)
}

/// Removes the rows of attempts that were not acknowledged but ran, so that the count of rows is predictable.
async fn remove_attempts(callers: &Callers, accepted_id: i64) -> Result<(), tokio_postgres::Error> {
    let delete = "DELETE FROM handover WHERE id < 0 AND id <> $1";
    callers.writer.execute(delete, &[&accepted_id]).await?;
    Ok(())
}

fn replica_share(system: &System) -> f64 {
    let read_counts = system
        .proxies
        .iter()
        .map(|proxy| proxy.engine.read_counts());
    let (replica, primary) = read_counts.fold((0, 0), |(replica, primary), counts| {
        (
            replica + counts.replica_reads,
            primary + counts.primary_reads,
        )
    });
    replica as f64 / (replica + primary).max(1) as f64
}
