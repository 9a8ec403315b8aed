//! Claims of a term in the platform's table.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fulmarlift_core::{event, id};
use fulmarlift_store::platform::Platform;
use fulmarlift_store::{claim, client, message, platform};

use crate::engine;

/// Time between two attempts to record a claim that was made while the platform did not answer.
const LATE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which such a claim is no longer recorded.
const LATE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A claim to be written.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// The question.
    pub control_request: id::ControlRequestId,
    /// The group.
    pub group: id::GroupId,
    /// The term claimed.
    pub term: id::Term,
    /// When the claim lapses.
    pub until: Instant,
    /// When to give up waiting for the answer.
    pub deadline: Instant,
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
        engine.step(event::Event::ClaimAnswered(event::ClaimAnswer {
            control_request: claim.control_request,
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
        nonce: format!("{proxy:016x}-{}", claim.control_request).into(),
        when_ms: unix_ms(now),
        until_ms: unix_ms(now + left),
    }
}

fn unix_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Writes the row unless another claim holds; an answer that was lost is found again by the nonce.
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
            // The next look at the row tells whether this or another claim is in it.
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

/// Records a claim that was made while the platform did not answer, so that the audit trail is whole.
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
        // The write has taken effect although its answer was lost.
        Some(known) if known.value.nonce == own.nonce => return Ok(()),
        Some(known) if known.value.term >= own.term => own.late_transaction(version),
        _ => own.transaction(version),
    };
    client.transact(&transaction).await.map(drop)
}
