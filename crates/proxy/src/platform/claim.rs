//! Claims of a term in the platform's table.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fulmarlift_core::{event, id};
use fulmarlift_platform::platform::Platform;
use fulmarlift_platform::{client, message, platform};
use serde::{Deserialize, Serialize};

use crate::engine;

/// Table of claims, keyed by group name.
const TABLE: &str = "claim";

/// A claim to be written.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// The question.
    pub ask: id::AskId,
    /// The group.
    pub group: id::GroupId,
    /// The term claimed.
    pub term: id::Term,
    /// When the claim lapses.
    pub until: Instant,
    /// When to give up waiting for the answer.
    pub deadline: Instant,
}

/// A row of the table of claims.
#[derive(Clone, Debug, Serialize, Deserialize, Eq, PartialEq)]
struct Row {
    term: id::Term,
    claimant: Box<str>,
    nonce: Box<str>,
    until_unix_ms: u64,
}

/// Starts the write of a claim; its answer comes back as an event.
pub fn start(
    engine: &Arc<engine::Engine>,
    client: Option<client::Client>,
    group: Box<str>,
    claim: Claim,
) {
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        let row = new_row(engine.proxy, &claim);
        let result = match client {
            Some(client) => {
                let deadline = tokio::time::Instant::from_std(claim.deadline);
                let write = write(&client, &group, &row, claim.deadline);
                let answer = tokio::time::timeout_at(deadline, write).await;
                answer.unwrap_or(event::ClaimResult::Unavailable)
            }
            None => event::ClaimResult::Unavailable,
        };
        log::info!(
            "event=claim group={group} term={} result={result:?}",
            claim.term
        );
        engine.step(event::Event::Claimed(event::ClaimAnswer {
            ask: claim.ask,
            group: claim.group,
            result,
        }));
    });
}

fn new_row(proxy: id::ProxyId, claim: &Claim) -> Row {
    let left = claim.until.saturating_duration_since(Instant::now());
    let until = SystemTime::now() + left;
    Row {
        term: claim.term,
        claimant: format!("{proxy:016x}").into(),
        nonce: format!("{proxy:016x}-{}", claim.ask).into(),
        until_unix_ms: unix_ms(until),
    }
}

fn unix_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Writes the row unless another claim holds; an answer that was lost is found again by the nonce.
async fn write(
    client: &client::Client,
    group: &str,
    row: &Row,
    deadline: Instant,
) -> event::ClaimResult {
    while Instant::now() < deadline {
        let known = match client.row::<Row>(TABLE, group).await {
            Ok(known) => known,
            Err(_) => return event::ClaimResult::Unavailable,
        };
        if let Some(result) = known.as_ref().and_then(|known| judge(&known.value, row)) {
            return result;
        }
        let version = known.map_or(message::ABSENT, |known| known.version);
        match client.transact(&transaction(group, row, version)).await {
            Ok(_) => return event::ClaimResult::Won,
            // The next look at the row tells whether this or another claim is in it.
            Err(platform::Error::Conflict(_) | platform::Error::Unavailable(_)) => {}
            Err(_) => return event::ClaimResult::Unavailable,
        }
    }
    event::ClaimResult::Unavailable
}

fn judge(known: &Row, own: &Row) -> Option<event::ClaimResult> {
    if known.nonce == own.nonce {
        return Some(event::ClaimResult::Won);
    }
    let left_ms = known
        .until_unix_ms
        .saturating_sub(unix_ms(SystemTime::now()));
    let holds = known.claimant != own.claimant && known.term >= own.term && left_ms > 0;
    holds.then(|| event::ClaimResult::Held {
        term: known.term,
        until: Instant::now() + Duration::from_millis(left_ms),
    })
}

fn transaction(group: &str, row: &Row, version: message::Version) -> message::Transaction {
    message::Transaction {
        checks: vec![message::Check {
            table: TABLE.into(),
            key: group.into(),
            version,
        }],
        puts: vec![message::Put {
            table: TABLE.into(),
            key: group.into(),
            value: serde_json::to_value(row).expect("a row of plain fields always encodes"),
        }],
        deletes: Vec::new(),
    }
}
