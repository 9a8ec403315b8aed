//! Names of prepared statements on connections to databases.

use std::fmt::Write;

use sha2::Digest;

/// Bytes of the digest in a name. Databases tell names apart by their first 63 bytes.
const DIGEST_BYTES: usize = 30;

/// Returns the name under which sessions share a statement of this text and these parameter types on a connection.
///
/// Callers choose the text, and must not find two of the same name: one would run in place of the other, in any session.
pub fn shared_name(sql: &str, type_oids: &[u32]) -> Box<str> {
    let mut hasher = sha2::Sha256::new();
    hasher.update(type_oids.len().to_le_bytes());
    for oid in type_oids {
        hasher.update(oid.to_le_bytes());
    }
    hasher.update(sql);
    let digest = hasher.finalize();
    let mut name = String::from("fl_");
    for byte in &digest[..DIGEST_BYTES] {
        // Writing to a string does not fail.
        let _ = write!(name, "{byte:02x}");
    }
    name.into()
}
