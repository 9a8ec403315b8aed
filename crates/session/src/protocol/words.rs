//! Messages that are lines of words, separated by spaces and terminated by CR LF. The last field extends to the end.

use std::fmt::{self, Write as _};

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::protocol;

/// Most bytes of a message, its CR LF included.
pub const MESSAGE_BYTES_MAX: usize = 1 << 20;

/// Removes the next line from the buffer and returns it without CR LF; none if the line is incomplete. `scanned_bytes` is the
/// number of bytes of the buffer that are known to contain no line end.
///
/// # Errors
///
/// [`protocol::WireError`] for a line that is too long, has no CR, or has another control character that ends texts.
pub fn take_line(
    inbox: &mut BytesMut,
    scanned_bytes: &mut usize,
) -> Result<Option<Bytes>, protocol::WireError> {
    let line_end = inbox[*scanned_bytes..]
        .iter()
        .position(|&byte| byte == b'\n');
    let length = match line_end {
        Some(offset) => *scanned_bytes + offset,
        None if inbox.len() > MESSAGE_BYTES_MAX => {
            let limit_bytes = MESSAGE_BYTES_MAX;
            return Err(protocol::WireError::TooLarge { limit_bytes });
        }
        None => {
            *scanned_bytes = inbox.len();
            return Ok(None);
        }
    };
    *scanned_bytes = 0;
    if length + 1 > MESSAGE_BYTES_MAX {
        let limit_bytes = MESSAGE_BYTES_MAX;
        return Err(protocol::WireError::TooLarge { limit_bytes });
    }
    let mut line = inbox.split_to(length);
    inbox.advance(1);
    if line.last() != Some(&b'\r') {
        return Err(protocol::WireError::Malformed("line without CR LF"));
    }
    line.truncate(length - 1);
    if line.iter().any(|byte| matches!(byte, b'\r' | 0)) {
        return Err(protocol::WireError::Malformed(
            "control character in a line",
        ));
    }
    Ok(Some(line.freeze()))
}

/// Returns a message without its CR LF; none if it is anything but one line.
pub fn single_line(message: &[u8]) -> Option<&[u8]> {
    let line = message.strip_suffix(b"\r\n")?;
    let is_single = !line.iter().any(|byte| matches!(byte, b'\r' | b'\n' | 0));
    is_single.then_some(line)
}

/// Splits a line at its first space.
pub fn split_word(line: &Bytes) -> (Bytes, Bytes) {
    match line.iter().position(|&byte| byte == b' ') {
        Some(end) => (line.slice(..end), line.slice(end + 1..)),
        None => (line.clone(), Bytes::new()),
    }
}

/// Splits off the first field; returns it, and the rest if a space follows.
pub fn split_field(text: &[u8]) -> (&[u8], Option<&[u8]>) {
    match text.iter().position(|&byte| byte == b' ') {
        Some(end) => (&text[..end], Some(&text[end + 1..])),
        None => (text, None),
    }
}

/// Reads a whole number that consists of digits only.
pub fn number(digits: &[u8]) -> Option<u64> {
    let all_digits = digits.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(digits).ok().filter(|_| all_digits)?;
    text.parse().ok()
}

/// Returns the bytes as text.
///
/// # Errors
///
/// [`protocol::WireError`] if they are not UTF-8.
pub fn utf8(bytes: &Bytes) -> Result<Box<str>, protocol::WireError> {
    let text =
        std::str::from_utf8(bytes).map_err(|_| protocol::WireError::Malformed("not UTF-8"))?;
    Ok(text.into())
}

/// Replaces the characters in a text that no line may hold: those of its end, and NUL.
pub fn one_line(text: &str) -> String {
    text.replace(['\r', '\n', '\0'], " ")
}

/// Returns whether the bytes can follow a word as the last field of a line.
pub fn is_last_field(word: &str, bytes: &[u8]) -> bool {
    let line_bytes = word.len() + 1 + bytes.len() + 2;
    let has_control = bytes.iter().any(|byte| matches!(byte, b'\r' | b'\n' | 0));
    line_bytes <= MESSAGE_BYTES_MAX && !has_control
}

/// Appends the parts of a line.
pub fn put(outbox: &mut BytesMut, parts: &[&[u8]]) {
    for part in parts {
        outbox.put_slice(part);
    }
}

/// Appends a text without a copy of it.
pub fn put_text(outbox: &mut BytesMut, text: fmt::Arguments<'_>) {
    // Writing to a buffer in memory does not fail.
    let _ = outbox.write_fmt(text);
}

/// Appends the end of a line.
pub fn end_line(outbox: &mut BytesMut) {
    outbox.put_slice(b"\r\n");
}

/// Checks the length of a command for a member.
///
/// # Errors
///
/// [`protocol::Withheld::TooLong`] if it is longer than the protocol allows.
pub fn check_length(message_bytes: usize) -> Result<(), protocol::Withheld> {
    match message_bytes > MESSAGE_BYTES_MAX {
        true => Err(protocol::Withheld::TooLong),
        false => Ok(()),
    }
}
