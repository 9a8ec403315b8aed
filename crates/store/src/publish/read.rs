//! Reads the head, documents and the audit trail.

use fulmarlift_config::model;

use crate::{
    message,
    platform::{self, Platform},
    publish,
};

/// Why a document could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform did not answer as it should.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// The object that a row names doesn't exist.
    #[error("object {0} is missing")]
    Missing(Box<str>),
    /// The object is no document.
    #[error("object {object} is malformed: {cause}")]
    Malformed {
        /// The object.
        object: Box<str>,
        /// What is wrong with it.
        cause: Box<str>,
    },
    /// The object is a document of another digest.
    #[error("object {object} has digest {found}")]
    Digest {
        /// The object.
        object: Box<str>,
        /// The digest of what it holds.
        found: Box<str>,
    },
}

/// The head; `None` before the first submit.
///
/// # Errors
///
/// Those of the platform.
pub async fn head(platform: &impl Platform) -> Result<Option<publish::Head>, platform::Error> {
    Ok(head_row(platform).await?.map(|row| row.value))
}

/// The head with its row's version, for conditional transactions.
///
/// # Errors
///
/// Those of the platform.
pub async fn head_row(
    platform: &impl Platform,
) -> Result<Option<message::Row<publish::Head>>, platform::Error> {
    platform.row(publish::CONFIG_TABLE, publish::HEAD_KEY).await
}

/// The document in an object, once its digest was checked.
///
/// # Errors
///
/// [`Error`] when the object is missing, malformed or another than the digest says.
pub async fn document(
    platform: &impl Platform,
    object: &str,
    digest: &str,
) -> Result<model::Document, Error> {
    parse_document(platform.object(object).await?, object, digest)
}

/// The document in an object's bytes, once its digest was checked.
pub(super) fn parse_document(
    bytes: Option<Vec<u8>>,
    object: &str,
    digest: &str,
) -> Result<model::Document, Error> {
    let bytes = bytes.ok_or_else(|| Error::Missing(object.into()))?;
    let malformed = |cause: String| Error::Malformed {
        object: object.into(),
        cause: cause.into(),
    };
    let text = std::str::from_utf8(&bytes).map_err(|error| malformed(error.to_string()))?;
    let document = model::Document::parse(text).map_err(|error| malformed(error.to_string()))?;
    let found = document.digest();
    if *found == *digest {
        Ok(document)
    } else {
        Err(Error::Digest {
            object: object.into(),
            found,
        })
    }
}

/// The audit row of a version; `None` when it was not accepted.
///
/// # Errors
///
/// Those of the platform.
pub async fn audit(
    platform: &impl Platform,
    version: model::Version,
) -> Result<Option<publish::Audit>, platform::Error> {
    let row = platform
        .row(publish::AUDIT_TABLE, &publish::audit_key(version))
        .await?;
    Ok(row.map(|row: message::Row<publish::Audit>| row.value))
}

/// The last audit rows, at most `limit`, the newest first.
///
/// # Errors
///
/// Those of the platform.
pub async fn audit_trail(
    platform: &impl Platform,
    limit: u32,
) -> Result<Vec<publish::Audit>, platform::Error> {
    let newest = head(platform)
        .await?
        .map_or(model::UNACCEPTED, |head| head.version);
    let after = publish::audit_key(newest.saturating_sub(limit.into()));
    let rows: Vec<message::Row<publish::Audit>> =
        platform.rows(publish::AUDIT_TABLE, &after, limit).await?;
    Ok(rows.into_iter().rev().map(|row| row.value).collect())
}
