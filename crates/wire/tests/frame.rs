//! Tests of the frame codec and the decoders with malformed, oversized and incomplete frames.

use bytes::{BufMut, BytesMut};
use fulmarlift_wire::frame::{self, Codec, Error, Frame, tag};
use pgwire::messages::extendedquery::{Bind, Parse};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use tokio_util::codec::Decoder;

const MAX_FRAME_BYTES: usize = 1 << 10;

fn config() -> Config {
    Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

fn build_frame(tag: u8, body: &[u8]) -> Frame {
    let mut bytes = BytesMut::new();
    bytes.put_u8(tag);
    bytes.put_i32(body.len() as i32 + 4);
    bytes.put_slice(body);
    Frame {
        tag,
        bytes: bytes.freeze(),
    }
}

#[rstest]
#[case::below_itself(&[b'Q', 0, 0, 0, 3])]
#[case::negative(&[b'Q', 0xff, 0xff, 0xff, 0xff])]
fn decode_malformed_length(#[case] bytes: &[u8]) {
    let error = Codec::new(MAX_FRAME_BYTES)
        .decode(&mut BytesMut::from(bytes))
        .unwrap_err();
    assert!(matches!(error, Error::Length { tag: b'Q', .. }), "{error}");
}

#[test]
fn decode_oversized() {
    let mut codec = Codec::new(MAX_FRAME_BYTES);
    let largest = build_frame(b'd', &vec![0; MAX_FRAME_BYTES - 5]);
    let mut source = BytesMut::from(&largest.bytes[..]);
    assert_eq!(codec.decode(&mut source).unwrap(), Some(largest));
    let header = [b'd', 0, 0, 4, 0];
    let error = codec.decode(&mut BytesMut::from(&header[..])).unwrap_err();
    assert!(
        matches!(
            error,
            Error::TooLarge {
                frame_bytes: 1025,
                ..
            }
        ),
        "{error}"
    );
}

#[test]
fn decode_half_sent() {
    let mut codec = Codec::default();
    let mut source = BytesMut::from(&[b'd', 0, 0xf0, 0, 0, 1, 2][..]);
    assert_eq!(codec.decode(&mut source).unwrap(), None);
    assert!(
        source.capacity() < 64,
        "the codec reserved memory for bytes that have not arrived"
    );
    let error = codec.decode_eof(&mut source).unwrap_err();
    assert!(
        matches!(error, Error::Truncated { received_bytes: 7 }),
        "{error}"
    );
}

#[rstest]
#[case::parse_without_types(tag::frontend::PARSE, b"\0SELECT 1\0")]
#[case::bind_without_lists(tag::frontend::BIND, b"\0\0")]
#[case::bind_value_past_end(tag::frontend::BIND, b"\0\0\0\0\0\x01\x7f\xff\xff\xff\0\0")]
#[case::bind_negative_value(tag::frontend::BIND, b"\0\0\0\0\0\x01\xff\xff\xff\xfe\0\0")]
#[case::execute_without_rows(tag::frontend::EXECUTE, b"\0")]
#[case::describe_empty(tag::frontend::DESCRIBE, b"")]
#[case::query_unterminated(tag::frontend::QUERY, b"SELECT 1")]
#[case::query_with_more(tag::frontend::QUERY, b"SELECT 1\0x")]
#[case::sync_with_body(tag::frontend::SYNC, b"x")]
#[case::unknown(b'?', b"")]
#[case::function_call(tag::frontend::FUNCTION_CALL, b"\0\0\0\0\0\0")]
fn decode_frontend_malformed(#[case] tag: u8, #[case] body: &[u8]) {
    let error = build_frame(tag, body).decode_frontend().unwrap_err();
    assert!(matches!(error, Error::Malformed { .. }), "{error}");
}

#[rstest]
#[case::ready_empty(tag::backend::READY_FOR_QUERY, b"")]
#[case::error_unterminated(tag::backend::ERROR_RESPONSE, b"SERROR\0")]
#[case::salt_missing(tag::backend::AUTHENTICATION, b"\0\0\0\x05")]
#[case::key_short(tag::backend::BACKEND_KEY_DATA, b"\0")]
#[case::columns_missing(tag::backend::ROW_DESCRIPTION, b"\0\x02a\0")]
#[case::row_cut(tag::backend::DATA_ROW, b"\0\x01\0\0\0\x05ab")]
fn decode_backend_malformed(#[case] tag: u8, #[case] body: &[u8]) {
    let error = build_frame(tag, body).decode_backend().unwrap_err();
    assert!(matches!(error, Error::Malformed { .. }), "{error}");
}

#[test]
fn frontend_round_trip() {
    let parameters = vec![Some("x".into()), None];
    let bind = Bind::new(None, Some("s".into()), vec![0], parameters, vec![1]);
    let frame = frame::encode_frontend(&PgWireFrontendMessage::Bind(bind));
    assert_eq!(frame.tag, tag::frontend::BIND);
    let PgWireFrontendMessage::Bind(bind) = frame.decode_frontend().unwrap() else {
        panic!("not a Bind");
    };
    assert_eq!(bind.statement_name.as_deref(), Some("s"));
    assert_eq!(bind.parameters, [Some("x".into()), None]);
    let parse = Parse::new(Some("s".into()), "SELECT $1".into(), vec![25]);
    let frame = frame::encode_frontend(&PgWireFrontendMessage::Parse(parse));
    assert!(frame.decode_frontend().is_ok());
}

#[test]
fn try_backend_too_long() {
    let name = "x".repeat(40_000);
    let status = pgwire::messages::startup::ParameterStatus::new(name, String::new());
    let error =
        frame::try_encode_backend(&PgWireBackendMessage::ParameterStatus(status)).unwrap_err();
    assert!(matches!(error, Error::Codec(_)), "{error}");
}

/// Random bodies of pieces that look like texts, counts and lengths, so that many pass the first checks of a layout.
fn random_body() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        Just(b"\0".to_vec()),
        Just(b"ab\0".to_vec()),
        Just(b"\0\x01".to_vec()),
        Just(b"\0\0\0\x01".to_vec()),
        Just(b"\xff\xff\xff\xff".to_vec()),
        Just(b"\xff\xff".to_vec()),
        Just(b"\x7f\xff\xff\xff".to_vec()),
        prop::collection::vec(any::<u8>(), 0..6),
    ];
    prop::collection::vec(piece, 0..12).prop_map(|pieces| pieces.concat())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decode_never_panics(tag in any::<u8>(), body in random_body()) {
        let frame = build_frame(tag, &body);
        let _ = frame.decode_frontend();
        let _ = frame.decode_backend();
    }

    #[test]
    fn decode_known_tags_never_panic(
        tag in prop::sample::select(b"123ABCDEFGHIKNPQRSTVWXZcdfnpstv".to_vec()),
        body in random_body(),
    ) {
        let frame = build_frame(tag, &body);
        let _ = frame.decode_frontend();
        let _ = frame.decode_backend();
    }

    #[test]
    fn decode_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        let mut codec = Codec::new(MAX_FRAME_BYTES);
        let mut source = BytesMut::from(&bytes[..]);
        while let Ok(Some(frame)) = codec.decode(&mut source) {
            prop_assert!(frame.bytes.len() <= MAX_FRAME_BYTES);
        }
    }

    #[test]
    fn decode_same_frames_however_cut(
        bodies in prop::collection::vec((any::<u8>(), prop::collection::vec(any::<u8>(), 0..40)), 0..8),
        step in 1usize..50,
    ) {
        let frames: Vec<Frame> = bodies.iter().map(|(tag, body)| build_frame(*tag, body)).collect();
        let sent: Vec<u8> = frames.iter().flat_map(|frame| frame.bytes.to_vec()).collect();
        let mut codec = Codec::new(MAX_FRAME_BYTES);
        let mut source = BytesMut::new();
        let mut received = Vec::new();
        for chunk in sent.chunks(step) {
            source.extend_from_slice(chunk);
            while let Some(frame) = codec.decode(&mut source).unwrap() {
                received.push(frame);
            }
        }
        prop_assert_eq!(received, frames);
        prop_assert!(source.is_empty());
    }
}
