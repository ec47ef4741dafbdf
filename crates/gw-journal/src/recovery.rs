use std::io;

use crate::Error;
use crate::HardState;
use crate::Journal;
use crate::JournalOptions;
use crate::Record;
use crate::Recovered;
use crate::SnapshotRecord;
use crate::Storage;
use crate::frame::Frame;
use crate::journal::SNAPSHOT_FILE;
use crate::journal::create_segment;
use crate::journal::replace_file;
use crate::segment_list::Segment;
use crate::segment_list::SegmentList;
use crate::segment_list::is_temporary;
use crate::segment_list::parse_segment;
use crate::segment_list::parse_snapshot;
use crate::segment_list::segment_name;
use crate::segment_list::snapshot_name;

/// Opens a journal; see [`Journal::open`].
pub(crate) fn open(
    mut storage: Box<dyn Storage>,
    options: JournalOptions,
) -> Result<(Journal, Recovered), Error> {
    claim(&mut *storage)?;
    let names = remove_temporary(&mut *storage)?;
    let snapshot = read_snapshot(&mut *storage, &names)?;
    let numbers = segment_numbers(&names, snapshot.is_some())?;
    let mut reader = SegmentReader::new(snapshot);
    for &number in &numbers {
        reader.read(&mut *storage, number, numbers.last() == Some(&number))?;
    }
    reader.check_start()?;
    let written = prepare_last(&mut *storage, &mut reader)?;
    let recovered = reader.recovered;
    let journal = Journal::from_recovered(storage, options, reader.segments, written, &recovered);
    Ok((journal, recovered))
}

fn claim(storage: &mut dyn Storage) -> Result<(), Error> {
    storage.lock().map_err(|source| match source.kind() {
        io::ErrorKind::WouldBlock => Error::Locked,
        _ => Error::storage("lock", "", source),
    })
}

/// Removes files that a crash left incomplete and returns the names of the others.
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

fn corrupt(file: &str, offset: usize, reason: &'static str) -> Error {
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
    match Frame::decode(&bytes, 0, SNAPSHOT_FILE) {
        Ok((Frame::Snapshot { index: found, payload }, end))
            if found == index && end == bytes.len() =>
        {
            Ok(Some(SnapshotRecord { index, payload: payload.to_vec() }))
        }
        Ok(_) => Err(corrupt(&name, 0, "not the snapshot that the name says")),
        Err(reason) => Err(corrupt(&name, 0, reason)),
    }
}

fn segment_numbers(names: &[String], has_snapshot: bool) -> Result<Vec<u64>, Error> {
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| parse_segment(name)).collect();
    numbers.sort_unstable();
    if let Some(gap) = numbers.windows(2).find(|pair| pair[0] + 1 != pair[1]) {
        return Err(corrupt(&segment_name(gap[0] + 1), 0, "segment is missing"));
    }
    if numbers.is_empty() && has_snapshot {
        return Err(corrupt(&segment_name(1), 0, "segment is missing"));
    }
    Ok(numbers)
}

/// Brings the last segment into a state that can be appended to and returns its length.
///
/// Always writes the segment anew: after a failed sync of an earlier run, the system may hold its
/// content in memory without writing it again on the next sync.
fn prepare_last(storage: &mut dyn Storage, reader: &mut SegmentReader) -> Result<u64, Error> {
    let bytes = std::mem::take(&mut reader.last_bytes);
    let number = reader.segments.current().max(1);
    if reader.segments.segments.is_empty() {
        reader.segments.segments.push(Segment { number, max_index: 0 });
        return create_segment(storage, number, reader.recovered.hard_state);
    }
    let bytes = match bytes.is_empty() {
        true => encode_hard_state(number, reader.recovered.hard_state),
        false => bytes,
    };
    replace_file(storage, &segment_name(number), &bytes)?;
    Ok(bytes.len() as u64)
}

fn encode_hard_state(number: u64, hard_state: HardState) -> Vec<u8> {
    let mut bytes = Vec::new();
    Frame::HardState(hard_state).encode(number, 0, &mut bytes);
    bytes
}

