//! Journals that are larger than the memory in which they are read.

use std::path::Path;
use std::path::PathBuf;

use gw_agreement::EntryPayload;
use gw_agreement::LogEntry;
use gw_agreement::LogIndex;
use gw_agreement::Membership;
use gw_agreement::PersistBatch;
use gw_agreement::Term;
use gw_daemon::control::JournalWriter;
use gw_daemon::control::RecoveredLog;
use gw_daemon::control::RecoveryBounds;
use gw_types::HostId;

const MB: usize = 1024 * 1024;
const BOUNDS: RecoveryBounds = RecoveryBounds { applied_above: 8 * MB, refused_above: 40 * MB };
/// Most bytes of commands that a leader leaves uncommitted, and the command that follows them.
const MAX_UNCOMMITTED_MB: u64 = 32 + 1;

/// Sum of the first bytes of all applied commands, and how many there are.
#[derive(Default)]
struct CommandSum {
    count: u64,
    sum: u64,
}

impl RecoveredLog for CommandSum {
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let read = |range: std::ops::Range<usize>| {
            u64::from_le_bytes(snapshot[range].try_into().expect("8 bytes"))
        };
        (self.count, self.sum) = (read(0..8), read(8..16));
        Ok(())
    }

    fn apply(&mut self, entry: &LogEntry) {
        if let EntryPayload::Command(command) = &entry.payload {
            self.count += 1;
            self.sum += u64::from(command[0]);
        }
    }

    fn snapshot(&self) -> Result<Vec<u8>, String> {
        Ok([self.count.to_le_bytes(), self.sum.to_le_bytes()].concat())
    }
}

struct Case {
    name: &'static str,
    /// Number of commands of 1 MB in the journal.
    commands: u64,
    commands_per_term: u64,
    /// Index from which the last entries were replaced by as many of a later term.
    replaced_from: Option<u64>,
    /// Commands that may be applied: those that are certainly committed. `None` if the journal is
    /// refused.
    max_applied: Option<u64>,
}

const CASES: [Case; 5] = [
    Case {
        name: "within the bounds",
        commands: 8,
        commands_per_term: 100,
        replaced_from: None,
        max_applied: Some(0),
    },
    Case {
        name: "not known to be committed",
        commands: 32,
        commands_per_term: 100,
        replaced_from: None,
        max_applied: Some(0),
    },
    Case {
        name: "of one term",
        commands: 100,
        commands_per_term: 100,
        replaced_from: None,
        max_applied: Some(100 - 33),
    },
    Case {
        name: "with a replaced end",
        commands: 60,
        commands_per_term: 100,
        replaced_from: Some(40),
        max_applied: Some(60 - 33),
    },
    Case {
        name: "of many terms",
        commands: 60,
        commands_per_term: 1,
        replaced_from: None,
        max_applied: None,
    },
];

fn entry(index: u64, term: u64) -> LogEntry {
    let mut command = vec![index as u8; MB];
    command[1] = term as u8;
    LogEntry {
        index: LogIndex(index),
        term: Term(term),
        payload: EntryPayload::Command(command.into()),
    }
}

fn write_journal(folder: &Path, case: &Case) {
    let (mut writer, _) = JournalWriter::open(folder).expect("a new journal");
    let mut write = |batch| writer.write(&batch).expect("a written batch");
    let entries = |entries| PersistBatch { entries, ..PersistBatch::default() };
    for index in 1..=case.commands {
        let term = 1 + (index - 1) / case.commands_per_term;
        write(entries(vec![entry(index, term)]));
    }
    if let Some(from) = case.replaced_from {
        write(PersistBatch { truncate_from: Some(LogIndex(from)), ..PersistBatch::default() });
        (from..=case.commands).for_each(|index| write(entries(vec![entry(index, 9)])));
    }
}

/// Guards against control hosts that cannot read their own journals within their memory, and against
/// entries that are applied although they may never have been committed.
#[test]
fn committed_entries_of_large_journals_are_applied_and_dropped() {
    for (number, case) in CASES.iter().enumerate() {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("recovery-{number}"));
        std::fs::remove_dir_all(&folder).ok();
        write_journal(&folder, case);
        let members = Membership::of_voters([HostId(1), HostId(2), HostId(3)]);
        // Opened twice: the second time from the snapshot that the first one has left.
        for _ in 0..2 {
            let mut state = CommandSum::default();
            let opened = JournalWriter::open_bounded(&folder, BOUNDS, members.clone(), &mut state);
            let Some(max_applied) = case.max_applied else {
                let error = opened.err().expect("refused").to_string();
                assert!(error.contains("may not be committed"), "{}: {error}", case.name);
                continue;
            };
            let (_, recovered) = opened.unwrap_or_else(|error| panic!("{}: {error}", case.name));
            let applied = recovered.snapshot.as_ref().map_or(0, |snapshot| {
                assert_eq!(snapshot.meta.membership, members, "{}", case.name);
                let mut state = CommandSum::default();
                state.restore(&snapshot.data).expect("a snapshot");
                let expected: u64 = (1..=snapshot.meta.index.0).map(|index| index % 256).sum();
                assert_eq!((state.count, state.sum), (snapshot.meta.index.0, expected));
                snapshot.meta.index.0
            });
            assert!(applied <= max_applied, "{}: {applied} applied", case.name);
            let indexes: Vec<u64> = recovered.entries.iter().map(|entry| entry.index.0).collect();
            let expected: Vec<u64> = (applied + 1..=case.commands).collect();
            assert_eq!(indexes, expected, "{}", case.name);
            let kept = indexes.len() as u64;
            assert!(kept <= MAX_UNCOMMITTED_MB, "{}: {kept} kept", case.name);
        }
        std::fs::remove_dir_all(&folder).expect("a removed journal");
    }
}
