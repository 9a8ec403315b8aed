//! Accepted configurations: an immutable object and an audit row for each version, and one head row.
//!
//! Each accepted document is stored as an object of its own. The head row names the document in force. A submit, which
//! publishes a document, raises the version in the head row by one and writes the audit row in the same conditional
//! transaction, so that the versions form a chain that never branches and never goes back.

use fulmarlift_config::{diff, model};
use serde::{Deserialize, Serialize};

pub mod read;
pub mod submit;

/// Table of the head row.
pub const CONFIG_TABLE: &str = "config";

/// Key of the head row.
pub const HEAD_KEY: &str = "head";

/// Table of the audit rows.
pub const AUDIT_TABLE: &str = "audit";

/// Unique identifier of a submit, different also for two submits of the same document.
pub type Nonce = Box<str>;

/// Head row, which names the document in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the document, 1 for the first.
    pub version: model::Version,
    /// Digest of the document.
    pub digest: Box<str>,
    /// Version that this one replaced: one less.
    pub base: model::Version,
    /// Name of the operator or program that submitted the document.
    #[serde(rename = "who")]
    pub submitter: Box<str>,
    /// Name of the object that holds the document.
    pub object: Box<str>,
    /// Nonce of the submit that wrote this row.
    pub nonce: Nonce,
}

/// Audit row of an accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Version of the document.
    pub version: model::Version,
    /// Version that this one replaced.
    pub base: model::Version,
    /// Digest of the document.
    pub digest: Box<str>,
    /// Name of the object that holds the document.
    pub object: Box<str>,
    /// Name of the operator or program that submitted the document.
    #[serde(rename = "who")]
    pub submitter: Box<str>,
    /// Time of the submit by the submitter's clock, in ms since 1970-01-01 UTC.
    #[serde(rename = "when_ms")]
    pub submitted_at_ms: u64,
    /// Nonce of the submit that wrote this row.
    pub nonce: Nonce,
    /// Differences from the document of the base version.
    pub changes: Vec<diff::Change>,
}

impl Audit {
    /// Returns the time of the submit in UTC, which displays in RFC 3339 notation.
    pub fn submitted_at(&self) -> jiff::Timestamp {
        timestamp(self.submitted_at_ms)
    }

    /// Returns the head row that the same transaction wrote.
    pub fn head(&self) -> Head {
        Head {
            version: self.version,
            digest: self.digest.clone(),
            base: self.base,
            submitter: self.submitter.clone(),
            object: self.object.clone(),
            nonce: self.nonce.clone(),
        }
    }
}

/// Converts a time in ms since 1970-01-01 UTC. A time beyond the range of [`jiff::Timestamp`] becomes its maximum.
pub(crate) fn timestamp(unix_ms: u64) -> jiff::Timestamp {
    let unix_ms = i64::try_from(unix_ms).unwrap_or(i64::MAX);
    jiff::Timestamp::from_millisecond(unix_ms).unwrap_or(jiff::Timestamp::MAX)
}

/// Returns the name of the object that holds a version's document.
pub fn object_name(version: model::Version, digest: &str) -> Box<str> {
    format!("config-{version}-{digest}").into()
}

/// Returns the key of a version's audit row. The keys sort by version.
pub fn audit_key(version: model::Version) -> Box<str> {
    format!("{version:020}").into()
}
