//! Encoding and decoding of the greeting between proxies.

use bytes::BytesMut;
use fulmarlift_session::peer::greeting::{Answer, Greeting, Reason, Service};
use proptest::prelude::any;
use rstest::rstest;

/// A name that the log would show as several fields is foreign, whoever sends it.
#[rstest]
#[case::blank("a reason=none")]
#[case::line_end("a\nlevel=ERROR")]
#[case::quote("a\"")]
fn greeting_of_odd_name_is_foreign(#[case] asker: &str) {
    let mut bytes = BytesMut::new();
    Greeting::new(Service::Updates, "proxy-1", asker).encode(&mut bytes);
    let refusal = Greeting::decode(&mut bytes).expect_err("the name is odd");
    assert_eq!(refusal.reason, Reason::Foreign);
}

proptest::proptest! {
    /// Whatever the names are, a greeting is read as it was sent, wherever it is cut, and leaves what follows it.
    #[test]
    fn greeting_is_decoded_from_pieces(
        meant in "[a-z0-9.-]{0,255}",
        asker in "[a-zé-]{0,100}",
        version in any::<u16>(),
        service in any::<u8>(),
        cut in 0..600_usize,
    ) {
        let sent = Greeting { version, service, meant: meant.into(), asker: asker.into() };
        let mut bytes = BytesMut::new();
        sent.encode(&mut bytes);
        let length = bytes.len();
        bytes.extend_from_slice(b"next");
        let mut inbox = BytesMut::from(&bytes[..cut.min(length - 1)]);
        proptest::prop_assert_eq!(Greeting::decode(&mut inbox), Ok(None));
        proptest::prop_assert_eq!(Greeting::decode(&mut bytes), Ok(Some(sent)));
        proptest::prop_assert_eq!(&bytes[..], b"next");
    }

    /// Bytes that are no greeting are refused or waited on, and neither end takes the other's bytes for its own kind.
    #[test]
    fn foreign_bytes_are_no_greeting(bytes in proptest::collection::vec(any::<u8>(), 1..600)) {
        let is_greeting = |bytes: &[u8]| {
            matches!(Greeting::decode(&mut BytesMut::from(bytes)), Ok(Some(_)))
        };
        proptest::prop_assert!(!is_greeting(&bytes));
        let mut answer = BytesMut::new();
        Answer::new(&Ok(()), "proxy-1").encode(&mut answer);
        answer.extend_from_slice(&bytes);
        proptest::prop_assert!(!is_greeting(&answer));
    }
}
