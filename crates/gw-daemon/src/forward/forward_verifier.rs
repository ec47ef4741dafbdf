use std::sync::Mutex;
use std::sync::PoisonError;

use gw_types::HostId;
use gw_wire::FrameError;
use gw_wire::FrameLimit;
use gw_wire::KeyRing;
use gw_wire::ReplayGuard;
use gw_wire::decode_frame;

use super::ForwardTicket;
use super::KEY_CONTEXT;

/// Size of the replay window in bits, one for each ticket of a sender; it takes 2 KiB for each
/// host. Forwarded requests use many connections, and a lost packet delays one connection by a few
/// hundred milliseconds while tickets on the others keep arriving.
const REPLAY_WINDOW_BITS: usize = 16_384;

/// Verifies the tickets of requests that other hosts forward to this host.
#[derive(Debug)]
pub struct ForwardVerifier {
    ring: KeyRing,
    replays: Mutex<ReplayGuard>,
}

impl ForwardVerifier {
    /// Creates a verifier that accepts tickets of `hosts`.
    pub fn new(frames: &KeyRing, hosts: impl IntoIterator<Item = HostId>) -> Self {
        let replays = ReplayGuard::new(hosts, REPLAY_WINDOW_BITS);
        Self { ring: frames.derive(KEY_CONTEXT), replays: Mutex::new(replays) }
    }

    /// Verifies and decodes a ticket. Returns an error if its signature is invalid, its sender is
    /// not accepted or it was used before.
    pub fn verify(&self, hex: &[u8]) -> Result<ForwardTicket, FrameError> {
        FrameLimit::Datagram.check(hex.len() / 2)?;
        let frame = decode_hex(hex).ok_or(FrameError::Malformed)?;
        let frame = decode_frame(&self.ring, FrameLimit::Datagram, &frame)?;
        self.replays.lock().unwrap_or_else(PoisonError::into_inner).accept(&frame.header)?;
        Ok(frame.body)
    }
}

/// Decodes pairs of hexadecimal digits. Returns `None` if `hex` contains anything else.
pub(crate) fn decode_hex(hex: &[u8]) -> Option<Vec<u8>> {
    let (pairs, rest) = hex.as_chunks::<2>();
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let decode = |[high, low]: &[u8; 2]| Some((digit(*high)? * 16 + digit(*low)?) as u8);
    if rest.is_empty() { pairs.iter().map(decode).collect() } else { None }
}
