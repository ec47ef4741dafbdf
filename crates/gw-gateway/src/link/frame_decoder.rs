use std::io;

use bytes::BytesMut;
use gw_fleet::FormatVersion;

use crate::link::LinkMessage;
use crate::link::link_frame::PREFIX_BYTES;
use crate::link::receive_room::SMALL_FRAME_BYTES;

/// Largest frame, in bytes; fits a snapshot with a configuration of thousands of routes.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// Largest frame, in bytes, of a host that has not introduced itself; fits its first message, whose
/// names have at most 64 bytes each.
const MAX_FIRST_FRAME_BYTES: usize = 4 * 1024;
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
    /// Whether the other host has introduced itself.
    is_introduced: bool,
}

impl FrameDecoder {
    pub(crate) fn new() -> Self {
        let buffer = BytesMut::with_capacity(BUFFER_BYTES);
        Self { buffer, fragments: BytesMut::new(), left: 0, is_introduced: false }
    }

    /// Decodes the next complete message; `None` if more bytes are needed.
    pub(crate) fn next(&mut self) -> io::Result<Option<ReceivedFrame>> {
        while let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() {
            let len = PREFIX_BYTES + u32::from_le_bytes(*prefix) as usize;
            let max_len = if self.is_introduced { MAX_FRAME_BYTES } else { MAX_FIRST_FRAME_BYTES };
            if len > max_len {
                return Err(invalid("frame too large"));
            }
            if self.buffer.len() < len {
                return Ok(None);
            }
            let frame = self.buffer.split_to(len);
            if len > SMALL_FRAME_BYTES {
                // An idle connection keeps no large buffer.
                self.buffer = BytesMut::from(&self.buffer[..]);
            }
            let received = decode(&frame[PREFIX_BYTES..])?;
            self.is_introduced |= received.version.is_some();
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

    /// Bytes of the frames that have arrived in part, by what they have announced.
    pub(crate) fn pending_bytes(&self) -> usize {
        let fragments =
            if self.fragments.is_empty() { 0 } else { self.fragments.len() + self.left };
        fragments + self.announced_len()
    }

    /// Makes room for the rest of the frame that has arrived in part.
    pub(crate) fn make_room(&mut self) {
        let missing = self.announced_len().saturating_sub(self.buffer.len());
        self.buffer.reserve(missing);
    }

    /// Length of the frame that has arrived in part; 0 while it is not known.
    fn announced_len(&self) -> usize {
        let prefix = self.buffer.first_chunk::<PREFIX_BYTES>();
        prefix.map_or(0, |prefix| PREFIX_BYTES + u32::from_le_bytes(*prefix) as usize)
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
