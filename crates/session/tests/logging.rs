//! Lines of the log: what callers choose stays one field of one line, and lines are bounded.

use fulmarlift_session::logging::{bounded_line, field};
use rstest::rstest;

#[rstest]
#[case::id(b"5c0e7a21d94b36f8", "5c0e7a21d94b36f8")]
#[case::punctuation(b"i-7f/a.b_c:d=e'", "i-7f/a.b_c:d=e'")]
#[case::empty(b"", "\"\"")]
#[case::other_field(b"1a code=Ok", r"1a\x20code=Ok")]
#[case::other_line(b"1a\r\nlevel=ERROR", r"1a\r\nlevel=ERROR")]
#[case::quote(b"1\" text=\"", "1\\\"\\x20text=\\\"")]
#[case::backslash(b"\\x20", r"\\x20")]
#[case::terminal(b"\x1b[2J\0", r"\x1b[2J\x00")]
#[case::not_utf8(b"\xff", r"\xff")]
#[case::no_break_space("\u{a0}".as_bytes(), r"\xc2\xa0")]
fn field_is_one_word(#[case] bytes: &[u8], #[case] expected: &str) {
    assert_eq!(field(bytes).to_string(), expected);
}

#[test]
fn field_is_bounded() {
    assert_eq!(field(&[b'x'; 64]).to_string(), "x".repeat(64));
    let expected = format!("{}...1048576B", "x".repeat(64));
    assert_eq!(field(&vec![b'x'; 1 << 20]).to_string(), expected);
}

#[rstest]
#[case::usual(b"event=failed request=1a\n", b"event=failed request=1a\n")]
#[case::without_end(b"event=failed", b"event=failed\n")]
#[case::smuggled_line(
    b"event=member_listed member=i\nevent=x\n",
    b"event=member_listed member=i event=x\n"
)]
#[case::terminal(b"event=x\x1b[2J\r\n", b"event=x [2J \n")]
fn bounded_line_is_one_line(#[case] line: &[u8], #[case] expected: &[u8]) {
    assert_eq!(bounded_line(line).as_ref(), expected);
}

#[rstest]
#[case::longest(4_095, false)]
#[case::too_long(4_096, true)]
#[case::of_a_message(1 << 20, true)]
fn bounded_line_has_at_most_4_kib(#[case] text_bytes: usize, #[case] cuts: bool) {
    let line = [vec![b'x'; text_bytes], vec![b'\n']].concat();
    let bounded = bounded_line(&line);
    assert_eq!(bounded.len(), 4_096);
    assert_eq!(bounded.ends_with(b" cut_off=true\n"), cuts);
}

#[test]
fn bounded_line_keeps_whole_characters() {
    for shift in 0..3 {
        let line = format!("{}{}\n", "x".repeat(shift), "日".repeat(2_000));
        let bounded = bounded_line(line.as_bytes()).into_owned();
        let text = String::from_utf8(bounded).expect("no character is cut");
        assert!(text.len() <= 4_096 && text.ends_with("日 cut_off=true\n"));
    }
}
