use gw_types::HostId;
use gw_types::Timestamp;

use crate::EntryPayload;
use crate::InjectedFault;
use crate::LogEntry;
use crate::LogIndex;
use crate::Membership;
use crate::MessageBody;
use crate::ProposeError;
use crate::ReplicaNode;
use crate::ReplicaOptions;
use crate::leader_state::LeaderState;
use crate::member_progress::MAX_REPEATED_BYTES;
use crate::member_progress::MemberProgress;
use crate::member_progress::SentBatch;
use crate::member_progress::SnapshotTransfer;

/// Replication on the leader.
impl ReplicaNode {
    /// Returns the latest time such that a majority, this replica included, has responded to a
    /// message sent then or later. `None` while no majority has responded.
    pub(crate) fn majority_contact(
        &self,
        now: Timestamp,
        state: &LeaderState,
    ) -> Option<Timestamp> {
        let membership = self.log.membership();
        let contact = |&host: &HostId| match host == self.options.id {
            true => Some(now),
            false => state.member(host).and_then(|member| member.last_contact),
        };
        let mut contacts: Vec<_> = membership.voters().iter().map(contact).collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(membership.majority() - 1).copied().flatten()
    }

    /// Returns whether the election and the last contact with a majority are both at least the
    /// shortest election timeout ago.
    pub(crate) fn lost_quorum(&self, now: Timestamp) -> bool {
        self.role.leader_state().is_some_and(|state| {
            let contact = self.majority_contact(now, state).max(Some(state.since));
            contact.is_none_or(|at| now.since(at) >= self.options.election_timeout_min)
        })
    }

    pub(crate) fn tick_leader(&mut self, now: Timestamp) {
        let transfer = self.role.leader_state().and_then(|state| state.transfer.as_ref());
        let transfer_over = transfer.is_some_and(|transfer| now >= transfer.deadline);
        if transfer_over || self.lost_quorum(now) {
            self.step_down(now, self.hard_state.term);
            return;
        }
        let interval = self.options.heartbeat_interval;
        if let Some(state) = self.role.leader_state_mut()
            && now >= state.next_heartbeat
        {
            state.next_heartbeat = now + interval;
            let hosts: Vec<HostId> = state.members.iter().map(|member| member.host).collect();
            hosts.into_iter().for_each(|host| self.send_heartbeat(now, host));
        }
    }

    /// Sends the next batch or chunk or, while much earlier data is on its way, a message without
    /// data, so that a slow link is not filled with repetitions. Data that should have arrived by now
    /// is sent again.
    fn send_heartbeat(&mut self, now: Timestamp, host: HostId) {
        let Some(member) = self.role.leader_state_mut().and_then(|s| s.member_mut(host)) else {
            return;
        };
        member.check_loss(now);
        if member.has_much_in_flight() {
            self.send_keep_alive(now, host);
        } else if member.snapshot.is_some() {
            self.send_snapshot_chunk(now, host);
        } else {
            self.send_batch(now, host);
        }
    }

    /// Sends a message that the member accepts whether or not the data in flight has arrived: it
    /// refers to an entry that the member is known to have, or to the start of the log.
    fn send_keep_alive(&mut self, now: Timestamp, host: HostId) {
        let Some(member) = self.role.leader_state().and_then(|state| state.member(host)) else {
            return;
        };
        let known = self.log.term_at(member.match_index).map(|term| (member.match_index, term));
        let (previous_index, previous_term) = known.unwrap_or_default();
        let (commit_index, sent_at, entries) = (self.commit_index, now, Vec::new());
        let body =
            MessageBody::Append { previous_index, previous_term, entries, commit_index, sent_at };
        self.send(host, body);
    }

    /// Reports that the connection to `host` was lost, with all messages on their way.
    pub fn connection_lost(&mut self, host: HostId) {
        if let Some(member) = self.role.leader_state_mut().and_then(|s| s.member_mut(host)) {
            member.record_loss();
        }
    }

    pub(crate) fn check_proposal(&self, now: Timestamp) -> Result<&LeaderState, ProposeError> {
        let state = self.role.leader_state();
        let state = state.ok_or(ProposeError::NotLeader { hint: self.leader_hint() })?;
        if state.transfer.is_some() {
            return Err(ProposeError::Transferring);
        }
        if self.lost_quorum(now) {
            return Err(ProposeError::NoQuorum);
        }
        Ok(state)
    }

    pub(crate) fn append_as_leader(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = LogEntry { index, term: self.hard_state.term, payload };
        if let Some(state) = self.role.leader_state_mut() {
            state.uncommitted_bytes += entry.size_bytes();
        }
        self.log.append(entry);
        index
    }

    /// Includes the last contact with a majority in `last_leader_contact`, which later votes
    /// report.
    pub(crate) fn record_majority_contact(&mut self, now: Timestamp) {
        let Some(state) = self.role.leader_state() else { return };
        let confirmed = self.majority_contact(now, state);
        self.last_leader_contact =
            confirmed.map_or(self.last_leader_contact, |at| at.max(self.last_leader_contact));
    }

