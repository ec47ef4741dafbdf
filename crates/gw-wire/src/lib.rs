//! Codec for authenticated frames between hosts, with length limits and replay protection.
//!
//! A frame consists of a header (version byte, sender, boot id, sequence and key id), a body
//! encoded with postcard, and a 16-byte authenticator over header and body. The integers of the
//! header are little-endian. This crate does no I/O.
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
