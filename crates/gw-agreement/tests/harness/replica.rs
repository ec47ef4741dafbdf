use std::collections::VecDeque;
use std::io::ErrorKind;

use gw_agreement::EntryPayload;
use gw_agreement::Envelope;
use gw_agreement::InjectedFault;
use gw_agreement::LogEntry;
use gw_agreement::LogIndex;
use gw_agreement::Membership;
use gw_agreement::PersistBatch;
use gw_agreement::PersistToken;
use gw_agreement::Ready;
use gw_agreement::RecoveredState;
use gw_agreement::ReplicaNode;
use gw_agreement::ReplicaOptions;
use gw_agreement::Snapshot;
use gw_agreement::SyncQueue;
use gw_agreement::Term;
use gw_journal::CrashMode;
use gw_journal::HardState;
use gw_journal::Journal;
use gw_journal::JournalOptions;
use gw_journal::MemoryStorage;
use gw_journal::Record;
use gw_journal::SnapshotRecord;
use gw_types::HostId;
use gw_types::Timestamp;

use super::checks::CheckResult;
use super::checks::CoveredEvent;
use super::checks::InvariantChecks;
use super::checks::Violation;
use super::checks::entry_digest;
use super::checks::extend_hash_chain;
use super::rng::Rng;

/// Small enough that schedules create and remove segments.
const MAX_SEGMENT_BYTES: u64 = 600;

/// Replica settings and sizes, which differ between schedules.
#[derive(Clone, Debug)]
pub(crate) struct ClusterOptions {
    pub(crate) fault: Option<InjectedFault>,
    pub(crate) max_command_bytes: usize,
    pub(crate) max_batch_bytes: usize,
    pub(crate) max_in_flight_bytes: usize,
    pub(crate) max_batches_in_flight: usize,
    pub(crate) retained_entries: u64,
    pub(crate) retained_bytes: usize,
    pub(crate) snapshot_every: u64,
    pub(crate) snapshot_bytes: usize,
    pub(crate) snapshot_chunk_bytes: usize,
    /// Whether replicas go on while their disk writes, with several batches waiting for it.
    pub(crate) overlaps_syncs: bool,
}

/// One host with its disk, which survives crashes, and its replica process.
pub(crate) struct Replica {
    pub(crate) id: HostId,
    pub(crate) disk: MemoryStorage,
    pub(crate) running: Option<RunningReplica>,
    /// Number of starts. Tells events of the current process apart from those of earlier ones.
    pub(crate) run: u32,
    /// Time until which events for this host are deferred because it is paused.
    pub(crate) paused_until: Timestamp,
    /// Time until which no sync of this host's disk ends.
    pub(crate) disk_hangs_until: Timestamp,
    /// Time of the scheduled wake-up.
    pub(crate) wake_at: Timestamp,
    initial: Membership,
    cluster_options: ClusterOptions,
}

/// State of a replica process, which a crash loses.
pub(crate) struct RunningReplica {
    pub(crate) node: ReplicaNode,
    journal: Journal,
    /// Output whose sync is in progress.
    pub(crate) syncing: Option<Ready>,
    /// Batches that wait for the disk while the replica goes on, oldest first.
    pub(crate) writes: VecDeque<(PersistToken, PersistBatch)>,
    pub(crate) unsynced: SyncQueue,
    /// Index and term of the entries in the journal, as recovered or written in this run.
    last_written: Vec<(LogIndex, Term)>,
    pub(crate) applied: LogIndex,
    pub(crate) hash_chain: u64,
    proposed: Vec<(LogIndex, Term)>,
}

impl Replica {
    pub(crate) fn new(id: HostId, initial: Membership, cluster_options: ClusterOptions) -> Self {
        let disk = MemoryStorage::new();
        Self {
            id,
            disk,
            running: None,
            run: 0,
            paused_until: Timestamp::ZERO,
            disk_hangs_until: Timestamp::ZERO,
            wake_at: Timestamp::MAX,
            initial,
            cluster_options,
        }
    }

