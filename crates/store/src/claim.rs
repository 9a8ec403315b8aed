//! Claims of terms: a row for each group that names the proxy which may replace the group's primary, and an audit row
//! for each claim.
//!
//! A term is the number of a period in which a group has one primary; each new primary has a higher term. A proxy that
//! wants to replace a primary claims a new term, and then asks the members to grant it and one of them to become the
//! primary of that term.
//!
//! One conditional transaction writes a claim and its audit row, so that the audit trail holds every claim that was
//! ever in the table.

use serde::{Deserialize, Serialize};

use crate::{
    message,
    platform::{self, Platform},
};

/// Table of the claims, keyed by group name.
pub const CLAIM_TABLE: &str = "claim";

/// Table of the claims' audit rows.
pub const AUDIT_TABLE: &str = "audit_failover";

/// Maximum number of claim rows that one call reads when the audit trail is listed.
const GROUPS_PER_CALL: u32 = 500;

/// Claim of a term of a group by a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Name of the group.
    pub group: Box<str>,
    /// Claimed term.
    pub term: u64,
    /// Identifier of the proxy that claims the term and to which members grant it.
    pub claimant: Box<str>,
    /// Name of the claimant in its settings.
    #[serde(rename = "who")]
    pub claimant_name: Box<str>,
    /// Unique identifier of this claim.
    pub nonce: Box<str>,
    /// Time of the claim by the claimant's clock, in ms since 1970-01-01 UTC.
    #[serde(rename = "when_ms")]
    pub claimed_at_ms: u64,
    /// Time until which other proxies may not claim this or an older term, in ms since 1970-01-01 UTC.
    pub until_ms: u64,
}

impl Claim {
    /// Returns the time of the claim in UTC, which displays in RFC 3339 notation.
    pub fn claimed_at(&self) -> jiff::Timestamp {
        crate::publish::timestamp(self.claimed_at_ms)
    }

    /// Returns the key of the claim's audit row. The keys of a group sort by term.
    pub fn audit_key(&self) -> Box<str> {
        format!("{}{}", term_prefix(&self.group, self.term), self.nonce).into()
    }

    /// Returns the transaction that writes the claim and its audit row if the group's claim row has this version.
    pub fn transaction(&self, version: message::RowVersion) -> message::Transaction {
        message::Transaction {
            checks: vec![self.check(version)],
            puts: vec![
                message::Put::new(CLAIM_TABLE, &self.group, self),
                self.audit_row(),
            ],
            deletes: Vec::new(),
        }
    }

    /// Returns the transaction that writes only the audit row, if the group's claim row has this version. It records a
    /// claim late, when the claim row already holds another claim of the same or a newer term.
    pub fn audit_transaction(&self, version: message::RowVersion) -> message::Transaction {
        message::Transaction {
            checks: vec![self.check(version)],
            puts: vec![self.audit_row()],
            deletes: Vec::new(),
        }
    }

    /// Returns the check that the group's claim row has this version.
    fn check(&self, version: message::RowVersion) -> message::Check {
        message::Check {
            table: CLAIM_TABLE.into(),
            key: self.group.clone(),
            version,
        }
    }

    /// Returns the write of the claim's audit row.
    fn audit_row(&self) -> message::Put {
        message::Put::new(AUDIT_TABLE, &self.audit_key(), self)
    }
}

/// Returns the prefix of the audit keys of a term. Terms are padded with zeros so that keys sort by term.
fn term_prefix(group: &str, term: u64) -> String {
    format!("{group}/{term:020}/")
}

/// Reads the claim row of a group. Returns `None` if no term of the group has been claimed yet.
///
/// # Errors
///
/// Errors of the platform call.
pub async fn row(
    platform: &impl Platform,
    group: &str,
) -> Result<Option<message::Row<Claim>>, platform::Error> {
    platform.row(CLAIM_TABLE, group).await
}

/// Reads the newest claims over all groups, at most `limit`, newest first by the clocks of their claimants.
///
/// # Errors
///
/// Errors of the platform calls.
pub async fn audit_trail(
    platform: &impl Platform,
    limit: u32,
) -> Result<Vec<Claim>, platform::Error> {
    let mut trail = Vec::new();
    let mut after = Box::<str>::default();
    loop {
        let groups: Vec<message::Row<Claim>> =
            platform.rows(CLAIM_TABLE, &after, GROUPS_PER_CALL).await?;
        let Some(last) = groups.last() else {
            break;
        };
        after = last.key.clone();
        for row in &groups {
            trail.extend(latest_claims(platform, &row.value, limit).await?);
        }
    }
    trail.sort_by_key(|claim: &Claim| std::cmp::Reverse(claim.claimed_at_ms));
    trail.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    Ok(trail)
}

/// Reads all claims of at least the last `limit` terms of a group, whose claim row is `newest`. A term may have several
/// claims, so the result can be longer than `limit`.
async fn latest_claims(
    platform: &impl Platform,
    newest: &Claim,
    limit: u32,
) -> Result<Vec<Claim>, platform::Error> {
    let first_term = newest.term.saturating_sub(limit.into());
    let mut after: Box<str> = term_prefix(&newest.group, first_term).into();
    let mut claims = Vec::new();
    loop {
        let rows: Vec<message::Row<Claim>> = platform.rows(AUDIT_TABLE, &after, limit).await?;
        let rows_of_group = rows.iter().filter(|row| row.value.group == newest.group);
        let claims_before = claims.len();
        claims.extend(rows_of_group.map(|row| row.value.clone()));
        match rows.last() {
            Some(last) if claims.len() - claims_before == rows.len() => after = last.key.clone(),
            _ => return Ok(claims),
        }
    }
}
