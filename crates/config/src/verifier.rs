//! Verifiers of callers' logins: SCRAM-SHA-256 keys (RFC 5802, RFC 7677) in the notation in which PostgreSQL stores
//! them, or trust in loopback addresses.

use std::{fmt, str};

use base64::Engine;
use hmac::{KeyInit, Mac};
use sha2::Digest;

/// Default number of iterations: the minimum that RFC 7677 requires.
pub const DEFAULT_ITERATIONS: u32 = 4_096;

/// Key or hash of SCRAM-SHA-256.
pub type Key = [u8; KEY_BYTES];

/// Maximum number of iterations of a verifier. Common drivers accept no more.
pub const MAX_ITERATIONS: u32 = 100_000;

/// Length of a key, in bytes.
pub const KEY_BYTES: usize = 32;

/// Length of the salt in [`Scram::mock`], in bytes: the one that PostgreSQL uses.
const MOCK_SALT_BYTES: usize = 16;
const TRUST: &str = "trust";
const SCRAM_PREFIX: &str = "SCRAM-SHA-256$";
/// Texts from which RFC 5802 derives the client key and the server key.
const CLIENT_KEY_TEXT: &[u8] = b"Client Key";
const SERVER_KEY_TEXT: &[u8] = b"Server Key";
const BASE64: base64::engine::GeneralPurpose = base64::engine::general_purpose::STANDARD;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// Verifier of a caller's login.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verifier {
    /// Logins from loopback addresses succeed without a password; all others fail.
    Trust,
    /// The caller must prove that it knows the password.
    Scram(Scram),
}

/// Keys of SCRAM-SHA-256, from which the password cannot be derived.
#[derive(Clone, PartialEq, Eq)]
pub struct Scram {
    /// Number of times that the password was hashed.
    pub iterations: u32,
    /// Salt with which the password was hashed.
    pub salt: Box<[u8]>,
    /// Hash of the client key, which the caller derives from the password and proves to have.
    pub stored_key: Key,
    /// Key with which the server proves that it has the verifier.
    pub server_key: Key,
}

/// Failure to parse a verifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The text is not `trust` and does not begin with `SCRAM-SHA-256$`.
    #[error("expected `trust` or `SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER`")]
    UnknownMechanism,
    /// A part of the notation is missing or empty.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The iterations are not a number from 1 to [`MAX_ITERATIONS`].
    #[error("iterations must be a number from 1 to {MAX_ITERATIONS}")]
    Iterations,
    /// A part is not base64.
    #[error("{part} is not base64: {cause}")]
    Base64 {
        /// Name of the part.
        part: &'static str,
        /// Error of the base64 decoder.
        cause: base64::DecodeError,
    },
    /// A key has the wrong length.
    #[error("{part} has {found_bytes} bytes, expected {KEY_BYTES}")]
    KeyLength {
        /// Name of the key.
        part: &'static str,
        /// Length that the key has, in bytes.
        found_bytes: usize,
    },
}

impl Verifier {
    /// Derives the verifier of a password. No two callers should have the same salt.
    ///
    /// # Panics
    ///
    /// If `iterations` is 0 or the salt is empty.
    pub fn from_password(password: &str, salt: &[u8], iterations: u32) -> Self {
        Self::Scram(Scram::from_password(password, salt, iterations))
    }
}

impl fmt::Display for Verifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Trust => formatter.write_str(TRUST),
            Self::Scram(scram) => scram.fmt(formatter),
        }
    }
}

impl str::FromStr for Verifier {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            TRUST => Ok(Self::Trust),
            _ => text.parse().map(Self::Scram),
        }
    }
}

impl Scram {
    /// Derives the keys of a password. No two callers should have the same salt.
    ///
    /// # Panics
    ///
    /// If `iterations` is 0 or the salt is empty.
    pub fn from_password(password: &str, salt: &[u8], iterations: u32) -> Self {
        assert!(iterations > 0, "a password must be hashed at least once");
        assert!(!salt.is_empty(), "a password must be hashed with a salt");
        let salted_password = hash_password(&normalize(password), salt, iterations);
        let client_key = keyed_hash(&salted_password, &[CLIENT_KEY_TEXT]);
        Self {
            iterations,
            salt: salt.into(),
            stored_key: hash(&client_key),
            server_key: keyed_hash(&salted_password, &[SERVER_KEY_TEXT]),
        }
    }

