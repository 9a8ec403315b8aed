//! Writes claims of terms to the platform's table.
//!
//! A proxy that is to replace the primary of a group claims the next term first, so that two proxies do not attempt the
//! same failover. The claim is in force until it expires. The failover goes on without the claim if the platform does
//! not answer: the members decide which proxy they grant a term to.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fulmarlift_core::{event, id};
use fulmarlift_store::platform::Platform;
use fulmarlift_store::{claim, client, message, platform};

use crate::engine;

/// Delay between two attempts to record a claim for which the platform was unavailable.
const LATE_RECORD_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Time after which the proxy gives up recording such a claim.
const LATE_RECORD_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A claim of a term for a group.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Identifier that the reported event carries.
    pub control_request: id::ControlRequestId,
    /// Group whose term is claimed.
    pub group: id::GroupId,
    /// Term that the proxy claims.
    pub term: id::Term,
    /// Time at which the claim expires.
    pub until: Instant,
    /// Time at which the proxy stops waiting for the platform's answer.
    pub deadline: Instant,
}

/// Writes a claim in a new task, which reports the result to the engine as an event. If the platform was unavailable,
/// the task then tries to record the claim until `LATE_RECORD_TIMEOUT` has passed.
pub fn spawn_write(
    engine: &Arc<engine::Engine>,
    client: Option<client::Client>,
    group: Box<str>,
    claim: Claim,
) {
    let engine = Arc::clone(engine);
    tokio::spawn(async move {
        let row = claim_row(&engine, &group, &claim);
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

fn claim_row(engine: &engine::Engine, group: &str, claim: &Claim) -> claim::Claim {
    let now = SystemTime::now();
    let remaining = claim.until.saturating_duration_since(Instant::now());
    let proxy = engine.proxy;
    claim::Claim {
        group: group.into(),
        term: claim.term,
        claimant: format!("{proxy:016x}").into(),
        claimant_name: engine.settings.name.clone(),
        nonce: format!("{proxy:016x}-{}", claim.control_request).into(),
        claimed_at_ms: unix_ms(now),
        until_ms: unix_ms(now + remaining),
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
    new_claim: &claim::Claim,
    deadline: Instant,
) -> event::ClaimResult {
    while Instant::now() < deadline {
        let current = match claim::row(client, &new_claim.group).await {
            Ok(current) => current,
            Err(_) => return event::ClaimResult::Unavailable,
        };
        if let Some(result) = current
            .as_ref()
            .and_then(|current| result_from_row(&current.value, new_claim))
        {
            return result;
        }
        let version = current.map_or(message::ABSENT, |current| current.version);
        match client.transact(&new_claim.transaction(version)).await {
            Ok(_) => return event::ClaimResult::Won,
            // The next read of the row shows whether it holds this claim or another.
            Err(platform::Error::Conflict(_) | platform::Error::Unavailable(_)) => {}
            Err(_) => return event::ClaimResult::Unavailable,
        }
    }
    event::ClaimResult::Unavailable
}

/// Returns the result that the group's current row determines: won if it holds this claim, held if the claim of another
/// proxy is in force. Returns `None` if the new claim may replace the row.
fn result_from_row(current: &claim::Claim, new_claim: &claim::Claim) -> Option<event::ClaimResult> {
    if current.nonce == new_claim.nonce {
        return Some(event::ClaimResult::Won);
    }
    let remaining_ms = current.until_ms.saturating_sub(unix_ms(SystemTime::now()));
    let is_in_force = current.claimant != new_claim.claimant
        && current.term >= new_claim.term
        && remaining_ms > 0;
    is_in_force.then(|| event::ClaimResult::Held {
        term: current.term,
        until: Instant::now() + Duration::from_millis(remaining_ms),
    })
}

/// Records a claim for which the platform was unavailable, so that the audit trail is complete.
async fn record_late(client: &client::Client, new_claim: &claim::Claim) {
    let give_up_at = Instant::now() + LATE_RECORD_TIMEOUT;
    while Instant::now() < give_up_at {
        tokio::time::sleep(LATE_RECORD_RETRY_DELAY).await;
        if try_record(client, new_claim).await.is_ok() {
            log::info!(
                "event=claim_recorded_late group={} term={} nonce={}",
                new_claim.group,
                new_claim.term,
                new_claim.nonce
            );
            return;
        }
    }
    log::warn!(
        "event=claim_not_recorded group={} term={} nonce={}",
        new_claim.group,
        new_claim.term,
        new_claim.nonce
    );
}

/// Records the claim in the group's row and the audit trail, or only in the audit trail if the row holds the same or a
/// higher term.
async fn try_record(
    client: &client::Client,
    new_claim: &claim::Claim,
) -> Result<(), platform::Error> {
    let current = claim::row(client, &new_claim.group).await?;
    let version = current
        .as_ref()
        .map_or(message::ABSENT, |current| current.version);
    let transaction = match &current {
        // An earlier write took effect although its answer was lost.
        Some(current) if current.value.nonce == new_claim.nonce => return Ok(()),
        Some(current) if current.value.term >= new_claim.term => {
            new_claim.audit_transaction(version)
        }
        _ => new_claim.transaction(version),
    };
    client.transact(&transaction).await.map(drop)
}
