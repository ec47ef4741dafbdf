use std::sync::Arc;

use crate::Snapshot;
use crate::SnapshotMeta;
use crate::Term;

/// A snapshot that is being received in parts.
#[derive(Debug)]
pub(crate) struct SnapshotAssembly {
    /// Parts of two leaders must not be mixed: equal states may differ in their bytes.
    leader_term: Term,
    meta: SnapshotMeta,
    total_bytes: u64,
    /// Received without gaps; at most `total` bytes.
    bytes: Vec<u8>,
}

impl SnapshotAssembly {
    pub(crate) fn new(leader_term: Term, meta: SnapshotMeta, total_bytes: u64) -> Self {
        Self { leader_term, meta, total_bytes, bytes: Vec::new() }
    }

    pub(crate) fn is_of(&self, leader_term: Term, meta: &SnapshotMeta, total_bytes: u64) -> bool {
        self.leader_term == leader_term && self.meta == *meta && self.total_bytes == total_bytes
    }

    pub(crate) fn received_bytes(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Adds a part if it follows what was received.
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
