//! Recovery of the journal after disk faults and crashes.

use std::io::ErrorKind;

use gw_journal::CallKind;
use gw_journal::CrashMode;
use gw_journal::Error;
use gw_journal::FileStorage;
use gw_journal::HardState;
use gw_journal::Journal;
use gw_journal::JournalOptions;
use gw_journal::MemoryStorage;
use gw_journal::Record;
use gw_journal::Recovered;
use gw_journal::SnapshotRecord;

const STATE: HardState = HardState { term: 7, vote: Some(3) };

fn record(index: u64) -> Record {
    Record { index, payload: format!("payload {index}").into_bytes() }
}

fn records(indexes: std::ops::RangeInclusive<u64>) -> Vec<Record> {
    indexes.map(record).collect()
}

fn open_with(disk: &MemoryStorage, max_segment_bytes: u64) -> Result<(Journal, Recovered), Error> {
    Journal::open(Box::new(disk.clone()), JournalOptions { max_segment_bytes })
}

fn open(disk: &MemoryStorage) -> (Journal, Recovered) {
    open_with(disk, 1 << 20).expect("journal opens")
}

/// Returns a disk whose journal has records 1 to 3 and a term and vote, all synced.
fn synced_disk() -> MemoryStorage {
    let disk = MemoryStorage::new();
    let (mut journal, _) = open(&disk);
    journal.append(&records(1..=3)).expect("append");
    journal.save_hard_state(STATE).expect("state");
    journal.sync().expect("sync");
    disk
}

fn indexes(recovered: &Recovered) -> Vec<u64> {
    recovered.records.iter().map(|record| record.index).collect()
}

/// Guards against a crash that loses synced records, or after which incomplete unsynced records are
/// recovered.
#[test]
fn crash_keeps_synced_records() {
    struct Case {
        mode: CrashMode,
        expected: &'static [u64],
    }
    // An encoded record of these tests has 30 bytes.
    let cases = [
        Case { mode: CrashMode::LoseUnsynced, expected: &[1, 2, 3] },
        Case { mode: CrashMode::TearLastWrite { keep: 1 }, expected: &[1, 2, 3] },
        Case { mode: CrashMode::TearLastWrite { keep: 29 }, expected: &[1, 2, 3] },
        Case { mode: CrashMode::TearLastWrite { keep: 30 }, expected: &[1, 2, 3, 4] },
        Case { mode: CrashMode::TearLastWrite { keep: 59 }, expected: &[1, 2, 3, 4] },
        Case { mode: CrashMode::TearLastWrite { keep: 60 }, expected: &[1, 2, 3, 4, 5] },
    ];
    for Case { mode, expected } in cases {
        let disk = synced_disk();
        let (mut journal, _) = open(&disk);
        journal.append(&records(4..=5)).expect("append");
        // The write reaches the operating system, but not the disk.
        disk.fail_next(CallKind::Sync, ErrorKind::Other);
        journal.sync().expect_err("the sync fails");
        drop(journal);
        disk.crash(mode);
        let (_journal, recovered) = open(&disk);
        assert_eq!(recovered.hard_state, STATE, "{mode:?}");
        assert_eq!(indexes(&recovered), expected, "{mode:?}");
    }
}

/// Guards against recovering a torn record, and against a torn record that makes later ones
/// unreadable.
#[test]
fn torn_tail_is_discarded_and_overwritten() {
    let disk = synced_disk();
    let (segment, len) = disk.files().remove(0);
    disk.corrupt(&segment, len - 1);
    let (mut journal, recovered) = open(&disk);
    assert_eq!(recovered.hard_state, HardState::default(), "the last record was the term");
    assert!(recovered.discarded_tail_bytes > 0);
    journal.append(&records(4..=4)).expect("append");
    journal.sync().expect("sync");
    drop(journal);
    disk.crash(CrashMode::LoseUnsynced);
    let (_journal, recovered) = open(&disk);
    assert_eq!(indexes(&recovered), [1, 2, 3, 4]);
    assert_eq!(recovered.discarded_tail_bytes, 0);
}