    /// Starts the process. Returns `false` if the disk fails.
    pub(crate) fn start(&mut self, now: Timestamp, seed: u64) -> Result<bool, Violation> {
        let options = JournalOptions { max_segment_bytes: MAX_SEGMENT_BYTES };
        let (journal, recovered) = match Journal::open(Box::new(self.disk.clone()), options) {
            Ok(opened) => opened,
            Err(gw_journal::Error::Storage { .. }) => return Ok(false),
            Err(error) => {
                return Err(Violation::Safety(format!("{} does not start: {error}", self.id)));
            }
        };
        let recovered = decode(recovered)?;
        let mut last_written = Vec::new();
        if let Some(snapshot) = &recovered.snapshot {
            last_written.push((snapshot.meta.index, snapshot.meta.term));
        }
        last_written.extend(recovered.entries.iter().map(|entry| (entry.index, entry.term)));
        let mut options = ReplicaOptions::new(self.id, self.initial.clone(), seed);
        options.max_command_bytes = self.cluster_options.max_command_bytes;
        options.max_in_flight_bytes = self.cluster_options.max_in_flight_bytes;
        options.retained_bytes = self.cluster_options.retained_bytes;
        options.max_batch_bytes = self.cluster_options.max_batch_bytes;
        options.max_batches_in_flight = self.cluster_options.max_batches_in_flight;
        options.retained_entries = self.cluster_options.retained_entries;
        options.snapshot_chunk_bytes = self.cluster_options.snapshot_chunk_bytes;
        options.injected_fault = self.cluster_options.fault;
        self.run += 1;
        self.wake_at = Timestamp::MAX;
        self.running = Some(RunningReplica {
            node: ReplicaNode::new(options, recovered, now),
            journal,
            syncing: None,
            writes: VecDeque::new(),
            unsynced: SyncQueue::default(),
            last_written,
            applied: LogIndex::ZERO,
            hash_chain: 0,
            proposed: Vec::new(),
        });
        Ok(true)
    }

    /// Stops the process. A write in progress may be completed, partly or not at all.
    pub(crate) fn crash(&mut self, rng: &mut Rng) {
        if let Some(mut running) = self.running.take() {
            let batches = running.syncing.take().map(|ready| ready.persist).into_iter();
            let batches: Vec<_> =
                batches.chain(running.writes.drain(..).map(|(_, batch)| batch)).collect();
            if !batches.is_empty() && rng.percent(60) {
                self.disk.fail_call(rng.below(8 * batches.len() as u64), ErrorKind::Other);
                let _ = batches.iter().try_for_each(|batch| write(&mut running.journal, batch));
            }
        }
        self.disk.crash(match rng.below(3) {
            0 => CrashMode::LoseUnsynced,
            1 => CrashMode::TearLastWrite { keep: rng.below(80) as usize },
            _ => CrashMode::KeepAll,
        });
    }
}

impl RunningReplica {
    pub(crate) fn propose(&mut self, now: Timestamp, command: Vec<u8>) {
        if let Ok(index) = self.node.propose(now, command) {
            self.proposed.push((index, self.node.term()));
        }
    }

    /// Checks the entries of `persist` before they are written.
    pub(crate) fn check_writes(
        &mut self,
        persist: &PersistBatch,
        checks: &mut InvariantChecks,
    ) -> CheckResult {
        if let Some(from) = persist.truncate_from {
            checks.record_event(CoveredEvent::Conflict);
            self.last_written.retain(|(index, _)| *index < from);
        }
        if let Some(Snapshot { meta, .. }) = &persist.snapshot {
            self.last_written.retain(|(index, _)| *index > meta.index);
            self.last_written.insert(0, (meta.index, meta.term));
        }
        for entry in &persist.entries {
            let previous = self.last_written.last().map_or(Term(0), |(_, term)| *term);
            checks.check_write(entry, previous)?;
            self.last_written.push((entry.index, entry.term));
        }
        Ok(())
    }

    /// Completes the sync and returns the messages that waited for it, or `None` if the disk
    /// failed.
    pub(crate) fn finish_sync(
        &mut self,
        now: Timestamp,
        cluster_options: &ClusterOptions,
        checks: &mut InvariantChecks,
    ) -> Result<Option<Vec<Envelope>>, Violation> {
        let Some(ready) = self.syncing.take() else { return Ok(Some(Vec::new())) };
        if write(&mut self.journal, &ready.persist).is_err() {
            return Ok(None);
        }
        if !ready.persist.is_empty() {
            self.node.persisted(now, ready.token);
        }
        self.apply(ready.install, ready.committed, cluster_options, checks)?;
        Ok(Some(ready.messages_after_sync))
    }

