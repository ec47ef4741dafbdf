use std::path::Path;

use gw_agreement::DecodeError;
use gw_agreement::HardState;
use gw_agreement::LogEntry;
use gw_agreement::Membership;
use gw_agreement::PersistBatch;
use gw_agreement::RecoveredState;
use gw_agreement::Snapshot;
use gw_agreement::Term;
use gw_journal::FileStorage;
use gw_journal::Journal;
use gw_journal::JournalOptions;
use gw_journal::Record;
use gw_journal::Recovered;
use gw_journal::SnapshotRecord;
use gw_journal::Storage;
use gw_types::HostId;

use crate::control::RecoveredLog;
use crate::control::RecoveryBounds;
use crate::control::log_recovery::LogRecovery;
use crate::control::log_recovery::RecoveredEntries;

/// Error when the state of a control replica is read or written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The data folder cannot be opened.
    #[error("data folder: {0}")]
    Folder(#[from] std::io::Error),
    /// The journal is corrupt, or reading or writing it failed.
    #[error("journal: {0}")]
    Journal(#[from] gw_journal::Error),
    /// A record or snapshot of the journal cannot be decoded.
    #[error("journal content: {0}")]
    Content(#[from] DecodeError),
    /// The state that was recovered cannot be encoded.
    #[error("recovered state: {0}")]
    Snapshot(String),
}

/// Writes the log, term, vote and snapshots of a control replica to its data folder.
pub struct JournalWriter {
    journal: Journal,
}

impl JournalWriter {
    /// Opens the data folder and returns the state that the replica had synced.
    pub fn open(folder: &Path) -> Result<(Self, RecoveredState), JournalError> {
        Self::open_storage(Box::new(FileStorage::new(folder)?))
    }

    /// Like [`JournalWriter::open`], on any storage.
    pub fn open_storage(storage: Box<dyn Storage>) -> Result<(Self, RecoveredState), JournalError> {
        let (journal, recovered) = Journal::open(storage, JournalOptions::default())?;
        log_discarded(recovered.discarded_tail_bytes);
        Ok((Self { journal }, decode(recovered)?))
    }

    /// Like [`JournalWriter::open`], but holds at most as many entries in memory as `bounds` permit:
    /// those that are known to be committed are applied to `state` and replaced by a snapshot. A
    /// journal whose other entries exceed the bounds is refused. `initial` is the membership of a
    /// group without a snapshot.
    pub fn open_bounded(
        folder: &Path,
        bounds: RecoveryBounds,
        initial: Membership,
        state: &mut dyn RecoveredLog,
    ) -> Result<(Self, RecoveredState), JournalError> {
        let storage = FileStorage::new(folder)?;
        let mut recovery = LogRecovery::new(bounds, initial, state);
        let options = JournalOptions::default();
        let (journal, tail) = Journal::open_into(Box::new(storage), options, &mut recovery)?;
        log_discarded(tail.discarded_tail_bytes);
        let recovered = recovery.finish().map_err(JournalError::Snapshot)?;
        let RecoveredEntries { snapshot, is_new, entries } = recovered;
        let mut writer = Self { journal };
        if let Some(snapshot) = snapshot.as_ref().filter(|_| is_new) {
            log::info!("event=journal_compacted index={}", snapshot.meta.index.0);
            writer.save_snapshot(snapshot)?;
        }
        let hard_state = hard_state(tail.hard_state);
        Ok((writer, RecoveredState { hard_state, snapshot, entries }))
    }

    /// Writes and syncs one batch. After an error the writer must not be used again.
    pub fn write(&mut self, batch: &PersistBatch) -> Result<(), JournalError> {
        self.append(batch)?;
        self.sync()
    }

    /// Writes one batch, which is durable after [`JournalWriter::sync`]. A snapshot is synced at once,
    /// with all that precedes it. After an error the writer must not be used again.
    pub fn append(&mut self, batch: &PersistBatch) -> Result<(), JournalError> {
        if let Some(from) = batch.truncate_from {
            self.journal.truncate_from(from.0)?;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.save_snapshot(snapshot)?;
        }
        for entry in &batch.entries {
            self.journal.append(&[Record { index: entry.index.0, payload: entry.encode() }])?;
        }
        if let Some(state) = batch.hard_state {
            let vote = state.vote.map(|host| host.0);
            self.journal.save_hard_state(gw_journal::HardState { term: state.term.0, vote })?;
        }
        Ok(())
    }

    /// Makes all batches that were appended durable. After an error the writer must not be used again.
    pub fn sync(&mut self) -> Result<(), JournalError> {
        Ok(self.journal.sync()?)
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), JournalError> {
        let index = snapshot.meta.index.0;
        self.journal.save_snapshot(&SnapshotRecord { index, payload: snapshot.encode() })?;
        self.journal.compact()?;
        Ok(())
    }
}

fn decode(recovered: Recovered) -> Result<RecoveredState, JournalError> {
    let snapshot = recovered.snapshot.map(|snapshot| Snapshot::decode(&snapshot.payload));
    let entries = recovered.records.iter().map(|record| LogEntry::decode(&record.payload));
    Ok(RecoveredState {
        hard_state: hard_state(recovered.hard_state),
        snapshot: snapshot.transpose()?,
        entries: entries.collect::<Result<_, _>>()?,
    })
}

fn hard_state(stored: gw_journal::HardState) -> HardState {
    HardState { term: Term(stored.term), vote: stored.vote.map(HostId) }
}

fn log_discarded(bytes: u64) {
    if bytes > 0 {
        log::warn!("event=journal_tail_cut bytes={bytes}");
    }
}