/// Collects records from segments, oldest first.
struct SegmentReader {
    recovered: Recovered,
    segments: SegmentList,
    /// Valid bytes of the last segment.
    last_bytes: Vec<u8>,
    /// Where the first of `recovered.records` stands.
    first_record: (String, usize),
}

impl SegmentReader {
    fn new(snapshot: Option<SnapshotRecord>) -> Self {
        Self {
            recovered: Recovered { snapshot, ..Recovered::default() },
            segments: SegmentList::default(),
            last_bytes: Vec::new(),
            first_record: Default::default(),
        }
    }

    fn snapshot_index(&self) -> u64 {
        self.recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    fn read(&mut self, storage: &mut dyn Storage, number: u64, last: bool) -> Result<(), Error> {
        let name = segment_name(number);
        let mut bytes = read_file(storage, &name)?;
        self.segments.segments.push(Segment { number, max_index: 0 });
        let valid = self.read_frames(&name, &bytes, number)?;
        if valid < bytes.len() || bytes.is_empty() {
            self.check_cut(&name, &bytes, valid, last)?;
            self.recovered.discarded_tail_bytes = (bytes.len() - valid) as u64;
            bytes.truncate(valid);
        }
        if last {
            self.last_bytes = bytes;
        }
        Ok(())
    }

    /// Returns the offset of the first frame that is not valid, or the length of `bytes`.
    fn read_frames(&mut self, name: &str, bytes: &[u8], number: u64) -> Result<usize, Error> {
        let mut offset = 0;
        while offset < bytes.len() {
            let Ok((frame, end)) = Frame::decode(bytes, offset, number) else { break };
            self.take_frame(frame, name, offset)?;
            offset = end;
        }
        Ok(offset)
    }

    /// Decides whether the bytes after `valid` are a tail that was never synced.
    fn check_cut(&self, name: &str, bytes: &[u8], valid: usize, last: bool) -> Result<(), Error> {
        let reason = Frame::decode(bytes, valid, self.segments.current()).err().unwrap_or_default();
        if !last || Frame::any_after(bytes, valid, self.segments.current()) {
            return Err(corrupt(name, valid, reason));
        }
        // A segment's start is synced before older segments are removed or a snapshot is saved.
        let is_first = self.segments.segments.len() == 1;
        let may_be_new = self.segments.current() == 1 && self.recovered.snapshot.is_none();
        if valid == 0 && is_first && !may_be_new {
            return Err(corrupt(name, valid, reason));
        }
        Ok(())
    }

    fn take_frame(&mut self, frame: Frame<'_>, name: &str, offset: usize) -> Result<(), Error> {
        match frame {
            Frame::HardState(hard_state) => self.recovered.hard_state = hard_state,
            Frame::Truncate { from } => self.recovered.records.retain(|r| r.index < from),
            Frame::Entry { index, payload } => self.take_record(index, payload, name, offset)?,
            Frame::Snapshot { .. } => return Err(corrupt(name, offset, "snapshot in a segment")),
        }
        Ok(())
    }

    fn take_record(
        &mut self,
        index: u64,
        payload: &[u8],
        name: &str,
        offset: usize,
    ) -> Result<(), Error> {
        self.segments.note_index(index);
        if let Some(last) = self.recovered.records.last()
            && index != last.index + 1
        {
            // A snapshot that was received from the leader may lie beyond the last record.
            if index <= last.index || index > self.snapshot_index() + 1 {
                return Err(corrupt(name, offset, "record does not follow its predecessor"));
            }
            self.recovered.records.clear();
        }
        if self.recovered.records.is_empty() {
            self.first_record = (name.to_owned(), offset);
        }
        self.recovered.records.push(Record { index, payload: payload.to_vec() });
        Ok(())
    }

    /// Drops the records that the snapshot covers; the others must follow it.
    fn check_start(&mut self) -> Result<(), Error> {
        let snapshot_index = self.snapshot_index();
        self.recovered.records.retain(|record| record.index > snapshot_index);
        match self.recovered.records.first() {
            Some(record) if record.index != snapshot_index + 1 => {
                let (name, offset) = &self.first_record;
                Err(corrupt(name, *offset, "records before this one are missing"))
            }
            _ => Ok(()),
        }
    }
}