    /// Takes the replica's output in order, and returns the messages that may be sent.
    pub(crate) fn take_overlapping(
        &mut self,
        now: Timestamp,
        cluster_options: &ClusterOptions,
        checks: &mut InvariantChecks,
    ) -> Result<Vec<Envelope>, Violation> {
        let mut messages = Vec::new();
        loop {
            let mut ready = self.node.take_ready(now);
            if ready.is_empty() {
                return Ok(messages);
            }
            self.check_writes(&ready.persist, checks)?;
            messages.append(&mut ready.messages);
            messages.extend(self.unsynced.push(now, &mut ready));
            if !ready.persist.is_empty() {
                self.writes.push_back((ready.token, ready.persist));
            }
            self.apply(ready.install, ready.committed, cluster_options, checks)?;
        }
    }

    /// Writes the first `count` waiting batches. Returns the messages that waited for them, or `None`
    /// if the disk failed.
    pub(crate) fn finish_writes(&mut self, now: Timestamp, count: usize) -> Option<Vec<Envelope>> {
        let mut messages = Vec::new();
        for (token, batch) in self.writes.drain(..count) {
            write(&mut self.journal, &batch).ok()?;
            self.node.persisted(now, token);
            messages.extend(self.unsynced.complete(token));
        }
        Some(messages)
    }

    fn apply(
        &mut self,
        install: Option<Snapshot>,
        committed: Vec<LogEntry>,
        cluster_options: &ClusterOptions,
        checks: &mut InvariantChecks,
    ) -> CheckResult {
        let id = self.node.id();
        if let Some(snapshot) = install {
            if self.applied > LogIndex::ZERO {
                checks.record_event(CoveredEvent::InstalledSnapshot);
            }
            self.applied = snapshot.meta.index;
            self.hash_chain = u64::from_le_bytes(snapshot.data[..8].try_into().expect("8 bytes"));
            checks.check_applied(id, self.applied, self.hash_chain)?;
        }
        for entry in committed {
            if entry.index != self.applied.next() {
                return Err(Violation::Safety(format!("{id} skips to {}", entry.index)));
            }
            self.applied = entry.index;
            self.hash_chain = extend_hash_chain(self.hash_chain, &entry);
            checks.check_applied(id, self.applied, self.hash_chain)?;
            if matches!(entry.payload, EntryPayload::Membership(_)) {
                checks.record_event(CoveredEvent::MembershipApplied);
            }
            if self.proposed.contains(&(entry.index, entry.term)) {
                checks.record_acknowledgement(&entry)?;
            }
            if entry.index.0 % cluster_options.snapshot_every == 0 {
                let mut data = self.hash_chain.to_le_bytes().to_vec();
                data.resize(cluster_options.snapshot_bytes.max(8), entry_digest(&entry) as u8);
                self.node.save_snapshot(entry.index, data);
            }
        }
        Ok(())
    }
}

fn write(journal: &mut Journal, persist: &PersistBatch) -> Result<(), gw_journal::Error> {
    if let Some(from) = persist.truncate_from {
        journal.truncate_from(from.0)?;
    }
    if let Some(snapshot) = &persist.snapshot {
        let index = snapshot.meta.index.0;
        journal.save_snapshot(&SnapshotRecord { index, payload: snapshot.encode() })?;
        journal.compact()?;
    }
    let records: Vec<Record> = persist
        .entries
        .iter()
        .map(|entry| Record { index: entry.index.0, payload: entry.encode() })
        .collect();
    journal.append(&records)?;
    if let Some(state) = persist.hard_state {
        let vote = state.vote.map(|host| host.0);
        journal.save_hard_state(HardState { term: state.term.0, vote })?;
    }
    journal.sync()
}

fn decode(recovered: gw_journal::Recovered) -> Result<RecoveredState, Violation> {
    let gw_journal::HardState { term, vote } = recovered.hard_state;
    let state = gw_agreement::HardState { term: Term(term), vote: vote.map(HostId) };
    let snapshot = recovered.snapshot.as_ref().map(|snapshot| &snapshot.payload[..]);
    let records = recovered.records.iter().map(|record| &record.payload[..]);
    RecoveredState::decode(state, snapshot, records)
        .map_err(|error| Violation::Safety(format!("journal is unreadable: {error}")))
}
