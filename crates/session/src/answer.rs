//! Puts the messages of an answer together: any number of rows, then a result, then a ready message.

use bytes::Bytes;

use crate::protocol;
use crate::protocol::member;

/// Most bytes of one answer, with [`ROW_OVERHEAD_BYTES`] for each row; the proxy closes the connection on a longer one. Usual
/// answers are a few KB.
const ANSWER_BYTES_MAX: usize = 4 << 20;
/// Bytes that a row takes in memory beside its own.
const ROW_OVERHEAD_BYTES: usize = 64;

/// The messages of an answer that have arrived.
#[derive(Debug, Default)]
pub struct Builder {
    rows: Vec<Bytes>,
    end: Option<member::End>,
    size_bytes: usize,
}

impl Builder {
    /// Adds a message; returns the answer if it is complete.
    ///
    /// # Errors
    ///
    /// [`protocol::WireError`] for a message that must not follow those before it, and for an answer that is too long.
    pub fn add(
        &mut self,
        frame: member::Frame,
    ) -> Result<Option<member::Answer>, protocol::WireError> {
        match frame {
            member::Frame::Row(row) => {
                self.check_open("row behind a result")?;
                self.count(ROW_OVERHEAD_BYTES + row.len())?;
                self.rows.push(row);
            }
            member::Frame::Complete(signature) => {
                self.check_open("second result")?;
                self.count(signature.len())?;
                self.end = Some(member::End::Complete(signature));
            }
            member::Frame::Error(code, text) => {
                self.check_open("second result")?;
                self.count(text.len())?;
                if ends_connection(&code) {
                    return Ok(Some(closing_answer(code, text)));
                }
                self.end = Some(member::End::Error(code, text));
            }
            member::Frame::Ready(state, point) => {
                let built = std::mem::take(self);
                return match built.end {
                    None if !built.rows.is_empty() => {
                        Err(protocol::WireError::Malformed("rows without a result"))
                    }
                    end => Ok(Some(member::Answer {
                        rows: built.rows,
                        end: end.unwrap_or(member::End::Ready),
                        state,
                        point,
                    })),
                };
            }
            member::Frame::Closing => {}
        }
        Ok(None)
    }

    /// Returns the number of rows that have been added.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// Returns the answer if the connection has been closed behind its last message: a member that refuses a connection closes it
    /// after the error.
    pub fn close(self) -> Option<member::Answer> {
        match self.end {
            Some(member::End::Error(code, text)) => Some(closing_answer(code, text)),
            _ => None,
        }
    }

    fn check_open(&self, what: &'static str) -> Result<(), protocol::WireError> {
        match self.end {
            None => Ok(()),
            Some(_) => Err(protocol::WireError::Malformed(what)),
        }
    }

    fn count(&mut self, size_bytes: usize) -> Result<(), protocol::WireError> {
        self.size_bytes += size_bytes;
        if self.size_bytes > ANSWER_BYTES_MAX {
            let limit_bytes = ANSWER_BYTES_MAX;
            return Err(protocol::WireError::TooLarge { limit_bytes });
        }
        Ok(())
    }
}

/// Returns whether the member closes the connection after this error, without a ready message.
fn ends_connection(code: &protocol::Code) -> bool {
    matches!(code, protocol::Code::Misrouted | protocol::Code::TooMany)
}

/// Returns the answer for an error after which the member closes the connection. Its state is not
/// [`protocol::TransactionState::Idle`], so that the connection is not used again.
fn closing_answer(code: protocol::Code, text: Box<str>) -> member::Answer {
    member::Answer {
        rows: Vec::new(),
        end: member::End::Error(code, text),
        state: protocol::TransactionState::Failed,
        point: None,
    }
}
