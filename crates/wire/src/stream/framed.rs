//! Reads and writes frames with buffers that exist only while they hold something.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio_util::codec::Decoder;

use crate::frame::{Codec, Error, Frame};

/// Bytes that a read without a buffer takes at most; they stand on the stack of the poll.
const PROBE_BYTES: usize = 8 << 10;

/// Free bytes made before a read into the buffer.
const READ_BYTES: usize = 32 << 10;

/// Output beyond this should be flushed before more is fed.
const FLUSH_BYTES: usize = 32 << 10;

/// Output buffers up to this size are kept between answers while the connection is busy.
const KEEP_BYTES: usize = 1 << 10;

/// Frames larger than this are given in pieces when they may be.
const PIECE_BYTES: usize = 64 << 10;

/// A frame or a piece of a large one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// A whole frame.
    Frame(Frame),
    /// Bytes of a large frame in their order, the first ones with its header.
    ///
    /// Once a piece has been passed on, the other side waits for the rest: when the rest does not come, that
    /// connection can only be closed.
    Piece {
        /// The message type byte of the frame.
        tag: u8,
        /// The bytes.
        bytes: Bytes,
        /// Whether the frame ends with them.
        is_last: bool,
    },
}

/// A large frame of which some bytes are still to come.
#[derive(Clone, Copy, Debug)]
struct Unfinished {
    tag: u8,
    left_bytes: usize,
}

/// A stream that is read and written in frames.
///
/// An idle stream holds no buffers: the first bytes of a message are read on the stack. Frames share the buffer they
/// were cut from, so one that is kept for long should be copied. [`read_frame`](Self::read_frame) and
/// [`flush`](Self::flush) lose nothing when they are dropped before they are done.
#[derive(Debug)]
pub struct Framed<S> {
    stream: S,
    codec: Codec,
    input: BytesMut,
    output: BytesMut,
    ended: bool,
    unfinished: Option<Unfinished>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Framed<S> {
    /// Frames over `stream`, each at most the codec's limit.
    pub fn new(stream: S, codec: Codec) -> Framed<S> {
        Framed {
            stream,
            codec,
            input: BytesMut::new(),
            output: BytesMut::new(),
            ended: false,
            unfinished: None,
        }
    }

    /// Changes the limit on the size of frames.
    pub fn set_codec(&mut self, codec: Codec) {
        self.codec = codec;
    }

    /// The next frame, or `None` when the stream ended between frames.
    pub async fn read_frame(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = self.decode_buffered()? {
                return Ok(Some(frame));
            }
            if self.ended {
                return self.codec.decode_eof(&mut self.input);
            }
            self.fill().await?;
        }
    }

    /// The next frame, or the next piece when the frame is large and its tag is among `streamed`.
    ///
    /// A frame in pieces is not held as a whole and may be longer than the codec's limit. While one is unfinished
    /// only this function may read.
    pub async fn read_part(&mut self, streamed: &[u8]) -> Result<Option<Part>, Error> {
        loop {
            if let Some(part) = self.buffered_part(streamed)? {
                return Ok(Some(part));
            }
            if self.ended {
                return self.end_of_parts();
            }
            self.fill().await?;
        }
    }

    /// The next frame or piece as [`read_part`](Self::read_part) gives it, when it has been read already.
    pub fn buffered_part(&mut self, streamed: &[u8]) -> Result<Option<Part>, Error> {
        self.start_pieces(streamed)?;
        match self.unfinished {
            Some(_) if self.input.is_empty() => Ok(None),
            Some(unfinished) => Ok(Some(self.take_piece(unfinished))),
            None => Ok(self.decode_buffered()?.map(Part::Frame)),
        }
    }

    /// Waits until the peer has closed the stream or it has failed; what arrives meanwhile is kept.
    ///
    /// Of a peer that sends much without waiting, no more is read than a large frame's worth and its end is not seen.
    pub async fn closed(&mut self) {
        while !self.ended && self.input.len() < PIECE_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        if !self.ended {
            std::future::pending::<()>().await;
        }
    }

    /// The next frame when it has been read already; does not touch the stream.
    pub fn decode_buffered(&mut self) -> Result<Option<Frame>, Error> {
        let frame = self.codec.decode(&mut self.input)?;
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        Ok(frame)
    }

