use std::collections::VecDeque;

use gw_agreement::EntryPayload;
use gw_agreement::LogEntry;
use gw_agreement::LogIndex;
use gw_agreement::Membership;
use gw_agreement::Snapshot;
use gw_agreement::SnapshotMeta;
use gw_journal::Error;
use gw_journal::RecordSink;
use gw_journal::SnapshotRecord;

/// Size of uncommitted commands of one term, in bytes, beyond which no leader of any build accepts a
/// further command. Entries of a term that precede its last command by more are therefore committed.
pub const MAX_UNCOMMITTED_BYTES: usize = 32 * 1024 * 1024;

/// Applied state of a replica, to which committed entries of its journal are applied.
pub trait RecoveredLog {
    /// Replaces the state by a snapshot.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String>;
    /// Applies a committed entry.
    fn apply(&mut self, entry: &LogEntry);
    /// Encodes the state.
    fn snapshot(&self) -> Result<Vec<u8>, String>;
}

/// Bounds of the entries that are held in memory while a journal is read, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryBounds {
    /// Size above which committed entries are applied and dropped.
    pub applied_above: usize,
    /// Size above which the journal is refused.
    pub refused_above: usize,
}

/// Collects the entries of a journal. Applies the oldest ones if they exceed the memory, as far as
/// they are known to be committed.
pub(crate) struct LogRecovery<'a> {
    bounds: RecoveryBounds,
    state: &'a mut dyn RecoveredLog,
    /// Position of `state`, once entries were applied to it.
    applied: Option<SnapshotMeta>,
    /// Membership of a group without a snapshot.
    initial: Membership,
    /// The snapshot of the journal, until entries are applied to it.
    snapshot: Option<Snapshot>,
    entries: VecDeque<LogEntry>,
    /// Size of the commands in `entries`.
    bytes: usize,
}

impl<'a> LogRecovery<'a> {
    pub(crate) fn new(
        bounds: RecoveryBounds,
        initial: Membership,
        state: &'a mut dyn RecoveredLog,
    ) -> Self {
        let (applied, snapshot, entries) = (None, None, VecDeque::new());
        Self { bounds, state, applied, initial, snapshot, entries, bytes: 0 }
    }

    /// Returns the snapshot and the entries after it. The snapshot is new if entries were applied.
    pub(crate) fn finish(self) -> Result<RecoveredEntries, String> {
        let is_new = self.applied.is_some();
        let snapshot = match self.applied {
            Some(meta) => Some(Snapshot { meta, data: self.state.snapshot()?.into() }),
            None => self.snapshot,
        };
        Ok(RecoveredEntries { snapshot, is_new, entries: self.entries.into() })
    }

    /// Applies the entries that are known to be committed.
    fn apply_committed(&mut self) -> Result<(), String> {
        let Some(last) = self.entries.back() else { return Ok(()) };
        let mut uncommitted = 0;
        let mut committed = 0;
        for (position, entry) in self.entries.iter().enumerate().rev().skip(1) {
            if entry.term != last.term {
                break;
            }
            uncommitted += command_len(entry);
            if uncommitted > MAX_UNCOMMITTED_BYTES {
                committed = position + 1;
                break;
            }
        }
        for entry in self.entries.drain(..committed).collect::<Vec<_>>() {
            self.bytes -= command_len(&entry);
            self.apply(entry)?;
        }
        Ok(())
    }

    fn apply(&mut self, entry: LogEntry) -> Result<(), String> {
        if let Some(snapshot) = self.snapshot.take() {
            self.state.restore(&snapshot.data)?;
            self.applied = Some(snapshot.meta);
        }
        let before = self.applied.take();
        let membership = match &entry.payload {
            EntryPayload::Membership(membership) => membership.clone(),
            _ => before.map_or_else(|| self.initial.clone(), |meta| meta.membership),
        };
        self.state.apply(&entry);
        self.applied = Some(SnapshotMeta { index: entry.index, term: entry.term, membership });
        Ok(())
    }
}

impl RecordSink for LogRecovery<'_> {
    fn set_snapshot(&mut self, snapshot: SnapshotRecord) -> Result<(), Error> {
        let SnapshotRecord { index, payload } = snapshot;
        let decoded = Snapshot::decode(&payload);
        self.snapshot = Some(decoded.map_err(|error| refused(index, error.to_string()))?);
        Ok(())
    }

    fn push(&mut self, index: u64, payload: &[u8]) -> Result<(), Error> {
        let entry = LogEntry::decode(payload);
        let entry = entry.map_err(|error| refused(index, error.to_string()))?;
        let is_command = matches!(entry.payload, EntryPayload::Command(_));
        self.bytes += command_len(&entry);
        self.entries.push_back(entry);
        if self.bytes > self.bounds.applied_above && is_command {
            self.apply_committed().map_err(|error| refused(index, error))?;
        }
        if self.bytes > self.bounds.refused_above {
            let reason = format!(
                "{} bytes of entries that may not be committed exceed {} bytes, a share of the \
                 memory of this host",
                self.bytes, self.bounds.refused_above
            );
            return Err(refused(index, reason));
        }
        Ok(())
    }

    fn truncate_from(&mut self, index: u64) {
        while let Some(entry) = self.entries.pop_back_if(|entry| entry.index >= LogIndex(index)) {
            self.bytes -= command_len(&entry);
        }
    }
}

/// Snapshot and entries of a journal.
pub(crate) struct RecoveredEntries {
    pub(crate) snapshot: Option<Snapshot>,
    /// Whether the snapshot is not the journal's.
    pub(crate) is_new: bool,
    pub(crate) entries: Vec<LogEntry>,
}

fn refused(index: u64, reason: String) -> Error {
    Error::Refused { index, reason }
}

fn command_len(entry: &LogEntry) -> usize {
    match &entry.payload {
        EntryPayload::Command(command) => command.len(),
        _ => 0,
    }
}
