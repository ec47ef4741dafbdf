use std::time::Duration;

use gw_types::HostId;
use gw_types::Timestamp;

use crate::EntryPayload;
use crate::Envelope;
use crate::HardState;
use crate::InjectedFault;
use crate::LogIndex;
use crate::Message;
use crate::MessageBody;
use crate::ReplicaNode;
use crate::Term;
use crate::leader_state::LeaderState;
use crate::replica_role::ReplicaRole;

/// Number of pre-vote rounds within one election timeout.
const PRE_VOTES_PER_TIMEOUT: u32 = 5;

/// Number of campaigns within one election timeout. A split vote is known after one round trip
/// between zones and two syncs, far earlier than voters give up on a lost leader.
const CAMPAIGNS_PER_TIMEOUT: u32 = 3;

/// Elections: terms, pre-votes, votes and role changes.
impl ReplicaNode {
    /// Adopts a higher term and rejects messages of an earlier one. Returns whether to handle the
    /// message.
    pub(crate) fn accept_term(&mut self, now: Timestamp, from: HostId, message: &Message) -> bool {
        if matches!(message.body, MessageBody::PreVoteRequest { .. }) {
            return true;
        }
        if message.term > self.hard_state.term {
            // A replica that was partitioned must not depose a leader that others still hear from.
            if let MessageBody::VoteRequest { transfer: false, .. } = message.body
                && self.has_live_leader(now)
            {
                return false;
            }
            self.step_down(now, message.term);
        }
        // A voter of an earlier term can grant a pre-vote. The response names the requested term.
        let is_pre_vote_response = matches!(message.body, MessageBody::PreVoteResponse { .. });
        if message.term < self.hard_state.term && !is_pre_vote_response {
            self.reject_stale_message(from, &message.body);
            return false;
        }
        true
    }

    /// Reports the higher term to the sender of a stale request. Stale responses are dropped.
    fn reject_stale_message(&mut self, from: HostId, body: &MessageBody) {
        let is_request = matches!(
            body,
            MessageBody::Append { .. }
                | MessageBody::SnapshotChunk { .. }
                | MessageBody::VoteRequest { .. }
        );
        if is_request {
            self.send_after_sync(from, MessageBody::StaleTerm);
        }
    }

