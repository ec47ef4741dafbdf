use crate::HardState;
use crate::LogEntry;
use crate::Snapshot;

/// Error of decoding a replica's state from a journal.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// A record's payload is not an encoded [`LogEntry`].
    #[error("journal record is not a log entry: {0}")]
    Entry(postcard::Error),
    /// A snapshot's payload is not an encoded [`Snapshot`].
    #[error("journal snapshot cannot be read: {0}")]
    Snapshot(postcard::Error),
}

/// State that a replica had synced before it was restarted. Empty for a new replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The last synced term and vote.
    pub hard_state: HardState,
    /// The last synced snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, with consecutive indexes.
    pub entries: Vec<LogEntry>,
}

impl RecoveredState {
    /// Decodes the state that a journal has recovered, given the payloads of its snapshot and of
    /// its records.
    pub fn decode<'a>(
        hard_state: HardState,
        snapshot: Option<&[u8]>,
        records: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<Self, DecodeError> {
        let snapshot = snapshot.map(Snapshot::decode).transpose()?;
        let entries = records.into_iter().map(LogEntry::decode).collect::<Result<_, _>>()?;
        Ok(Self { hard_state, snapshot, entries })
    }
}
