//! Submits a document as the next version.
//!
//! A submit names the document version on which it is based, and is accepted only while that version is in force. The
//! transaction of the submit checks the row version of the head row, which grows with each write of that row. The
//! transaction therefore takes effect at most once and never on another base, even if it is sent several times or
//! arrives late.

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

/// Document to publish as the next version.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Document to publish. Its `version` field is ignored.
    pub document: model::Document,
    /// Version that must be in force; [`model::UNACCEPTED`] for the first submit.
    pub base: model::Version,
    /// Name of the submitting operator or program, for the audit trail.
    pub submitter: Box<str>,
    /// Time of the submit for the audit trail, in ms since 1970-01-01 UTC.
    pub submitted_at_ms: u64,
    /// Unique identifier of this submit. See [`random_nonce`].
    pub nonce: publish::Nonce,
    /// Number and spacing of the attempts of each platform call.
    pub retry: retry::Retry,
}

/// Reason why a submit was not accepted or why its outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The checks found errors in the document. Nothing was written.
    #[error("{0}")]
    Findings(#[from] finding::Findings),
    /// A version other than the base is in force. The submit had no effect and can have none later.
    #[error(transparent)]
    RaceLost(Box<RaceLost>),
    /// A platform call or a read of a stored document failed before the transaction that moves the head was sent, or
    /// the platform rejected that transaction. The head is unchanged.
    #[error("not accepted: {0}")]
    NotDone(#[source] read::Error),
    /// The submit may have taken effect, or may still take effect later.
    #[error(
        "outcome unknown: look for nonce {nonce} at version {version} of the audit trail: {cause}"
    )]
    OutcomeUnknown {
        /// Version that the document gets if the submit takes effect.
        version: model::Version,
        /// Nonce of the submit, which identifies it in the audit trail.
        nonce: publish::Nonce,
        /// Failure of the last attempt.
        #[source]
        cause: platform::Error,
    },
}

/// Details of a submit whose base is not in force, because another submit was accepted first or the base is wrong.
#[derive(Debug, thiserror::Error)]
#[error(
    "version {base} is not in force: the head is version {}{}",
    .head.as_ref().map_or(model::UNACCEPTED, |head| head.version),
    .head.as_ref().map(|head| format!(", by {}", head.submitter)).unwrap_or_default(),
)]
pub struct RaceLost {
    /// Base version that the submit named.
    pub base: model::Version,
    /// Current head; `None` if no document has been accepted yet.
    pub head: Option<publish::Head>,
    /// Differences between the document of the base and that of the head; `None` if one of the two cannot be read or if
    /// the base version never existed.
    pub changes: Option<Vec<diff::Change>>,
    /// Whether the head's document equals the submitted one.
    pub same_document: bool,
}

/// Checks a document and publishes it as the version after its base. Returns the new head.
///
/// # Errors
///
/// [`Error`] if the document was not accepted or may not have been; the variant tells the two cases apart.
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

/// Returns a nonce that no other submit has: two hashes of the current time, whose keys the standard library draws from
/// the operating system's random source.
pub fn random_nonce() -> publish::Nonce {
    let random = || hash::RandomState::new().hash_one(time::SystemTime::now());
    format!("{:016x}{:016x}", random(), random()).into()
}

/// Submission whose base is in force, with the transaction that publishes it.
struct Proposal<'a> {
    submission: &'a Submission,
    head: publish::Head,
    document: model::Document,
    transaction: message::Transaction,
}

/// Outcome of a proposal according to the audit row of its version.
enum AuditedOutcome {
    /// The audit row belongs to the proposal.
    Accepted,
    /// The audit row belongs to another submit. Contains the current head or, if the head row cannot be read, the head
    /// that the other submit wrote.
    OtherAccepted(publish::Head),
    /// The version has no audit row.
    NoAuditRow,
}

