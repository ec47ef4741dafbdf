use crate::Error;
use crate::HardState;
use crate::Record;
use crate::RecordSink;
use crate::Recovered;
use crate::RecoveredTail;
use crate::SnapshotRecord;
use crate::Storage;
use crate::frame::Frame;
use crate::frame::MAX_PAYLOAD_LEN;
use crate::record_sink::RecordList;
use crate::recovery;
use crate::segment_list::Segment;
use crate::segment_list::SegmentList;
use crate::segment_list::parse_snapshot;
use crate::segment_list::segment_name;
use crate::segment_list::snapshot_name;
use crate::segment_list::temporary_name;

/// File number in the checksum of snapshot frames. Segments are numbered from 1.
pub(crate) const SNAPSHOT_FILE_NUMBER: u64 = 0;

/// Capacity of the buffer for frames that is kept after a write, in bytes; fits most writes.
const MAX_KEPT_BUFFER_BYTES: usize = 64 * 1024;

/// Settings of a [`Journal`].
#[derive(Clone, Debug)]
pub struct JournalOptions {
    /// Size of a segment, in bytes, at which the next one is started.
    pub max_segment_bytes: u64,
}

impl Default for JournalOptions {
    /// Segments of 8 MiB. Opening a journal rewrites one segment, so larger ones delay the start.
    fn default() -> Self {
        Self { max_segment_bytes: 8 * 1024 * 1024 }
    }
}

/// Durable log, term, vote and snapshot of one replica.
///
/// After a failed write or sync, all further writes are rejected with [`Error::Failed`]: the
/// operating system may have dropped the pages that it could not write, so that a later sync would
/// succeed without them. Opening the journal again rewrites the last segment.
pub struct Journal {
    storage: Box<dyn Storage>,
    options: JournalOptions,
    segments: SegmentList,
    /// Bytes of the current segment that were passed to the storage.
    written: u64,
    /// Encoded frames that follow the written bytes.
    pending: Vec<u8>,
    /// The last saved term and vote. Repeated at the start of each segment, so that older segments
    /// can be removed.
    hard_state: HardState,
    /// Index of the last record or of the snapshot, whichever is higher.
    last_index: u64,
    snapshot_index: u64,
    failed: bool,
}

impl Journal {
    /// Locks the folder, recovers its content and discards an incomplete tail.
    ///
    /// Fails with [`Error::Corrupt`] if a synced record is corrupt, and with [`Error::Locked`] if
    /// another process uses the folder.
    pub fn open(
        storage: Box<dyn Storage>,
        options: JournalOptions,
    ) -> Result<(Self, Recovered), Error> {
        let mut list = RecordList::default();
        let (journal, tail) = Self::open_into(storage, options, &mut list)?;
        let RecordList { snapshot, records } = list;
        let RecoveredTail { hard_state, discarded_tail_bytes } = tail;
        Ok((journal, Recovered { hard_state, snapshot, records, discarded_tail_bytes }))
    }

    /// Like [`Journal::open`], but passes the snapshot and the records to `sink`. Only one segment is
    /// in memory at a time.
    pub fn open_into(
        storage: Box<dyn Storage>,
        options: JournalOptions,
        sink: &mut dyn RecordSink,
    ) -> Result<(Self, RecoveredTail), Error> {
        recovery::open(storage, options, sink)
    }

    pub(crate) fn from_recovered(
        storage: Box<dyn Storage>,
        options: JournalOptions,
        segments: SegmentList,
        written: u64,
        hard_state: HardState,
        (snapshot_index, last_index): (u64, u64),
    ) -> Self {
        Self {
            storage,
            options,
            segments,
            written,
            pending: Vec::new(),
            hard_state,
            last_index,
            snapshot_index,
            failed: false,
        }
    }

    /// Index of the last record or of the snapshot, whichever is higher.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Returns whether an earlier write or sync failed, so that all writes are rejected.
    pub fn is_failed(&self) -> bool {
        self.failed
    }