/// Guards against discarding synced records as an incomplete tail when a record before them is
/// corrupt or a segment is missing.
#[test]
fn corruption_before_the_tail_is_an_error() {
    let disk = MemoryStorage::new();
    let (mut journal, _) = open_with(&disk, 100).expect("journal");
    for index in 1..=20 {
        journal.append(&records(index..=index)).expect("append");
        journal.sync().expect("sync");
    }
    drop(journal);
    let files = disk.files();
    assert!(files.len() > 3, "{files:?}");
    let (last, last_len) = files.last().expect("a file").clone();
    let (earlier, earlier_len) = files[1].clone();
    for (name, offset) in [(earlier.clone(), earlier_len - 1), (earlier, 30), (last, last_len / 4)]
    {
        disk.corrupt(&name, offset);
        match open_with(&disk, 100).map(|_| ()) {
            Err(Error::Corrupt { file, offset: at, .. }) => {
                assert!(file == name && at <= offset as u64, "{file} at {at}, damaged {offset}");
            }
            other => panic!("{name} damaged at {offset}: {other:?}"),
        }
        disk.corrupt(&name, offset);
    }
    open_with(&disk, 100).expect("undamaged again");
    disk.delete(&files[2].0);
    assert!(
        matches!(open_with(&disk, 100), Err(Error::Corrupt { file, .. }) if file == files[2].0)
    );
}

/// Guards against ignoring a corrupt snapshot, whose records were already removed.
#[test]
fn corrupt_snapshot_is_an_error() {
    let disk = synced_disk();
    let (mut journal, _) = open(&disk);
    journal.save_snapshot(&SnapshotRecord { index: 2, payload: vec![9; 50] }).expect("snapshot");
    drop(journal);
    let (name, _) = disk.files().into_iter().find(|(n, _)| n.starts_with("snap")).expect("file");
    disk.corrupt(&name, 40);
    assert!(matches!(
        open_with(&disk, 100),
        Err(Error::Corrupt { file, offset: 0, .. }) if file == name
    ));
}

/// Guards against truncated records that reappear after a restart, also from earlier segments.
#[test]
fn truncated_records_do_not_reappear() {
    let disk = MemoryStorage::new();
    let (mut journal, _) = open_with(&disk, 60).expect("journal");
    journal.append(&records(1..=6)).expect("append");
    journal.sync().expect("sync");
    journal.truncate_from(4).expect("truncate");
    journal.append(&[Record { index: 4, payload: b"other".to_vec() }]).expect("append");
    journal.sync().expect("sync");
    drop(journal);
    let (_journal, recovered) = open_with(&disk, 60).expect("journal");
    assert_eq!(indexes(&recovered), [1, 2, 3, 4]);
    assert_eq!(recovered.records[3].payload, b"other");
}

/// Guards against a snapshot that loses the records after it or the term and vote. Covers snapshots
/// inside the log, at its end, and received ones beyond it.
#[test]
fn snapshot_replaces_records() {
    struct Case {
        index: u64,
        expected: &'static [u64],
        next: u64,
    }
    let cases = [
        Case { index: 12, expected: &[13, 14, 15, 16], next: 16 },
        Case { index: 15, expected: &[16], next: 16 },
        Case { index: 40, expected: &[41], next: 41 },
    ];
    for Case { index, expected, next } in cases {
        let disk = MemoryStorage::new();
        let (mut journal, _) = open_with(&disk, 200).expect("journal");
        journal.save_hard_state(STATE).expect("state");
        for index in 1..=15 {
            journal.append(&records(index..=index)).expect("append");
            journal.sync().expect("sync");
        }
        let before = disk.files().len();
        let snapshot = SnapshotRecord { index, payload: b"state".to_vec() };
        journal.save_snapshot(&snapshot).expect("snapshot");
        journal.compact().expect("compact");
        assert!(disk.files().len() < before);
        journal.append(&records(next..=next)).expect("append");
        journal.sync().expect("sync");
        drop(journal);
        disk.crash(CrashMode::LoseUnsynced);
        let (_journal, recovered) = open_with(&disk, 200).expect("journal");
        assert_eq!(recovered.snapshot, Some(snapshot));
        assert_eq!(indexes(&recovered), expected);
        assert_eq!(recovered.hard_state, STATE);
    }
}

