use std::time::Duration;

use std::collections::VecDeque;

use gw_types::HostId;
use gw_types::Timestamp;

use crate::EntryPayload;
use crate::Envelope;
use crate::HardState;
use crate::InjectedFault;
use crate::LogEntry;
use crate::LogIndex;
use crate::MemberStatus;
use crate::Membership;
use crate::MembershipChange;
use crate::Message;
use crate::MessageBody;
use crate::PersistToken;
use crate::ProposeError;
use crate::Ready;
use crate::RecoveredState;
use crate::ReplicaOptions;
use crate::Snapshot;
use crate::Term;
use crate::leader_state::LeaderTransfer;
use crate::replica_log::ReplicaLog;
use crate::replica_role::ReplicaRole;
use crate::snapshot_assembly::SnapshotAssembly;
use crate::timeout_source::TimeoutSource;

/// One replica of the group.
///
/// After each call of [`tick`](Self::tick), [`handle`](Self::handle) and
/// [`propose`](Self::propose), the caller takes [`Ready`] values until one is empty: it sends
/// `messages`, writes and syncs `persist`, calls [`persisted`](Self::persisted), sends
/// `messages_after_sync`, and applies `install` and `committed`. When a write or sync fails, the
/// caller must drop the replica and start it again from what the journal recovers.
pub struct ReplicaNode {
    pub(crate) options: ReplicaOptions,
    pub(crate) role: ReplicaRole,
    pub(crate) hard_state: HardState,
    pub(crate) hard_state_unwritten: bool,
    /// The last synced term and vote.
    pub(crate) synced_hard_state: HardState,
    pub(crate) log: ReplicaLog,
    /// Last entry that is synced here. At most `log.last_index()`.
    pub(crate) synced: LogIndex,
    /// Last entry known to be committed. Never decreases.
    pub(crate) commit_index: LogIndex,
    /// Last entry that was handed out. At most `commit` and `synced`.
    pub(crate) applied: LogIndex,
    /// When this replica last heard from a leader, or last had a majority as leader. Set at the
    /// start as well: before a restart it may have answered a leader that relies on it for an
    /// election timeout.
    pub(crate) heard_leader: Timestamp,
    pub(crate) election_deadline: Timestamp,
    pub(crate) timeouts: TimeoutSource,
    pub(crate) messages: Vec<Envelope>,
    pub(crate) messages_after_sync: Vec<Envelope>,
    pub(crate) assembly: Option<SnapshotAssembly>,
    /// Whether the log's snapshot has to be handed out.
    pub(crate) install_pending: bool,
    last_token: u64,
    unsynced_batches: VecDeque<UnsyncedBatch>,
}

/// What is synced once a batch is.
struct UnsyncedBatch {
    token: PersistToken,
    /// Lowered when the log is truncated after the batch was handed out.
    last_index: LogIndex,
    hard_state: HardState,
}

impl ReplicaNode {
    /// Starts a replica as a follower. A recovered snapshot is handed out in the first [`Ready`].
    pub fn new(options: ReplicaOptions, recovered: RecoveredState, now: Timestamp) -> Self {
        let RecoveredState { hard_state, snapshot, entries } = recovered;
        let install_pending = snapshot.is_some();
        let log = ReplicaLog::new(snapshot, entries, &options.initial_membership);
        let (min, max) = (options.election_timeout_min, options.election_timeout_max);
        let mut timeouts = TimeoutSource::new(options.seed, min, max);
        Self {
            role: ReplicaRole::Follower { leader: None },
            hard_state,
            hard_state_unwritten: false,
            synced_hard_state: hard_state,
            synced: log.last_index(),
            commit_index: log.base_index(),
            applied: log.base_index(),
            log,
            heard_leader: now,
            election_deadline: now + timeouts.draw(),
            timeouts,
            messages: Vec::new(),
            messages_after_sync: Vec::new(),
            assembly: None,
            install_pending,
            last_token: 0,
            unsynced_batches: VecDeque::new(),
            options,
        }
    }

    /// Lets time pass. Due at [`next_wakeup`](Self::next_wakeup); earlier calls do no harm.
    pub fn tick(&mut self, now: Timestamp) {
        if self.role.leader_state().is_some() {
            self.tick_leader(now);
        } else if self.may_campaign() && now >= self.election_deadline {
            self.start_pre_vote(now);
        }
    }

    /// When the next tick is due.
    pub fn next_wakeup(&self) -> Timestamp {
        match &self.role {
            ReplicaRole::Leader(state) => {
                let transfer = state.transfer.as_ref();
                transfer
                    .map_or(Timestamp::MAX, |transfer| transfer.deadline)
                    .min(state.next_heartbeat)
            }
            _ if self.may_campaign() => self.election_deadline,
            _ => Timestamp::MAX,
        }
    }

