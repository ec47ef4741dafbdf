use std::path::Path;

use gw_agreement::DecodeError;
use gw_agreement::HardState;
use gw_agreement::LogEntry;
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
use gw_types::HostId;

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
}

/// Writes the log, term, vote and snapshots of a control replica to its data folder.
pub struct JournalWriter {
    journal: Journal,
}

impl JournalWriter {
    /// Opens the data folder and returns the state that the replica had synced.
    pub fn open(folder: &Path) -> Result<(Self, RecoveredState), JournalError> {
        let storage = FileStorage::new(folder)?;
        let (journal, recovered) = Journal::open(Box::new(storage), JournalOptions::default())?;
        if recovered.discarded_tail_bytes > 0 {
            log::warn!("event=journal_tail_cut bytes={}", recovered.discarded_tail_bytes);
        }
        Ok((Self { journal }, decode(recovered)?))
    }

    /// Writes and syncs one batch. After an error the writer must not be used again.
    pub fn write(&mut self, batch: &PersistBatch) -> Result<(), JournalError> {
        if let Some(from) = batch.truncate_from {
            self.journal.truncate_from(from.0)?;
        }
        if let Some(snapshot) = &batch.snapshot {
            let index = snapshot.meta.index.0;
            self.journal.save_snapshot(&SnapshotRecord { index, payload: snapshot.encode() })?;
            self.journal.compact()?;
        }
        let to_record = |entry: &LogEntry| Record { index: entry.index.0, payload: entry.encode() };
        let records: Vec<_> = batch.entries.iter().map(to_record).collect();
        self.journal.append(&records)?;
        if let Some(state) = batch.hard_state {
            let vote = state.vote.map(|host| host.0);
            self.journal.save_hard_state(gw_journal::HardState { term: state.term.0, vote })?;
        }
        self.journal.sync()?;
        Ok(())
    }
}

fn decode(recovered: Recovered) -> Result<RecoveredState, JournalError> {
    let snapshot = recovered.snapshot.map(|snapshot| Snapshot::decode(&snapshot.payload));
    let entries = recovered.records.iter().map(|record| LogEntry::decode(&record.payload));
    Ok(RecoveredState {
        hard_state: HardState {
            term: Term(recovered.hard_state.term),
            vote: recovered.hard_state.vote.map(HostId),
        },
        snapshot: snapshot.transpose()?,
        entries: entries.collect::<Result<_, _>>()?,
    })
}
