use crate::Envelope;
use crate::HardState;
use crate::LogEntry;
use crate::LogIndex;
use crate::Snapshot;

/// Identifies a [`PersistBatch`]. Passed to [`crate::ReplicaNode::persisted`] once the batch is
/// synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistToken(pub(crate) u64);

/// State to write and sync, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistBatch {
    /// First of the entries to remove from the log; all later ones are removed too.
    pub truncate_from: Option<LogIndex>,
    /// Snapshot that replaces the log up to its index. Must be written after the truncation is
    /// synced: otherwise a crash could leave entries after the snapshot that conflict with it.
    pub snapshot: Option<Snapshot>,
    /// Entries to append, with consecutive indexes.
    pub entries: Vec<LogEntry>,
    /// Term and vote to store; `None` if they are unchanged.
    pub hard_state: Option<HardState>,
}

impl PersistBatch {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the size of the entries, in bytes.
    pub fn entry_bytes(&self) -> usize {
        self.entries.iter().map(LogEntry::size_bytes).sum()
    }
}

/// Work that a replica hands over to its caller.
#[derive(Clone, Debug)]
pub struct Ready {
    /// Identifies `persist`.
    pub token: PersistToken,
    /// State to write and sync before `messages_after_sync` are sent.
    pub persist: PersistBatch,
    /// Messages that may be sent immediately.
    pub messages: Vec<Envelope>,
    /// Messages that rely on persisted state. May be sent only once `persist` and all earlier
    /// batches are synced.
    pub messages_after_sync: Vec<Envelope>,
    /// Received or recovered snapshot that replaces the applied state before `committed` is
    /// applied.
    pub install: Option<Snapshot>,
    /// Committed entries to apply in order. All are synced on this replica; their size is limited
    /// by `ReplicaOptions::max_batch_bytes`.
    pub committed: Vec<LogEntry>,
}

impl Ready {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.persist.is_empty()
            && self.messages.is_empty()
            && self.messages_after_sync.is_empty()
            && self.install.is_none()
            && self.committed.is_empty()
    }
}
