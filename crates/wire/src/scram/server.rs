//! The server side of a SCRAM exchange.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rand::RngExt;
use subtle::ConstantTimeEq;

use fulmarlift_config::verifier;

use crate::scram::{Key, Verifier};

/// Number of random bytes in the server's nonce, before Base64 encoding.
const SERVER_NONCE_BYTES: usize = 18;

/// Maximum size of a client's nonce.
const MAX_CLIENT_NONCE_BYTES: usize = 256;

/// Reason why a SCRAM exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A message violates RFC 5802 or requires a feature that the server did not offer.
    #[error("malformed SCRAM message: {0}")]
    Malformed(&'static str),
    /// The client's proof does not match the verifier.
    #[error("wrong password")]
    WrongPassword,
}

/// Returns a random server nonce, which must be used for one login only.
pub fn nonce() -> Box<str> {
    let bytes: [u8; SERVER_NONCE_BYTES] = rand::rng().random();
    STANDARD.encode(bytes).into()
}

/// A SCRAM exchange that waits for the client's first message.
#[derive(Debug)]
pub struct Exchange {
    verifier: Verifier,
    server_nonce: Box<str>,
}

impl Exchange {
    /// Creates an exchange that checks the password against `verifier`. `server_nonce` must be fresh, see [`nonce`].
    pub fn new(verifier: Verifier, server_nonce: Box<str>) -> Exchange {
        Exchange {
            verifier,
            server_nonce,
        }
    }

    /// Processes the client's first message and creates the server's first message.
    pub fn challenge(self, client_first: &[u8]) -> Result<Challenged, Error> {
        let message = as_utf8(client_first)?;
        let (gs2_header, bare) = split_gs2_header(message)?;
        let client_nonce = parse_client_nonce(bare)?;
        let nonce = format!("{client_nonce}{}", self.server_nonce);
        let server_first = format!(
            "r={nonce},s={},i={}",
            STANDARD.encode(&self.verifier.salt),
            self.verifier.iterations,
        );
        Ok(Challenged {
            verifier: self.verifier,
            channel_binding: STANDARD.encode(gs2_header).into(),
            nonce: nonce.into(),
            client_first_bare: bare.into(),
            server_first: server_first.into(),
        })
    }
}

/// A SCRAM exchange that waits for the client's final message, which contains the proof.
#[derive(Debug)]
pub struct Challenged {
    verifier: Verifier,
    channel_binding: Box<str>,
    nonce: Box<str>,
    client_first_bare: Box<str>,
    server_first: Box<str>,
}

impl Challenged {
    /// Returns the server's first message.
    pub fn message(&self) -> &str {
        &self.server_first
    }

    /// Checks the client's final message and returns the server's final message.
    pub fn finish(self, client_final: &[u8]) -> Result<Box<str>, Error> {
        let message = as_utf8(client_final)?;
        let (without_proof, proof) = message
            .rsplit_once(",p=")
            .ok_or(Error::Malformed("the proof is missing"))?;
        self.check_without_proof(without_proof)?;
        let proof = parse_proof(proof)?;
        let auth_message = format!(
            "{},{},{without_proof}",
            self.client_first_bare, self.server_first
        );
        self.check_proof(&auth_message, proof)?;
        let signature = verifier::keyed_hash(&self.verifier.server_key, &[auth_message.as_bytes()]);
        Ok(format!("v={}", STANDARD.encode(signature)).into())
    }

    /// Checks that the final message repeats the GS2 header of the client's first message and the nonce of the server's
    /// first message.
    fn check_without_proof(&self, without_proof: &str) -> Result<(), Error> {
        let rest = without_proof
            .strip_prefix("c=")
            .ok_or(Error::Malformed("the channel binding is missing"))?;
        let (channel_binding, rest) = rest
            .split_once(',')
            .ok_or(Error::Malformed("the nonce is missing"))?;
        if channel_binding != &*self.channel_binding {
            return Err(Error::Malformed("the channel binding has changed"));
        }
        let rest = rest
            .strip_prefix("r=")
            .ok_or(Error::Malformed("the nonce is missing"))?;
        let nonce = rest.split(',').next().unwrap_or_default();
        if nonce != &*self.nonce {
            return Err(Error::Malformed("the nonce has changed"));
        }
        Ok(())
    }

    /// Checks the proof, which is the client key XOR a signature that is made with the stored key.
    fn check_proof(&self, auth_message: &str, proof: Key) -> Result<(), Error> {
        let signature = verifier::keyed_hash(&self.verifier.stored_key, &[auth_message.as_bytes()]);
        let mut client_key = proof;
        client_key
            .iter_mut()
            .zip(signature)
            .for_each(|(byte, mask)| *byte ^= mask);
        let stored_key = verifier::hash(&client_key);
        if bool::from(stored_key.ct_eq(&self.verifier.stored_key)) {
            Ok(())
        } else {
            Err(Error::WrongPassword)
        }
    }
}

fn as_utf8(message: &[u8]) -> Result<&str, Error> {
    std::str::from_utf8(message).map_err(|_| Error::Malformed("it is not UTF-8"))
}

/// Splits a first message into the GS2 header (channel binding flag and authorization identity) and the bare message.
fn split_gs2_header(message: &str) -> Result<(&str, &str), Error> {
    let (flag, rest) = message
        .split_once(',')
        .ok_or(Error::Malformed("the header is missing"))?;
    if flag != "n" && flag != "y" {
        return Err(Error::Malformed("channel binding was not offered"));
    }
    let (identity, bare) = rest
        .split_once(',')
        .ok_or(Error::Malformed("the header is incomplete"))?;
    if !identity.is_empty() {
        return Err(Error::Malformed(
            "authorization identities are not supported",
        ));
    }
    let header = &message[..message.len() - bare.len()];
    Ok((header, bare))
}

/// Returns the nonce of `n=USER,r=NONCE`. The user name is ignored in favor of the one in the startup message, as in
/// PostgreSQL.
fn parse_client_nonce(bare: &str) -> Result<&str, Error> {
    let (user, rest) = bare
        .split_once(',')
        .ok_or(Error::Malformed("the nonce is missing"))?;
    if !user.starts_with("n=") {
        return Err(Error::Malformed("the user name is missing"));
    }
    let nonce = rest
        .strip_prefix("r=")
        .and_then(|rest| rest.split(',').next())
        .ok_or(Error::Malformed("the nonce is missing"))?;
    let printable = nonce.bytes().all(|byte| byte.is_ascii_graphic());
    if nonce.is_empty() || nonce.len() > MAX_CLIENT_NONCE_BYTES || !printable {
        return Err(Error::Malformed(
            "the nonce is empty, too long or not printable",
        ));
    }
    Ok(nonce)
}

fn parse_proof(text: &str) -> Result<Key, Error> {
    let bytes = STANDARD
        .decode(text)
        .map_err(|_| Error::Malformed("the proof is not Base64"))?;
    Key::try_from(bytes).map_err(|_| Error::Malformed("the proof is not 32 bytes"))
}
