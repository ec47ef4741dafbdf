use crate::Error;
use crate::Record;
use crate::SnapshotRecord;

/// Receives the content of a journal while it is read, so that the caller decides what is held in
/// memory. After an error, what it has received is not to be used.
pub trait RecordSink {
    /// Receives the last snapshot, before all records.
    fn set_snapshot(&mut self, snapshot: SnapshotRecord) -> Result<(), Error>;
    /// Receives a record that the snapshot does not cover. Its index follows that of the last one
    /// or, for the first one, that of the snapshot.
    fn push(&mut self, index: u64, payload: &[u8]) -> Result<(), Error>;
    /// Removes the record at `index` and all later ones.
    fn truncate_from(&mut self, index: u64);
}

/// Collects the snapshot and all records.
#[derive(Default)]
pub(crate) struct RecordList {
    pub(crate) snapshot: Option<SnapshotRecord>,
    pub(crate) records: Vec<Record>,
}

impl RecordSink for RecordList {
    fn set_snapshot(&mut self, snapshot: SnapshotRecord) -> Result<(), Error> {
        self.snapshot = Some(snapshot);
        Ok(())
    }

    fn push(&mut self, index: u64, payload: &[u8]) -> Result<(), Error> {
        self.records.push(Record { index, payload: payload.to_vec() });
        Ok(())
    }

    fn truncate_from(&mut self, index: u64) {
        self.records.retain(|record| record.index < index);
    }
}