    /// Takes a message from another replica.
    pub fn handle(&mut self, now: Timestamp, from: HostId, message: Message) {
        if !self.accept_term(now, from, &message) {
            return;
        }
        match message.body {
            MessageBody::PreVoteRequest { last_index, last_term } => {
                self.handle_pre_vote_request(now, from, message.term, (last_term, last_index));
            }
            MessageBody::PreVoteResponse { requested_term, granted } => {
                self.handle_pre_vote_response(now, from, requested_term, granted);
            }
            MessageBody::VoteRequest { last_index, last_term, transfer } => {
                self.handle_vote_request(now, from, (last_term, last_index), transfer);
            }
            MessageBody::VoteResponse { granted, since_leader_contact } => {
                self.handle_vote_response(now, from, granted, since_leader_contact);
            }
            MessageBody::TimeoutNow => self.handle_timeout_now(now, from),
            MessageBody::StaleTerm => {}
            body @ (MessageBody::Append { .. } | MessageBody::SnapshotChunk { .. }) => {
                self.handle_leader_message(now, from, body);
            }
            body => self.handle_member_answer(now, from, body),
        }
    }

    /// Appends a command on the leader. It is committed once an entry with this index and the
    /// current term is handed out; an entry of another term at the index means that it was lost.
    pub fn propose(&mut self, now: Timestamp, command: Vec<u8>) -> Result<LogIndex, ProposeError> {
        let limit = self.options.max_batch_bytes;
        if command.len() > limit {
            return Err(ProposeError::TooLarge { len: command.len(), limit });
        }
        let state = self.check_proposal(now)?;
        if state.uncommitted_bytes > self.options.max_uncommitted_bytes {
            return Err(ProposeError::Busy);
        }
        Ok(self.append_as_leader(EntryPayload::Command(command)))
    }

    /// Adds or removes a member on the leader. In force as soon as it is appended; the next change
    /// is refused until it is committed.
    pub fn change_membership(
        &mut self,
        now: Timestamp,
        change: MembershipChange,
    ) -> Result<LogIndex, ProposeError> {
        self.check_proposal(now)?;
        if !self.may_change_membership() {
            return Err(ProposeError::ChangeInProgress);
        }
        let changed = self.log.membership().changed(change).ok_or(ProposeError::InvalidChange)?;
        Ok(self.append_membership(now, changed))
    }

    /// Hands leadership to the voter whose log is longest, for a graceful shutdown.
    ///
    /// Refuses proposals and claims no quorum from now on, and steps down after one election
    /// timeout at the latest.
    pub fn transfer_leadership(&mut self, now: Timestamp) -> Result<HostId, ProposeError> {
        self.check_proposal(now)?;
        let deadline = now + self.options.election_timeout_max;
        let membership = self.log.membership().clone();
        let state = self.role.leader_state_mut().ok_or(ProposeError::NotLeader { hint: None })?;
        let voters = state.members.iter().filter(|member| membership.is_voter(member.host));
        let best = voters.max_by_key(|member| (member.last_contact.is_some(), member.match_index));
        let to = best.ok_or(ProposeError::NoQuorum)?.host;
        state.transfer = Some(LeaderTransfer { to, deadline, ordered: false });
        self.order_transfer();
        Ok(to)
    }

    /// Gives the applied state up to the entry `index`, which was handed out; an older snapshot
    /// than the last one is ignored.
    pub fn save_snapshot(&mut self, index: LogIndex, data: Vec<u8>) {
        if index <= self.applied && index > self.log.snapshot_index() {
            self.log.compact(index, data, self.options.retained_entries);
        }
    }

    /// What the caller has to do, if anything.
    pub fn take_ready(&mut self, now: Timestamp) -> Ready {
        self.replicate(now);
        let mut persist = self.log.take_unwritten();
        if std::mem::take(&mut self.hard_state_unwritten) {
            persist.hard_state = Some(self.hard_state);
        }
        if !persist.is_empty() {
            self.note_batch();
        }
        let mut ready = Ready {
            token: PersistToken(self.last_token),
            persist,
            messages: std::mem::take(&mut self.messages),
            messages_after_sync: std::mem::take(&mut self.messages_after_sync),
            install: self.take_install(),
            committed: self.take_committed(),
        };
        if self.has_fault(InjectedFault::AcknowledgeBeforeSync) {
            ready.messages.append(&mut ready.messages_after_sync);
        }
        ready
    }

    fn note_batch(&mut self) {
        self.last_token += 1;
        let token = PersistToken(self.last_token);
        let last_index = self.log.last_index();
        let hard_state = self.hard_state;
        self.unsynced_batches.push_back(UnsyncedBatch { token, last_index, hard_state });
    }

    fn take_install(&mut self) -> Option<Snapshot> {
        let pending = std::mem::take(&mut self.install_pending);
        self.log.snapshot().filter(|_| pending).cloned()
    }

