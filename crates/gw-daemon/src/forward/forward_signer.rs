use std::fmt::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use gw_types::BootId;
use gw_types::HostId;
use gw_wire::FrameError;
use gw_wire::FrameHeader;
use gw_wire::FrameLimit;
use gw_wire::KeyRing;
use gw_wire::encode_frame;

use super::ForwardTicket;
use super::KEY_CONTEXT;

/// Signs the tickets of requests that this host forwards.
#[derive(Debug)]
pub struct ForwardSigner {
    ring: KeyRing,
    sender: HostId,
    boot: BootId,
    sequence: AtomicU64,
}

impl ForwardSigner {
    /// Creates a signer with keys that are derived from the frame keys.
    pub fn new(frames: &KeyRing, sender: HostId, boot: BootId) -> Self {
        Self { ring: frames.derive(KEY_CONTEXT), sender, boot, sequence: AtomicU64::new(0) }
    }

    /// Returns the signed ticket as a header value: a frame within the datagram limit, in
    /// hexadecimal.
    pub fn sign(&self, ticket: &ForwardTicket) -> Result<String, FrameError> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let head = FrameHeader { sender: self.sender, boot: self.boot, sequence };
        let frame = encode_frame(&self.ring, FrameLimit::Datagram, &head, ticket)?;
        let mut hex = String::with_capacity(2 * frame.len());
        for byte in frame {
            write!(hex, "{byte:02x}").map_err(|_| FrameError::Unencodable)?;
        }
        Ok(hex)
    }
}
