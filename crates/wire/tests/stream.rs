//! The framed stream and its buffers.

use fulmarlift_wire::frame::{Codec, Error, Frame};
use fulmarlift_wire::stream::{Framed, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

fn pair(codec: Codec) -> (Framed<Stream<DuplexStream>>, DuplexStream) {
    let (near, far) = tokio::io::duplex(1 << 20);
    (Framed::new(Stream::Plain(near), codec), far)
}

fn frame(body: &[u8]) -> Frame {
    let length = (body.len() as u32 + 4).to_be_bytes();
    let bytes = [b"d", &length[..], body].concat();
    Frame {
        tag: b'd',
        bytes: bytes.into(),
    }
}

#[tokio::test]
async fn read_frame_in_parts() {
    let (mut framed, mut far) = pair(Codec::default());
    let (first, second) = (frame(&[1; 100_000]), frame(b"x"));
    far.write_all(&first.bytes).await.unwrap();
    far.write_all(&second.bytes[..3]).await.unwrap();
    assert_eq!(framed.read_frame().await.unwrap(), Some(first));
    far.write_all(&second.bytes[3..]).await.unwrap();
    assert_eq!(framed.read_frame().await.unwrap(), Some(second));
    drop(far);
    assert_eq!(framed.read_frame().await.unwrap(), None);
}

#[tokio::test]
async fn read_frame_cut() {
    let (mut framed, mut far) = pair(Codec::default());
    far.write_all(&frame(b"abc").bytes[..6]).await.unwrap();
    drop(far);
    let error = framed.read_frame().await.unwrap_err();
    assert!(
        matches!(error, Error::Truncated { received_bytes: 6 }),
        "{error}"
    );
}

#[tokio::test]
async fn read_frame_canceled() {
    let (mut framed, mut far) = pair(Codec::default());
    let sent = frame(b"abc");
    far.write_all(&sent.bytes[..6]).await.unwrap();
    tokio::select! {
        biased;
        _ = framed.read_frame() => panic!("the frame is not whole"),
        _ = std::future::ready(()) => {}
    }
    far.write_all(&sent.bytes[6..]).await.unwrap();
    assert_eq!(framed.read_frame().await.unwrap(), Some(sent));
}

#[tokio::test]
async fn is_closed_open_and_ended() {
    let (mut framed, mut far) = pair(Codec::default());
    assert!(!framed.is_closed());
    far.write_all(&frame(b"late").bytes).await.unwrap();
    assert!(!framed.is_closed());
    assert!(framed.has_input());
    drop(far);
    assert!(framed.is_closed());
    assert_eq!(framed.read_frame().await.unwrap(), Some(frame(b"late")));
    assert_eq!(framed.read_frame().await.unwrap(), None);
}

#[tokio::test]
async fn buffers_gone_when_idle() {
    let (mut framed, mut far) = pair(Codec::default());
    assert_eq!(framed.buffer_bytes(), 0);
    far.write_all(&frame(&[0; 200_000]).bytes).await.unwrap();
    drop(framed.read_frame().await.unwrap());
    framed.feed(&frame(&[0; 200_000]));
    assert!(framed.is_full());
    framed.flush().await.unwrap();
    let mut answer = vec![0; 200_005];
    far.read_exact(&mut answer).await.unwrap();
    assert_eq!(framed.buffer_bytes(), 0);
    assert!(size_of::<Framed<Stream>>() < 512);
}

#[tokio::test]
async fn half_sent_frame_costs_what_came() {
    let (mut framed, mut far) = pair(Codec::default());
    far.write_all(&[b'd', 0, 0xf0, 0, 0, 1]).await.unwrap();
    tokio::select! {
        biased;
        _ = framed.read_frame() => panic!("the frame is not whole"),
        _ = tokio::task::yield_now() => {}
    }
    assert!(framed.buffer_bytes() <= 64 << 10);
}
