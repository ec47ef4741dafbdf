use gw_types::BootId;
use gw_types::HostId;

use crate::FrameError;
use crate::KeyId;

/// Version of the frame format.
const VERSION: u8 = 1;

/// Length in bytes of a header: version, sender, boot id, sequence and key id.
pub const HEADER_BYTES: usize = 1 + 2 + 8 + 8 + 2;

/// Identifies the sender of a frame and the frame among those of the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// Host that sent the frame.
    pub sender: HostId,
    /// Boot id of the sender's process, higher after each restart.
    pub boot: BootId,
    /// Number of the frame, unique per boot id and assigned by the sender.
    pub sequence: u64,
}

impl FrameHeader {
    pub(crate) fn encode(&self, key: KeyId) -> [u8; HEADER_BYTES] {
        let mut header = [0; HEADER_BYTES];
        header[0] = VERSION;
        header[1..3].copy_from_slice(&self.sender.0.to_le_bytes());
        header[3..11].copy_from_slice(&self.boot.0.to_le_bytes());
        header[11..19].copy_from_slice(&self.sequence.to_le_bytes());
        header[19..21].copy_from_slice(&key.0.to_le_bytes());
        header
    }

    pub(crate) fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<(Self, KeyId), FrameError> {
        let [version, s0, s1, rest @ ..] = bytes;
        if *version != VERSION {
            return Err(FrameError::Version { found: *version });
        }
        let [b0, b1, b2, b3, b4, b5, b6, b7, rest @ ..] = rest;
        let [q0, q1, q2, q3, q4, q5, q6, q7, k0, k1] = rest;
        let header = Self {
            sender: HostId(u16::from_le_bytes([*s0, *s1])),
            boot: BootId(u64::from_le_bytes([*b0, *b1, *b2, *b3, *b4, *b5, *b6, *b7])),
            sequence: u64::from_le_bytes([*q0, *q1, *q2, *q3, *q4, *q5, *q6, *q7]),
        };
        Ok((header, KeyId(u16::from_le_bytes([*k0, *k1]))))
    }
}
