use crate::FrameError;
use crate::FrameLimit;

/// Length of the prefix that gives a frame's length on a TCP connection, little-endian.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// The prefix of a frame of `len` bytes.
pub fn length_prefix(len: usize) -> Result<[u8; LENGTH_PREFIX_BYTES], FrameError> {
    FrameLimit::Stream.check(len)?;
    Ok((len as u32).to_le_bytes())
}

/// Splits the bytes of a TCP connection into frames.
///
/// Holds at most one frame. Memory grows with the bytes that arrived, not with the announced
/// length, so that a prefix alone reserves nothing.
#[derive(Debug, Default)]
pub struct StreamDecoder {
    prefix: [u8; LENGTH_PREFIX_BYTES],
    prefix_len: usize,
    frame: Vec<u8>,
}

impl StreamDecoder {
    /// Takes bytes from the front of `input` and returns the next frame once it is complete.
    ///
    /// Call again with the rest of `input` until it is empty. After an error the connection must
    /// be closed, since the start of the next frame is unknown.
    pub fn feed(&mut self, input: &mut &[u8]) -> Result<Option<Vec<u8>>, FrameError> {
        self.fill_prefix(input);
        if self.prefix_len < LENGTH_PREFIX_BYTES {
            return Ok(None);
        }
        let len = u32::from_le_bytes(self.prefix) as usize;
        FrameLimit::Stream.check(len)?;
        let (taken, rest) = input.split_at((len - self.frame.len()).min(input.len()));
        self.frame.extend_from_slice(taken);
        *input = rest;
        if self.frame.len() < len {
            return Ok(None);
        }
        self.prefix_len = 0;
        Ok(Some(std::mem::take(&mut self.frame)))
    }

    fn fill_prefix(&mut self, input: &mut &[u8]) {
        let missing = LENGTH_PREFIX_BYTES - self.prefix_len;
        let (taken, rest) = input.split_at(missing.min(input.len()));
        self.prefix[self.prefix_len..self.prefix_len + taken.len()].copy_from_slice(taken);
        self.prefix_len += taken.len();
        *input = rest;
    }
}
