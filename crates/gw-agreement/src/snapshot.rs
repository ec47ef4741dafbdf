use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::DecodeError;
use crate::LogIndex;
use crate::Membership;
use crate::Term;

/// Position of a snapshot in the log, and the membership at that position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry that the snapshot covers.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership as of that entry.
    pub membership: Membership,
}

/// Applied state as of one entry, which replaces the log up to and including that entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position in the log and membership.
    pub meta: SnapshotMeta,
    /// Encoded applied state, opaque to this crate.
    #[serde(with = "gw_types::raw_bytes")]
    pub data: Arc<[u8]>,
}

impl Snapshot {
    /// Encodes the snapshot as the payload of a journal snapshot.
    pub fn encode(&self) -> Vec<u8> {
        /// Size of the position and the membership of a large group.
        const META_BYTES: usize = 256;
        let bytes = Vec::with_capacity(self.data.len() + META_BYTES);
        postcard::to_extend(self, bytes).unwrap_or_default()
    }

    /// Decodes the payload of a journal snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        postcard::from_bytes(bytes).map_err(DecodeError::Snapshot)
    }
}
