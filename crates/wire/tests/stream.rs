//! Tests of the framed stream and its buffers.

use fulmarlift_wire::frame::{Codec, Error, Frame};
use fulmarlift_wire::stream::{Framed, Part, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

/// Returns a framed stream and the remote end of its stream.
fn framed_and_remote(codec: Codec) -> (Framed<Stream<DuplexStream>>, DuplexStream) {
    let (local, remote) = tokio::io::duplex(1 << 20);
    (Framed::new(Stream::Plain(local), codec), remote)
}

fn copy_data(body: &[u8]) -> Frame {
    let length = (body.len() as u32 + 4).to_be_bytes();
    let bytes = [b"d", &length[..], body].concat();
    Frame {
        tag: b'd',
        bytes: bytes.into(),
    }
}

#[tokio::test]
async fn read_frame_in_parts() {
    let (mut framed, mut remote) = framed_and_remote(Codec::default());
    let (first, second) = (copy_data(&[1; 100_000]), copy_data(b"x"));
    remote.write_all(&first.bytes).await.unwrap();
    remote.write_all(&second.bytes[..3]).await.unwrap();
    assert_eq!(framed.read_frame().await.unwrap(), Some(first));
    remote.write_all(&second.bytes[3..]).await.unwrap();
    assert_eq!(framed.read_frame().await.unwrap(), Some(second));
    drop(remote);
    assert_eq!(framed.read_frame().await.unwrap(), None);
}

#[tokio::test]
async fn read_frame_cut() {
    let (mut framed, mut remote) = framed_and_remote(Codec::default());
    remote
        .write_all(&copy_data(b"abc").bytes[..6])
        .await
        .unwrap();
    drop(remote);
    let error = framed.read_frame().await.unwrap_err();
    assert!(
        matches!(error, Error::Truncated { received_bytes: 6 }),
        "{error}"
    );
}

#[tokio::test]
async fn read_frame_canceled() {
    let (mut framed, mut remote) = framed_and_remote(Codec::default());
    let sent = copy_data(b"abc");
    remote.write_all(&sent.bytes[..6]).await.unwrap();
    tokio::select! {
        biased;
        _ = framed.read_frame() => panic!("read an incomplete frame"),
        _ = std::future::ready(()) => {}
    }
    remote.write_all(&sent.bytes[6..]).await.unwrap();
    assert_eq!(framed.read_frame().await.unwrap(), Some(sent));
}

#[tokio::test]
async fn is_closed_open_and_ended() {
    let (mut framed, mut remote) = framed_and_remote(Codec::default());
    assert!(!framed.is_closed());
    remote.write_all(&copy_data(b"late").bytes).await.unwrap();
    assert!(!framed.is_closed());
    assert!(framed.has_input());
    drop(remote);
    assert!(framed.is_closed());
    assert_eq!(framed.read_frame().await.unwrap(), Some(copy_data(b"late")));
    assert_eq!(framed.read_frame().await.unwrap(), None);
}

#[tokio::test]
async fn buffers_gone_when_idle() {
    let (mut framed, mut remote) = framed_and_remote(Codec::default());
    assert_eq!(framed.buffer_bytes(), 0);
    remote
        .write_all(&copy_data(&[0; 200_000]).bytes)
        .await
        .unwrap();
    drop(framed.read_frame().await.unwrap());
    framed.feed(&copy_data(&[0; 200_000]));
    assert!(framed.should_flush());
    framed.flush().await.unwrap();
    let mut answer = vec![0; 200_005];
    remote.read_exact(&mut answer).await.unwrap();
    assert_eq!(framed.buffer_bytes(), 0);
    assert!(size_of::<Framed<Stream>>() < 512);
}

#[tokio::test]
async fn half_sent_frame_costs_what_came() {
    let (mut framed, mut remote) = framed_and_remote(Codec::default());
    remote.write_all(&[b'd', 0, 0xf0, 0, 0, 1]).await.unwrap();
    tokio::select! {
        biased;
        _ = framed.read_frame() => panic!("read an incomplete frame"),
        _ = tokio::task::yield_now() => {}
    }
    assert!(framed.buffer_bytes() <= 64 << 10);
}

#[tokio::test]
async fn read_part_large_frame() {
    let (mut framed, mut remote) = framed_and_remote(Codec::new(1 << 10));
    let (large, small) = (copy_data(&[7; 3 << 20]), copy_data(b"x"));
    let sent = [&small.bytes[..], &large.bytes, &small.bytes].concat();
    let sender = tokio::spawn(async move { remote.write_all(&sent).await });
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
            panic!("not a chunk");
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
    let (mut framed, mut remote) = framed_and_remote(Codec::new(1 << 10));
    remote
        .write_all(&copy_data(&[7; 100_000]).bytes[..70_000])
        .await
        .unwrap();
    let error = framed.read_part(b"D").await.unwrap_err();
    assert!(matches!(error, Error::TooLarge { .. }), "{error}");
    drop(remote);
    let mut error = None;
    while error.is_none() {
        error = framed.read_part(b"d").await.err();
    }
    assert!(matches!(error, Some(Error::Truncated { .. })), "{error:?}");
}
