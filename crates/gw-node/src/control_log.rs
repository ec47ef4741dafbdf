use gw_agreement::EntryPayload;
use gw_agreement::Envelope;
use gw_agreement::LogEntry;
use gw_agreement::LogIndex;
use gw_agreement::Message as AgreementMessage;
use gw_agreement::PersistToken;
use gw_agreement::RecoveredState;
use gw_agreement::ReplicaNode;
use gw_agreement::ReplicaOptions;
use gw_agreement::Term;
use gw_control::ControlCommand;
use gw_control::ControlLearner;
use gw_control::ControlOutcome;
use gw_control::ControlView;
use gw_control::EntryBatch;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::Timestamp;

use crate::NodeAction;
use crate::PeerMessage;
use crate::ProposalAnswer;
use crate::control_proposals::PendingProposal;
use crate::entry_history::EntryHistory;
use crate::outbox::Outbox;

/// Number of applied entries after which a replica saves a snapshot.
const SNAPSHOT_INTERVAL: u64 = 4_096;

/// A command of the control log that was applied in the current step.
#[derive(Clone, Debug)]
pub(crate) struct AppliedCommand {
    /// Index of the log entry.
    pub(crate) index: u64,
    pub(crate) command: ControlCommand,
    pub(crate) outcome: ControlOutcome,
}

/// A proposal that this replica appended as leader and whose outcome a host waits for.
#[derive(Debug)]
pub(crate) struct EntryWaiter {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) from: HostId,
    pub(crate) request: u64,
}

/// This host's access to the control log: the replica if the host has one, the state that results
/// from the applied entries, and proposals under way.
pub(crate) struct ControlLog {
    pub(crate) host: HostId,
    /// Options with which the replica is started again after its journal failed.
    options: ReplicaOptions,
    /// All control replicas, sorted.
    pub(crate) replicas: Vec<HostId>,
    pub(crate) replica: Option<ReplicaNode>,
    pub(crate) learner: ControlLearner,
    pub(crate) history: EntryHistory,
    /// Term of the last log entry that the replica applied.
    pub(crate) applied_term: Term,
    pub(crate) last_snapshot: u64,
    pub(crate) waiters: Vec<EntryWaiter>,
    pub(crate) proposals: Vec<PendingProposal>,
    pub(crate) next_request: u64,
    pub(crate) leader: Option<HostId>,
    /// Number of fetches from replicas so far; selects the replica to ask.
    pub(crate) fetch_turn: u64,
    /// Highest version of this host's zone tables that the control leader reported as committed.
    /// Known one round trip after the commit, earlier than the entry itself, which is fetched after
    /// a later digest.
    pub(crate) stored_version: TableVersion,
    /// Messages that may only be sent once the journal batch of the token is synced, in the order
    /// of tokens.
    pub(crate) unsynced: Vec<(PersistToken, Vec<Envelope>)>,
    pub(crate) applied: Vec<AppliedCommand>,
}

impl ControlLog {
    pub(crate) fn new(
        options: ReplicaOptions,
        replicas: Vec<HostId>,
        replica: Option<ReplicaNode>,
        recovered: Option<&[u8]>,
    ) -> Self {
        let mut learner = ControlLearner::new();
        if let Some(bytes) = recovered {
            // The journal has verified the checksum. A snapshot of another format leaves the
            // learner empty, and the replica then fetches the state like any learner.
            let _ = learner.install_snapshot(bytes);
        }
        let history = EntryHistory::new(learner.applied());
        let last_snapshot = learner.applied();
        Self {
            host: options.id,
            options,
            replicas,
            replica,
            learner,
            history,
            applied_term: Term::default(),
            last_snapshot,
            waiters: Vec::new(),
            proposals: Vec::new(),
            next_request: 1,
            leader: None,
            fetch_turn: 0,
            stored_version: TableVersion::default(),
            unsynced: Vec::new(),
            applied: Vec::new(),
        }
    }

