//! The accepted configurations: immutable objects, one head row, and an audit row for each version.
//!
//! Each accepted document is an object of its own. The head row names the one in force. A submit moves the
//! head by one version and writes the audit row in the same conditional transaction, so that the versions form
//! a chain which never branches and never goes back.

use fulmarlift_config::{diff, model};
use serde::{Deserialize, Serialize};

pub mod read;
pub mod submit;

/// The table of the head row.
pub const CONFIG_TABLE: &str = "config";

/// The key of the head row.
pub const HEAD_KEY: &str = "head";

/// The table of the audit rows.
pub const AUDIT_TABLE: &str = "audit";

/// Tells one submit from all others, also from those of the same document.
pub type Nonce = Box<str>;

/// The head row: which document is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version, 1 for the first.
    pub version: model::Version,
    /// The document's digest.
    pub digest: Box<str>,
    /// The version it replaced: one less.
    pub base: model::Version,
    /// Who submitted it.
    pub who: Box<str>,
    /// The object that holds the document.
    pub object: Box<str>,
    /// The submit that made it.
    pub nonce: Nonce,
}

/// An audit row: one for each version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// The version.
    pub version: model::Version,
    /// The version it replaced.
    pub base: model::Version,
    /// The document's digest.
    pub digest: Box<str>,
    /// The object that holds the document.
    pub object: Box<str>,
    /// Who submitted it.
    pub who: Box<str>,
    /// When, by the submitting machine's clock, in ms since 1970-01-01 UTC.
    pub when_ms: u64,
    /// The submit that made it.
    pub nonce: Nonce,
    /// What changed from the base.
    pub changes: Vec<diff::Change>,
}

impl Audit {
    /// When, in RFC 3339 notation and UTC.
    pub fn when(&self) -> jiff::Timestamp {
        timestamp(self.when_ms)
    }

    /// The head row that was written with this audit row.
    pub fn head(&self) -> Head {
        Head {
            version: self.version,
            digest: self.digest.clone(),
            base: self.base,
            who: self.who.clone(),
            object: self.object.clone(),
            nonce: self.nonce.clone(),
        }
    }
}

/// The instant that is this many ms after 1970-01-01 UTC.
pub(crate) fn timestamp(when_ms: u64) -> jiff::Timestamp {
    let when_ms = i64::try_from(when_ms).unwrap_or(i64::MAX);
    jiff::Timestamp::from_millisecond(when_ms).unwrap_or(jiff::Timestamp::MAX)
}

/// The name of the object that holds a version's document.
pub fn object_name(version: model::Version, digest: &str) -> Box<str> {
    format!("config-{version}-{digest}").into()
}

/// The key of a version's audit row. Keys sort as the versions do.
pub fn audit_key(version: model::Version) -> Box<str> {
    format!("{version:020}").into()
}