    /// Returns keys that match no password, for a login as a user that does not exist.
    ///
    /// The salt depends only on the secret and the user. A client that logs in twice gets the same salt, as for an
    /// existing user, so that repeated logins do not reveal that the user does not exist. Proxies that share the secret
    /// send the same salt.
    pub fn mock(secret: &[u8], user: &str) -> Self {
        let user = user.as_bytes();
        let salt = keyed_hash(secret, &[b"salt", user]);
        Self {
            iterations: DEFAULT_ITERATIONS,
            salt: salt[..MOCK_SALT_BYTES].into(),
            stored_key: keyed_hash(secret, &[b"stored", user]),
            server_key: keyed_hash(secret, &[b"server", user]),
        }
    }
}

impl fmt::Debug for Scram {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Scram")
            .field("iterations", &self.iterations)
            .finish_non_exhaustive()
    }
}

impl fmt::Display for Scram {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{SCRAM_PREFIX}{}:{}${}:{}",
            self.iterations,
            BASE64.encode(&self.salt),
            BASE64.encode(self.stored_key),
            BASE64.encode(self.server_key),
        )
    }
}

impl str::FromStr for Scram {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rest = text
            .strip_prefix(SCRAM_PREFIX)
            .ok_or(ParseError::UnknownMechanism)?;
        let (hashing, keys) = rest
            .split_once('$')
            .ok_or(ParseError::Missing("stored key"))?;
        let (iterations, salt) = hashing.split_once(':').ok_or(ParseError::Missing("salt"))?;
        let (stored_key, server_key) = keys
            .split_once(':')
            .ok_or(ParseError::Missing("server key"))?;
        Ok(Self {
            iterations: parse_iterations(iterations)?,
            salt: parse_salt(salt)?,
            stored_key: parse_key("stored key", stored_key)?,
            server_key: parse_key("server key", server_key)?,
        })
    }
}

fn parse_iterations(text: &str) -> Result<u32, ParseError> {
    match text.parse() {
        Ok(iterations) if (1..=MAX_ITERATIONS).contains(&iterations) => Ok(iterations),
        _ => Err(ParseError::Iterations),
    }
}

fn parse_salt(text: &str) -> Result<Box<[u8]>, ParseError> {
    let salt = parse_base64("salt", text)?;
    if salt.is_empty() {
        Err(ParseError::Missing("salt"))
    } else {
        Ok(salt.into())
    }
}

fn parse_key(part: &'static str, text: &str) -> Result<Key, ParseError> {
    let bytes = parse_base64(part, text)?;
    let found_bytes = bytes.len();
    bytes
        .try_into()
        .map_err(|_| ParseError::KeyLength { part, found_bytes })
}

fn parse_base64(part: &'static str, text: &str) -> Result<Vec<u8>, ParseError> {
    BASE64
        .decode(text)
        .map_err(|cause| ParseError::Base64 { part, cause })
}

/// Normalizes a password with SASLprep. A password that SASLprep rejects is used unchanged, as in PostgreSQL.
fn normalize(password: &str) -> Box<str> {
    stringprep::saslprep(password).map_or_else(|_| password.into(), Into::into)
}

/// Computes one block of PBKDF2 with HMAC-SHA-256.
fn hash_password(password: &str, salt: &[u8], iterations: u32) -> Key {
    const FIRST_BLOCK: [u8; 4] = 1_u32.to_be_bytes();
    let mac = keyed_mac(password.as_bytes());
    let mut last: Key = mac
        .clone()
        .chain_update(salt)
        .chain_update(FIRST_BLOCK)
        .finalize()
        .into_bytes()
        .into();
    let mut result = last;
    for _ in 1..iterations {
        last = mac
            .clone()
            .chain_update(last)
            .finalize()
            .into_bytes()
            .into();
        result
            .iter_mut()
            .zip(last)
            .for_each(|(sum, byte)| *sum ^= byte);
    }
    result
}

/// Computes the HMAC-SHA-256 of the concatenated parts.
pub fn keyed_hash(key: &[u8], parts: &[&[u8]]) -> Key {
    let mut mac = keyed_mac(key);
    for part in parts {
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}

/// Computes the SHA-256 hash.
pub fn hash(bytes: &[u8]) -> Key {
    sha2::Sha256::digest(bytes).into()
}

fn keyed_mac(key: &[u8]) -> HmacSha256 {
    HmacSha256::new_from_slice(key).expect("HMAC accepts keys of any length")
}