    /// Adds a frame to the output; nothing is sent before [`flush`](Self::flush).
    pub fn feed(&mut self, frame: &Frame) {
        self.output.extend_from_slice(&frame.bytes);
    }

    /// Adds encoded bytes to the output.
    pub fn feed_bytes(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Whether enough output waits that it should be flushed before more is fed.
    pub fn is_full(&self) -> bool {
        self.output.len() >= FLUSH_BYTES
    }

    /// Whether output waits to be flushed.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Sends the output.
    pub async fn flush(&mut self) -> Result<(), Error> {
        while !self.output.is_empty() {
            if self.stream.write_buf(&mut self.output).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::WriteZero).into());
            }
        }
        if self.output.capacity() > KEEP_BYTES {
            self.output = BytesMut::new();
        }
        self.stream.flush().await?;
        Ok(())
    }

    /// Feeds one frame and flushes.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.feed(frame);
        self.flush().await
    }

    /// Flushes and ends the stream's writing side.
    pub async fn shutdown(&mut self) -> Result<(), Error> {
        self.flush().await?;
        self.stream.shutdown().await?;
        Ok(())
    }

    /// Whether the peer has closed the stream or it has failed, found without waiting.
    ///
    /// Bytes that have arrived are kept, see [`has_input`](Self::has_input).
    pub fn is_closed(&mut self) -> bool {
        if self.ended {
            return true;
        }
        match self.fill().now_or_never() {
            None => false,
            Some(Ok(())) => self.ended,
            Some(Err(_)) => true,
        }
    }

    /// Whether bytes were read that are no whole frame yet or were not asked for.
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Bytes held by the buffers.
    pub fn buffer_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// The stream beneath.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// The stream beneath, with the bytes read from it that were no frame yet.
    pub fn into_parts(self) -> (S, BytesMut) {
        (self.stream, self.input)
    }

    /// Notes a large frame at the start of the input that may be given in pieces.
    fn start_pieces(&mut self, streamed: &[u8]) -> Result<(), Error> {
        let may_start = self.unfinished.is_none() && !self.input.is_empty();
        if !may_start || !streamed.contains(&self.input[0]) {
            return Ok(());
        }
        let unlimited = Codec::new(usize::MAX);
        if let Some(frame_bytes) = unlimited.frame_bytes(&self.input)?
            && frame_bytes > PIECE_BYTES
        {
            self.unfinished = Some(Unfinished {
                tag: self.input[0],
                left_bytes: frame_bytes,
            });
        }
        Ok(())
    }

    fn take_piece(&mut self, unfinished: Unfinished) -> Part {
        let piece_bytes = unfinished.left_bytes.min(self.input.len());
        let left_bytes = unfinished.left_bytes - piece_bytes;
        let bytes = self.input.split_to(piece_bytes).freeze();
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        let is_last = left_bytes == 0;
        self.unfinished = (!is_last).then_some(Unfinished {
            left_bytes,
            ..unfinished
        });
        Part::Piece {
            tag: unfinished.tag,
            bytes,
            is_last,
        }
    }

    /// The stream may end between frames only.
    fn end_of_parts(&mut self) -> Result<Option<Part>, Error> {
        if self.unfinished.is_some() {
            return Err(Error::Truncated { received_bytes: 0 });
        }
        Ok(self.codec.decode_eof(&mut self.input)?.map(Part::Frame))
    }

    /// Reads what is there, at least one byte, or notes the end of the stream.
    async fn fill(&mut self) -> Result<(), Error> {
        let count = if self.input.is_empty() {
            let (stream, input) = (&mut self.stream, &mut self.input);
            std::future::poll_fn(|context| poll_probe(stream, input, context)).await?
        } else {
            self.input.reserve(READ_BYTES);
            self.stream.read_buf(&mut self.input).await?
        };
        self.ended = count == 0;
        Ok(())
    }
}

/// Reads into the stack and copies what came, so that waiting holds no buffer.
fn poll_probe<S: AsyncRead + Unpin>(
    stream: &mut S,
    input: &mut BytesMut,
    context: &mut Context<'_>,
) -> Poll<io::Result<usize>> {
    let mut probe = [MaybeUninit::uninit(); PROBE_BYTES];
    let mut buffer = ReadBuf::uninit(&mut probe);
    std::task::ready!(Pin::new(stream).poll_read(context, &mut buffer))?;
    input.extend_from_slice(buffer.filled());
    Poll::Ready(Ok(buffer.filled().len()))
}
