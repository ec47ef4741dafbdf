use std::time::Duration;

use gw_agreement::ProposeError;
use gw_agreement::ReplicaNode;
use gw_control::ControlCommand;
use gw_control::ControlOutcome;
use gw_control::TableOutcome;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::Timestamp;
use gw_types::ZoneTable;

use crate::CallId;
use crate::NodeAction;
use crate::PeerMessage;
use crate::ProposalAnswer;
use crate::control_log::ControlLog;
use crate::control_log::EntryWaiter;
use crate::outbox::Outbox;

/// Time after which an unanswered proposal is sent again.
const PROPOSAL_RETRY: Duration = Duration::from_millis(400);
/// Time after which a proposal is sent again to a leader that answered `Busy`.
const BUSY_RETRY: Duration = Duration::from_millis(50);

/// Receiver of the outcome of a proposal of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProposalOrigin {
    /// A call of the daemon, which gets the outcome as a reply.
    Call(CallId),
    /// The host's own state machines, which see the outcome when the entry is applied.
    Internal,
}

#[derive(Debug)]
pub(crate) struct PendingProposal {
    pub(crate) request: u64,
    pub(crate) command: ControlCommand,
    pub(crate) origin: ProposalOrigin,
    /// How often the proposal was sent.
    pub(crate) attempts: u64,
    pub(crate) next_attempt: Timestamp,
}

/// Proposals of this host, and proposals that other hosts send to this replica.
impl ControlLog {
    /// Proposes a command on behalf of a call, which gets the outcome as a reply.
    pub(crate) fn propose_call(
        &mut self,
        now: Timestamp,
        call: CallId,
        command: ControlCommand,
        out: &mut Outbox,
    ) {
        self.add_proposal(now, ProposalOrigin::Call(call), command, out);
    }

    /// Proposes a command of the host itself. Does nothing while an equal command is pending.
    pub(crate) fn propose(&mut self, now: Timestamp, command: ControlCommand, out: &mut Outbox) {
        let is_pending = self.proposals.iter().any(|pending| pending.command == command);
        if !is_pending {
            self.add_proposal(now, ProposalOrigin::Internal, command, out);
        }
    }

    /// Highest version of this host's zone tables that the control leader reported as committed.
    pub(crate) fn stored_table_version(&self) -> TableVersion {
        self.stored_version
    }

    /// Proposes a zone table and drops pending proposals of earlier versions. Does nothing if the
    /// version is already committed or pending.
    pub(crate) fn propose_table(&mut self, now: Timestamp, table: &ZoneTable, out: &mut Outbox) {
        let is_pending = self.is_proposing(|command| {
            matches!(command, ControlCommand::StoreZoneTable(known)
                if known.version == table.version)
        });
        if is_pending || table.version <= self.stored_version {
            return;
        }
        self.proposals.retain(|pending| {
            !matches!(&pending.command, ControlCommand::StoreZoneTable(known)
                if known.version < table.version)
        });
        self.propose(now, ControlCommand::StoreZoneTable(table.clone()), out);
    }

    /// Whether a command for which `matches` holds is pending.
    pub(crate) fn is_proposing(&self, matches: impl Fn(&ControlCommand) -> bool) -> bool {
        self.proposals.iter().any(|pending| matches(&pending.command))
    }

    /// Transfers control leadership to another replica if this host is the control leader.
    pub(crate) fn transfer(&mut self, now: Timestamp, out: &mut Outbox) {
        if let Some(replica) = &mut self.replica {
            // Fails if no voter's log is close enough to this one. The others then elect a leader
            // after the election timeout.
            let _ = replica.transfer_leadership(now);
        }
        self.run_replica(now, out);
    }

    /// Drops the pending proposal of a call. It is not sent again, but may already be committed.
    pub(crate) fn abandon_call(&mut self, call: CallId) {
        self.proposals.retain(|pending| pending.origin != ProposalOrigin::Call(call));
    }

    fn add_proposal(
        &mut self,
        now: Timestamp,
        origin: ProposalOrigin,
        command: ControlCommand,
        out: &mut Outbox,
    ) {
        let request = self.next_request;
        self.next_request += 1;
        self.proposals.push(PendingProposal {
            request,
            command,
            origin,
            attempts: 0,
            next_attempt: now,
        });
        self.retry_proposals(now, out);
        self.run_replica(now, out);
    }

