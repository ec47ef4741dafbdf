/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the log; each record's index is one more than its predecessor's.
    pub index: u64,
    /// Opaque content.
    pub payload: Vec<u8>,
}

/// Term and vote of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Host that got the vote in `term`.
    pub vote: Option<u16>,
}

/// Applied state that replaces the log up to `index`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotRecord {
    /// Last record that the snapshot covers.
    pub index: u64,
    /// Opaque content.
    pub payload: Vec<u8>,
}

/// What a journal held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The last term and vote.
    pub hard_state: HardState,
    /// The last snapshot.
    pub snapshot: Option<SnapshotRecord>,
    /// Records after the snapshot, without gaps.
    pub records: Vec<Record>,
    /// Bytes of an incomplete or damaged tail that were cut off.
    pub discarded_tail_bytes: u64,
}
