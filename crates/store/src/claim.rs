//! Claims of terms: the row that says who may replace a group's primary, and the audit rows that keep all of them.
//!
//! A claim and its audit row are written in one conditional transaction, so that each claim that was ever in the
//! table stands in the audit trail.

use serde::{Deserialize, Serialize};

use crate::{
    message,
    platform::{self, Platform},
};

/// The table of claims, keyed by group name.
pub const CLAIM_TABLE: &str = "claim";

/// The table of the claims' audit rows.
pub const AUDIT_TABLE: &str = "audit_failover";

/// Groups read in one call.
const GROUPS_PER_CALL: u32 = 500;

/// A claim of a term of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The group's name.
    pub group: Box<str>,
    /// The term claimed.
    pub term: u64,
    /// The claimant's identifier, by which members grant the term.
    pub claimant: Box<str>,
    /// The claimant's name in its settings.
    pub who: Box<str>,
    /// Tells this claim from all others.
    pub nonce: Box<str>,
    /// When, by the claimant's clock, in ms since 1970-01-01 UTC.
    pub when_ms: u64,
    /// Until when it holds others back, in ms since 1970-01-01 UTC.
    pub until_ms: u64,
}

impl Claim {
    /// When, in RFC 3339 notation and UTC.
    pub fn when(&self) -> jiff::Timestamp {
        crate::publish::timestamp(self.when_ms)
    }

    /// The key of its audit row. Keys of a group sort as the terms do.
    pub fn audit_key(&self) -> Box<str> {
        format!("{}{}", term_prefix(&self.group, self.term), self.nonce).into()
    }

    /// The transaction that writes it and its audit row where the group's row has this version.
    pub fn transaction(&self, version: message::Version) -> message::Transaction {
        message::Transaction {
            checks: vec![self.check(version)],
            puts: vec![
                message::Put::new(CLAIM_TABLE, &self.group, self),
                self.audit_row(),
            ],
            deletes: Vec::new(),
        }
    }

    /// The transaction that writes only its audit row, for a claim that others have overtaken.
    pub fn late_transaction(&self, version: message::Version) -> message::Transaction {
        message::Transaction {
            checks: vec![self.check(version)],
            puts: vec![self.audit_row()],
            deletes: Vec::new(),
        }
    }

    fn check(&self, version: message::Version) -> message::Check {
        message::Check {
            table: CLAIM_TABLE.into(),
            key: self.group.clone(),
            version,
        }
    }

    fn audit_row(&self) -> message::Put {
        message::Put::new(AUDIT_TABLE, &self.audit_key(), self)
    }
}

fn term_prefix(group: &str, term: u64) -> String {
    format!("{group}/{term:020}/")
}

/// The row of a group; `None` when no term was claimed yet.
///
/// # Errors
///
/// Those of the platform.
pub async fn row(
    platform: &impl Platform,
    group: &str,
) -> Result<Option<message::Row<Claim>>, platform::Error> {
    platform.row(CLAIM_TABLE, group).await
}

/// The last claims of all groups, at most `limit`, the newest first.
///
/// # Errors
///
/// Those of the platform.
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
            trail.extend(audit_of(platform, &row.value, limit).await?);
        }
    }
    trail.sort_by_key(|claim: &Claim| std::cmp::Reverse(claim.when_ms));
    trail.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    Ok(trail)
}

/// The claims of a group in the last `limit` terms, or more.
async fn audit_of(
    platform: &impl Platform,
    newest: &Claim,
    limit: u32,
) -> Result<Vec<Claim>, platform::Error> {
    let first = newest.term.saturating_sub(limit.into());
    let mut after: Box<str> = term_prefix(&newest.group, first).into();
    let mut claims = Vec::new();
    loop {
        let rows: Vec<message::Row<Claim>> = platform.rows(AUDIT_TABLE, &after, limit).await?;
        let own = rows.iter().filter(|row| row.value.group == newest.group);
        let before = claims.len();
        claims.extend(own.map(|row| row.value.clone()));
        match rows.last() {
            Some(last) if claims.len() - before == rows.len() => after = last.key.clone(),
            _ => return Ok(claims),
        }
    }
}
