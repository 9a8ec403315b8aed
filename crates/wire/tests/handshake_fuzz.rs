//! Property test: whatever a caller sends, accepting it ends before the deadline with a cancel request or an error,
//! without a panic and without a login.

use std::time::Duration;

use fulmarlift_wire::handshake::{self, Accepted, LoginMethod};
use fulmarlift_wire::scram;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Time limit of a case, longer than any case takes.
const CASE_TIMEOUT: Duration = Duration::from_secs(30);

/// Messages that a caller sends, composed of valid and malformed pieces in random order.
fn messages() -> impl Strategy<Value = Vec<u8>> {
    let startup = b"\0\0\0\x16\0\x03\0\0user\0courier\0\0".to_vec();
    let piece = prop_oneof![
        3 => Just(startup),
        // SSLRequest, GSSENCRequest and CancelRequest.
        1 => Just(b"\0\0\0\x08\x04\xd2\x16\x2f".to_vec()),
        1 => Just(b"\0\0\0\x08\x04\xd2\x16\x30".to_vec()),
        1 => Just(b"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\x01\0\0\0\x02".to_vec()),
        // Startup message of an unknown user.
        1 => Just(b"\0\0\0\x10\0\x03\0\0user\0c\0\0".to_vec()),
        // First SCRAM message, a malformed final SCRAM message, and the header of an oversized password message.
        1 => Just(b"p\0\0\0\x22SCRAM-SHA-256\0\0\0\0\x0cn,,n=,r=abcd".to_vec()),
        1 => Just(b"p\0\0\0\x08c=bi".to_vec()),
        1 => Just(b"p\0\0\xff\xff".to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..24),
    ];
    prop::collection::vec(piece, 0..6).prop_map(|pieces| pieces.concat())
}

fn login_method(user: &str) -> LoginMethod {
    match user {
        "courier" => LoginMethod::Scram(scram::Verifier::mock(b"secret", user)),
        _ => LoginMethod::Unknown {
            secret: b"shared".as_slice().into(),
        },
    }
}

async fn accept(sent: Vec<u8>) -> Result<Accepted, handshake::Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (tcp, _) = listener.accept().await.unwrap();
    caller.write_all(&sent).await.unwrap();
    caller.shutdown().await.unwrap();
    handshake::accept(tcp, None, Instant::now() + CASE_TIMEOUT, login_method).await
}

#[test]
fn accept_random_pieces() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let config = Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&messages(), |sent| {
        match runtime.block_on(accept(sent)) {
            // No message above contains a proof that matches a mock verifier.
            Ok(Accepted::Session(_)) => prop_assert!(false, "logged in without a password"),
            Ok(Accepted::Cancel(_)) => {}
            Err(error) => prop_assert!(!matches!(error, handshake::Error::Deadline)),
        }
        Ok(())
    });
    outcome.unwrap();
}
