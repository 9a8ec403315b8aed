//! Calls over HTTP whose answers may take long to arrive.

use std::time;

use reqwest::header;

/// Most bytes of an answer: far more than a page of the store or a configuration has.
const ANSWER_BYTES_MAX: usize = 64 << 20;

/// Timeouts of a call. There is none for the whole call: while an answer arrives, it is not given up, since another call
/// would have to receive all of it again.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time until the answer begins.
    pub answer: time::Duration,
    /// Time from one piece of the answer to the next.
    pub piece: time::Duration,
}

/// Answer to a call.
#[derive(Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: reqwest::StatusCode,
    /// Headers of the answer.
    pub headers: header::HeaderMap,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// Error of a call without a complete answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Neither the answer nor its next piece arrived in time.
    #[error("nothing arrived in time")]
    Silent,
    /// The answer is longer than any that is expected.
    #[error("an answer of more than {ANSWER_BYTES_MAX} bytes")]
    TooLong,
    /// The connection failed, or the answer is malformed.
    #[error("{}", message_with_sources(.0))]
    Failed(#[from] reqwest::Error),
}

/// Sends a request and receives its answer. Calls `on_piece` with the size in bytes of each piece that arrives; not for an
/// answer that is a refusal or an error.
///
/// # Errors
///
/// [`Error`] if there is no complete answer.
pub async fn send(
    request: reqwest::RequestBuilder,
    timeouts: Timeouts,
    mut on_piece: impl FnMut(usize),
) -> Result<Answer, Error> {
    let sent = tokio::time::timeout(timeouts.answer, request.send()).await;
    let mut response = sent.map_err(|_| Error::Silent)??;
    let mut body = Vec::new();
    loop {
        let piece = tokio::time::timeout(timeouts.piece, response.chunk()).await;
        let Some(piece) = piece.map_err(|_| Error::Silent)?? else {
            break;
        };
        if body.len() + piece.len() > ANSWER_BYTES_MAX {
            return Err(Error::TooLong);
        }
        if response.status().is_success() {
            on_piece(piece.len());
        }
        body.extend_from_slice(&piece);
    }
    Ok(Answer {
        status: response.status(),
        headers: std::mem::take(response.headers_mut()),
        body,
    })
}

/// Returns the error's message followed by those of its sources: the message of a `reqwest` error alone does not say
/// what failed.
pub fn message_with_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