impl<'a> Proposal<'a> {
    fn new(
        submission: &'a Submission,
        row_version: message::RowVersion,
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
            submitter: submission.submitter.clone(),
            object: publish::object_name(version, &digest),
            digest,
            nonce: submission.nonce.clone(),
        };
        let audit = audit_row(
            &head,
            submission.submitted_at_ms,
            diff::diff(base, &document),
        );
        let transaction = transaction(row_version, &head, &audit);
        Self {
            submission,
            head,
            document,
            transaction,
        }
    }

    /// Stores the document as an object. Accepts an existing object of that name if it holds the same document in other
    /// bytes.
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

    /// Runs the transaction that moves the head. A conflict that follows an attempt of unknown outcome may stem from
    /// that attempt; the audit trail then shows whether the proposal was accepted.
    async fn commit(&self, platform: &impl Platform) -> Result<publish::Head, Error> {
        let mut last_unknown = None;
        for attempt in 1..=self.submission.retry.attempts.max(1) {
            match platform.transact(&self.transaction).await {
                Ok(_) => return Ok(self.head.clone()),
                Err(platform::Error::Conflict(conflicts)) => {
                    return self
                        .resolve_conflict(platform, conflicts, last_unknown.is_some())
                        .await;
                }
                Err(cause) if cause.is_outcome_unknown() => {
                    log::warn!(
                        "outcome of the submit is unknown attempt={attempt} cause=\"{cause}\""
                    );
                    last_unknown = Some(cause);
                    self.submission.retry.back_off(attempt).await;
                }
                Err(cause) if last_unknown.is_none() => return Err(not_done(cause)),
                // An earlier attempt may still take effect, so the outcome stays unknown.
                Err(cause) => last_unknown = Some(cause),
            }
        }
        let cause = last_unknown.expect("an attempt that does not return records its error");
        match self.audited_outcome(platform).await {
            Ok(AuditedOutcome::Accepted) => Ok(self.head.clone()),
            Ok(AuditedOutcome::OtherAccepted(head)) => {
                Err(race_lost(platform, self.submission, Some(head)).await)
            }
            // No attempt conflicted, so one of them may still take effect.
            Ok(AuditedOutcome::NoAuditRow) | Err(_) => Err(self.outcome_unknown(cause)),
        }
    }

    /// Returns the result of a submit whose transaction conflicted. `has_unknown_attempt` is whether an earlier attempt of
    /// this submit has an unknown outcome. If so, that attempt may have moved the head; otherwise another submit has.
    async fn resolve_conflict(
        &self,
        platform: &impl Platform,
        conflicts: message::Conflicts,
        has_unknown_attempt: bool,
    ) -> Result<publish::Head, Error> {
        let conflicting_head = head_in(&conflicts);
        if !has_unknown_attempt {
            return Err(race_lost(platform, self.submission, conflicting_head).await);
        }
        match self.audited_outcome(platform).await {
            Ok(AuditedOutcome::Accepted) => Ok(self.head.clone()),
            Ok(AuditedOutcome::OtherAccepted(head)) => {
                Err(race_lost(platform, self.submission, Some(head)).await)
            }
            // The head row has changed, though without an audit row of this version. Its row version only grows, so no earlier
            // attempt can take effect any more.
            Ok(AuditedOutcome::NoAuditRow) => {
                Err(race_lost(platform, self.submission, conflicting_head).await)
            }
            Err(cause) => match conflicting_head {
                Some(head) if head.nonce == self.head.nonce => Ok(head),
                Some(head) if head.version == self.head.version => {
                    Err(race_lost(platform, self.submission, Some(head)).await)
                }
                _ => Err(self.outcome_unknown(cause)),
            },
        }
    }

    /// Reads the audit row of the proposal's version and returns the outcome that it shows.
    async fn audited_outcome(
        &self,
        platform: &impl Platform,
    ) -> Result<AuditedOutcome, platform::Error> {
        let retry = self.submission.retry;
        match retry
            .run(|| read::audit(platform, self.head.version))
            .await?
        {
            Some(audit) if audit.nonce == self.head.nonce => Ok(AuditedOutcome::Accepted),
            Some(audit) => {
                let head = retry.run(|| read::head(platform)).await.ok().flatten();
                Ok(AuditedOutcome::OtherAccepted(
                    head.unwrap_or_else(|| audit.head()),
                ))
            }
            None => Ok(AuditedOutcome::NoAuditRow),
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

fn audit_row(
    head: &publish::Head,
    submitted_at_ms: u64,
    changes: Vec<diff::Change>,
) -> publish::Audit {
    publish::Audit {
        version: head.version,
        base: head.base,
        digest: head.digest.clone(),
        object: head.object.clone(),
        submitter: head.submitter.clone(),
        submitted_at_ms,
        nonce: head.nonce.clone(),
        changes,
    }
}

/// Returns the transaction that writes the head and the audit row if the head row has the version `row_version` and the
/// audit row does not exist yet.
fn transaction(
    row_version: message::RowVersion,
    head: &publish::Head,
    audit: &publish::Audit,
) -> message::Transaction {
    let audit_key = publish::audit_key(audit.version);
    let version_check = |table: &str, key: &str, version| message::Check {
        table: table.into(),
        key: key.into(),
        version,
    };
    message::Transaction {
        checks: vec![
            version_check(publish::CONFIG_TABLE, publish::HEAD_KEY, row_version),
            version_check(publish::AUDIT_TABLE, &audit_key, message::ABSENT),
        ],
        puts: vec![
            message::Put::new(publish::CONFIG_TABLE, publish::HEAD_KEY, head),
            message::Put::new(publish::AUDIT_TABLE, &audit_key, audit),
        ],
        deletes: Vec::new(),
    }
}

/// Returns the head if its row is among the conflicting rows.
fn head_in(conflicts: &message::Conflicts) -> Option<publish::Head> {
    let is_head = |row: &&message::Conflict| {
        &*row.table == publish::CONFIG_TABLE && &*row.key == publish::HEAD_KEY
    };
    let row = conflicts.conflicts.iter().find(is_head)?;
    serde_json::from_value(row.value.clone()).ok()
}

/// Reads the document that the head row names. Returns an empty document if there is no head row.
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

/// Reads the document in an object with retries, and checks its digest.
async fn read_document(
    platform: &impl Platform,
    retry: retry::Retry,
    object: &str,
    digest: &str,
) -> Result<model::Document, read::Error> {
    let bytes = retry.run(|| platform.object(object)).await?;
    read::parse_document(bytes, object, digest)
}

/// Returns the error of a submit that lost the race against `head`.
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

/// Returns the differences between the document of the base and that of the head, if both can be read.
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
