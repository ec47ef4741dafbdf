use postcard::ser_flavors::Size;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::AUTHENTICATOR_BYTES;
use crate::FrameError;
use crate::FrameHeader;
use crate::FrameLimit;
use crate::HEADER_BYTES;
use crate::KeyRing;

/// A decoded frame, whose authenticator was verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame<T> {
    /// Sender, boot id and sequence of the frame.
    pub header: FrameHeader,
    /// Decoded message.
    pub body: T,
}

/// Encodes one frame and authenticates it with the signing key of `ring`.
///
/// Checks the length before it allocates memory for the frame. Fails with [`FrameError::Oversized`]
/// or [`FrameError::Unencodable`].
pub fn encode_frame<T: Serialize + ?Sized>(
    ring: &KeyRing,
    limit: FrameLimit,
    header: &FrameHeader,
    body: &T,
) -> Result<Vec<u8>, FrameError> {
    let body_len = postcard::serialize_with_flavor(body, Size::default())
        .map_err(|_| FrameError::Unencodable)?;
    let len = HEADER_BYTES + body_len + AUTHENTICATOR_BYTES;
    limit.check(len)?;
    let mut frame = Vec::with_capacity(len);
    frame.extend_from_slice(&header.encode(ring.signing_key()));
    let mut frame = postcard::to_extend(body, frame).map_err(|_| FrameError::Unencodable)?;
    let authenticator = ring.sign(&frame);
    frame.extend_from_slice(&authenticator);
    Ok(frame)
}

/// Verifies and decodes one frame.
///
/// Checks the length, version and authenticator, in this order, before it decodes the body: the
/// body decoder never gets unauthenticated bytes. The caller must also check the header with a
/// [`ReplayGuard`](crate::ReplayGuard).
pub fn decode_frame<T: DeserializeOwned>(
    ring: &KeyRing,
    limit: FrameLimit,
    bytes: &[u8],
) -> Result<Frame<T>, FrameError> {
    limit.check(bytes.len())?;
    let truncated = || FrameError::Truncated { len: bytes.len() };
    let (signed, authenticator) =
        bytes.split_last_chunk::<AUTHENTICATOR_BYTES>().ok_or_else(truncated)?;
    let (header, body) = signed.split_first_chunk::<HEADER_BYTES>().ok_or_else(truncated)?;
    let (header, key) = FrameHeader::decode(header)?;
    ring.verify(key, signed, authenticator)?;
    match postcard::take_from_bytes(body) {
        Ok((body, [])) => Ok(Frame { header, body }),
        Ok(_) | Err(_) => Err(FrameError::Malformed),
    }
}
