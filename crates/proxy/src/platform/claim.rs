//! Writes claims of a term to the platform's table.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fulmarlift_core::{event, id};
use fulmarlift_store::platform::Platform;
use fulmarlift_store::{claim, client, message, platform};

use crate::engine;

/// Interval between two attempts to record a claim that was made while the platform did not answer.
const LATE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which the proxy gives up recording such a claim.
const LATE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A claim of a term for a group.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Identifier that the answer carries.
    pub ask: id::AskId,
    /// Group whose term is claimed.
    pub group: id::GroupId,
    /// Term that the proxy claims.
    pub term: id::Term,
    /// Time at which the claim expires.
    pub until: Instant,
    /// Time at which the proxy stops waiting for the platform's answer.
    pub deadline: Instant,
}

/// Writes a claim in a new task, which reports the result to the engine as an event. If the platform does not
/// answer, the task keeps trying to record the claim.
pub fn start(
    engine: &Arc<engine::Engine>,
    client: Option<client::Client>,
    group: Box<str>,
    claim: Claim,
) {
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        let row = row(&engine, &group, &claim);
        let result = match &client {
            Some(client) => {
                let deadline = tokio::time::Instant::from_std(claim.deadline);
                let write = write(client, &row, claim.deadline);
                let answer = tokio::time::timeout_at(deadline, write).await;
                answer.unwrap_or(event::ClaimResult::Unavailable)
            }
            None => event::ClaimResult::Unavailable,
        };
        log::info!(
            "event=claim group={group} term={} nonce={} result={}",
            row.term,
            row.nonce,
            result_name(&result)
        );
        engine.step(event::Event::Claimed(event::ClaimAnswer {
            ask: claim.ask,
            group: claim.group,
            result,
        }));
        if let (Some(client), event::ClaimResult::Unavailable) = (client, result) {
            record_late(&client, &row).await;
        }
    });
}

fn result_name(result: &event::ClaimResult) -> &'static str {
    match result {
        event::ClaimResult::Won => "won",
        event::ClaimResult::Held { .. } => "held",
        event::ClaimResult::Unavailable => "unavailable",
    }
}

fn row(engine: &engine::Engine, group: &str, claim: &Claim) -> claim::Claim {
    let now = SystemTime::now();
    let left = claim.until.saturating_duration_since(Instant::now());
    let proxy = engine.proxy;
    claim::Claim {
        group: group.into(),
        term: claim.term,
        claimant: format!("{proxy:016x}").into(),
        who: engine.settings.name.clone(),
        nonce: format!("{proxy:016x}-{}", claim.ask).into(),
        when_ms: unix_ms(now),
        until_ms: unix_ms(now + left),
    }
}

fn unix_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Writes the claim unless the claim of another proxy is in force. After a lost answer, the nonce in the row shows
/// whether the write took effect.
async fn write(
    client: &client::Client,
    own: &claim::Claim,
    deadline: Instant,
) -> event::ClaimResult {
    while Instant::now() < deadline {
        let known = match claim::row(client, &own.group).await {
            Ok(known) => known,
            Err(_) => return event::ClaimResult::Unavailable,
        };
        if let Some(result) = known.as_ref().and_then(|known| judge(&known.value, own)) {
            return result;
        }
        let version = known.map_or(message::ABSENT, |known| known.version);
        match client.transact(&own.transaction(version)).await {
            Ok(_) => return event::ClaimResult::Won,
            // The next read of the row shows whether it holds this claim or another.
            Err(platform::Error::Conflict(_) | platform::Error::Unavailable(_)) => {}
            Err(_) => return event::ClaimResult::Unavailable,
        }
    }
    event::ClaimResult::Unavailable
}

fn judge(known: &claim::Claim, own: &claim::Claim) -> Option<event::ClaimResult> {
    if known.nonce == own.nonce {
        return Some(event::ClaimResult::Won);
    }
    let left_ms = known.until_ms.saturating_sub(unix_ms(SystemTime::now()));
    let holds = known.claimant != own.claimant && known.term >= own.term && left_ms > 0;
    holds.then(|| event::ClaimResult::Held {
        term: known.term,
        until: Instant::now() + Duration::from_millis(left_ms),
    })
}

/// Records a claim that was made while the platform did not answer, so that the audit trail is complete.
async fn record_late(client: &client::Client, own: &claim::Claim) {
    let give_up_at = Instant::now() + LATE_TIMEOUT;
    while Instant::now() < give_up_at {
        tokio::time::sleep(LATE_INTERVAL).await;
        if try_record(client, own).await.is_ok() {
            log::info!(
                "event=claim_recorded_late group={} term={} nonce={}",
                own.group,
                own.term,
                own.nonce
            );
            return;
        }
    }
    log::warn!(
        "event=claim_not_recorded group={} term={} nonce={}",
        own.group,
        own.term,
        own.nonce
    );
}

async fn try_record(client: &client::Client, own: &claim::Claim) -> Result<(), platform::Error> {
    let known = claim::row(client, &own.group).await?;
    let version = known
        .as_ref()
        .map_or(message::ABSENT, |known| known.version);
    let transaction = match &known {
        // An earlier write took effect although its answer was lost.
        Some(known) if known.value.nonce == own.nonce => return Ok(()),
        Some(known) if known.value.term >= own.term => own.late_transaction(version),
        _ => own.transaction(version),
    };
    client.transact(&transaction).await.map(drop)
}
