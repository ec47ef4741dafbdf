//! Frame codec with length limit, keyed authenticator and replay window.
//!
//! A frame is: version byte, sender, boot id, sequence, key id, postcard body, 16-byte authenticator
//! over everything before it. Integers of the head are little-endian. Nothing here does I/O.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod frame;
mod frame_error;
mod frame_header;
mod frame_limit;
mod key_ring;
mod replay_guard;
mod replay_window;
mod stream_decoder;

pub use frame::Frame;
pub use frame::decode_frame;
pub use frame::encode_frame;
pub use frame_error::FrameError;
pub use frame_header::FrameHeader;
pub use frame_header::HEADER_BYTES;
pub use frame_limit::FrameLimit;
pub use frame_limit::MAX_DATAGRAM_BYTES;
pub use frame_limit::MAX_STREAM_FRAME_BYTES;
pub use key_ring::AUTHENTICATOR_BYTES;
pub use key_ring::FrameKey;
pub use key_ring::KeyId;
pub use key_ring::KeyRing;
pub use key_ring::KeyRingError;
pub use replay_guard::ReplayGuard;
pub use replay_window::ReplayWindow;
pub use stream_decoder::LENGTH_PREFIX_BYTES;
pub use stream_decoder::StreamDecoder;
pub use stream_decoder::length_prefix;
