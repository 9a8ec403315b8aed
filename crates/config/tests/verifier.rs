//! Tests of verifiers: the test vector of RFC 7677, normalization, and malformed verifiers.

use base64::Engine;
use fulmarlift_config::verifier;
use sha2::Digest;

/// Salt of the example exchange in RFC 7677, which has 4096 iterations and the password `pencil`.
const RFC_SALT: &str = "W22ZaJ0SNY7soEsUEjb6gQ==";
const RFC_AUTH_MESSAGE: &str = "n=user,r=rOprNGfwEbeRWgbNEkqO,\
    r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096,\
    c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0";
const RFC_CLIENT_PROOF: &str = "dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=";
const RFC_SERVER_SIGNATURE: &str = "6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=";

fn decode(text: &str) -> Vec<u8> {
    base64::engine::general_purpose::STANDARD
        .decode(text)
        .unwrap()
}

fn hmac(key: &[u8], text: &str) -> Vec<u8> {
    use hmac::{KeyInit, Mac};
    let mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(key).unwrap();
    mac.chain_update(text.as_bytes())
        .finalize()
        .into_bytes()
        .to_vec()
}

/// Returns the verifier of the example exchange in RFC 7677.
fn rfc_verifier() -> verifier::Verifier {
    verifier::Verifier::from_password("pencil", &decode(RFC_SALT), 4_096)
}

#[test]
fn from_password_agrees_with_rfc() {
    let verifier::Verifier::Scram(scram) = rfc_verifier() else {
        panic!("expected keys")
    };
    assert_eq!(
        hmac(&scram.server_key, RFC_AUTH_MESSAGE),
        decode(RFC_SERVER_SIGNATURE)
    );
    let signature = hmac(&scram.stored_key, RFC_AUTH_MESSAGE);
    let client_key: Vec<u8> = decode(RFC_CLIENT_PROOF)
        .iter()
        .zip(signature)
        .map(|(proof, byte)| proof ^ byte)
        .collect();
    assert_eq!(
        sha2::Sha256::digest(client_key).as_slice(),
        scram.stored_key
    );
}

#[rstest::rstest]
#[case::scram(rfc_verifier())]
#[case::trust(verifier::Verifier::Trust)]
fn parse_reads_what_display_wrote(#[case] verifier: verifier::Verifier) {
    assert_eq!(verifier.to_string().parse(), Ok(verifier));
}

#[test]
fn from_password_normalizes_compatibility_characters() {
    let composed = verifier::Verifier::from_password("\u{2168}", b"salt", 1);
    assert_eq!(
        composed,
        verifier::Verifier::from_password("IX", b"salt", 1)
    );
}

#[rstest::rstest]
#[case::empty("", verifier::ParseError::UnknownMechanism)]
#[case::upper_trust("TRUST", verifier::ParseError::UnknownMechanism)]
#[case::no_keys(
    "SCRAM-SHA-256$4096:c2FsdA==",
    verifier::ParseError::Missing("stored key")
)]
#[case::no_salt("SCRAM-SHA-256$4096$a:b", verifier::ParseError::Missing("salt"))]
#[case::empty_salt("SCRAM-SHA-256$4096:$a:b", verifier::ParseError::Missing("salt"))]
#[case::no_server_key(
    "SCRAM-SHA-256$4096:c2FsdA==$a",
    verifier::ParseError::Missing("server key")
)]
#[case::zero_iterations("SCRAM-SHA-256$0:c2FsdA==$a:b", verifier::ParseError::Iterations)]
#[case::huge_iterations(
    "SCRAM-SHA-256$4294967296:c2FsdA==$a:b",
    verifier::ParseError::Iterations
)]
#[case::short_key("SCRAM-SHA-256$1:c2FsdA==$c2FsdA==:b",
    verifier::ParseError::KeyLength { part: "stored key", found_bytes: 4 })]
fn parse_refuses(#[case] text: &str, #[case] expected: verifier::ParseError) {
    assert_eq!(text.parse::<verifier::Verifier>(), Err(expected));
}

#[test]
fn parse_refuses_text_that_is_not_base64() {
    let error = "SCRAM-SHA-256$1:*$a:b"
        .parse::<verifier::Verifier>()
        .unwrap_err();
    assert!(
        matches!(error, verifier::ParseError::Base64 { part: "salt", .. }),
        "{error}"
    );
}