/// Guards against reporting data as durable when a sync succeeds after an earlier failed one, for
/// which the operating system has dropped the pages.
#[test]
fn failed_sync_rejects_writes_until_reopened() {
    for (kind, error) in
        [(CallKind::Sync, ErrorKind::Other), (CallKind::Append, ErrorKind::StorageFull)]
    {
        let disk = synced_disk();
        let (mut journal, _) = open(&disk);
        journal.append(&records(4..=4)).expect("append");
        disk.fail_next(kind, error);
        assert!(matches!(journal.sync(), Err(Error::Storage { .. })), "{kind:?}");
        assert!(journal.is_failed());
        assert!(matches!(journal.sync(), Err(Error::Failed)));
        assert!(matches!(journal.append(&records(5..=5)), Err(Error::Failed)));
        assert!(matches!(journal.save_hard_state(STATE), Err(Error::Failed)));
        assert!(matches!(journal.truncate_from(2), Err(Error::Failed)));
        assert!(matches!(journal.compact(), Err(Error::Failed)));
        drop(journal);
        // Records that the reopened journal recovers must be durable, dropped pages or not.
        let (journal, recovered) = open(&disk);
        drop(journal);
        disk.crash(CrashMode::LoseUnsynced);
        assert_eq!(open(&disk).1.records, recovered.records, "{kind:?}");
    }
}

/// Guards against a journal that cannot be opened, or that has lost synced records, after a failure
/// of any storage call followed by a crash.
#[test]
fn failure_of_any_call_loses_nothing_synced() {
    let modes =
        [CrashMode::LoseUnsynced, CrashMode::TearLastWrite { keep: 21 }, CrashMode::KeepAll];
    for mode in modes {
        for failing in 0..200 {
            let disk = MemoryStorage::new();
            disk.fail_call(failing, ErrorKind::StorageFull);
            let synced = run_until_failure(&disk);
            disk.crash(mode);
            let (journal, recovered) = open_with(&disk, 120)
                .unwrap_or_else(|error| panic!("call {failing}, {mode:?}: {error}"));
            assert!(journal.last_index() >= synced, "call {failing}, {mode:?}");
            let first = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index) + 1;
            let expected: Vec<u64> = (first..=journal.last_index()).collect();
            assert_eq!(indexes(&recovered), expected, "call {failing}, {mode:?}");
            assert!(recovered.hard_state.term >= synced, "call {failing}, {mode:?}");
        }
    }
}

/// Appends records, saves snapshots and compacts until a write fails. Returns the index of the last
/// synced record.
fn run_until_failure(disk: &MemoryStorage) -> u64 {
    let mut synced = 0;
    let Ok((mut journal, _)) = open_with(disk, 120) else { return synced };
    for index in 1..=30 {
        let state = HardState { term: index, vote: None };
        let written = journal.append(&records(index..=index)).is_ok()
            && journal.save_hard_state(state).is_ok()
            && journal.sync().is_ok();
        if !written {
            break;
        }
        synced = index;
        if index % 7 == 0 {
            let snapshot = SnapshotRecord { index: index - 2, payload: vec![1; 30] };
            let _ = journal.save_snapshot(&snapshot).and_then(|()| journal.compact());
        }
    }
    synced
}

/// Guards against appended records that leave a gap or repeat an index.
#[test]
fn records_out_of_order_are_rejected() {
    let disk = synced_disk();
    let (mut journal, _) = open(&disk);
    for index in [1, 3, 5] {
        assert!(
            matches!(journal.append(&[record(index)]), Err(Error::OutOfOrder { expected: 4, .. })),
            "{index}"
        );
    }
    journal.append(&[record(4)]).expect("append");
}

/// Guards against two processes that write to one folder, and against a journal that works only
/// with the in-memory storage.
#[test]
fn folder_is_locked_and_survives_reopening() {
    let folder = std::env::temp_dir().join(format!("gw-journal-test-{}", std::process::id()));
    let storage = || Box::new(FileStorage::new(&folder).expect("folder"));
    let options = JournalOptions { max_segment_bytes: 100 };
    let (mut journal, _) = Journal::open(storage(), options.clone()).expect("journal");
    assert!(matches!(Journal::open(storage(), options.clone()), Err(Error::Locked)));
    journal.save_hard_state(STATE).expect("state");
    for index in 1..=9 {
        journal.append(&records(index..=index)).expect("append");
        journal.sync().expect("sync");
    }
    let snapshot = SnapshotRecord { index: 6, payload: b"state".to_vec() };
    journal.save_snapshot(&snapshot).expect("snapshot");
    journal.compact().expect("compact");
    drop(journal);
    let (journal, recovered) = Journal::open(storage(), options).expect("journal");
    drop(journal);
    std::fs::remove_dir_all(&folder).expect("remove folder");
    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(indexes(&recovered), [7, 8, 9]);
    assert_eq!(recovered.hard_state, STATE);
}
