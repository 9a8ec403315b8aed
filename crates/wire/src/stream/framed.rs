//! Reads and writes frames with buffers that are allocated only while they hold data.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio_util::codec::Decoder;

use crate::frame::{Codec, Error, Frame};

/// Size of the stack buffer for reads while the input buffer is empty.
const STACK_READ_BYTES: usize = 8 << 10;

/// Free space that is reserved in the input buffer before a read into it.
const READ_RESERVE_BYTES: usize = 32 << 10;

/// Size of the output from which it should be flushed before more is fed.
const FLUSH_THRESHOLD_BYTES: usize = 32 << 10;

/// Largest output buffer that is kept after a flush, to save an allocation for each short answer.
const MAX_KEPT_OUTPUT_BYTES: usize = 1 << 10;

/// Frames larger than this are returned in chunks if their message type allows it.
const MAX_WHOLE_FRAME_BYTES: usize = 64 << 10;

/// A whole frame or a chunk of a large frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// A whole frame.
    Frame(Frame),
    /// The next bytes of a large frame. The first chunk starts with the header.
    ///
    /// After the proxy has forwarded a chunk, the recipient waits for the rest of the frame. If the rest never
    /// arrives, the connection to the recipient cannot be used for anything else and must be closed.
    Chunk {
        /// Message type byte of the frame.
        tag: u8,
        /// Bytes of the chunk.
        bytes: Bytes,
        /// Whether the chunk completes the frame.
        is_last: bool,
    },
}

/// A large frame that has not been returned completely.
#[derive(Clone, Copy, Debug)]
struct UnfinishedFrame {
    tag: u8,
    remaining_bytes: usize,
}

/// A stream that is read and written in frames.
///
/// An idle stream holds no input buffer, because the first bytes of a message are read into a buffer on the stack. It
/// holds at most a small output buffer. Frames share the input buffer that they were split from, so a frame that is
/// kept for long should be copied. [`read_frame`](Self::read_frame) and [`flush`](Self::flush) are cancel safe: no
/// bytes are lost if their futures are dropped early.
#[derive(Debug)]
pub struct Framed<S> {
    stream: S,
    codec: Codec,
    input: BytesMut,
    output: BytesMut,
    at_end: bool,
    unfinished: Option<UnfinishedFrame>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Framed<S> {
    /// Creates a framed stream. `codec` limits the size of received frames.
    pub fn new(stream: S, codec: Codec) -> Framed<S> {
        Framed {
            stream,
            codec,
            input: BytesMut::new(),
            output: BytesMut::new(),
            at_end: false,
            unfinished: None,
        }
    }

    /// Replaces the codec, and with it the limit on the size of received frames.
    pub fn set_codec(&mut self, codec: Codec) {
        self.codec = codec;
    }

    /// Reads the next frame. Returns `None` if the stream ended between frames.
    pub async fn read_frame(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = self.decode_buffered()? {
                return Ok(Some(frame));
            }
            if self.at_end {
                return self.codec.decode_eof(&mut self.input);
            }
            self.fill().await?;
        }
    }

    /// Reads the next frame, or the next chunk of a large frame whose tag is in `streamed`.
    ///
    /// A frame that is returned in chunks is never buffered as a whole and may exceed the codec's limit. Until its
    /// last chunk has been returned, only this function and [`buffered_part`](Self::buffered_part) may read.
    pub async fn read_part(&mut self, streamed: &[u8]) -> Result<Option<Part>, Error> {
        loop {
            if let Some(part) = self.buffered_part(streamed)? {
                return Ok(Some(part));
            }
            if self.at_end {
                return self.read_end_of_stream();
            }
            self.fill().await?;
        }
    }

    /// Returns the same as [`read_part`](Self::read_part) if the bytes are buffered already, without reading from the
    /// stream.
    pub fn buffered_part(&mut self, streamed: &[u8]) -> Result<Option<Part>, Error> {
        self.detect_large_frame(streamed)?;
        match self.unfinished {
            Some(_) if self.input.is_empty() => Ok(None),
            Some(unfinished) => Ok(Some(self.split_chunk(unfinished))),
            None => Ok(self.decode_buffered()?.map(Part::Frame)),
        }
    }

