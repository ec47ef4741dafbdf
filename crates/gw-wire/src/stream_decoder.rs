use crate::FrameError;
use crate::FrameLimit;

/// Size in bytes of the little-endian length prefix of a frame on a TCP connection.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Returns the length prefix of a frame of `len` bytes.
pub fn length_prefix(len: usize) -> Result<[u8; LENGTH_PREFIX_BYTES], FrameError> {
    FrameLimit::Stream.check(len)?;
    Ok((len as u32).to_le_bytes())
}

/// Splits the bytes of a TCP connection into frames.
///
/// Buffers at most one frame. The buffer grows with the received bytes and not with the announced
/// length, so that a prefix alone allocates no memory.
#[derive(Debug, Default)]
pub struct StreamDecoder {
    prefix: [u8; LENGTH_PREFIX_BYTES],
    prefix_len: usize,
    frame: Vec<u8>,
}

impl StreamDecoder {
    /// Consumes bytes from the front of `input` and returns the next frame once it is complete.
    ///
    /// Must be called repeatedly until `input` is empty. After an error the connection must be
    /// closed, because the start of the next frame is unknown.
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
