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
use crate::leader_state::LeaderState;
use crate::member_progress::SnapshotProgress;

/// The leader's side of replication.
impl ReplicaNode {
    /// When a majority, this replica included, was last in contact.
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

    /// Whether the leader was elected, and last in contact with a majority, longer ago than the
    /// shortest election timeout.
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

    /// Sends what comes next even when earlier messages were not answered: they may be lost.
    fn send_heartbeat(&mut self, now: Timestamp, host: HostId) {
        if let Some(member) = self.role.leader_state_mut().and_then(|s| s.member_mut(host)) {
            member.in_flight = 0;
            match member.snapshot {
                Some(_) => self.send_chunk(now, host),
                None => self.send_batch(now, host),
            }
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

    /// Counts the last contact with a majority as a sign of a leader, for a later vote.
    pub(crate) fn remember_majority(&mut self, now: Timestamp) {
        let Some(state) = self.role.leader_state() else { return };
        let confirmed = self.majority_contact(now, state);
        self.heard_leader = confirmed.map_or(self.heard_leader, |at| at.max(self.heard_leader));
    }

    pub(crate) fn append_membership(&mut self, now: Timestamp, membership: Membership) -> LogIndex {
        // A majority of the members so far may be none of the new ones.
        self.remember_majority(now);
        let next = self.log.last_index().next();
        let index = self.append_as_leader(EntryPayload::Membership(membership));
        if let Some(state) = self.role.leader_state_mut() {
            state.refresh_members(self.options.id, self.log.membership(), next);
        }
        index
    }

    /// Whether the last change and an entry of this term are committed. Without the latter, two
    /// leaders could make changes whose majorities do not intersect.
    pub(crate) fn may_change_membership(&self) -> bool {
        let state = self.role.leader_state();
        state.is_some_and(|state| self.commit_index >= state.first_index)
            && self.commit_index >= self.log.membership_index()
    }

    /// Sends entries to each member that is behind, as far as its window allows.
    pub(crate) fn replicate(&mut self, now: Timestamp) {
        let last_index = self.log.last_index();
        let max_in_flight = self.options.max_batches_in_flight;
        let count = self.role.leader_state().map_or(0, |state| state.members.len());
        for position in 0..count {
            while let Some(state) = self.role.leader_state()
                && let member = &state.members[position]
                && member.next <= last_index
                && member.has_window(max_in_flight)
            {
                let host = member.host;
                self.send_batch(now, host);
            }
        }
    }

    fn send_batch(&mut self, now: Timestamp, host: HostId) {
        let Some(state) = self.role.leader_state_mut() else { return };
        let Some(member) = state.member_mut(host) else { return };
        let previous_index = member.next.previous();
        let Some(previous_term) = self.log.term_at(previous_index) else {
            self.start_snapshot(now, host);
            return;
        };
        let last_index = self.log.last_index();
        let entries = self.log.batch(member.next, last_index, self.options.max_batch_bytes);
        member.next = LogIndex(member.next.0 + entries.len() as u64);
        member.in_flight += 1;
        let commit_index = self.commit_index;
        let sent_at = now;
        let body =
            MessageBody::Append { previous_index, previous_term, entries, commit_index, sent_at };
        self.send(host, body);
    }

    /// Starts with the latest snapshot, for a member that needs entries which are gone.
    fn start_snapshot(&mut self, now: Timestamp, host: HostId) {
        let Some(snapshot) = self.log.snapshot().cloned() else { return };
        if let Some(member) = self.role.leader_state_mut().and_then(|s| s.member_mut(host)) {
            member.snapshot = Some(SnapshotProgress { snapshot, offset: 0 });
            self.send_chunk(now, host);
        }
    }

    fn send_chunk(&mut self, now: Timestamp, host: HostId) {
        let Some(member) = self.role.leader_state().and_then(|s| s.member(host)) else { return };
        let Some(SnapshotProgress { snapshot, offset }) = &member.snapshot else { return };
        let end = snapshot.data.len().min(offset + self.options.snapshot_chunk_bytes);
        let body = MessageBody::SnapshotChunk {
            meta: snapshot.meta.clone(),
            offset: *offset as u64,
            total_bytes: snapshot.data.len() as u64,
            bytes: snapshot.data[*offset..end].to_vec(),
            sent_at: now,
        };
        self.send(host, body);
    }

    /// Takes a member's answer.
    pub(crate) fn handle_member_answer(&mut self, now: Timestamp, from: HostId, body: MessageBody) {
        let last_index = self.log.last_index();
        let state = self.role.leader_state_mut();
        let Some(member) = state.and_then(|state| state.member_mut(from)) else { return };
        match body {
            MessageBody::Matched { match_index, sent_at } if match_index <= last_index => {
                member.note_contact(sent_at.min(now));
                member.note_match(match_index);
                self.advance_commit(now);
                self.promote_learner(now, from);
                self.order_transfer();
            }
            MessageBody::Mismatch { rejected_index, match_hint, sent_at } => {
                member.note_contact(sent_at.min(now));
                member.note_mismatch(rejected_index, match_hint);
            }
            MessageBody::SnapshotProgress { index, received_bytes, sent_at } => {
                member.note_contact(sent_at.min(now));
                self.continue_snapshot(now, from, index, received_bytes);
            }
            _ => {}
        }
    }

    fn continue_snapshot(
        &mut self,
        now: Timestamp,
        from: HostId,
        index: LogIndex,
        received_bytes: u64,
    ) {
        let member = self.role.leader_state_mut().and_then(|state| state.member_mut(from));
        let Some(progress) = member.and_then(|member| member.snapshot.as_mut()) else { return };
        let received_bytes = (received_bytes as usize).min(progress.snapshot.data.len());
        // A repeated answer must not start a second stream of parts.
        if progress.snapshot.meta.index == index && progress.offset != received_bytes {
            progress.offset = received_bytes;
            self.send_chunk(now, from);
        }
    }

    /// Commits what a majority has synced, if it ends with an entry of the current term: an entry
    /// of an earlier term can still be replaced while a majority holds it (Raft, section 5.4.2).
    pub(crate) fn advance_commit(&mut self, now: Timestamp) {
        let Some(state) = self.role.leader_state() else { return };
        let membership = self.log.membership();
        let synced = |&host: &HostId| match host == self.options.id {
            true => self.own_synced(),
            false => state.member(host).map_or(LogIndex::ZERO, |member| member.match_index),
        };
        let mut indexes: Vec<LogIndex> = membership.voters().iter().map(synced).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let index = indexes.get(membership.majority() - 1).copied().unwrap_or_default();
        let is_own_term = self.log.term_at(index) == Some(self.hard_state.term);
        if index > self.commit_index
            && (is_own_term || self.has_fault(InjectedFault::CommitEarlierTerm))
        {
            self.commit_up_to(now, index);
        }
    }

    fn own_synced(&self) -> LogIndex {
        match self.has_fault(InjectedFault::AcknowledgeBeforeSync) {
            true => self.log.last_index(),
            false => self.synced,
        }
    }

    fn commit_up_to(&mut self, now: Timestamp, index: LogIndex) {
        let from = self.commit_index.next();
        self.commit_index = index;
        if let Some(state) = self.role.leader_state_mut() {
            let committed = self.log.size_bytes(from.max(state.first_index), index);
            state.uncommitted_bytes = state.uncommitted_bytes.saturating_sub(committed);
        }
        // A leader that removed itself leads until the removal is committed.
        if self.commit_index >= self.log.membership_index() && !self.is_voter() {
            self.announce_commit(now);
            self.step_down(now, self.hard_state.term);
        }
    }

    /// Tells the members about the commit index before the leader leaves.
    fn announce_commit(&mut self, now: Timestamp) {
        let members = self.role.leader_state().map_or(&[][..], |state| &state.members);
        let hosts: Vec<HostId> = members.iter().map(|member| member.host).collect();
        hosts.into_iter().for_each(|host| self.send_heartbeat(now, host));
    }

    /// Makes a learner a voter once it has synced everything that is committed.
    fn promote_learner(&mut self, now: Timestamp, host: HostId) {
        let membership = self.log.membership();
        let member = self.role.leader_state().and_then(|state| state.member(host));
        let caught_up = member.is_some_and(|member| member.match_index >= self.commit_index);
        let is_learner = membership.contains(host) && !membership.is_voter(host);
        if is_learner
            && caught_up
            && self.may_change_membership()
            && self.check_proposal(now).is_ok()
        {
            self.append_membership(now, self.log.membership().promoted(host));
        }
    }

    /// Asks the receiver of a transfer to campaign once it has the whole log.
    pub(crate) fn order_transfer(&mut self) {
        let last_index = self.log.last_index();
        let Some(state) = self.role.leader_state_mut() else { return };
        let Some(to) = state.transfer.as_ref().map(|transfer| transfer.to) else { return };
        let has_all = state.member(to).is_some_and(|member| member.match_index == last_index);
        if let Some(transfer) = state.transfer.as_mut()
            && has_all
            && !transfer.ordered
        {
            transfer.ordered = true;
            self.send(to, MessageBody::TimeoutNow);
        }
    }
}