    pub(crate) fn append_membership(&mut self, now: Timestamp, membership: Membership) -> LogIndex {
        // Evaluated under the old membership: a majority of it may not be a majority of the new
        // one.
        self.record_majority_contact(now);
        let next_index = self.log.last_index().next();
        let index = self.append_as_leader(EntryPayload::Membership(membership));
        if let Some(state) = self.role.leader_state_mut() {
            state.refresh_members(self.options.id, self.log.membership(), next_index);
        }
        index
    }

    /// Returns whether the last membership change and an entry of this term are committed. Without
    /// the latter condition, two leaders could make changes whose majorities do not intersect.
    pub(crate) fn can_change_membership(&self) -> bool {
        let state = self.role.leader_state();
        state.is_some_and(|state| self.commit_index >= state.first_index)
            && self.commit_index >= self.log.membership_index()
    }

    /// Sends entries to each member that lags behind, up to the limits of batches in flight.
    pub(crate) fn replicate(&mut self, now: Timestamp) {
        let count = self.role.leader_state().map_or(0, |state| state.members.len());
        for position in 0..count {
            while let Some(state) = self.role.leader_state()
                && let member = &state.members[position]
                && member.next_index <= self.log.last_index()
                && self.can_send_batch(member)
            {
                let host = member.host;
                self.send_batch(now, host);
            }
        }
    }

    fn can_send_batch(&self, member: &MemberProgress) -> bool {
        let ReplicaOptions { max_batches_in_flight, max_in_flight_bytes, .. } = self.options;
        let bytes = self.log.batch_bytes(member.next_index, self.options.max_batch_bytes);
        let can_probe = member.probing && !member.probe_sent && member.snapshot.is_none();
        can_probe || member.can_send(bytes, max_batches_in_flight, max_in_flight_bytes)
    }

    fn send_batch(&mut self, now: Timestamp, host: HostId) {
        let Some(state) = self.role.leader_state_mut() else { return };
        let Some(member) = state.member_mut(host) else { return };
        let from = member.next_index;
        let previous_index = from.previous();
        let previous_term = self.log.term_at(previous_index);
        let Some(previous_term) = previous_term.filter(|_| !self.log.is_snapshot_smaller(from))
        else {
            self.start_snapshot_transfer(now, host);
            return;
        };
        let entries = match member.probing {
            true if member.probe_sent => Vec::new(),
            true => {
                member.probe_sent = true;
                let limit = MAX_REPEATED_BYTES.min(self.options.max_batch_bytes);
                let mut entries = self.log.batch(from, self.log.last_index(), limit);
                entries.retain(|entry| entry.size_bytes() <= limit);
                member.next_index = LogIndex(from.0 + entries.len() as u64);
                entries
            }
            false => {
                let limit = self.options.max_batch_bytes;
                let entries = self.log.batch(from, self.log.last_index(), limit);
                if let Some(last) = entries.last() {
                    let bytes = self.log.size_bytes(from, last.index);
                    member.record_sent(now, SentBatch { last_index: last.index, bytes });
                }
                entries
            }
        };
        let commit_index = self.commit_index;
        let sent_at = now;
        let body =
            MessageBody::Append { previous_index, previous_term, entries, commit_index, sent_at };
        self.send(host, body);
    }

    /// Starts to send the latest snapshot to a member that needs entries no longer in memory.
    fn start_snapshot_transfer(&mut self, now: Timestamp, host: HostId) {
        let Some(snapshot) = self.log.snapshot().cloned() else { return };
        if let Some(member) = self.role.leader_state_mut().and_then(|s| s.member_mut(host)) {
            member.in_flight.clear();
            member.snapshot = Some(SnapshotTransfer { snapshot, offset: 0, chunk_bytes: 0 });
            self.send_snapshot_chunk(now, host);
        }
    }

    fn send_snapshot_chunk(&mut self, now: Timestamp, host: HostId) {
        let state = self.role.leader_state_mut();
        let Some(member) = state.and_then(|state| state.member_mut(host)) else { return };
        let Some(SnapshotTransfer { snapshot, offset, .. }) = &member.snapshot else { return };
        let end = snapshot.data.len().min(offset + self.options.snapshot_chunk_bytes);
        let body = MessageBody::SnapshotChunk {
            meta: snapshot.meta.clone(),
            offset: *offset as u64,
            total_bytes: snapshot.data.len() as u64,
            bytes: snapshot.data[*offset..end].to_vec(),
            sent_at: now,
        };
        // An empty snapshot is one chunk as well.
        let chunk_bytes = (end - *offset).max(1);
        member.record_chunk_sent(now, chunk_bytes);
        self.send(host, body);
    }

