//! Journals that a thread of their own writes.

use std::io;
use std::time::Duration;

use gw_agreement::HardState;
use gw_agreement::LogIndex;
use gw_agreement::Membership;
use gw_agreement::RecoveredState;
use gw_agreement::ReplicaNode;
use gw_agreement::ReplicaOptions;
use gw_agreement::SyncQueue;
use gw_daemon::control::JournalReport;
use gw_daemon::control::JournalThread;
use gw_daemon::control::JournalWriter;
use gw_journal::CallKind;
use gw_journal::CrashMode;
use gw_journal::MemoryStorage;
use gw_types::HostId;
use gw_types::Timestamp;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::timeout;

/// Longest wait for a report that must come.
const REPORT_TIMEOUT: Duration = Duration::from_secs(20);

/// The only replica of a group, and the thread of its journal.
struct SoleReplica {
    node: ReplicaNode,
    journal: JournalThread,
    unsynced: SyncQueue,
    reports: UnboundedReceiver<JournalReport>,
    disk: MemoryStorage,
    now: Timestamp,
}

impl SoleReplica {
    async fn start() -> Self {
        let disk = MemoryStorage::new();
        let (sender, mut reports) = unbounded_channel();
        let storage = Box::new(disk.clone());
        let open = move || JournalWriter::open_storage(storage);
        let journal = JournalThread::start(7, open, sender).expect("a thread");
        let Some(JournalReport::Opened { run: 7, recovered }) = reports.recv().await else {
            panic!("the journal is not opened");
        };
        let now = Timestamp::from_millis(1);
        let members = Membership::of_voters([HostId(1)]);
        let node = ReplicaNode::new(ReplicaOptions::new(HostId(1), members, 1), recovered, now);
        let unsynced = SyncQueue::default();
        Self { node, journal, unsynced, reports, disk, now }
    }

    /// Hands the replica's batches over, and returns the index that it has applied.
    fn drive(&mut self) -> LogIndex {
        loop {
            let mut ready = self.node.take_ready(self.now);
            if ready.is_empty() {
                return self.node.last_applied();
            }
            self.unsynced.push(self.now, &mut ready);
            if !ready.persist.is_empty() {
                self.journal.write(ready.token, ready.persist);
            }
        }
    }

    async fn report(&mut self) -> JournalReport {
        let report = timeout(REPORT_TIMEOUT, self.reports.recv()).await;
        report.expect("a report in time").expect("a report")
    }

    async fn wait_for_sync(&mut self) {
        let JournalReport::Synced { run: 7, token } = self.report().await else {
            panic!("not synced");
        };
        self.unsynced.complete(token);
        self.node.persisted(self.now, token);
        self.drive();
    }

    /// Elects the replica and waits until it has applied the first entry of its term.
    async fn lead(&mut self) {
        self.now = self.now + Duration::from_secs(2);
        self.node.tick(self.now);
        self.drive();
        while self.node.last_applied() == LogIndex::ZERO {
            self.wait_for_sync().await;
        }
    }

    fn propose(&mut self) -> LogIndex {
        let index = self.node.propose(self.now, vec![1; 100]).expect("a leader");
        self.drive();
        index
    }
}

/// Returns what a restart would recover.
fn recover(disk: &MemoryStorage) -> RecoveredState {
    JournalWriter::open_storage(Box::new(disk.clone())).expect("a closed journal").1
}

/// Guards against a wait for a sync that ends before it, or goes on while the disk hangs.
#[tokio::test]
async fn waits_end_with_the_sync_or_with_their_limit() {
    const LIMIT: Duration = Duration::from_millis(10);
    let mut replica = SoleReplica::start().await;
    replica.lead().await;
    replica.disk.hang(true);
    replica.node.propose(replica.now, vec![1; 100]).expect("a leader");
    let ready = replica.node.take_ready(replica.now);
    replica.journal.write(ready.token, ready.persist);
    assert!(replica.journal.wait_synced(ready.token, LIMIT) < Some(ready.token));
    replica.disk.hang(false);
    assert_eq!(replica.journal.wait_synced(ready.token, REPORT_TIMEOUT), Some(ready.token));
}

