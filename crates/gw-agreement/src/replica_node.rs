use std::collections::VecDeque;
use std::time::Duration;

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

/// State machine of one replica of the group.
///
/// After each call of [`tick`](Self::tick), [`handle`](Self::handle) and
/// [`propose`](Self::propose), the caller takes [`Ready`] values until one is empty. For each, it
/// sends `messages`, writes and syncs `persist`, calls [`persisted`](Self::persisted), sends
/// `messages_after_sync`, and applies `install` and `committed`. If a write or sync fails, the
/// caller must drop the replica and restart it from the state that the journal recovers.
///
/// The caller may go on while batches are written, with [`SyncQueue`](crate::SyncQueue): it writes
/// them in order, and applies `install` and `committed` at once.
pub struct ReplicaNode {
    pub(crate) options: ReplicaOptions,
    pub(crate) role: ReplicaRole,
    pub(crate) hard_state: HardState,
    pub(crate) hard_state_unwritten: bool,
    /// The last synced term and vote.
    pub(crate) synced_hard_state: HardState,
    pub(crate) log: ReplicaLog,
    /// Last entry that is synced on this replica. At most `log.last_index()`.
    pub(crate) last_synced: LogIndex,
    /// Last entry known to be committed. Never decreases.
    pub(crate) commit_index: LogIndex,
    /// Highest commit index that a leader has sent to this replica; `None` until the first one.
    pub(crate) leader_commit_index: Option<LogIndex>,
    /// Last entry that was returned as committed or is covered by a snapshot. At most
    /// `commit_index` and `last_synced`.
    pub(crate) last_applied: LogIndex,
    /// Time at which this replica last heard from a leader or, as leader, last had contact with a
    /// majority. Initially the start time: before a restart, the replica may have responded to a
    /// leader that relies on this response for an election timeout.
    pub(crate) last_leader_contact: Timestamp,
    pub(crate) election_deadline: Timestamp,
    pub(crate) timeouts: TimeoutSource,
    pub(crate) messages: Vec<Envelope>,
    pub(crate) messages_after_sync: Vec<Envelope>,
    pub(crate) assembly: Option<SnapshotAssembly>,
    /// Whether the log's snapshot has to be returned in `Ready::install`.
    pub(crate) install_pending: bool,
    last_token: u64,
    unsynced_batches: VecDeque<UnsyncedBatch>,
}

/// State that is durable once a batch is synced.
struct UnsyncedBatch {
    token: PersistToken,
    /// Last entry of the log. Lowered if the log is truncated after the batch was returned.
    last_index: LogIndex,
    hard_state: HardState,
    returned_at: Timestamp,
}

impl ReplicaNode {
    /// Creates a replica as a follower. A recovered snapshot is returned in the first [`Ready`].
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
            last_synced: log.last_index(),
            commit_index: log.base_index(),
            leader_commit_index: None,
            last_applied: log.base_index(),
            log,
            last_leader_contact: now,
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

    /// Processes the timeouts that are due at `now`. Must be called at
    /// [`next_wakeup`](Self::next_wakeup); earlier calls are permitted.
    pub fn tick(&mut self, now: Timestamp) {
        if self.role.leader_state().is_some() {
            self.tick_leader(now);
        } else if self.may_campaign() && now >= self.election_deadline {
            // A candidate counts its own vote only once that is synced. While an earlier term or vote
            // is not, for example because the disk hangs, a further campaign only raises the term.
            if self.synced_hard_state == self.hard_state {
                self.start_pre_vote(now);
            } else {
                self.postpone_pre_vote(now);
            }
        }
    }

    /// Returns the time at which the next [`tick`](Self::tick) is due.
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

