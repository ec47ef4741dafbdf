use gw_types::HostId;

use crate::KeyId;

/// Reason why a frame was not encoded or not accepted. Each cause has its own variant, so that each
/// is counted separately.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than its transport permits.
    #[error("frame of {len} bytes is longer than {limit} bytes")]
    Oversized {
        /// Length of the frame in bytes, or the length announced by its prefix.
        len: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The frame is shorter than a header and an authenticator.
    #[error("frame of {len} bytes is too short")]
    Truncated {
        /// Length of the frame in bytes.
        len: usize,
    },
    /// The frame has an unsupported version of the format.
    #[error("frame has unknown version {found}")]
    Version {
        /// Version byte of the frame.
        found: u8,
    },
    /// The key ring has no key with the frame's key id.
    #[error("frame names unknown key {}", .key.0)]
    UnknownKey {
        /// Key id of the frame.
        key: KeyId,
    },
    /// The authenticator does not match the frame's content.
    #[error("authenticator does not match")]
    Authenticator,
    /// The sender is not one of the known hosts.
    #[error("frame from unknown host {sender}")]
    UnknownSender {
        /// Sender of the frame.
        sender: HostId,
    },
    /// The frame has a lower boot id than an accepted one: the sender has restarted since.
    #[error("frame is from an earlier run of its sender")]
    OldBoot,
    /// A frame with this sequence was already accepted.
    #[error("frame with sequence {sequence} was already accepted")]
    Replayed {
        /// Sequence of the frame.
        sequence: u64,
    },
    /// The sequence precedes the replay window, where a replayed frame cannot be distinguished from
    /// a delayed one.
    #[error("frame with sequence {sequence} is older than the replay window")]
    TooOld {
        /// Sequence of the frame.
        sequence: u64,
    },
    /// The body does not decode to the expected type, or bytes follow it.
    #[error("frame has a malformed body")]
    Malformed,
    /// The body cannot be encoded.
    #[error("body cannot be encoded")]
    Unencodable,
}

impl FrameError {
    /// Returns a fixed name for the cause, used in metric labels.
    pub fn cause(&self) -> &'static str {
        match self {
            FrameError::Oversized { .. } => "oversized",
            FrameError::Truncated { .. } => "truncated",
            FrameError::Version { .. } => "version",
            FrameError::UnknownKey { .. } => "unknown_key",
            FrameError::Authenticator => "authenticator",
            FrameError::UnknownSender { .. } => "unknown_sender",
            FrameError::OldBoot => "old_boot",
            FrameError::Replayed { .. } => "replayed",
            FrameError::TooOld { .. } => "too_old",
            FrameError::Malformed => "malformed",
            FrameError::Unencodable => "unencodable",
        }
    }
}
