//! Submits a document as the next version.
//!
//! A submit names the version it is based on, and is accepted only while that version is in force. Its
//! transaction checks the head row's version, which grows with each write: however often the transaction is
//! sent, and however late it arrives, it takes effect at most once, and never on another base.

use std::{
    hash::{self, BuildHasher},
    time,
};

use fulmarlift_config::{check, diff, finding, model};

use crate::{
    message,
    platform::{self, Platform},
    publish::{self, read},
    retry,
};

/// A document that is to become the next version.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The document. Its own version doesn't matter.
    pub document: model::Document,
    /// The version that must be in force; 0 for the first submit.
    pub base: model::Version,
    /// Who submits, for the audit trail.
    pub who: Box<str>,
    /// When, for the audit trail, in ms since 1970-01-01 UTC.
    pub when_ms: u64,
    /// Tells this submit from all others. See [`random_nonce`].
    pub nonce: publish::Nonce,
    /// How often calls of unknown outcome are repeated.
    pub retry: retry::Retry,
}

/// Why a submit was not accepted, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The document has findings. Nothing happened.
    #[error("{0}")]
    Findings(#[from] finding::Findings),
    /// Another version than the base is in force. Nothing happened, and nothing will.
    #[error(transparent)]
    RaceLost(Box<RaceLost>),
    /// The platform failed before the head could have moved. Nothing happened.
    #[error("not accepted: {0}")]
    NotDone(#[source] read::Error),
    /// The submit may have taken effect, or may still take effect.
    #[error(
        "outcome unknown: look for nonce {nonce} at version {version} of the audit trail: {cause}"
    )]
    OutcomeUnknown {
        /// The version the submit would have.
        version: model::Version,
        /// The submit's nonce.
        nonce: publish::Nonce,
        /// The last failure.
        #[source]
        cause: platform::Error,
    },
}

/// What stands in a submit's way.
#[derive(Debug, thiserror::Error)]
#[error(
    "version {base} is not in force: the head is version {}{}",
    .head.as_ref().map_or(model::UNACCEPTED, |head| head.version),
    .head.as_ref().map(|head| format!(", by {}", head.who)).unwrap_or_default(),
)]
pub struct RaceLost {
    /// The base that the submit named.
    pub base: model::Version,
    /// The head; `None` when nothing was accepted yet.
    pub head: Option<publish::Head>,
    /// What changed from the base to the head; `None` when it can't be read, or the base never was.
    pub changes: Option<Vec<diff::Change>>,
    /// Whether the head is the very document that was to be submitted.
    pub same_document: bool,
}

/// Submits a document. The accepted version is the base's successor.
///
/// # Errors
///
/// [`Error`] says whether the document can have been accepted nevertheless.
pub async fn submit(
    platform: &impl Platform,
    submission: &Submission,
) -> Result<publish::Head, Error> {
    check::check(&submission.document)?;
    let retry = submission.retry;
    let row = retry
        .run(|| read::head_row(platform))
        .await
        .map_err(not_done)?;
    let in_force = row
        .as_ref()
        .map_or(model::UNACCEPTED, |row| row.value.version);
    if in_force != submission.base {
        return Err(race_lost(platform, submission, row.map(|row| row.value)).await);
    }
    let base = base_document(platform, retry, row.as_ref())
        .await
        .map_err(Error::NotDone)?;
    let proposal = Proposal::new(
        submission,
        row.map_or(message::ABSENT, |row| row.version),
        &base,
    );
    proposal.store(platform).await.map_err(Error::NotDone)?;
    proposal.commit(platform).await
}

/// A nonce that no other submit has, from the operating system's randomness.
pub fn random_nonce() -> publish::Nonce {
    let random = || hash::RandomState::new().hash_one(time::SystemTime::now());
    format!("{:016x}{:016x}", random(), random()).into()
}

/// A submission on a head row that fits its base.
struct Proposal<'a> {
    submission: &'a Submission,
    head: publish::Head,
    document: model::Document,
    transaction: message::Transaction,
}