    /// Sends the pending proposals that are due, for the first time or again.
    pub(crate) fn retry_proposals(&mut self, now: Timestamp, out: &mut Outbox) {
        let mut due = Vec::new();
        for pending in &mut self.proposals {
            if now >= pending.next_attempt {
                pending.next_attempt = now + PROPOSAL_RETRY;
                pending.attempts += 1;
                due.push((pending.request, pending.attempts, pending.command.clone()));
            }
        }
        for (request, attempts, command) in due {
            self.send_proposal(now, request, attempts, command, out);
        }
    }

    fn send_proposal(
        &mut self,
        now: Timestamp,
        request: u64,
        attempts: u64,
        command: ControlCommand,
        out: &mut Outbox,
    ) {
        if self.replica.as_ref().is_some_and(ReplicaNode::is_leader) {
            self.handle_proposal(now, self.host, request, &command, out);
            return;
        }
        // Every second attempt goes to another replica, because the known leader may be gone.
        let leader = self.leader().filter(|leader| *leader != self.host && attempts % 2 == 1);
        if let Some(to) = leader.or_else(|| self.replica_by_turn(request + attempts / 2)) {
            out.stream(to, PeerMessage::Propose { request, command });
        }
    }

    /// Another host's replica, selected round-robin by `turn`.
    fn replica_by_turn(&self, turn: u64) -> Option<HostId> {
        let others = self.other_replicas();
        others.get((turn % others.len().max(1) as u64) as usize).copied()
    }

    /// Asks the next replica for entries. Used by a host that learns of no new entries through
    /// heartbeats: across zones these reach zone leaders and replicas only, and the host that it
    /// fetched from before may be gone.
    pub(crate) fn fetch_from_replica(&mut self, out: &mut Outbox) {
        self.fetch_turn += 1;
        if let Some(replica) = self.replica_by_turn(self.fetch_turn) {
            out.stream(replica, PeerMessage::ControlFetch { applied: self.applied() });
        }
    }

    /// Appends a proposal of `from`, which may be this host, if this replica leads. Otherwise
    /// answers it at once.
    pub(crate) fn handle_proposal(
        &mut self,
        now: Timestamp,
        from: HostId,
        request: u64,
        command: &ControlCommand,
        out: &mut Outbox,
    ) {
        let leader = self.leader();
        let Some(replica) = &mut self.replica else {
            self.answer(now, from, request, ProposalAnswer::NotLeader(leader), out);
            return;
        };
        // Encoding these types into a vector cannot fail.
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        match replica.propose(now, bytes) {
            Ok(index) => {
                let term = replica.term();
                self.waiters.push(EntryWaiter { index, term, from, request });
            }
            Err(ProposeError::NotLeader { hint }) => {
                self.answer(now, from, request, ProposalAnswer::NotLeader(hint), out);
            }
            Err(_) => self.answer(now, from, request, ProposalAnswer::Busy, out),
        }
        self.run_replica(now, out);
    }

    /// Handles the answer to a proposal of this host: delivers the outcome, or schedules the next
    /// attempt.
    pub(crate) fn handle_answer(
        &mut self,
        now: Timestamp,
        request: u64,
        answer: ProposalAnswer,
        out: &mut Outbox,
    ) {
        let Some(position) = self.proposals.iter().position(|pending| pending.request == request)
        else {
            return;
        };
        match answer {
            ProposalAnswer::Done(outcome) => {
                let pending = self.proposals.remove(position);
                if let ControlOutcome::Table(TableOutcome::Stored { version }) = &outcome {
                    self.stored_version = self.stored_version.max(*version);
                }
                if let ProposalOrigin::Call(call) = pending.origin {
                    out.push(NodeAction::Proposed { call, outcome });
                }
            }
            ProposalAnswer::NotLeader(hint) => {
                let is_new_hint = hint.is_some() && hint != self.leader;
                self.set_leader(hint);
                if is_new_hint {
                    self.proposals[position].next_attempt = now;
                }
            }
            ProposalAnswer::Busy => self.proposals[position].next_attempt = now + BUSY_RETRY,
        }
    }
}