    pub(crate) fn view(&self) -> ControlView<'_> {
        self.learner.state().view()
    }

    pub(crate) fn learner(&self) -> &ControlLearner {
        &self.learner
    }

    pub(crate) fn replica(&self) -> Option<&ReplicaNode> {
        self.replica.as_ref()
    }

    pub(crate) fn has_replica(&self) -> bool {
        self.replica.is_some()
    }

    pub(crate) fn applied(&self) -> u64 {
        self.learner.applied()
    }

    /// The control leader as last known to this host.
    pub(crate) fn leader(&self) -> Option<HostId> {
        match &self.replica {
            Some(replica) => replica.leader_hint(),
            None => self.leader,
        }
    }

    pub(crate) fn set_leader(&mut self, leader: Option<HostId>) {
        if leader.is_some() {
            self.leader = leader;
        }
    }

    /// All control replicas but this host.
    pub(crate) fn other_replicas(&self) -> Vec<HostId> {
        self.replicas.iter().copied().filter(|id| *id != self.host).collect()
    }

    /// Whether this replica is the control leader, is in contact with a majority, and has applied
    /// an entry of its own term. Its state then includes everything that earlier leaders committed.
    pub(crate) fn leads(&self, now: Timestamp) -> bool {
        self.replica.as_ref().is_some_and(|replica| {
            replica.is_leader() && replica.has_quorum(now) && self.applied_term == replica.term()
        })
    }

    /// Commands applied since the last call, in order.
    pub(crate) fn take_applied(&mut self) -> Vec<AppliedCommand> {
        std::mem::take(&mut self.applied)
    }

    /// Starts the replica in the state that its journal holds, which may be behind what this host has
    /// learned meanwhile.
    pub(crate) fn start_replica(&mut self, now: Timestamp, recovered: RecoveredState) {
        self.replica = Some(ReplicaNode::new(self.options.clone(), recovered, now));
        self.applied_term = Term::default();
    }

    /// Stops the replica after its journal failed. The host continues as a learner.
    pub(crate) fn stop_replica(&mut self) {
        self.replica = None;
        self.unsynced.clear();
        self.waiters.clear();
    }

    pub(crate) fn tick(&mut self, now: Timestamp, out: &mut Outbox) {
        if let Some(replica) = &mut self.replica {
            replica.tick(now);
        }
        self.retry_proposals(now, out);
        self.run_replica(now, out);
    }

    pub(crate) fn handle_agreement(
        &mut self,
        now: Timestamp,
        from: HostId,
        message: AgreementMessage,
        out: &mut Outbox,
    ) {
        if let Some(replica) = &mut self.replica {
            replica.handle(now, from, message);
        }
        self.run_replica(now, out);
    }

    pub(crate) fn persisted(&mut self, now: Timestamp, token: PersistToken, out: &mut Outbox) {
        let Some(replica) = &mut self.replica else { return };
        replica.persisted(now, token);
        let synced = self.unsynced.partition_point(|(waiting, _)| *waiting <= token);
        for (_, envelopes) in self.unsynced.drain(..synced) {
            send_all(envelopes, out);
        }
        self.run_replica(now, out);
    }

    /// Carries out what the replica has ready until nothing is left: sends messages, starts journal
    /// writes, and applies snapshots and committed entries.
    pub(crate) fn run_replica(&mut self, now: Timestamp, out: &mut Outbox) {
        loop {
            let Some(replica) = &mut self.replica else { return };
            let ready = replica.take_ready(now);
            if ready.is_empty() {
                return;
            }
            send_all(ready.messages, out);
            if ready.persist.is_empty() && self.unsynced.is_empty() {
                send_all(ready.messages_after_sync, out);
                replica.persisted(now, ready.token);
            } else {
                self.unsynced.push((ready.token, ready.messages_after_sync));
                out.push(NodeAction::Persist { token: ready.token, batch: ready.persist });
            }
            if let Some(snapshot) = ready.install {
                self.install(&snapshot.data);
            }
            for entry in ready.committed {
                self.apply(now, entry, out);
            }
            self.save_snapshot();
        }
    }

    fn install(&mut self, data: &[u8]) {
        if matches!(self.learner.install_snapshot(data), Ok(true)) {
            self.history = EntryHistory::new(self.learner.applied());
            self.last_snapshot = self.learner.applied();
        }
    }

    fn apply(&mut self, now: Timestamp, entry: LogEntry, out: &mut Outbox) {
        let index = entry.index.0;
        let command = match &entry.payload {
            EntryPayload::Command(bytes) => postcard::from_bytes::<ControlCommand>(bytes).ok(),
            _ => None,
        };
        self.applied_term = entry.term;
        let entries = command.into_iter().map(|command| (index, command)).collect();
        let outcomes = self.apply_batch(&EntryBatch { after: index - 1, through: index, entries });
        self.answer_waiters(now, &entry, outcomes, out);
    }

    /// Applies a batch to the state and keeps it for other learners. Returns the outcome of its
    /// last new command.
    fn apply_batch(&mut self, batch: &EntryBatch) -> Option<ControlOutcome> {
        let held = self.learner.applied();
        let outcomes = self.learner.apply_entries(batch).ok()?;
        self.history.extend(batch, held);
        let mut last = None;
        for (index, outcome) in outcomes {
            let position = batch.entries.binary_search_by_key(&index, |entry| entry.0).ok()?;
            let command = batch.entries[position].1.clone();
            last = Some(outcome.clone());
            self.applied.push(AppliedCommand { index, command, outcome });
        }
        last
    }

    /// Answers the proposals that were appended up to the index of `entry`, which has just been
    /// applied with `outcome`.
    fn answer_waiters(
        &mut self,
        now: Timestamp,
        entry: &LogEntry,
        outcome: Option<ControlOutcome>,
        out: &mut Outbox,
    ) {
        let reached = self.waiters.partition_point(|waiter| waiter.index <= entry.index);
        let reached: Vec<_> = self.waiters.drain(..reached).collect();
        for waiter in reached {
            let own = waiter.index == entry.index && waiter.term == entry.term;
            let answer = match &outcome {
                Some(outcome) if own => ProposalAnswer::Done(outcome.clone()),
                // Another leader's entry was committed at this index instead of the proposal.
                _ => ProposalAnswer::NotLeader(self.leader()),
            };
            self.answer(now, waiter.from, waiter.request, answer, out);
        }
    }

    pub(crate) fn answer(
        &mut self,
        now: Timestamp,
        to: HostId,
        request: u64,
        answer: ProposalAnswer,
        out: &mut Outbox,
    ) {
        if to == self.host {
            self.handle_answer(now, request, answer, out);
        } else {
            out.stream(to, PeerMessage::ProposeAnswer { request, answer });
        }
    }

    fn save_snapshot(&mut self) {
        let applied = self.learner.applied();
        let Some(replica) = &mut self.replica else { return };
        if applied >= self.last_snapshot + SNAPSHOT_INTERVAL && replica.last_applied().0 == applied
        {
            self.last_snapshot = applied;
            replica.save_snapshot(LogIndex(applied), self.learner.state().snapshot());
        }
    }

    /// Answers a host that asks for entries after `applied` with the entries, or with a snapshot if
    /// some of them are no longer kept.
    pub(crate) fn answer_fetch(&self, from: HostId, applied: u64, out: &mut Outbox) {
        let message = match self.history.batch_after(applied) {
            Some(batch) => PeerMessage::ControlEntries(batch),
            None => PeerMessage::ControlSnapshot(self.learner.state().snapshot()),
        };
        out.stream(from, message);
    }

    /// Applies entries that another host sent. Ignored on a replica, which applies its own log
    /// only.
    pub(crate) fn apply_entries(&mut self, batch: &EntryBatch) {
        if self.replica.is_none() {
            self.apply_batch(batch);
        }
    }

    /// Installs a snapshot that another host sent. Ignored on a replica.
    pub(crate) fn install_snapshot(&mut self, data: &[u8]) {
        if self.replica.is_none() {
            self.install(data);
        }
    }
}

fn send_all(envelopes: Vec<Envelope>, out: &mut Outbox) {
    for envelope in envelopes {
        out.stream(envelope.to, PeerMessage::Agreement(envelope.message));
    }
}
