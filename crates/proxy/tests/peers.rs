//! Questions between proxies over connections that are slow for the size of a document.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarlift_core::peer::Head;
use fulmarlift_proxy::peers::{self, Answer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Interval between two pieces of an answer.
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of pieces; the whole answer takes 2 s.
const PIECES: usize = 20;
/// Time for which a peer sends nothing, once it has stopped in the middle of an answer.
const SILENCE: Duration = Duration::from_secs(30);

/// Starts a peer that answers one question with a document, of which it sends only so many pieces.
async fn peer(text: &str, sent_pieces: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback is available");
    let address = listener.local_addr().expect("the listener is bound");
    let answer = postcard::to_stdvec(&Answer::Document(text.into())).expect("texts encode");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("the test connects");
        // The client closes the connection when it gives up the question.
        let _ = send_answer(stream, &answer, sent_pieces).await;
    });
    address
}

async fn send_answer(
    mut stream: TcpStream,
    answer: &[u8],
    sent_pieces: usize,
) -> std::io::Result<()> {
    let length = stream.read_u32().await?;
    let mut question = vec![0; length as usize];
    stream.read_exact(&mut question).await?;
    stream.write_u32(answer.len() as u32).await?;
    for piece in answer
        .chunks(answer.len().div_ceil(PIECES))
        .take(sent_pieces)
    {
        stream.write_all(piece).await?;
        tokio::time::sleep(PIECE_INTERVAL).await;
    }
    tokio::time::sleep(SILENCE).await;
    Ok(())
}

#[tokio::test]
async fn fetch_document_waits_for_answer_that_arrives_slowly() {
    let text = "text ".repeat(1_000);
    let address = peer(&text, PIECES).await;
    let fetched = peers::fetch_document(&address.to_string(), &Head::default()).await;
    assert!(fetched.as_deref() == Some(text.as_str()));
}

#[tokio::test]
async fn fetch_document_gives_up_answer_that_stops() {
    let address = peer(&"text ".repeat(1_000), 3).await.to_string();
    let head = Head::default();
    let fetched = tokio::time::timeout(SILENCE, peers::fetch_document(&address, &head)).await;
    assert_eq!(
        fetched.expect("the question ends before the peer goes on"),
        None
    );
}
