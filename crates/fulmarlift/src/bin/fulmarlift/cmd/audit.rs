//! `audit`: prints who changed the configuration, when and how, and which proxies claimed terms.

use fulmarlift_store::{
    claim,
    publish::{self, read},
};
use serde::Serialize;

use crate::{error, flags, output, settings};

/// Number of entries shown without `--limit`.
const DEFAULT_LIMIT: u32 = 20;

/// Entry of the audit trail.
#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum Entry {
    Configuration(publish::Audit),
    Failover(claim::Claim),
}

impl Entry {
    fn describe(&self) -> String {
        match self {
            Self::Configuration(audit) => describe_version(audit),
            Self::Failover(claim) => describe_claim(claim),
        }
    }
}

pub async fn run(
    flags: &flags::Audit,
    platform: Option<&str>,
    json: bool,
) -> Result<(), error::Error> {
    let platform = settings::platform(platform)?;
    let limit = flags.limit.unwrap_or(DEFAULT_LIMIT);
    let platform_error = |cause| error::Error::Platform {
        action: "audit",
        cause,
    };
    let versions = read::audit_trail(&platform, limit)
        .await
        .map_err(platform_error)?;
    let claims = claim::audit_trail(&platform, limit)
        .await
        .map_err(platform_error)?;
    let trail = merge(versions, claims, limit);
    if json {
        return output::print_json(&trail);
    }
    if trail.is_empty() {
        return output::print_text("no configuration was accepted yet");
    }
    output::print_text(
        &trail
            .iter()
            .map(Entry::describe)
            .collect::<Vec<_>>()
            .join("\n"),
    )
}

/// Merges configuration versions and claims, both newest first, and keeps the first `limit` entries.
///
/// Each claim comes before the first version whose submit was earlier than the claim. Versions stay in their own order
/// even if the clocks of their submitters disagree.
fn merge(versions: Vec<publish::Audit>, claims: Vec<claim::Claim>, limit: u32) -> Vec<Entry> {
    let mut claims = claims.into_iter().peekable();
    let mut trail = Vec::new();
    for audit in versions {
        while let Some(claim) = claims.next_if(|claim| claim.claimed_at_ms > audit.submitted_at_ms)
        {
            trail.push(Entry::Failover(claim));
        }
        trail.push(Entry::Configuration(audit));
    }
    trail.extend(claims.map(Entry::Failover));
    trail.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    trail
}

fn describe_claim(claim: &claim::Claim) -> String {
    let claim::Claim {
        group,
        term,
        claimant_name,
        claimant,
        nonce,
        ..
    } = claim;
    let claimed_at = claim.claimed_at();
    format!(
        "failover of group {group}  {claimed_at}  term {term} claimed by {claimant_name}\n  claimant {claimant}  nonce {nonce}\n"
    )
}

fn describe_version(audit: &publish::Audit) -> String {
    let publish::Audit {
        version,
        base,
        digest,
        submitter,
        nonce,
        ..
    } = audit;
    let submitted_at = audit.submitted_at();
    let title = format!("version {version}  {submitted_at}  by {submitter}  on base {base}\n");
    let changes: String = audit
        .changes
        .iter()
        .map(|change| format!("  {change}\n"))
        .collect();
    format!("{title}  digest {digest}  nonce {nonce}\n{changes}")
}
