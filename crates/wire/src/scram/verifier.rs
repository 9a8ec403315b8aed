//! What is stored of a password.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

use crate::scram;

/// Bytes of the keys of SHA-256.
pub const KEY_BYTES: usize = 32;

/// Iterations of a verifier made from a password; PostgreSQL's default.
pub const DEFAULT_ITERATIONS: u32 = 4096;

/// Iterations that common drivers accept at most.
const MAX_ITERATIONS: u32 = 100_000;

/// Bytes of salt of a mock verifier, as many as PostgreSQL uses.
const SALT_BYTES: usize = 16;

/// A key or hash of SHA-256.
pub type Key = [u8; KEY_BYTES];

/// A password's verifier, `SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY` with Base64 fields.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    /// Rounds of the key derivation.
    pub iterations: u32,
    /// Salt of the key derivation.
    pub salt: Box<[u8]>,
    /// Hash of the client's key.
    pub stored_key: Key,
    /// Key with which the server proves that it knows the verifier.
    pub server_key: Key,
}

/// Why a text is no verifier. The text itself is not repeated, it may be a password.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a verifier of the form SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY: {reason}")]
pub struct MalformedVerifier {
    /// Which part is wrong.
    pub reason: &'static str,
}

impl Verifier {
    /// The verifier of a password.
    pub fn from_password(password: &str, salt: &[u8], iterations: u32) -> Verifier {
        let salted = salted_password(password, salt, iterations);
        let client_key = hmac(&salted, &[b"Client Key"]);
        Verifier {
            iterations,
            salt: salt.into(),
            stored_key: hash(&client_key),
            server_key: hmac(&salted, &[b"Server Key"]),
        }
    }

    /// A verifier that no password fits, for a user that does not exist.
    ///
    /// The same secret and user give the same salt, so that asking twice tells nothing; proxies that share the
    /// secret answer alike.
    pub fn mock(secret: &[u8], user: &str) -> Verifier {
        let salt = hmac(secret, &[b"salt", user.as_bytes()]);
        Verifier {
            iterations: DEFAULT_ITERATIONS,
            salt: salt[..SALT_BYTES].into(),
            stored_key: hmac(secret, &[b"stored", user.as_bytes()]),
            server_key: hmac(secret, &[b"server", user.as_bytes()]),
        }
    }
}

impl FromStr for Verifier {
    type Err = MalformedVerifier;

    fn from_str(text: &str) -> Result<Verifier, MalformedVerifier> {
        let rest = text
            .strip_prefix(scram::MECHANISM)
            .and_then(|rest| rest.strip_prefix('$'))
            .ok_or_else(|| malformed("it does not start with SCRAM-SHA-256$"))?;
        let (head, keys) = rest
            .split_once('$')
            .ok_or_else(|| malformed("the keys are missing"))?;
        let (iterations, salt) = head
            .split_once(':')
            .ok_or_else(|| malformed("the salt is missing"))?;
        let (stored_key, server_key) = keys
            .split_once(':')
            .ok_or_else(|| malformed("the server key is missing"))?;
        Ok(Verifier {
            iterations: parse_iterations(iterations)?,
            salt: parse_salt(salt)?,
            stored_key: parse_key(stored_key, "the stored key is not Base64 of 32 bytes")?,
            server_key: parse_key(server_key, "the server key is not Base64 of 32 bytes")?,
        })
    }
}

impl fmt::Display for Verifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}${}:{}${}:{}",
            scram::MECHANISM,
            self.iterations,
            STANDARD.encode(&self.salt),
            STANDARD.encode(self.stored_key),
            STANDARD.encode(self.server_key),
        )
    }
}

impl fmt::Debug for Verifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Verifier")
            .field("iterations", &self.iterations)
            .finish_non_exhaustive()
    }
}

/// HMAC-SHA-256 over the parts in a row.
pub(super) fn hmac(key: &[u8], parts: &[&[u8]]) -> Key {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any size");
    parts.iter().for_each(|part| mac.update(part));
    mac.finalize().into_bytes().into()
}

/// SHA-256.
pub(super) fn hash(bytes: &[u8]) -> Key {
    Sha256::digest(bytes).into()
}

/// The function `Hi` of RFC 5802: PBKDF2 with one block.
fn salted_password(password: &str, salt: &[u8], iterations: u32) -> Key {
    let prepared = stringprep::saslprep(password).unwrap_or_else(|_| password.into());
    let key = prepared.as_bytes();
    let mut round = hmac(key, &[salt, &1u32.to_be_bytes()]);
    let mut sum = round;
    for _ in 1..iterations {
        round = hmac(key, &[&round]);
        sum.iter_mut()
            .zip(round)
            .for_each(|(sum, byte)| *sum ^= byte);
    }
    sum
}

fn parse_iterations(text: &str) -> Result<u32, MalformedVerifier> {
    text.parse()
        .ok()
        .filter(|iterations| (1..=MAX_ITERATIONS).contains(iterations))
        .ok_or_else(|| malformed("the iterations are no number from 1 to 100000"))
}

fn parse_salt(text: &str) -> Result<Box<[u8]>, MalformedVerifier> {
    let salt = STANDARD
        .decode(text)
        .map_err(|_| malformed("the salt is not Base64"))?;
    if salt.is_empty() {
        return Err(malformed("the salt is empty"));
    }
    Ok(salt.into())
}

fn parse_key(text: &str, reason: &'static str) -> Result<Key, MalformedVerifier> {
    let bytes = STANDARD.decode(text).map_err(|_| malformed(reason))?;
    Key::try_from(bytes).map_err(|_| malformed(reason))
}

fn malformed(reason: &'static str) -> MalformedVerifier {
    MalformedVerifier { reason }
}
