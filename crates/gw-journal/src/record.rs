/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Index in the log, one higher than the index of the preceding record.
    pub index: u64,
    /// Content, not interpreted by the journal.
    pub payload: Vec<u8>,
}

/// Term and vote of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term that the replica has seen.
    pub term: u64,
    /// Host that the replica voted for in `term`, if any.
    pub vote: Option<u16>,
}

/// Snapshot of applied state, which replaces the log up to `index`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotRecord {
    /// Last record that the snapshot covers.
    pub index: u64,
    /// Content, not interpreted by the journal.
    pub payload: Vec<u8>,
}

/// Content of a journal when it was opened, without its snapshot and records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveredTail {
    /// The last synced term and vote.
    pub hard_state: HardState,
    /// Length of the incomplete or corrupt tail that was discarded, in bytes.
    pub discarded_tail_bytes: u64,
}

/// Content of a journal when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The last synced term and vote.
    pub hard_state: HardState,
    /// The last snapshot, if any.
    pub snapshot: Option<SnapshotRecord>,
    /// Records after the snapshot, with consecutive indexes.
    pub records: Vec<Record>,
    /// Length of the incomplete or corrupt tail that was discarded, in bytes.
    pub discarded_tail_bytes: u64,
}
