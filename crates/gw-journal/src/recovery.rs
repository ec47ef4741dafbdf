use std::io;

use crate::Error;
use crate::HardState;
use crate::Journal;
use crate::JournalOptions;
use crate::RecordSink;
use crate::RecoveredTail;
use crate::SnapshotRecord;
use crate::Storage;
use crate::frame::Frame;
use crate::journal::SNAPSHOT_FILE_NUMBER;
use crate::journal::create_segment;
use crate::journal::replace_file;
use crate::segment_list::Segment;
use crate::segment_list::SegmentList;
use crate::segment_list::is_temporary;
use crate::segment_list::parse_segment;
use crate::segment_list::parse_snapshot;
use crate::segment_list::segment_name;
use crate::segment_list::snapshot_name;

/// Opens a journal. See [`Journal::open`].
pub(crate) fn open(
    mut storage: Box<dyn Storage>,
    options: JournalOptions,
    sink: &mut dyn RecordSink,
) -> Result<(Journal, RecoveredTail), Error> {
    lock_folder(&mut *storage)?;
    let names = remove_temporary(&mut *storage)?;
    let snapshot = read_snapshot(&mut *storage, &names)?;
    let snapshot_index = snapshot.as_ref().map(|snapshot| snapshot.index);
    let numbers = segment_numbers(&names, snapshot_index.is_some())?;
    snapshot.map_or(Ok(()), |snapshot| sink.set_snapshot(snapshot))?;
    let mut reader = SegmentReader::new(snapshot_index, sink);
    for &number in &numbers {
        reader.read_segment(&mut *storage, number, numbers.last() == Some(&number))?;
    }
    let written = prepare_last_segment(&mut *storage, &mut reader)?;
    let (tail, indexes) = (reader.tail, (reader.snapshot_index(), reader.last_index()));
    let segments = reader.segments;
    let journal =
        Journal::from_recovered(storage, options, segments, written, tail.hard_state, indexes);
    Ok((journal, tail))
}

fn lock_folder(storage: &mut dyn Storage) -> Result<(), Error> {
    storage.lock().map_err(|source| match source.kind() {
        io::ErrorKind::WouldBlock => Error::Locked,
        _ => Error::storage("lock", "", source),
    })
}

/// Removes the temporary files that a crash has left, and returns the names of the other files.
fn remove_temporary(storage: &mut dyn Storage) -> Result<Vec<String>, Error> {
    let names = storage.list().map_err(|e| Error::storage("list", "", e))?;
    let (temporary, names): (Vec<_>, Vec<_>) =
        names.into_iter().partition(|name| is_temporary(name));
    for name in &temporary {
        storage.remove(name).map_err(|e| Error::storage("remove", name, e))?;
    }
    Ok(names)
}

fn read_file(storage: &mut dyn Storage, name: &str) -> Result<Vec<u8>, Error> {
    storage.read(name).map_err(|e| Error::storage("read", name, e))
}

fn corrupt_error(file: &str, offset: usize, reason: &'static str) -> Error {
    Error::Corrupt { file: file.to_owned(), offset: offset as u64, reason }
}

fn read_snapshot(
    storage: &mut dyn Storage,
    names: &[String],
) -> Result<Option<SnapshotRecord>, Error> {
    let Some(index) = names.iter().filter_map(|name| parse_snapshot(name)).max() else {
        return Ok(None);
    };
    let name = snapshot_name(index);
    let bytes = read_file(storage, &name)?;
    match Frame::decode(&bytes, 0, SNAPSHOT_FILE_NUMBER) {
        Ok((Frame::Snapshot { index: found, payload }, end))
            if found == index && end == bytes.len() =>
        {
            Ok(Some(SnapshotRecord { index, payload: payload.to_vec() }))
        }
        Ok(_) => Err(corrupt_error(&name, 0, "file is not the snapshot that its name states")),
        Err(reason) => Err(corrupt_error(&name, 0, reason)),
    }
}

fn segment_numbers(names: &[String], has_snapshot: bool) -> Result<Vec<u64>, Error> {
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| parse_segment(name)).collect();
    numbers.sort_unstable();
    if let Some(gap) = numbers.windows(2).find(|pair| pair[0] + 1 != pair[1]) {
        return Err(corrupt_error(&segment_name(gap[0] + 1), 0, "segment is missing"));
    }
    if numbers.is_empty() && has_snapshot {
        return Err(corrupt_error(&segment_name(1), 0, "segment is missing"));
    }
    Ok(numbers)
}

/// Prepares the last segment for appends and returns its length in bytes.
///
/// Always rewrites the segment: after a failed sync in an earlier run, the operating system may
/// hold its content in memory without writing it to disk on the next sync.
fn prepare_last_segment(
    storage: &mut dyn Storage,
    reader: &mut SegmentReader<'_>,
) -> Result<u64, Error> {
    let bytes = std::mem::take(&mut reader.last_bytes);
    let number = reader.segments.current().max(1);
    if reader.segments.segments.is_empty() {
        reader.segments.segments.push(Segment { number, max_index: 0 });
        return create_segment(storage, number, reader.tail.hard_state);
    }
    let bytes = match bytes.is_empty() {
        true => encode_hard_state(number, reader.tail.hard_state),
        false => bytes,
    };
    replace_file(storage, &segment_name(number), &[&bytes])?;
    Ok(bytes.len() as u64)
}