    /// Appends records with the indexes that follow the last one. Durable after [`Journal::sync`].
    pub fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        self.check_usable()?;
        self.check_records(records)?;
        for record in records {
            self.push_frame(Frame::Entry { index: record.index, payload: &record.payload });
            self.segments.update_max_index(record.index);
            self.last_index = record.index;
        }
        Ok(())
    }

    /// Removes the record at `index` and all later ones. Durable after [`Journal::sync`].
    pub fn truncate_from(&mut self, index: u64) -> Result<(), Error> {
        self.check_usable()?;
        if index <= self.snapshot_index {
            return Err(Error::OutOfOrder { found: index, expected: self.snapshot_index + 1 });
        }
        if index <= self.last_index {
            self.push_frame(Frame::Truncate { from: index });
            self.last_index = index - 1;
        }
        Ok(())
    }

    /// Replaces term and vote. Durable after [`Journal::sync`].
    pub fn save_hard_state(&mut self, hard_state: HardState) -> Result<(), Error> {
        self.check_usable()?;
        self.hard_state = hard_state;
        self.push_frame(Frame::HardState(hard_state));
        Ok(())
    }

    /// Makes all earlier appends, truncations, terms and votes durable.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.check_usable()?;
        self.run_operation(|journal| journal.write_pending()?.roll_segment_when_full())
    }

    /// Syncs earlier writes, then makes `snapshot` durable. Records up to its index are no longer
    /// recovered. Ignores a snapshot that is not newer than the last one.
    pub fn save_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<(), Error> {
        self.check_usable()?;
        check_payload(snapshot.payload.len())?;
        if snapshot.index <= self.snapshot_index {
            return Ok(());
        }
        self.run_operation(|journal| journal.write_pending()?.write_snapshot(snapshot))?;
        self.snapshot_index = snapshot.index;
        self.last_index = self.last_index.max(snapshot.index);
        Ok(())
    }

    /// Removes the snapshots and segments that the last snapshot replaces.
    pub fn compact(&mut self) -> Result<(), Error> {
        self.check_usable()?;
        self.run_operation(|journal| {
            journal.remove_old_snapshots()?;
            journal.remove_old_segments()
        })
    }

    fn check_usable(&self) -> Result<(), Error> {
        if self.failed { Err(Error::Failed) } else { Ok(()) }
    }

    fn check_records(&self, records: &[Record]) -> Result<(), Error> {
        for (expected, record) in (self.last_index + 1..).zip(records) {
            check_payload(record.payload.len())?;
            if record.index != expected {
                return Err(Error::OutOfOrder { found: record.index, expected });
            }
        }
        Ok(())
    }

    fn push_frame(&mut self, frame: Frame<'_>) {
        let offset = self.written + self.pending.len() as u64;
        frame.encode(self.segments.current(), offset, &mut self.pending);
    }

    /// Runs `operation`. If it fails, all later writes are rejected.
    fn run_operation(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), Error>,
    ) -> Result<(), Error> {
        let result = operation(self);
        self.failed = result.is_err();
        result
    }

    fn write_pending(&mut self) -> Result<&mut Self, Error> {
        if self.pending.is_empty() {
            return Ok(self);
        }
        let name = segment_name(self.segments.current());
        append_synced(&mut *self.storage, &name, &[&self.pending])?;
        self.written += self.pending.len() as u64;
        self.pending.clear();
        self.pending.shrink_to(MAX_KEPT_BUFFER_BYTES);
        Ok(self)
    }

    fn roll_segment_when_full(&mut self) -> Result<(), Error> {
        if self.written < self.options.max_segment_bytes {
            return Ok(());
        }
        let number = self.segments.current() + 1;
        self.written = create_segment(&mut *self.storage, number, self.hard_state)?;
        self.segments.segments.push(Segment { number, max_index: 0 });
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<(), Error> {
        let (index, payload) = (snapshot.index, &snapshot.payload[..]);
        let prefix = Frame::snapshot_prefix(index, payload, SNAPSHOT_FILE_NUMBER);
        replace_file(&mut *self.storage, &snapshot_name(index), &[&prefix, payload])
    }

    fn remove_old_snapshots(&mut self) -> Result<(), Error> {
        let names = self.storage.list().map_err(|e| Error::storage("list", "", e))?;
        let is_old = |name: &&String| parse_snapshot(name).is_some_and(|i| i < self.snapshot_index);
        for name in names.iter().filter(is_old) {
            self.storage.remove(name).map_err(|e| Error::storage("remove", name, e))?;
        }
        Ok(())
    }

    /// Syncs the folder after each removal, so that a crash cannot leave a gap between segments.
    fn remove_old_segments(&mut self) -> Result<(), Error> {
        while let Some(number) = self.segments.oldest_covered(self.snapshot_index) {
            let name = segment_name(number);
            self.storage.remove(&name).map_err(|e| Error::storage("remove", &name, e))?;
            sync_folder(&mut *self.storage)?;
            self.segments.segments.remove(0);
        }
        Ok(())
    }
}

fn check_payload(len: usize) -> Result<(), Error> {
    if len > MAX_PAYLOAD_LEN { Err(Error::TooLarge { len }) } else { Ok(()) }
}

fn append_synced(storage: &mut dyn Storage, name: &str, parts: &[&[u8]]) -> Result<(), Error> {
    for part in parts {
        storage.append(name, part).map_err(|e| Error::storage("write", name, e))?;
    }
    storage.sync(name).map_err(|e| Error::storage("sync", name, e))
}

fn sync_folder(storage: &mut dyn Storage) -> Result<(), Error> {
    storage.sync_folder().map_err(|e| Error::storage("sync folder", "", e))
}

/// Writes and syncs a file under a temporary name, then renames it to `name`.
pub(crate) fn replace_file(
    storage: &mut dyn Storage,
    name: &str,
    parts: &[&[u8]],
) -> Result<(), Error> {
    let temporary = temporary_name(name);
    append_synced(storage, &temporary, parts)?;
    storage.rename(&temporary, name).map_err(|e| Error::storage("rename", &temporary, e))?;
    sync_folder(storage)
}

/// Creates a segment that starts with `hard_state` and returns its length.
pub(crate) fn create_segment(
    storage: &mut dyn Storage,
    number: u64,
    hard_state: HardState,
) -> Result<u64, Error> {
    let mut bytes = Vec::new();
    Frame::HardState(hard_state).encode(number, 0, &mut bytes);
    append_synced(storage, &segment_name(number), &[&bytes])?;
    sync_folder(storage)?;
    Ok(bytes.len() as u64)
}
