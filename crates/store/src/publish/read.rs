//! Reads the head row, documents and the audit trail.

use fulmarlift_config::model;

use crate::{
    message,
    platform::{self, Platform},
    publish,
};

/// Failure to read a document.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call of the platform failed.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// The object that a row names does not exist.
    #[error("object {0} is missing")]
    Missing(Box<str>),
    /// The object does not hold a configuration document.
    #[error("object {object} is malformed: {cause}")]
    Malformed {
        /// Name of the object.
        object: Box<str>,
        /// Reason why the object cannot be read as a document.
        cause: Box<str>,
    },
    /// The digest of the document in the object differs from the expected one.
    #[error("object {object} contains a document with unexpected digest {found}")]
    Digest {
        /// Name of the object.
        object: Box<str>,
        /// Digest of the document in the object.
        found: Box<str>,
    },
}

/// Reads the head. Returns `None` before the first accepted submit.
///
/// # Errors
///
/// Errors of the platform call.
pub async fn head(platform: &impl Platform) -> Result<Option<publish::Head>, platform::Error> {
    Ok(head_row(platform).await?.map(|row| row.value))
}

/// Reads the head with the version of its row, which conditional transactions check.
///
/// # Errors
///
/// Errors of the platform call.
pub async fn head_row(
    platform: &impl Platform,
) -> Result<Option<message::Row<publish::Head>>, platform::Error> {
    platform.row(publish::CONFIG_TABLE, publish::HEAD_KEY).await
}

/// Reads the document in an object and checks its digest.
///
/// # Errors
///
/// [`Error`] if the object is missing or malformed, or if the document has another digest.
pub async fn document(
    platform: &impl Platform,
    object: &str,
    digest: &str,
) -> Result<model::Document, Error> {
    parse_document(platform.object(object).await?, object, digest)
}

/// Parses the document in an object's bytes and checks its digest.
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

/// Reads the audit row of a version. Returns `None` if no document was accepted under that version.
///
/// # Errors
///
/// Errors of the platform call.
pub async fn audit(
    platform: &impl Platform,
    version: model::Version,
) -> Result<Option<publish::Audit>, platform::Error> {
    let row = platform
        .row(publish::AUDIT_TABLE, &publish::audit_key(version))
        .await?;
    Ok(row.map(|row: message::Row<publish::Audit>| row.value))
}

/// Reads the audit rows of the last `limit` versions, newest first.
///
/// # Errors
///
/// Errors of the platform calls.
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