/// Guards against a caller that waits while a sync hangs, against entries that are applied before
/// they are synced, and against one sync for each of the batches that have waited.
#[tokio::test]
async fn batches_wait_for_a_hanging_disk_while_the_replica_goes_on() {
    let mut replica = SoleReplica::start().await;
    replica.lead().await;
    let applied = replica.node.last_applied();
    replica.disk.hang(true);
    let first = replica.propose();
    // The thread may have taken any number of these batches when its sync starts to hang.
    let last = (0..50).map(|_| replica.propose()).last().expect("an index");
    assert_eq!(replica.drive(), applied, "entry {first} is not synced");
    assert!(replica.unsynced.unsynced_since().is_some());
    assert!(replica.unsynced.unsynced_bytes() >= 51 * 100);
    assert!(replica.reports.try_recv().is_err());
    replica.disk.hang(false);
    let mut syncs = 0;
    while replica.node.last_applied() < last {
        replica.wait_for_sync().await;
        syncs += 1;
    }
    assert!(syncs < 51, "{syncs} syncs");
    assert_eq!(replica.unsynced.unsynced_bytes(), 0);
    assert_eq!(replica.unsynced.unsynced_since(), None);
}

/// Guards against a journal that is opened again while an earlier thread still writes it, and against
/// batches that are lost because the handle is dropped.
#[tokio::test]
async fn journal_is_closed_only_once_the_hanging_sync_has_ended() {
    let mut replica = SoleReplica::start().await;
    replica.lead().await;
    replica.disk.hang(true);
    let last = replica.propose();
    let SoleReplica { journal, mut reports, disk, .. } = replica;
    drop(journal);
    let again = JournalWriter::open_storage(Box::new(disk.clone()));
    assert!(again.is_err(), "the journal is still in use");
    disk.hang(false);
    let mut is_synced = false;
    loop {
        match timeout(REPORT_TIMEOUT, reports.recv()).await.expect("a report in time") {
            Some(JournalReport::Synced { run: 7, .. }) => is_synced = true,
            Some(JournalReport::Closed { run: 7, cause: None }) => break,
            other => panic!("{other:?}"),
        }
    }
    assert!(is_synced);
    assert_eq!(recover(&disk).entries.last().map(|entry| entry.index), Some(last));
}

/// Guards against batches that are written, or reported as synced, after one that has failed.
#[tokio::test]
async fn nothing_is_synced_after_a_failed_batch() {
    for kind in [CallKind::Append, CallKind::Sync] {
        let mut replica = SoleReplica::start().await;
        replica.lead().await;
        let before = replica.node.last_applied();
        replica.disk.fail_next(kind, io::ErrorKind::StorageFull);
        replica.propose();
        replica.propose();
        let report = replica.report().await;
        assert!(
            matches!(&report, JournalReport::Closed { run: 7, cause: Some(_) }),
            "{kind:?}: {report:?}"
        );
        replica.propose();
        assert!(replica.reports.recv().await.is_none(), "{kind:?}: the last report");
        replica.disk.crash(CrashMode::LoseUnsynced);
        let recovered = recover(&replica.disk);
        assert_eq!(recovered.entries.last().map(|entry| entry.index), Some(before), "{kind:?}");
        assert_ne!(recovered.hard_state, HardState::default(), "{kind:?}");
    }
}

/// Guards against a host that waits for ever for a thread that has panicked, or whose journal cannot
/// be opened.
#[tokio::test]
async fn every_end_of_the_thread_is_reported() {
    let (sender, mut reports) = unbounded_channel();
    let disk = MemoryStorage::new();
    disk.fail_next(CallKind::Lock, io::ErrorKind::PermissionDenied);
    let open = move || JournalWriter::open_storage(Box::new(disk));
    let _refused = JournalThread::start(1, open, sender.clone()).expect("a thread");
    let report = timeout(REPORT_TIMEOUT, reports.recv()).await.expect("a report in time");
    assert!(matches!(report, Some(JournalReport::Closed { run: 1, cause: Some(_) })));
    let panicking = JournalThread::start(2, || panic!("a fault of the journal"), sender);
    let _panicking = panicking.expect("a thread");
    let report = timeout(REPORT_TIMEOUT, reports.recv()).await.expect("a report in time");
    assert!(matches!(report, Some(JournalReport::Closed { run: 2, cause: None })));
}
