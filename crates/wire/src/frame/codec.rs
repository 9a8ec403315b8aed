//! Splits a byte stream into frames.

use bytes::{Buf, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::frame::{self, Error, Frame};

/// Splits a byte stream into frames by the lengths in their headers, and refuses frames over `max_frame_bytes`.
///
/// The codec reserves no memory for the length that a header announces. A peer that announces a large frame can
/// therefore only occupy as much memory as it sends.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Maximum size of a frame in bytes, including the header.
    pub max_frame_bytes: usize,
}

impl Codec {
    /// Creates a codec with a limit on the size of frames.
    pub fn new(max_frame_bytes: usize) -> Codec {
        Codec { max_frame_bytes }
    }

    /// Returns the size of the frame at the start of `bytes`, or `None` if its header is incomplete.
    pub fn frame_bytes(&self, bytes: &[u8]) -> Result<Option<usize>, Error> {
        if bytes.len() < frame::HEADER_BYTES {
            return Ok(None);
        }
        let tag = bytes[0];
        let length = (&bytes[1..frame::HEADER_BYTES]).get_i32();
        let length_bytes = usize::try_from(length)
            .ok()
            .filter(|length| *length >= frame::LENGTH_BYTES)
            .ok_or(Error::Length { tag, length })?;
        let frame_bytes = length_bytes + 1;
        if frame_bytes > self.max_frame_bytes {
            return Err(Error::TooLarge {
                tag,
                frame_bytes,
                max_frame_bytes: self.max_frame_bytes,
            });
        }
        Ok(Some(frame_bytes))
    }
}

impl Default for Codec {
    fn default() -> Codec {
        Codec::new(frame::DEFAULT_MAX_FRAME_BYTES)
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(frame_bytes) = self.frame_bytes(source)? else {
            return Ok(None);
        };
        if source.len() < frame_bytes {
            return Ok(None);
        }
        let bytes = source.split_to(frame_bytes).freeze();
        Ok(Some(Frame {
            tag: bytes[0],
            bytes,
        }))
    }

    fn decode_eof(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let frame = self.decode(source)?;
        if frame.is_none() && !source.is_empty() {
            return Err(Error::Truncated {
                received_bytes: source.len(),
            });
        }
        Ok(frame)
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), Error> {
        target.extend_from_slice(&frame.bytes);
        Ok(())
    }
}