fn encode_hard_state(number: u64, hard_state: HardState) -> Vec<u8> {
    let mut bytes = Vec::new();
    Frame::HardState(hard_state).encode(number, 0, &mut bytes);
    bytes
}

/// Recovers the records, term and vote from segments, which are read oldest first.
struct SegmentReader<'a> {
    sink: &'a mut dyn RecordSink,
    tail: RecoveredTail,
    snapshot_index: Option<u64>,
    segments: SegmentList,
    /// Valid prefix of the last segment.
    last_bytes: Vec<u8>,
    /// Indexes of the first and the last record read so far, covered by the snapshot or not, without
    /// those that were removed.
    indexes: Option<(u64, u64)>,
}

impl<'a> SegmentReader<'a> {
    fn new(snapshot_index: Option<u64>, sink: &'a mut dyn RecordSink) -> Self {
        Self {
            sink,
            tail: RecoveredTail::default(),
            snapshot_index,
            segments: SegmentList::default(),
            last_bytes: Vec::new(),
            indexes: None,
        }
    }

    fn snapshot_index(&self) -> u64 {
        self.snapshot_index.unwrap_or_default()
    }

    fn last_index(&self) -> u64 {
        self.indexes.map_or(0, |(_, last)| last).max(self.snapshot_index())
    }

    fn read_segment(
        &mut self,
        storage: &mut dyn Storage,
        number: u64,
        is_last: bool,
    ) -> Result<(), Error> {
        let name = segment_name(number);
        let mut bytes = read_file(storage, &name)?;
        self.segments.segments.push(Segment { number, max_index: 0 });
        let valid_len = self.read_frames(&name, &bytes, number)?;
        if valid_len < bytes.len() || bytes.is_empty() {
            self.check_discarded_tail(&name, &bytes, valid_len, is_last)?;
            self.tail.discarded_tail_bytes = (bytes.len() - valid_len) as u64;
            bytes.truncate(valid_len);
        }
        if is_last {
            self.last_bytes = bytes;
        }
        Ok(())
    }

    /// Reads all valid frames. Returns the offset of the first invalid one, or the length of
    /// `bytes`.
    fn read_frames(&mut self, name: &str, bytes: &[u8], number: u64) -> Result<usize, Error> {
        let mut offset = 0;
        while offset < bytes.len() {
            let Ok((frame, end)) = Frame::decode(bytes, offset, number) else { break };
            self.apply_frame(frame, name, offset)?;
            offset = end;
        }
        Ok(offset)
    }

    /// Returns an error unless the bytes after `valid_len` can be a tail that was never synced.
    fn check_discarded_tail(
        &self,
        name: &str,
        bytes: &[u8],
        valid_len: usize,
        is_last: bool,
    ) -> Result<(), Error> {
        let reason =
            Frame::decode(bytes, valid_len, self.segments.current()).err().unwrap_or_default();
        if !is_last || Frame::any_valid_after(bytes, valid_len, self.segments.current()) {
            return Err(corrupt_error(name, valid_len, reason));
        }
        // The start of a segment is synced before older segments are removed or a snapshot is
        // saved, so it is never an unsynced tail then.
        let is_first = self.segments.segments.len() == 1;
        let may_be_new = self.segments.current() == 1 && self.snapshot_index.is_none();
        if valid_len == 0 && is_first && !may_be_new {
            return Err(corrupt_error(name, valid_len, reason));
        }
        Ok(())
    }

    fn apply_frame(&mut self, frame: Frame<'_>, name: &str, offset: usize) -> Result<(), Error> {
        match frame {
            Frame::HardState(hard_state) => self.tail.hard_state = hard_state,
            Frame::Truncate { from } => self.truncate_from(from),
            Frame::Entry { index, payload } => self.add_record(index, payload, name, offset)?,
            Frame::Snapshot { .. } => {
                return Err(corrupt_error(name, offset, "snapshot frame in a segment"));
            }
        }
        Ok(())
    }

    fn add_record(
        &mut self,
        index: u64,
        payload: &[u8],
        name: &str,
        offset: usize,
    ) -> Result<(), Error> {
        self.segments.update_max_index(index);
        if let Some((_, last)) = self.indexes
            && index != last + 1
        {
            // The index of a snapshot received from the leader may be beyond the last record.
            if index <= last || index > self.snapshot_index() + 1 {
                return Err(corrupt_error(name, offset, "record does not follow its predecessor"));
            }
            self.truncate_from(0);
        }
        let first = self.indexes.map_or(index, |(first, _)| first);
        if first > self.snapshot_index() + 1 {
            return Err(corrupt_error(name, offset, "records before this one are missing"));
        }
        self.indexes = Some((first, index));
        if index > self.snapshot_index() {
            self.sink.push(index, payload)?;
        }
        Ok(())
    }

    fn truncate_from(&mut self, index: u64) {
        let remaining = self.indexes.filter(|(first, _)| *first < index);
        self.indexes = remaining.map(|(first, last)| (first, last.min(index.saturating_sub(1))));
        self.sink.truncate_from(index.max(self.snapshot_index() + 1));
    }
}
