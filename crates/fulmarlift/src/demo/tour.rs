//! A tour of what a session is promised.

use std::time::{Duration, Instant};

use fulmarlift_standin::member;
use serde::Serialize;
use tokio_postgres::NoTls;

use crate::demo::system::{CALLER, SERVICE, System};

/// Writes before and after the failover, each read back at the other proxy.
const ROUNDS: i64 = 50;
/// Time between two tries at a write while there is no primary.
const RETRY: Duration = Duration::from_millis(10);
/// Longest time that the tour waits for a primary.
const GAP_LIMIT: Duration = Duration::from_secs(30);

/// One check of the tour.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// What was checked.
    pub name: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was seen.
    pub seen: Box<str>,
}

/// What the tour has seen.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The checks.
    pub checks: Vec<Check>,
    /// Share of reads that replicas served.
    pub replica_share: f64,
    /// Time without accepted writes while the primary was replaced, in milliseconds.
    pub failover_gap_ms: u64,
}

impl Report {
    /// Returns whether every check held.
    pub fn held(&self) -> bool {
        self.checks.iter().all(|check| check.held)
    }

    fn check(&mut self, name: &'static str, held: bool, seen: impl Into<Box<str>>) {
        let seen = seen.into();
        self.checks.push(Check { name, held, seen });
    }
}

/// Callers connected to both proxies.
struct Callers {
    writer: tokio_postgres::Client,
    reader: tokio_postgres::Client,
}

/// Runs the tour.
///
/// # Errors
///
/// Returns an error when a statement fails that no fault of the tour explains.
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
    let stale = callers.write_and_read(0..ROUNDS).await?;
    report.check(
        "a write through one proxy is seen at once through the other",
        stale == 0,
        format!("{stale} of {ROUNDS} reads were stale"),
    );
    let gap = fail_over(system, &callers).await?;
    report.failover_gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
    report.check(
        "writes go on after the primary is cut off",
        gap < GAP_LIMIT,
        format!("accepted again after {} ms", report.failover_gap_ms),
    );
    let stale = callers.write_and_read(ROUNDS..2 * ROUNDS).await?;
    report.check(
        "sessions see their writes after the failover",
        stale == 0,
        format!("{stale} of {ROUNDS} reads were stale"),
    );
    let kept = count(&callers.reader).await?;
    report.check(
        "no acknowledged write is lost, none is doubled",
        kept == 2 * ROUNDS + 1,
        format!("{kept} of {} rows are there", 2 * ROUNDS + 1),
    );
    report.replica_share = replica_share(system);
    report.check(
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
    /// Writes rows at one proxy and reads each at the other; returns how many were not seen.
    async fn write_and_read(
        &self,
        ids: std::ops::Range<i64>,
    ) -> Result<u64, tokio_postgres::Error> {
        let mut stale = 0;
        for id in ids {
            write(&self.writer, id).await?;
            let select = "SELECT signed FROM handover WHERE id = $1";
            let rows = self.reader.query(select, &[&id]).await?;
            stale += u64::from(rows.len() != 1);
        }
        Ok(stale)
    }
}

async fn write(client: &tokio_postgres::Client, id: i64) -> Result<u64, tokio_postgres::Error> {
    let insert = "INSERT INTO handover VALUES ($1, 'signed')";
    client.execute(insert, &[&id]).await
}

async fn count(client: &tokio_postgres::Client) -> Result<i64, tokio_postgres::Error> {
    let row = client
        .query_one("SELECT count(*) FROM handover", &[])
        .await?;
    Ok(row.get(0))
}

/// Cuts the primary off and returns the time until a write is accepted again.
async fn fail_over(system: &System, callers: &Callers) -> Result<Duration, tokio_postgres::Error> {
    let Some(primary) = system.primary() else {
        return Ok(GAP_LIMIT);
    };
    let cut_at = Instant::now();
    let cut = member::Switch::Cut(member::Cut::All);
    system.members[primary].switch(cut);
    // A write may have run although its outcome is unknown, so each try takes an id of its own.
    let mut id = -1;
    while cut_at.elapsed() < GAP_LIMIT {
        match write(&callers.writer, id).await {
            Ok(_) => break,
            Err(error) if error.code().is_some() => tokio::time::sleep(RETRY).await,
            Err(error) => return Err(error),
        }
        id -= 1;
    }
    let gap = cut_at.elapsed();
    remove_tries(callers, id).await?;
    Ok(gap)
}

/// Removes the rows of tries whose outcome was unknown, so that rows can be counted.
async fn remove_tries(callers: &Callers, accepted: i64) -> Result<(), tokio_postgres::Error> {
    let delete = "DELETE FROM handover WHERE id < 0 AND id <> $1";
    callers.writer.execute(delete, &[&accepted]).await?;
    Ok(())
}

fn replica_share(system: &System) -> f64 {
    let served = system
        .proxies
        .iter()
        .map(|proxy| proxy.engine.read_counts());
    let (replica, primary) = served.fold((0, 0), |(replica, primary), served| {
        (
            replica + served.replica_reads,
            primary + served.primary_reads,
        )
    });
    replica as f64 / (replica + primary).max(1) as f64
}