    /// Handles a message from the replica `from`.
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
            body => self.handle_member_response(now, from, body),
        }
    }

    /// Appends a command to the leader's log and returns its index.
    ///
    /// The command is committed once an entry with this index and the current term is returned in
    /// `Ready::committed`. If that entry has another term, the command was lost.
    pub fn propose(&mut self, now: Timestamp, command: Vec<u8>) -> Result<LogIndex, ProposeError> {
        let limit = self.options.max_command_bytes;
        if command.len() > limit {
            return Err(ProposeError::TooLarge { len: command.len(), limit });
        }
        let state = self.check_proposal(now)?;
        if state.uncommitted_bytes > self.options.max_uncommitted_bytes {
            return Err(ProposeError::Busy);
        }
        Ok(self.append_as_leader(EntryPayload::Command(command.into())))
    }

    /// Appends a membership change to the leader's log and returns its index.
    ///
    /// The change is in force as soon as it is appended. Further changes are rejected until it is
    /// committed.
    pub fn change_membership(
        &mut self,
        now: Timestamp,
        change: MembershipChange,
    ) -> Result<LogIndex, ProposeError> {
        self.check_proposal(now)?;
        if !self.can_change_membership() {
            return Err(ProposeError::ChangeInProgress);
        }
        let changed = self.log.membership().changed(change).ok_or(ProposeError::InvalidChange)?;
        Ok(self.append_membership(now, changed))
    }

    /// Starts a transfer of leadership for a graceful shutdown, and returns the chosen voter.
    ///
    /// Prefers voters that have responded to this leader, then the highest match index. From now on
    /// this replica rejects proposals and claims no quorum; it steps down after one election
    /// timeout at the latest.
    pub fn transfer_leadership(&mut self, now: Timestamp) -> Result<HostId, ProposeError> {
        self.check_proposal(now)?;
        let deadline = now + self.options.election_timeout_max;
        let membership = self.log.membership().clone();
        let state = self.role.leader_state_mut().ok_or(ProposeError::NotLeader { hint: None })?;
        let voters = state.members.iter().filter(|member| membership.is_voter(member.host));
        let best = voters.max_by_key(|member| (member.last_contact.is_some(), member.match_index));
        let transferee = best.ok_or(ProposeError::NoQuorum)?.host;
        state.transfer = Some(LeaderTransfer { transferee, deadline, timeout_now_sent: false });
        self.send_timeout_now();
        Ok(transferee)
    }

    /// Stores a snapshot of the applied state as of the entry at `index`, which must have been
    /// returned in `Ready::committed`. Ignored unless it is newer than the last snapshot.
    pub fn save_snapshot(&mut self, index: LogIndex, data: Vec<u8>) {
        if index <= self.last_applied && index > self.log.snapshot_index() {
            let (entries, bytes) = (self.options.retained_entries, self.options.retained_bytes);
            self.log.compact(index, data, entries, bytes);
        }
    }

    /// Returns the pending work for the caller. It is empty if there is none.
    pub fn take_ready(&mut self, now: Timestamp) -> Ready {
        self.replicate(now);
        let mut persist = self.log.take_unwritten();
        if std::mem::take(&mut self.hard_state_unwritten) {
            persist.hard_state = Some(self.hard_state);
        }
        if !persist.is_empty() {
            self.record_unsynced_batch(now);
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

    fn record_unsynced_batch(&mut self, now: Timestamp) {
        self.last_token += 1;
        let token = PersistToken(self.last_token);
        let last_index = self.log.last_index();
        let hard_state = self.hard_state;
        let batch = UnsyncedBatch { token, last_index, hard_state, returned_at: now };
        self.unsynced_batches.push_back(batch);
    }

    fn take_install(&mut self) -> Option<Snapshot> {
        let pending = std::mem::take(&mut self.install_pending);
        self.log.snapshot().filter(|_| pending).cloned()
    }

    fn take_committed(&mut self) -> Vec<LogEntry> {
        let to = self.commit_index.min(self.last_synced);
        let committed = self.log.batch(self.last_applied.next(), to, self.options.max_batch_bytes);
        self.last_applied = committed.last().map_or(self.last_applied, |entry| entry.index);
        committed
    }

    /// Reports that the batch of `token` and all earlier ones are synced.
    pub fn persisted(&mut self, now: Timestamp, token: PersistToken) {
        while let Some(batch) = self.unsynced_batches.pop_front_if(|batch| batch.token <= token) {
            self.last_synced = self.last_synced.max(batch.last_index);
            self.synced_hard_state = batch.hard_state;
        }
        self.count_own_vote(now);
        self.advance_commit(now);
    }

    /// Removes the entry at `index` and all later ones.
    pub(crate) fn truncate_log(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.limit_last_synced(index.previous());
    }

    /// Records that the entries after `last` were removed.
    pub(crate) fn limit_last_synced(&mut self, last: LogIndex) {
        self.last_synced = self.last_synced.min(last);
        for batch in &mut self.unsynced_batches {
            batch.last_index = batch.last_index.min(last);
        }
    }

    /// Returns whether the term and the entries up to `index` are synced. False while the disk hangs
    /// for too long.
    pub(crate) fn is_synced(&self, now: Timestamp, index: LogIndex) -> bool {
        let oldest = self.unsynced_batches.front();
        let is_hanging =
            oldest.is_some_and(|batch| now.since(batch.returned_at) >= self.options.max_sync_time);
        !is_hanging && self.synced_hard_state == self.hard_state && index <= self.last_synced
    }

    pub(crate) fn has_fault(&self, fault: InjectedFault) -> bool {
        self.options.injected_fault == Some(fault)
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.log.membership().is_voter(self.options.id)
    }

    /// Returns whether this replica may start an election.
    ///
    /// A voter whose removal is not known to be committed may do so too: it may be the only replica
    /// whose log is up to date enough to win (Ongaro's dissertation, section 4.2.2).
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

    /// Returns this replica's id.
    pub fn id(&self) -> HostId {
        self.options.id
    }

    /// Returns whether this replica is the leader of its term. Another replica may already lead a
    /// later term; see [`has_quorum`](Self::has_quorum).
    pub fn is_leader(&self) -> bool {
        self.role.leader_state().is_some()
    }

    /// Returns the leader of the current term as far as this replica knows it.
    pub fn leader_hint(&self) -> Option<HostId> {
        match &self.role {
            ReplicaRole::Follower { leader } => *leader,
            ReplicaRole::Leader(_) => Some(self.options.id),
            ReplicaRole::PreCandidate { .. } | ReplicaRole::Candidate { .. } => None,
        }
    }

    /// Returns the time at which this replica started, last heard from a leader or, as leader, last
    /// recorded contact with a majority, whichever is latest.
    pub fn last_leader_contact(&self) -> Timestamp {
        self.last_leader_contact
    }

    /// Returns the time at which this replica became leader, or `None` if it does not lead. Leases
    /// granted by an earlier leader may run until one full lease after this time.
    pub fn leader_since(&self) -> Option<Timestamp> {
        self.role.leader_state().map(|state| state.since)
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns whether this replica leads and a majority has responded to messages that it sent
    /// within the shortest election timeout before `now`. While this holds, no other replica
    /// becomes leader, except for differences in clock rate.
    pub fn has_quorum(&self, now: Timestamp) -> bool {
        let Some(state) = self.role.leader_state() else { return false };
        let contact = self.majority_contact(now, state);
        state.transfer.is_none()
            && contact.is_some_and(|at| now.since(at) < self.options.election_timeout_min)
    }

    /// Returns the send time of the last round of messages that a majority has responded to. `None`
    /// if this replica does not lead or no majority has responded. Up to this time, no other
    /// replica can have become leader.
    pub fn leadership_confirmed_at(&self, now: Timestamp) -> Option<Timestamp> {
        self.role.leader_state().and_then(|state| self.majority_contact(now, state))
    }

    /// Returns whether the state of this follower contains everything that was acknowledged when the
    /// leader last sent entries. A replica that restarts hears the leader before that: it has to
    /// apply an entry of the current term, since a new leader does not know yet what earlier ones
    /// have committed, and all entries that the leader has named as committed.
    pub fn is_caught_up(&self) -> bool {
        self.leader_hint().is_some()
            && self.log.term_at(self.last_applied) == Some(self.hard_state.term)
            && self.leader_commit_index.is_some_and(|index| self.last_applied >= index)
    }

    /// Returns the length of the period before this replica became leader in which no other leader
    /// can have sent a round of messages that a majority responded to. Zero if this replica does
    /// not lead.
    ///
    /// Each voter reports with its vote how long ago it heard from a leader, and every majority
    /// contains one of this leader's voters. The period is at least the shortest election timeout,
    /// except after a leadership transfer, where votes are granted immediately. It is measured on
    /// the voters' clocks.
    pub fn leaderless_time(&self) -> Duration {
        self.role.leader_state().map_or(Duration::ZERO, |state| state.leaderless_time)
    }

    /// Returns the last entry that was returned to be applied or that an installed snapshot covers.
    pub fn last_applied(&self) -> LogIndex {
        self.last_applied
    }

    /// Returns the last entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the last entry of the log, committed or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the size of the applied entries that no snapshot covers, in bytes.
    pub fn bytes_since_snapshot(&self) -> usize {
        self.log.size_bytes(self.log.snapshot_index().next(), self.last_applied)
    }

    /// Returns the size of the entries in memory, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.size_bytes(self.log.base_index().next(), self.log.last_index())
    }

    /// Returns the membership in force, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the replication state of the other members. Empty if this replica does not lead.
    pub fn member_status(&self) -> Vec<MemberStatus> {
        let members = self.role.leader_state().map_or(&[][..], |state| &state.members);
        let status = members.iter().map(|member| MemberStatus {
            host: member.host,
            voter: self.log.membership().is_voter(member.host),
            match_index: member.match_index,
            last_contact: member.last_contact,
            caught_up_at: member.caught_up_at,
            receives_snapshot: member.snapshot.is_some(),
        });
        status.collect()
    }
}