    /// Becomes a follower, and adopts `term` if it is higher than the current term.
    pub(crate) fn step_down(&mut self, now: Timestamp, term: Term) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        if self.is_leader() {
            self.record_majority_contact(now);
            self.reset_election_deadline(now);
        }
        self.role = ReplicaRole::Follower { leader: None };
    }

    pub(crate) fn reset_election_deadline(&mut self, now: Timestamp) {
        self.election_deadline = now + self.timeouts.draw();
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.hard_state_unwritten = true;
    }

    /// Returns whether a live leader may rely on this replica not to vote for another.
    fn has_live_leader(&self, now: Timestamp) -> bool {
        if self.has_fault(InjectedFault::IgnoreLiveLeader) {
            return false;
        }
        match &self.role {
            ReplicaRole::Leader(state) => state.transfer.is_none() && !self.lost_quorum(now),
            _ => now.since(self.last_leader_contact) < self.options.election_timeout_min,
        }
    }

    /// Returns whether a log that ends with `last` is at least as up to date as this one.
    fn is_up_to_date(&self, last: (Term, LogIndex)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
            || self.has_fault(InjectedFault::IgnoreLogInVote)
    }

    /// Sets the time of the next pre-vote. It changes no term, so it may be repeated soon. The first
    /// one is often rejected, because other voters heard from the leader a few milliseconds later.
    pub(crate) fn postpone_pre_vote(&mut self, now: Timestamp) {
        self.election_deadline = now + self.timeouts.draw() / PRE_VOTES_PER_TIMEOUT;
    }

    pub(crate) fn start_pre_vote(&mut self, now: Timestamp) {
        self.postpone_pre_vote(now);
        self.role = ReplicaRole::PreCandidate { granted_by: vec![self.options.id] };
        let message = Message {
            term: self.hard_state.term.next(),
            body: MessageBody::PreVoteRequest {
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
            },
        };
        for to in self.other_voters() {
            self.messages.push(Envelope { to, message: message.clone() });
        }
        self.count_pre_votes(now);
    }

    fn other_voters(&self) -> Vec<HostId> {
        let voters = self.log.membership().voters().iter().copied();
        voters.filter(|&voter| voter != self.options.id).collect()
    }

    pub(crate) fn handle_pre_vote_request(
        &mut self,
        now: Timestamp,
        from: HostId,
        requested_term: Term,
        last: (Term, LogIndex),
    ) {
        let granted = requested_term > self.hard_state.term
            && self.is_up_to_date(last)
            && !self.has_live_leader(now);
        self.send_after_sync(from, MessageBody::PreVoteResponse { requested_term, granted });
    }

    pub(crate) fn handle_pre_vote_response(
        &mut self,
        now: Timestamp,
        from: HostId,
        requested_term: Term,
        granted: bool,
    ) {
        let is_current = requested_term == self.hard_state.term.next();
        if let ReplicaRole::PreCandidate { granted_by: voters } = &mut self.role
            && granted
            && is_current
        {
            push_unique(voters, from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: Timestamp) {
        if let ReplicaRole::PreCandidate { granted_by } = &self.role
            && self.is_majority(granted_by)
        {
            self.campaign(now, false);
        }
    }

    fn is_majority(&self, hosts: &[HostId]) -> bool {
        let membership = self.log.membership();
        let voters = hosts.iter().filter(|&&host| membership.is_voter(host)).count();
        voters >= membership.majority()
    }

    /// Requests votes in a new term. This replica's own vote counts only once it is synced: a
    /// replica that lost it in a crash could vote again in the same term.
    fn campaign(&mut self, now: Timestamp, transfer: bool) {
        self.election_deadline = now + self.timeouts.draw() / CAMPAIGNS_PER_TIMEOUT;
        let term = self.hard_state.term.next();
        self.set_hard_state(HardState { term, vote: Some(self.options.id) });
        self.role =
            ReplicaRole::Candidate { granted_by: Vec::new(), since_leader_contact: Duration::MAX };
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        for to in self.other_voters() {
            self.send_after_sync(to, MessageBody::VoteRequest { last_index, last_term, transfer });
        }
    }

    pub(crate) fn handle_vote_request(
        &mut self,
        now: Timestamp,
        from: HostId,
        last: (Term, LogIndex),
        transfer: bool,
    ) {
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from)
            || self.has_fault(InjectedFault::VoteTwice);
        let granted =
            can_vote && self.is_up_to_date(last) && (transfer || !self.has_live_leader(now));
        if granted {
            self.set_hard_state(HardState { vote: Some(from), ..self.hard_state });
            self.reset_election_deadline(now);
        }
        let since_leader_contact = now.since(self.last_leader_contact);
        self.send_after_sync(from, MessageBody::VoteResponse { granted, since_leader_contact });
    }

    pub(crate) fn handle_vote_response(
        &mut self,
        now: Timestamp,
        from: HostId,
        granted: bool,
        since_leader_contact: Duration,
    ) {
        if granted {
            self.add_vote(now, from, since_leader_contact);
        }
    }

    pub(crate) fn count_own_vote(&mut self, now: Timestamp) {
        if self.synced_hard_state == self.hard_state {
            self.add_vote(now, self.options.id, now.since(self.last_leader_contact));
        }
    }

    fn add_vote(&mut self, now: Timestamp, from: HostId, voter_since_contact: Duration) {
        let ReplicaRole::Candidate { granted_by, since_leader_contact } = &mut self.role else {
            return;
        };
        push_unique(granted_by, from);
        *since_leader_contact = voter_since_contact.min(*since_leader_contact);
        if let ReplicaRole::Candidate { granted_by, since_leader_contact } = &self.role
            && self.is_majority(granted_by)
        {
            self.become_leader(now, *since_leader_contact);
        }
    }

    fn become_leader(&mut self, now: Timestamp, leaderless_time: Duration) {
        let next_index = self.log.last_index().next();
        let mut state = LeaderState::new(now, leaderless_time, next_index);
        state.refresh_members(self.options.id, self.log.membership(), next_index);
        self.role = ReplicaRole::Leader(state);
        self.assembly = None;
        self.append_as_leader(EntryPayload::Noop);
    }

    pub(crate) fn handle_timeout_now(&mut self, now: Timestamp, from: HostId) {
        if self.leader_hint() == Some(from) && self.is_voter() && !self.is_leader() {
            self.campaign(now, true);
        }
    }
}

fn push_unique(hosts: &mut Vec<HostId>, host: HostId) {
    if !hosts.contains(&host) {
        hosts.push(host);
    }
}