    /// Handles a member's response to a batch or snapshot chunk.
    pub(crate) fn handle_member_response(
        &mut self,
        now: Timestamp,
        from: HostId,
        body: MessageBody,
    ) {
        let last_index = self.log.last_index();
        let state = self.role.leader_state_mut();
        let Some(member) = state.and_then(|state| state.member_mut(from)) else { return };
        match body {
            MessageBody::Matched { match_index, sent_at } if match_index <= last_index => {
                member.record_contact(sent_at.min(now));
                member.record_match(now, match_index);
                self.advance_commit(now);
                self.record_caught_up(now, from);
                self.promote_learner(now, from);
                self.send_timeout_now();
            }
            MessageBody::Mismatch { rejected_index, match_hint, sent_at } => {
                member.record_contact(sent_at.min(now));
                member.record_mismatch(rejected_index, match_hint);
            }
            MessageBody::SnapshotProgress { index, received_bytes, sent_at } => {
                member.record_contact(sent_at.min(now));
                self.continue_snapshot_transfer(now, from, index, received_bytes);
            }
            _ => {}
        }
    }

    fn continue_snapshot_transfer(
        &mut self,
        now: Timestamp,
        from: HostId,
        index: LogIndex,
        received_bytes: u64,
    ) {
        let state = self.role.leader_state_mut();
        let Some(member) = state.and_then(|state| state.member_mut(from)) else { return };
        let Some(transfer) = member.snapshot.as_mut() else { return };
        let received_bytes = (received_bytes as usize).min(transfer.snapshot.data.len());
        // A duplicated response must not start a second sequence of chunks.
        if transfer.snapshot.meta.index == index && transfer.offset != received_bytes {
            transfer.offset = received_bytes;
            member.record_progress(now);
            self.send_snapshot_chunk(now, from);
        }
    }

    /// Commits the entries that a majority has synced, if the last of them is of the current term:
    /// an entry of an earlier term can still be overwritten although a majority holds it (Raft
    /// paper, section 5.4.2).
    pub(crate) fn advance_commit(&mut self, now: Timestamp) {
        let Some(state) = self.role.leader_state() else { return };
        let membership = self.log.membership();
        let last_synced = |&host: &HostId| match host == self.options.id {
            true => self.own_last_synced(),
            false => state.member(host).map_or(LogIndex::ZERO, |member| member.match_index),
        };
        let mut indexes: Vec<LogIndex> = membership.voters().iter().map(last_synced).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let index = indexes.get(membership.majority() - 1).copied().unwrap_or_default();
        let is_own_term = self.log.term_at(index) == Some(self.hard_state.term);
        if index > self.commit_index
            && (is_own_term || self.has_fault(InjectedFault::CommitEarlierTerm))
        {
            self.commit_up_to(now, index);
        }
    }

    fn own_last_synced(&self) -> LogIndex {
        match self.has_fault(InjectedFault::AcknowledgeBeforeSync) {
            true => self.log.last_index(),
            false => self.last_synced,
        }
    }

    fn commit_up_to(&mut self, now: Timestamp, index: LogIndex) {
        let from = self.commit_index.next();
        self.commit_index = index;
        if let Some(state) = self.role.leader_state_mut() {
            let committed = self.log.size_bytes(from.max(state.first_index), index);
            state.uncommitted_bytes = state.uncommitted_bytes.saturating_sub(committed);
        }
        // A leader that is being removed leads until its removal is committed.
        if self.commit_index >= self.log.membership_index() && !self.is_voter() {
            self.announce_commit(now);
            self.step_down(now, self.hard_state.term);
        }
    }

    /// Sends the commit index to the members before the leader steps down.
    fn announce_commit(&mut self, now: Timestamp) {
        let members = self.role.leader_state().map_or(&[][..], |state| &state.members);
        let hosts: Vec<HostId> = members.iter().map(|member| member.host).collect();
        hosts.into_iter().for_each(|host| self.send_heartbeat(now, host));
    }

    /// Records that a member has synced all committed entries, if it has.
    fn record_caught_up(&mut self, now: Timestamp, host: HostId) {
        let commit_index = self.commit_index;
        let state = self.role.leader_state_mut();
        let member = state.and_then(|state| state.member_mut(host));
        if let Some(member) = member.filter(|member| member.match_index >= commit_index) {
            member.caught_up_at = Some(now);
        }
    }

    /// Promotes a learner to voter once it has synced all committed entries.
    fn promote_learner(&mut self, now: Timestamp, host: HostId) {
        let membership = self.log.membership();
        let member = self.role.leader_state().and_then(|state| state.member(host));
        let caught_up = member.is_some_and(|member| member.match_index >= self.commit_index);
        let is_learner = membership.contains(host) && !membership.is_voter(host);
        if self.options.promotes_learners
            && is_learner
            && caught_up
            && self.can_change_membership()
            && self.check_proposal(now).is_ok()
        {
            self.append_membership(now, self.log.membership().promoted(host));
        }
    }

    /// Asks the transferee to campaign once it has synced the leader's whole log.
    pub(crate) fn send_timeout_now(&mut self) {
        let last_index = self.log.last_index();
        let Some(state) = self.role.leader_state_mut() else { return };
        let Some(transferee) = state.transfer.as_ref().map(|transfer| transfer.transferee) else {
            return;
        };
        let has_all =
            state.member(transferee).is_some_and(|member| member.match_index == last_index);
        if let Some(transfer) = state.transfer.as_mut()
            && has_all
            && !transfer.timeout_now_sent
        {
            transfer.timeout_now_sent = true;
            self.send(transferee, MessageBody::TimeoutNow);
        }
    }
}
