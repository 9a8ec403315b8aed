//! The server's side of one login.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rand::RngExt;
use subtle::ConstantTimeEq;

use fulmarlift_config::verifier;

use crate::scram::{Key, Verifier};

/// Random bytes of the server's nonce, before Base64.
const NONCE_BYTES: usize = 18;

/// Client nonces beyond this are refused.
const MAX_NONCE_BYTES: usize = 256;

/// Why a login failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A message does not follow RFC 5802 or asks for what was not offered.
    #[error("malformed SCRAM message: {0}")]
    Malformed(&'static str),
    /// The proof does not fit the verifier.
    #[error("wrong password")]
    WrongPassword,
}

/// A nonce from the thread's generator for one login.
pub fn nonce() -> Box<str> {
    let bytes: [u8; NONCE_BYTES] = rand::rng().random();
    STANDARD.encode(bytes).into()
}

/// One login, from the client's first message to the server's final one.
#[derive(Debug)]
pub struct Exchange {
    verifier: Verifier,
    server_nonce: Box<str>,
}

impl Exchange {
    /// A login against `verifier`. `server_nonce` must be fresh, see [`nonce`].
    pub fn new(verifier: Verifier, server_nonce: Box<str>) -> Exchange {
        Exchange {
            verifier,
            server_nonce,
        }
    }

    /// Takes the client's first message.
    pub fn challenge(self, client_first: &[u8]) -> Result<Challenged, Error> {
        let message = text(client_first)?;
        let (gs2_header, bare) = split_gs2_header(message)?;
        let client_nonce = client_nonce(bare)?;
        let nonce = format!("{client_nonce}{}", self.server_nonce);
        let server_first = format!(
            "r={nonce},s={},i={}",
            STANDARD.encode(&self.verifier.salt),
            self.verifier.iterations,
        );
        Ok(Challenged {
            verifier: self.verifier,
            binding: STANDARD.encode(gs2_header).into(),
            nonce: nonce.into(),
            client_first_bare: bare.into(),
            server_first: server_first.into(),
        })
    }
}

/// A login that waits for the client's proof.
#[derive(Debug)]
pub struct Challenged {
    verifier: Verifier,
    binding: Box<str>,
    nonce: Box<str>,
    client_first_bare: Box<str>,
    server_first: Box<str>,
}

impl Challenged {
    /// The server's first message.
    pub fn message(&self) -> &str {
        &self.server_first
    }

    /// Takes the client's final message and gives the server's.
    pub fn finish(self, client_final: &[u8]) -> Result<Box<str>, Error> {
        let message = text(client_final)?;
        let (without_proof, proof) = message
            .rsplit_once(",p=")
            .ok_or(Error::Malformed("the proof is missing"))?;
        self.check_final(without_proof)?;
        let proof = parse_proof(proof)?;
        let auth_message = format!(
            "{},{},{without_proof}",
            self.client_first_bare, self.server_first
        );
        self.check_proof(&auth_message, proof)?;
        let signature = verifier::keyed_hash(&self.verifier.server_key, &[auth_message.as_bytes()]);
        Ok(format!("v={}", STANDARD.encode(signature)).into())
    }

    /// The channel binding must repeat the first message's header, the nonce the server's.
    fn check_final(&self, without_proof: &str) -> Result<(), Error> {
        let rest = without_proof
            .strip_prefix("c=")
            .ok_or(Error::Malformed("the channel binding is missing"))?;
        let (binding, rest) = rest
            .split_once(',')
            .ok_or(Error::Malformed("the nonce is missing"))?;
        if binding != &*self.binding {
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

    /// The proof is the client's key, masked with a signature made from the stored key.
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

fn text(message: &[u8]) -> Result<&str, Error> {
    std::str::from_utf8(message).map_err(|_| Error::Malformed("it is not UTF-8"))
}

/// Splits the header (channel binding flag and authorization identity) from the bare message.
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

/// The nonce of `n=USER,r=NONCE`. The user name is the startup message's, as in PostgreSQL.
fn client_nonce(bare: &str) -> Result<&str, Error> {
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
    if nonce.is_empty() || nonce.len() > MAX_NONCE_BYTES || !printable {
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