/// What has become of a proposal.
enum Fate {
    Accepted,
    Lost(publish::Head),
    Open,
}

impl<'a> Proposal<'a> {
    fn new(
        submission: &'a Submission,
        row_version: message::Version,
        base: &model::Document,
    ) -> Self {
        let version = submission.base + 1;
        let document = model::Document {
            version,
            ..submission.document.clone()
        };
        let digest = document.digest();
        let head = publish::Head {
            version,
            base: submission.base,
            who: submission.who.clone(),
            object: publish::object_name(version, &digest),
            digest,
            nonce: submission.nonce.clone(),
        };
        let audit = audit_of(&head, submission.when_ms, diff::diff(base, &document));
        let transaction = transaction(row_version, &head, &audit);
        Self {
            submission,
            head,
            document,
            transaction,
        }
    }

    /// Stores the document. An object of the same name is as good when it holds the same document.
    async fn store(&self, platform: &impl Platform) -> Result<(), read::Error> {
        let bytes = self.document.to_json().into_bytes();
        let retry = self.submission.retry;
        match retry
            .run(|| platform.put_object(&self.head.object, &bytes))
            .await
        {
            Err(platform::Error::ObjectDiffers(object)) => {
                read_document(platform, retry, &object, &self.head.digest)
                    .await
                    .map(drop)
            }
            result => Ok(result?),
        }
    }

    /// Moves the head. Once an attempt's outcome is unknown, only the audit trail can tell what happened.
    async fn commit(&self, platform: &impl Platform) -> Result<publish::Head, Error> {
        let mut unknown = None;
        for attempt in 1..=self.submission.retry.attempts.max(1) {
            match platform.transact(&self.transaction).await {
                Ok(_) => return Ok(self.head.clone()),
                Err(platform::Error::Conflict(conflicts)) => {
                    return self.conclude(platform, conflicts, unknown.is_some()).await;
                }
                Err(cause) if cause.outcome_unknown() => {
                    log::warn!("submit of unknown outcome attempt={attempt} cause=\"{cause}\"");
                    unknown = Some(cause);
                    self.submission.retry.pause_after(attempt).await;
                }
                Err(cause) if unknown.is_none() => return Err(not_done(cause)),
                Err(cause) => unknown = Some(cause),
            }
        }
        let cause = unknown.expect("each attempt that did not return has left its error");
        match self.fate(platform).await {
            Ok(Fate::Accepted) => Ok(self.head.clone()),
            Ok(Fate::Lost(head)) => Err(race_lost(platform, self.submission, Some(head)).await),
            Ok(Fate::Open) | Err(_) => Err(self.outcome_unknown(cause)),
        }
    }

    /// A conflict says that the head has moved: by another submit, or by an earlier attempt of this one.
    async fn conclude(
        &self,
        platform: &impl Platform,
        conflicts: message::Conflicts,
        tried_before: bool,
    ) -> Result<publish::Head, Error> {
        let seen = head_in(&conflicts);
        if !tried_before {
            return Err(race_lost(platform, self.submission, seen).await);
        }
        match self.fate(platform).await {
            Ok(Fate::Accepted) => Ok(self.head.clone()),
            Ok(Fate::Lost(head)) => Err(race_lost(platform, self.submission, Some(head)).await),
            Ok(Fate::Open) => Err(race_lost(platform, self.submission, seen).await),
            Err(cause) => match seen {
                Some(head) if head.nonce == self.head.nonce => Ok(head),
                Some(head) if head.version == self.head.version => {
                    Err(race_lost(platform, self.submission, Some(head)).await)
                }
                _ => Err(self.outcome_unknown(cause)),
            },
        }
    }