    /// Waits until the peer closes the stream or the stream fails. Bytes that arrive in the meantime are buffered.
    ///
    /// Stops reading at `MAX_WHOLE_FRAME_BYTES` of buffered input, so that a peer cannot fill the memory. The end of
    /// the stream is not detected from then on.
    pub async fn closed(&mut self) {
        while !self.at_end && self.input.len() < MAX_WHOLE_FRAME_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        if !self.at_end {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the next frame if it is buffered completely, without reading from the stream.
    pub fn decode_buffered(&mut self) -> Result<Option<Frame>, Error> {
        let frame = self.codec.decode(&mut self.input)?;
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        Ok(frame)
    }

    /// Appends a frame to the output, which [`flush`](Self::flush) sends.
    pub fn feed(&mut self, frame: &Frame) {
        self.output.extend_from_slice(&frame.bytes);
    }

    /// Appends encoded bytes to the output, which [`flush`](Self::flush) sends.
    pub fn feed_bytes(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Returns whether the output is so large that it should be flushed before more is fed.
    pub fn should_flush(&self) -> bool {
        self.output.len() >= FLUSH_THRESHOLD_BYTES
    }

    /// Returns whether there is output to be flushed.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Sends the output and releases its buffer, unless the buffer is small.
    pub async fn flush(&mut self) -> Result<(), Error> {
        while !self.output.is_empty() {
            if self.stream.write_buf(&mut self.output).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::WriteZero).into());
            }
        }
        if self.output.capacity() > MAX_KEPT_OUTPUT_BYTES {
            self.output = BytesMut::new();
        }
        self.stream.flush().await?;
        Ok(())
    }

    /// Appends a frame to the output and flushes the output.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.feed(frame);
        self.flush().await
    }

    /// Flushes the output and shuts down the write side of the stream.
    pub async fn shutdown(&mut self) -> Result<(), Error> {
        self.flush().await?;
        self.stream.shutdown().await?;
        Ok(())
    }

    /// Returns whether the peer has closed the stream or the stream has failed, without waiting.
    ///
    /// Bytes that have arrived are buffered, see [`has_input`](Self::has_input).
    pub fn is_closed(&mut self) -> bool {
        if self.at_end {
            return true;
        }
        match self.fill().now_or_never() {
            None => false,
            Some(Ok(())) => self.at_end,
            Some(Err(_)) => true,
        }
    }

    /// Returns whether bytes are buffered that no read has returned yet.
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Returns the memory that the buffers occupy.
    pub fn buffer_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Returns the underlying stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Returns the underlying stream and the buffered bytes that no read has returned yet.
    pub fn into_parts(self) -> (S, BytesMut) {
        (self.stream, self.input)
    }

    /// Checks whether the input starts with a large frame that is to be returned in chunks, and records it as
    /// unfinished.
    fn detect_large_frame(&mut self, streamed: &[u8]) -> Result<(), Error> {
        let at_frame_start = self.unfinished.is_none() && !self.input.is_empty();
        if !at_frame_start || !streamed.contains(&self.input[0]) {
            return Ok(());
        }
        let unlimited = Codec::new(usize::MAX);
        if let Some(frame_bytes) = unlimited.frame_bytes(&self.input)?
            && frame_bytes > MAX_WHOLE_FRAME_BYTES
        {
            self.unfinished = Some(UnfinishedFrame {
                tag: self.input[0],
                remaining_bytes: frame_bytes,
            });
        }
        Ok(())
    }

    /// Splits the next chunk of an unfinished frame from the input.
    fn split_chunk(&mut self, unfinished: UnfinishedFrame) -> Part {
        let chunk_bytes = unfinished.remaining_bytes.min(self.input.len());
        let remaining_bytes = unfinished.remaining_bytes - chunk_bytes;
        let bytes = self.input.split_to(chunk_bytes).freeze();
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        let is_last = remaining_bytes == 0;
        self.unfinished = (!is_last).then_some(UnfinishedFrame {
            remaining_bytes,
            ..unfinished
        });
        Part::Chunk {
            tag: unfinished.tag,
            bytes,
            is_last,
        }
    }

    /// Handles the end of the stream, which is an error within a frame.
    fn read_end_of_stream(&mut self) -> Result<Option<Part>, Error> {
        if self.unfinished.is_some() {
            return Err(Error::Truncated { received_bytes: 0 });
        }
        Ok(self.codec.decode_eof(&mut self.input)?.map(Part::Frame))
    }

    /// Waits for input and buffers the bytes that are available, or records the end of the stream.
    async fn fill(&mut self) -> Result<(), Error> {
        let read_bytes = if self.input.is_empty() {
            let (stream, input) = (&mut self.stream, &mut self.input);
            std::future::poll_fn(|context| poll_read_on_stack(stream, input, context)).await?
        } else {
            self.input.reserve(READ_RESERVE_BYTES);
            self.stream.read_buf(&mut self.input).await?
        };
        self.at_end = read_bytes == 0;
        Ok(())
    }
}

/// Reads into a buffer on the stack and copies the received bytes to `input`, so that waiting needs no allocation.
fn poll_read_on_stack<S: AsyncRead + Unpin>(
    stream: &mut S,
    input: &mut BytesMut,
    context: &mut Context<'_>,
) -> Poll<io::Result<usize>> {
    let mut memory = [MaybeUninit::uninit(); STACK_READ_BYTES];
    let mut buffer = ReadBuf::uninit(&mut memory);
    std::task::ready!(Pin::new(stream).poll_read(context, &mut buffer))?;
    input.extend_from_slice(buffer.filled());
    Poll::Ready(Ok(buffer.filled().len()))
}
