use std::io;

use bytes::BytesMut;
use gw_fleet::FormatVersion;

use crate::link::LinkMessage;
use crate::link::link_frame::PREFIX_BYTES;

/// Largest frame, in bytes; fits a snapshot with a configuration of thousands of routes.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// Initial size of the buffer for received bytes; fits most messages.
const BUFFER_BYTES: usize = 4 * 1024;

/// A message and what its frame says about the sender.
#[derive(Debug)]
pub(crate) struct ReceivedFrame {
    pub(crate) message: LinkMessage,
    /// The sender's version, if the message is its first one.
    pub(crate) version: Option<FormatVersion>,
}

/// Decodes the bytes that a connection has delivered.
#[derive(Debug)]
pub(crate) struct FrameDecoder {
    /// Received bytes of frames that are not decoded.
    pub(crate) buffer: BytesMut,
    /// Fragments of a frame that is not complete.
    fragments: BytesMut,
    /// Number of bytes that the last fragment has announced to follow it.
    left: usize,
}

impl FrameDecoder {
    pub(crate) fn new() -> Self {
        let buffer = BytesMut::with_capacity(BUFFER_BYTES);
        Self { buffer, fragments: BytesMut::new(), left: 0 }
    }

    /// Decodes the next complete message; `None` if more bytes are needed.
    pub(crate) fn next(&mut self) -> io::Result<Option<ReceivedFrame>> {
        while let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() {
            let len = PREFIX_BYTES + u32::from_le_bytes(*prefix) as usize;
            if len > MAX_FRAME_BYTES {
                return Err(invalid("frame too large"));
            }
            if self.buffer.len() < len {
                self.buffer.reserve(len - self.buffer.len());
                return Ok(None);
            }
            let frame = self.buffer.split_to(len);
            let received = decode(&frame[PREFIX_BYTES..])?;
            let LinkMessage::Fragment { left, bytes } = received.message else {
                return Ok(Some(received));
            };
            if let Some(whole) = self.add_fragment(left as usize, &bytes)? {
                return decode(&whole).map(Some);
            }
        }
        Ok(None)
    }

    /// Whether a part of a message has been received.
    pub(crate) fn holds_part(&self) -> bool {
        !self.buffer.is_empty() || !self.fragments.is_empty()
    }

    /// Adds a fragment that is followed by `left` bytes, and returns the frame if it is complete.
    /// Fails if a fragment is missing or a frame is too large.
    fn add_fragment(&mut self, left: usize, bytes: &[u8]) -> io::Result<Option<BytesMut>> {
        let is_first = self.fragments.is_empty();
        if !is_first && bytes.len() + left != self.left {
            return Err(invalid("fragment is missing"));
        }
        let total = self.fragments.len() + bytes.len() + left;
        if bytes.is_empty() || total > MAX_FRAME_BYTES {
            return Err(invalid("fragments of a frame that is too large, or none"));
        }
        if is_first {
            self.fragments.reserve(total);
        }
        self.fragments.extend_from_slice(bytes);
        self.left = left;
        Ok((left == 0).then(|| std::mem::take(&mut self.fragments)))
    }
}

fn decode(body: &[u8]) -> io::Result<ReceivedFrame> {
    let (message, rest) = postcard::take_from_bytes(body).map_err(invalid)?;
    let version = match message {
        LinkMessage::Hello { .. } if !rest.is_empty() => {
            Some(postcard::from_bytes(rest).map_err(invalid)?)
        }
        LinkMessage::Hello { .. } => Some(FormatVersion::UNSTATED),
        _ => None,
    };
    Ok(ReceivedFrame { message, version })
}

fn invalid(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
