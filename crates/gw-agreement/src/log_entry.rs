use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::DecodeError;
use crate::LogIndex;
use crate::Membership;
use crate::Term;

/// Upper bound of an entry's encoded size without the content of its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Index of the entry in the log.
    pub index: LogIndex,
    /// Term of the leader that created the entry. Index and term together identify an entry.
    pub term: Term,
    /// Type and content of the entry.
    pub payload: EntryPayload,
}

/// Type and content of a [`LogEntry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Appended by each leader at the start of its term, so that entries of earlier terms can be
    /// committed.
    Noop,
    /// A command of the application, opaque to this crate. Shared by the copies of the entry in the
    /// log, in messages and in batches to write.
    Command(#[serde(with = "gw_types::raw_bytes")] Arc<[u8]>),
    /// The group's membership from this entry on.
    Membership(Membership),
}

impl LogEntry {
    /// Encodes the entry as the payload of a journal record.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = Vec::with_capacity(self.size_bytes());
        postcard::to_extend(self, bytes).unwrap_or_default()
    }

    /// Decodes the payload of a journal record.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        postcard::from_bytes(bytes).map_err(DecodeError::Entry)
    }

    /// Returns an upper bound of the entry's encoded size, in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        let payload = match &self.payload {
            EntryPayload::Noop => 0,
            EntryPayload::Command(command) => command.len(),
            EntryPayload::Membership(membership) => membership.len() * 4,
        };
        ENTRY_OVERHEAD_BYTES + payload
    }
}
