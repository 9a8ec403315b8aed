//! Tests of SCRAM-SHA-256 verifiers and the server side of the exchange, against the client of `postgres-protocol`.

use fulmarlift_wire::scram::{Verifier, server};
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use rstest::rstest;

/// Runs an exchange between client and server. `tamper` may change the client's final message.
fn run_exchange(
    verifier: &Verifier,
    password: &str,
    binding: ChannelBinding,
    tamper: impl Fn(String) -> String,
) -> Result<(), server::Error> {
    let mut client = ScramSha256::new(password.as_bytes(), binding);
    let server = server::Exchange::new(verifier.clone(), server::nonce());
    let challenged = server.challenge(client.message())?;
    client.update(challenged.message().as_bytes()).unwrap();
    let client_final = String::from_utf8(client.message().to_vec()).unwrap();
    let server_final = challenged.finish(tamper(client_final).as_bytes())?;
    client.finish(server_final.as_bytes()).unwrap();
    Ok(())
}

fn verifier(password: &str) -> Verifier {
    Verifier::from_password(password, b"0123456789abcdef", 4096)
}

#[rstest]
#[case::plain("pencil")]
#[case::empty("")]
#[case::accents("pássword ¼")]
#[case::non_breaking_space("a\u{a0}b")]
#[case::long(&"x".repeat(300))]
fn exchange_right_password(#[case] password: &str) {
    let verifier = verifier(password);
    run_exchange(&verifier, password, ChannelBinding::unsupported(), |m| m).unwrap();
    run_exchange(&verifier, password, ChannelBinding::unrequested(), |m| m).unwrap();
}

#[test]
fn exchange_wrong_password() {
    let binding = ChannelBinding::unsupported();
    let error = run_exchange(&verifier("pencil"), "pen", binding, |m| m).unwrap_err();
    assert_eq!(error, server::Error::WrongPassword);
}

#[test]
fn exchange_mock() {
    let mock = Verifier::mock(b"secret", "nobody");
    assert_eq!(mock, Verifier::mock(b"secret", "nobody"));
    assert_ne!(mock.salt, Verifier::mock(b"secret", "somebody").salt);
    assert_eq!(mock.salt.len(), 16);
    let error = run_exchange(&mock, "", ChannelBinding::unsupported(), |m| m).unwrap_err();
    assert_eq!(error, server::Error::WrongPassword);
}

#[rstest]
#[case::binding("c=biws", "c=eSws")]
#[case::nonce("r=", "r=x")]
#[case::no_proof(",p=", ",q=")]
#[case::short_proof(",p=", ",p=AAAA")]
#[case::no_binding("c=", "d=")]
fn exchange_tampered(#[case] from: &str, #[case] to: &str) {
    let binding = ChannelBinding::unsupported();
    let tamper = |message: String| message.replacen(from, to, 1);
    let error = run_exchange(&verifier("pencil"), "pencil", binding, tamper).unwrap_err();
    assert!(matches!(error, server::Error::Malformed(_)), "{error}");
}

#[rstest]
#[case::empty("")]
#[case::no_header("n=,r=abc")]
#[case::binding_not_offered("p=tls-server-end-point,,n=,r=abc")]
#[case::authorization_identity("n,a=root,n=,r=abc")]
#[case::no_nonce("n,,n=user")]
#[case::empty_nonce("n,,n=user,r=")]
#[case::extension("n,,m=x,n=user,r=abc")]
#[case::unprintable("n,,n=user,r=a b")]
#[case::long_nonce(&format!("n,,n=user,r={}", "a".repeat(1000)))]
fn challenge_malformed(#[case] message: &str) {
    let server = server::Exchange::new(verifier("pencil"), server::nonce());
    let error = server.challenge(message.as_bytes()).unwrap_err();
    assert!(matches!(error, server::Error::Malformed(_)), "{error}");
}

/// Runs the example of RFC 7677. The server signature is correct only if every step of the key derivation is.
#[test]
fn exchange_rfc7677() {
    let salt = b"\x5b\x6d\x99\x68\x9d\x12\x35\x8e\xec\xa0\x4b\x14\x12\x36\xfa\x81";
    let verifier = Verifier::from_password("pencil", salt, 4096);
    let server = server::Exchange::new(verifier, "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0".into());
    let challenged = server
        .challenge(b"n,,n=user,r=rOprNGfwEbeRWgbNEkqO")
        .unwrap();
    assert_eq!(
        challenged.message(),
        "r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096"
    );
    let client_final = "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,\
                 p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=";
    let server_final = challenged.finish(client_final.as_bytes()).unwrap();
    assert_eq!(
        &*server_final,
        "v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="
    );
}

#[test]
fn verifier_round_trip() {
    let verifier = verifier("pencil");
    let text = verifier.to_string();
    assert!(text.starts_with("SCRAM-SHA-256$4096:"), "{text}");
    assert_eq!(text.parse::<Verifier>().unwrap(), verifier);
    assert!(!format!("{verifier:?}").contains("stored_key"));
}

#[rstest]
#[case("")]
#[case("md5abc")]
#[case("SCRAM-SHA-256$4096:AAAA")]
#[case("SCRAM-SHA-256$4096$AAAA:AAAA")]
#[case("SCRAM-SHA-256$0:AAAA$AAAA:AAAA")]
#[case("SCRAM-SHA-256$x:AAAA$AAAA:AAAA")]
#[case("SCRAM-SHA-256$4096:%$AAAA:AAAA")]
#[case("SCRAM-SHA-256$4096:AAAA$AAAA")]
#[case("SCRAM-SHA-256$4096:AAAA$AAAA:AAAA")]
fn verifier_malformed(#[case] text: &str) {
    assert!(text.parse::<Verifier>().is_err());
}
