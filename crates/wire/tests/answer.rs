//! Tests of the errors and notices that the proxy itself creates.

use fulmarlift_wire::answer::{Answer, Severity};
use fulmarlift_wire::frame::tag;
use pgwire::error::ErrorInfo;
use pgwire::messages::PgWireBackendMessage;
use rstest::rstest;

fn decode_error(answer: &Answer) -> ErrorInfo {
    match answer.frame().decode_backend().unwrap() {
        PgWireBackendMessage::ErrorResponse(response) => response.into(),
        other => panic!("not an error: {other:?}"),
    }
}

#[rstest]
#[case(Answer::overloaded("ledger", 250), "53300")]
#[case(Answer::no_primary("ledger", 250), "57P03")]
#[case(Answer::draining(250), "57P03")]
fn frame_not_run(#[case] answer: Answer, #[case] code: &str) {
    let info = decode_error(&answer);
    assert_eq!(info.code, code);
    assert_eq!(info.severity, "ERROR");
    assert_eq!(info.detail.as_deref(), Some("not run; retry after 250 ms"));
    assert!(info.hint.is_some());
}

#[test]
fn frame_outcome_unknown() {
    let info = decode_error(&Answer::outcome_unknown("the connection was lost"));
    assert_eq!(info.code, "08007");
    assert!(!info.detail.unwrap().starts_with("not run"));
}

#[test]
fn frame_notice() {
    let notice = Answer::new(Severity::Notice, "00000", "pinned");
    assert_eq!(notice.frame().tag, tag::backend::NOTICE_RESPONSE);
}

#[test]
fn frame_zero_byte() {
    let info = decode_error(&Answer::login_failed("a\0Mb"));
    assert!(info.message.contains("\"aMb\""), "{}", info.message);
}