    /// Looks at the audit row of the version that the proposal wants.
    async fn fate(&self, platform: &impl Platform) -> Result<Fate, platform::Error> {
        let retry = self.submission.retry;
        match retry
            .run(|| read::audit(platform, self.head.version))
            .await?
        {
            Some(audit) if audit.nonce == self.head.nonce => Ok(Fate::Accepted),
            Some(audit) => {
                let head = retry.run(|| read::head(platform)).await.ok().flatten();
                Ok(Fate::Lost(head.unwrap_or_else(|| audit.head())))
            }
            None => Ok(Fate::Open),
        }
    }

    fn outcome_unknown(&self, cause: platform::Error) -> Error {
        Error::OutcomeUnknown {
            version: self.head.version,
            nonce: self.head.nonce.clone(),
            cause,
        }
    }
}

fn not_done(cause: platform::Error) -> Error {
    Error::NotDone(cause.into())
}

fn audit_of(head: &publish::Head, when_ms: u64, changes: Vec<diff::Change>) -> publish::Audit {
    publish::Audit {
        version: head.version,
        base: head.base,
        digest: head.digest.clone(),
        object: head.object.clone(),
        who: head.who.clone(),
        when_ms,
        nonce: head.nonce.clone(),
        changes,
    }
}

fn transaction(
    row_version: message::Version,
    head: &publish::Head,
    audit: &publish::Audit,
) -> message::Transaction {
    let audit_key = publish::audit_key(audit.version);
    let expect = |table: &str, key: &str, version| message::Check {
        table: table.into(),
        key: key.into(),
        version,
    };
    message::Transaction {
        checks: vec![
            expect(publish::CONFIG_TABLE, publish::HEAD_KEY, row_version),
            expect(publish::AUDIT_TABLE, &audit_key, message::ABSENT),
        ],
        puts: vec![
            message::Put::new(publish::CONFIG_TABLE, publish::HEAD_KEY, head),
            message::Put::new(publish::AUDIT_TABLE, &audit_key, audit),
        ],
        deletes: Vec::new(),
    }
}

/// The head among the rows of a conflict.
fn head_in(conflicts: &message::Conflicts) -> Option<publish::Head> {
    let is_head = |row: &&message::Conflict| {
        &*row.table == publish::CONFIG_TABLE && &*row.key == publish::HEAD_KEY
    };
    let row = conflicts.conflicts.iter().find(is_head)?;
    serde_json::from_value(row.value.clone()).ok()
}

async fn base_document(
    platform: &impl Platform,
    retry: retry::Retry,
    row: Option<&message::Row<publish::Head>>,
) -> Result<model::Document, read::Error> {
    match row {
        Some(row) => read_document(platform, retry, &row.value.object, &row.value.digest).await,
        None => Ok(model::Document::default()),
    }
}

async fn read_document(
    platform: &impl Platform,
    retry: retry::Retry,
    object: &str,
    digest: &str,
) -> Result<model::Document, read::Error> {
    let bytes = retry.run(|| platform.object(object)).await?;
    read::parse_document(bytes, object, digest)
}

async fn race_lost(
    platform: &impl Platform,
    submission: &Submission,
    head: Option<publish::Head>,
) -> Error {
    let changes = match &head {
        Some(head) => changes_since(platform, submission, head).await,
        None => None,
    };
    let digest = submission.document.digest();
    let same_document = head.as_ref().is_some_and(|head| head.digest == digest);
    Error::RaceLost(Box::new(RaceLost {
        base: submission.base,
        head,
        changes,
        same_document,
    }))
}

/// What changed from the base to the head, if both can be read.
async fn changes_since(
    platform: &impl Platform,
    submission: &Submission,
    head: &publish::Head,
) -> Option<Vec<diff::Change>> {
    let retry = submission.retry;
    let base = match submission.base {
        model::UNACCEPTED => model::Document::default(),
        version => {
            let audit = retry.run(|| read::audit(platform, version)).await.ok()??;
            read_document(platform, retry, &audit.object, &audit.digest)
                .await
                .ok()?
        }
    };
    let document = read_document(platform, retry, &head.object, &head.digest)
        .await
        .ok()?;
    Some(diff::diff(&base, &document))
}
