use gw_types::HostId;
use gw_types::Timestamp;

use crate::LogEntry;
use crate::LogIndex;
use crate::MessageBody;
use crate::ReplicaNode;
use crate::SnapshotMeta;
use crate::Term;
use crate::replica_role::ReplicaRole;
use crate::snapshot_assembly::SnapshotAssembly;

/// Replication on the members other than the leader.
impl ReplicaNode {
    /// Handles a batch of entries or a snapshot chunk from the leader of the current term.
    pub(crate) fn handle_leader_message(
        &mut self,
        now: Timestamp,
        from: HostId,
        body: MessageBody,
    ) {
        if self.is_leader() {
            return;
        }
        self.role = ReplicaRole::Follower { leader: Some(from) };
        self.last_leader_contact = now;
        self.reset_election_deadline(now);
        match body {
            MessageBody::Append {
                previous_index,
                previous_term,
                entries,
                commit_index,
                sent_at,
            } => {
                self.leader_commit_index = self.leader_commit_index.max(Some(commit_index));
                let is_heartbeat = entries.is_empty();
                let response =
                    self.handle_append((previous_term, previous_index), entries, commit_index);
                let response = response.map(|response| response.into_body(sent_at));
                if let Some(body) = response {
                    self.respond_to_append(now, from, is_heartbeat, body);
                }
            }
            MessageBody::SnapshotChunk { meta, offset, total_bytes, bytes, sent_at } => {
                let response = self.handle_snapshot_chunk(meta, offset, total_bytes, &bytes);
                let response = response.map(|response| response.into_body(sent_at));
                response.into_iter().for_each(|body| self.send_after_sync(from, body));
            }
            _ => {}
        }
    }

    /// Responds to a batch or a heartbeat, at once if all that it acknowledges is synced. A heartbeat
    /// that refers to entries that wait for the disk is answered at once with those that do not, and
    /// again after the sync.
    fn respond_to_append(
        &mut self,
        now: Timestamp,
        to: HostId,
        is_heartbeat: bool,
        body: MessageBody,
    ) {
        let MessageBody::Matched { match_index, sent_at } = body else {
            self.send_after_sync(to, body);
            return;
        };
        let synced = match_index.min(self.last_synced);
        let is_complete = synced == match_index;
        if (is_heartbeat || is_complete) && self.is_synced(now, synced) {
            self.send(to, MessageBody::Matched { match_index: synced, sent_at });
            if is_complete {
                return;
            }
        }
        self.send_after_sync(to, body);
    }

    /// Appends `entries` if the entry before them matches the leader's. Returns `None` for a batch
    /// that no correct leader sends: its indexes have gaps, or it conflicts with a committed entry.
    fn handle_append(
        &mut self,
        previous: (Term, LogIndex),
        entries: Vec<LogEntry>,
        commit_index: LogIndex,
    ) -> Option<ReplicationResponse> {
        let (previous_term, previous_index) = previous;
        let expected = previous_index.next().0..;
        if !expected.zip(&entries).all(|(index, entry)| entry.index.0 == index) {
            return None;
        }
        // Entries before the base are committed and therefore match the leader's.
        let is_before_base = previous_index < self.log.base_index();
        if !is_before_base && self.log.term_at(previous_index) != Some(previous_term) {
            let match_hint = self.log.match_hint(previous_index, self.commit_index);
            return Some(ReplicationResponse::Mismatch {
                rejected_index: previous_index,
                match_hint,
            });
        }
        let match_index = LogIndex(previous_index.0.saturating_add(entries.len() as u64));
        self.append_new_entries(entries)?;
        self.commit_index = self.commit_index.max(commit_index.min(match_index));
        Some(ReplicationResponse::Matched(match_index))
    }

    fn append_new_entries(&mut self, entries: Vec<LogEntry>) -> Option<()> {
        let base = self.log.base_index();
        for entry in entries.into_iter().filter(|entry| entry.index > base) {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) if entry.index <= self.commit_index => return None,
                Some(_) => self.truncate_log(entry.index),
                None => {}
            }
            self.log.append(entry);
        }
        Some(())
    }

    fn handle_snapshot_chunk(
        &mut self,
        meta: SnapshotMeta,
        offset: u64,
        total_bytes: u64,
        bytes: &[u8],
    ) -> Option<ReplicationResponse> {
        let index = meta.index;
        if index <= self.commit_index {
            self.assembly = None;
            return Some(ReplicationResponse::Matched(index));
        }
        if total_bytes > self.options.max_snapshot_bytes as u64 {
            return None;
        }
        let term = self.hard_state.term;
        if !self
            .assembly
            .as_ref()
            .is_some_and(|assembly| assembly.matches(term, &meta, total_bytes))
        {
            self.assembly = Some(SnapshotAssembly::new(term, meta, total_bytes));
        }
        let assembly = self.assembly.as_mut()?;
        assembly.add(offset, bytes);
        if !assembly.is_complete() {
            return Some(ReplicationResponse::Progress {
                index,
                received_bytes: assembly.received_bytes(),
            });
        }
        self.install_assembled();
        Some(ReplicationResponse::Matched(index))
    }

    fn install_assembled(&mut self) {
        let Some(assembly) = self.assembly.take() else { return };
        let snapshot = assembly.into_snapshot();
        let index = snapshot.meta.index;
        // Entries beyond the commit index may differ from those that the snapshot covers.
        let is_prefix = self.log.term_at(index) == Some(snapshot.meta.term);
        let last_synced = if is_prefix { self.log.last_index() } else { self.commit_index };
        self.log.install(snapshot);
        self.limit_last_synced(last_synced);
        self.commit_index = index;
        self.last_applied = index;
        self.install_pending = true;
    }
}

/// Response to a leader's message, without the echoed send time.
enum ReplicationResponse {
    Matched(LogIndex),
    Mismatch { rejected_index: LogIndex, match_hint: LogIndex },
    Progress { index: LogIndex, received_bytes: u64 },
}

impl ReplicationResponse {
    fn into_body(self, sent_at: Timestamp) -> MessageBody {
        match self {
            ReplicationResponse::Matched(match_index) => {
                MessageBody::Matched { match_index, sent_at }
            }
            ReplicationResponse::Mismatch { rejected_index, match_hint } => {
                MessageBody::Mismatch { rejected_index, match_hint, sent_at }
            }
            ReplicationResponse::Progress { index, received_bytes } => {
                MessageBody::SnapshotProgress { index, received_bytes, sent_at }
            }
        }
    }
}