    fn take_committed(&mut self) -> Vec<LogEntry> {
        let to = self.commit_index.min(self.synced);
        let committed = self.log.batch(self.applied.next(), to, self.options.max_batch_bytes);
        self.applied = committed.last().map_or(self.applied, |entry| entry.index);
        committed
    }

    /// The batch of `token` and all earlier ones are synced.
    pub fn persisted(&mut self, now: Timestamp, token: PersistToken) {
        while let Some(batch) = self.unsynced_batches.pop_front_if(|batch| batch.token <= token) {
            self.synced = self.synced.max(batch.last_index);
            self.synced_hard_state = batch.hard_state;
        }
        self.count_own_vote(now);
        self.advance_commit(now);
    }

    /// Removes the entry `index` and all later ones.
    pub(crate) fn truncate_log(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.limit_synced(index.previous());
    }

    /// Notes that entries after `last` were removed.
    pub(crate) fn limit_synced(&mut self, last: LogIndex) {
        self.synced = self.synced.min(last);
        for batch in &mut self.unsynced_batches {
            batch.last_index = batch.last_index.min(last);
        }
    }

    pub(crate) fn has_fault(&self, fault: InjectedFault) -> bool {
        self.options.injected_fault == Some(fault)
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.log.membership().is_voter(self.options.id)
    }

    /// A voter whose removal is not known to be committed may campaign too: it may be the only one
    /// whose log the remaining voters can follow (Ongaro's dissertation, section 4.2.2).
    fn may_campaign(&self) -> bool {
        self.is_voter() || self.log.membership_at(self.commit_index).is_voter(self.options.id)
    }

    pub(crate) fn send(&mut self, to: HostId, body: MessageBody) {
        let message = Message { term: self.hard_state.term, body };
        self.messages.push(Envelope { to, message });
    }

    pub(crate) fn send_after_sync(&mut self, to: HostId, body: MessageBody) {
        let message = Message { term: self.hard_state.term, body };
        self.messages_after_sync.push(Envelope { to, message });
    }

    /// This replica's id.
    pub fn id(&self) -> HostId {
        self.options.id
    }

    /// Whether this replica is the leader of its term. A later term may have another leader: see
    /// [`has_quorum`](Self::has_quorum).
    pub fn is_leader(&self) -> bool {
        self.role.leader_state().is_some()
    }

    /// Who probably is the leader.
    pub fn leader_hint(&self) -> Option<HostId> {
        match &self.role {
            ReplicaRole::Follower { leader } => *leader,
            ReplicaRole::Leader(_) => Some(self.options.id),
            ReplicaRole::PreCandidate { .. } | ReplicaRole::Candidate { .. } => None,
        }
    }

    /// When this replica last heard from a leader, or started.
    pub fn last_leader_contact(&self) -> Timestamp {
        self.heard_leader
    }

    /// When this replica became leader. Leases that an earlier leader granted may run until one
    /// full lease later.
    pub fn leader_since(&self) -> Option<Timestamp> {
        self.role.leader_state().map(|state| state.since)
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether this replica leads and a majority answered messages that it sent within the
    /// shortest election timeout before `now`. While it does, no other replica becomes leader,
    /// apart from differences in clock rate.
    pub fn has_quorum(&self, now: Timestamp) -> bool {
        let Some(state) = self.role.leader_state() else { return false };
        let contact = self.majority_contact(now, state);
        state.transfer.is_none()
            && contact.is_some_and(|at| now.since(at) < self.options.election_timeout_min)
    }

    /// When the last round of messages that a majority answered was sent, while this replica leads.
    /// Up to then no other replica can have become leader.
    pub fn leadership_confirmed_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.role.leader_state().and_then(|state| self.majority_contact(now, state))
    }

    /// Time before this replica became leader in which no other leader can have sent a round of
    /// messages that a majority answered; zero on other replicas.
    ///
    /// Each voter tells with its vote how long ago it heard a leader, and one of this leader's
    /// voters is in every majority. At least the shortest election timeout, but for elections that
    /// a leader asked for, whose votes are granted at once. Measured on the clocks of the voters.
    pub fn leaderless_time(&self) -> Duration {
        self.role.leader_state().map_or(Duration::ZERO, |state| state.leaderless_time)
    }

    /// Last entry that was handed out to be applied, or that an installed snapshot covers.
    pub fn last_applied(&self) -> LogIndex {
        self.applied
    }

    /// Last entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Last entry of the log, committed or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// The members in force, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// What the leader knows of the other members; empty on other replicas.
    pub fn member_status(&self) -> Vec<MemberStatus> {
        let members = self.role.leader_state().map_or(&[][..], |state| &state.members);
        let status = members.iter().map(|member| MemberStatus {
            host: member.host,
            voter: self.log.membership().is_voter(member.host),
            match_index: member.match_index,
            last_contact: member.last_contact,
            receives_snapshot: member.snapshot.is_some(),
        });
        status.collect()
    }
}
