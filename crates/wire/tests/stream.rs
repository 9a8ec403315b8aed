//! The framed stream and its buffers.

use fulmarlift_wire::frame::{Codec, Error, Frame};
use fulmarlift_wire::stream::{Framed, Part, Stream};
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
    assert!(framed.should_flush());
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

#[tokio::test]
async fn read_part_large_frame() {
    let (mut framed, mut far) = pair(Codec::new(1 << 10));
    let (large, small) = (frame(&[7; 3 << 20]), frame(b"x"));
    let sent = [&small.bytes[..], &large.bytes, &small.bytes].concat();
    let sender = tokio::spawn(async move { far.write_all(&sent).await });
    assert_eq!(
        framed.read_part(b"d").await.unwrap(),
        Some(Part::Frame(small.clone()))
    );
    let mut received = Vec::new();
    loop {
        let Some(Part::Chunk {
            tag: b'd',
            bytes,
            is_last,
        }) = framed.read_part(b"d").await.unwrap()
        else {
            panic!("not a piece");
        };
        received.extend_from_slice(&bytes);
        assert!(framed.buffer_bytes() <= 256 << 10);
        if is_last {
            break;
        }
    }
    assert_eq!(received, large.bytes);
    assert_eq!(
        framed.read_part(b"d").await.unwrap(),
        Some(Part::Frame(small))
    );
    sender.await.unwrap().unwrap();
    assert_eq!(framed.read_part(b"d").await.unwrap(), None);
}

#[tokio::test]
async fn read_part_cut_or_not_streamed() {
    let (mut framed, mut far) = pair(Codec::new(1 << 10));
    far.write_all(&frame(&[7; 100_000]).bytes[..70_000])
        .await
        .unwrap();
    let error = framed.read_part(b"D").await.unwrap_err();
    assert!(matches!(error, Error::TooLarge { .. }), "{error}");
    drop(far);
    let mut error = None;
    while error.is_none() {
        error = framed.read_part(b"d").await.err();
    }
    assert!(matches!(error, Some(Error::Truncated { .. })), "{error:?}");
}
