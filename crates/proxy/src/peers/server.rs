//! Questions by TCP.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmarlift_core::peer;
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec;

use crate::caller;
use crate::engine;
use crate::peers::{Answer, Question};

/// Time that a peer is given to answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest message that is read.
const MESSAGE_BYTES: usize = 64 << 20;

type Framed = codec::Framed<TcpStream, codec::LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Framed {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MESSAGE_BYTES)
        .new_framed(stream)
}

/// Answers peers' questions for as long as the process runs.
pub async fn serve(
    engine: Arc<engine::Engine>,
    sessions: Arc<caller::Sessions>,
    listener: TcpListener,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let engine = Arc::clone(&engine);
        let sessions = Arc::clone(&sessions);
        tokio::spawn(async move {
            let answered = answer_one(&engine, &sessions, framed(stream));
            // A peer that does not finish its question in time is left alone.
            let _ = tokio::time::timeout(TIMEOUT, answered).await;
        });
    }
}

async fn answer_one(
    engine: &engine::Engine,
    sessions: &caller::Sessions,
    mut framed: Framed,
) -> Option<()> {
    let bytes = framed.next().await?.ok()?;
    let answer = match postcard::from_bytes(&bytes).ok()? {
        Question::Document { version, digest } => document(engine, version, &digest),
        Question::Cancel { pid, secret } => {
            sessions.cancel(pid, &secret).await;
            Answer::Cancelled
        }
    };
    let bytes = postcard::to_stdvec(&answer).ok()?;
    framed.send(Bytes::from(bytes)).await.ok()
}

fn document(engine: &engine::Engine, version: u64, digest: &str) -> Answer {
    let accepted = engine.document();
    let same = accepted.head.version == version && *accepted.head.digest == *digest;
    match same {
        true => Answer::Document(accepted.text.clone()),
        false => Answer::Absent,
    }
}

/// Asks a peer; none when it does not answer in time.
pub async fn ask(address: &str, question: &Question) -> Option<Answer> {
    tokio::time::timeout(TIMEOUT, try_ask(address, question))
        .await
        .ok()?
}

async fn try_ask(address: &str, question: &Question) -> Option<Answer> {
    let stream = TcpStream::connect(address).await.ok()?;
    let mut framed = framed(stream);
    let bytes = postcard::to_stdvec(question).ok()?;
    framed.send(Bytes::from(bytes)).await.ok()?;
    let answer = framed.next().await?.ok()?;
    postcard::from_bytes(&answer).ok()
}

/// Asks a peer for the document that a head names.
pub async fn fetch_document(address: &str, head: &peer::Head) -> Option<Box<str>> {
    let question = Question::Document {
        version: head.version,
        digest: head.digest.clone(),
    };
    match ask(address, &question).await? {
        Answer::Document(text) => Some(text),
        _ => None,
    }
}
