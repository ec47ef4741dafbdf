use crate::FrameError;

/// Maximum length of a frame in a UDP datagram, in bytes. With IP and UDP headers it fits into the
/// minimum IPv6 MTU (1,280 bytes), so that no datagram is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Maximum length of a frame on a TCP connection, in bytes, without its length prefix.
pub const MAX_STREAM_FRAME_BYTES: usize = 4 * 1_024 * 1_024;

/// Length limit of a frame, which depends on its transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameLimit {
    /// Limit of a frame in a UDP datagram.
    Datagram,
    /// Limit of a length-prefixed frame on a TCP connection.
    Stream,
}

impl FrameLimit {
    /// Returns the maximum length of a frame in bytes.
    pub const fn max_bytes(self) -> usize {
        match self {
            FrameLimit::Datagram => MAX_DATAGRAM_BYTES,
            FrameLimit::Stream => MAX_STREAM_FRAME_BYTES,
        }
    }

    /// Returns [`FrameError::Oversized`] if `len` exceeds the limit.
    pub fn check(self, len: usize) -> Result<(), FrameError> {
        let limit = self.max_bytes();
        if len > limit { Err(FrameError::Oversized { len, limit }) } else { Ok(()) }
    }
}
