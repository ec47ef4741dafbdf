use std::sync::Arc;

use crate::Snapshot;
use crate::SnapshotMeta;
use crate::Term;

/// Snapshot that is being received in chunks.
#[derive(Debug)]
pub(crate) struct SnapshotAssembly {
    /// Term of the leader that sends the chunks. Chunks of different leaders must not be mixed,
    /// because leaders may encode equal states differently.
    leader_term: Term,
    meta: SnapshotMeta,
    total_bytes: u64,
    /// Bytes received without gaps so far, at most `total_bytes`.
    bytes: Vec<u8>,
}

impl SnapshotAssembly {
    pub(crate) fn new(leader_term: Term, meta: SnapshotMeta, total_bytes: u64) -> Self {
        Self { leader_term, meta, total_bytes, bytes: Vec::new() }
    }

    pub(crate) fn matches(&self, leader_term: Term, meta: &SnapshotMeta, total_bytes: u64) -> bool {
        self.leader_term == leader_term && self.meta == *meta && self.total_bytes == total_bytes
    }

    pub(crate) fn received_bytes(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Appends a chunk that directly follows the received bytes; ignores any other.
    pub(crate) fn add(&mut self, offset: u64, bytes: &[u8]) {
        if offset == self.received_bytes() && offset + bytes.len() as u64 <= self.total_bytes {
            self.bytes.extend_from_slice(bytes);
        }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.received_bytes() == self.total_bytes
    }

    pub(crate) fn into_snapshot(self) -> Snapshot {
        Snapshot { meta: self.meta, data: Arc::from(self.bytes) }
    }
}
