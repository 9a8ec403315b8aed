//! Asks and answers questions between proxies over TCP.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarlift_core::peer;
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_io_timeout::TimeoutStream;
use tokio_util::codec;

use crate::caller;
use crate::engine;
use crate::peers::{Answer, Question};

/// Time in which each read or write of a question or its answer makes progress. A document may take longer as a whole.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout to receive a question, which is short.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout to process a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before the proxy accepts connections again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum length of an answer; the longest answer is a document.
const ANSWER_BYTES_MAX: usize = 64 << 20;
/// Maximum length of a question.
const QUESTION_BYTES_MAX: usize = 4 << 10;
/// Maximum number of questions that the proxy answers at the same time; it closes further connections.
const CONCURRENT_QUESTIONS_MAX: usize = 64;

type Framed = codec::Framed<Pin<Box<TimeoutStream<TcpStream>>>, codec::LengthDelimitedCodec>;

fn framed(stream: TcpStream, message_bytes: usize) -> Framed {
    let mut stream = TimeoutStream::new(stream);
    stream.set_read_timeout(Some(PROGRESS_TIMEOUT));
    stream.set_write_timeout(Some(PROGRESS_TIMEOUT));
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(message_bytes)
        .new_framed(Box::pin(stream))
}

/// Answers the questions of peers until the process ends.
pub async fn serve_questions(
    engine: Arc<engine::Engine>,
    sessions: Arc<caller::Sessions>,
    listener: TcpListener,
) {
    let permits = Arc::new(Semaphore::new(CONCURRENT_QUESTIONS_MAX));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=peer_accept_failed error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!("event=peer_refused reason=\"too many questions at once\"");
            continue;
        };
        let engine = Arc::clone(&engine);
        let sessions = Arc::clone(&sessions);
        tokio::spawn(async move {
            // Without progress the connection is closed without an answer.
            let _ = answer_question(&engine, &sessions, framed(stream, ANSWER_BYTES_MAX)).await;
            drop(permit);
        });
    }
}

async fn answer_question(
    engine: &engine::Engine,
    sessions: &caller::Sessions,
    mut framed: Framed,
) -> Option<()> {
    framed.codec_mut().set_max_frame_length(QUESTION_BYTES_MAX);
    let question = tokio::time::timeout(QUESTION_TIMEOUT, framed.next()).await;
    let bytes = question.ok()??.ok()?;
    framed.codec_mut().set_max_frame_length(ANSWER_BYTES_MAX);
    let answer = match postcard::from_bytes(&bytes).ok()? {
        Question::Document { version, digest } => document(engine, version, &digest),
        Question::Cancel { pid, secret } => {
            let cancel = sessions.cancel(pid, &secret);
            tokio::time::timeout(CANCEL_TIMEOUT, cancel).await.ok()?;
            Answer::Cancelled
        }
    };
    let bytes = postcard::to_stdvec(&answer).ok()?;
    framed.send(Bytes::from(bytes)).await.ok()
}

fn document(engine: &engine::Engine, version: u64, digest: &str) -> Answer {
    let accepted = engine.document();
    let is_in_force = accepted.head.version == version && *accepted.head.digest == *digest;
    match is_in_force {
        true => Answer::Document(accepted.text.clone()),
        false => Answer::Absent,
    }
}

/// Sends a question to a peer and returns its answer; returns `None` if the peer does not answer in time.
pub async fn send_question(address: &str, question: &Question) -> Option<Answer> {
    let connecting = tokio::time::timeout(PROGRESS_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.ok()?.ok()?;
    let mut framed = framed(stream, ANSWER_BYTES_MAX);
    let bytes = postcard::to_stdvec(question).ok()?;
    framed.send(Bytes::from(bytes)).await.ok()?;
    let answer = framed.next().await?.ok()?;
    postcard::from_bytes(&answer).ok()
}

/// Fetches the text of the document that a head names from a peer.
pub async fn fetch_document(address: &str, head: &peer::Head) -> Option<Box<str>> {
    let question = Question::Document {
        version: head.version,
        digest: head.digest.clone(),
    };
    match send_question(address, &question).await? {
        Answer::Document(text) => Some(text),
        _ => None,
    }
}
