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

/// The other members' side of replication.
impl ReplicaNode {
    /// Takes a batch or a part of a snapshot from the leader of the current term.
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
        self.heard_leader = now;
        self.reset_election_deadline(now);
        match body {
            MessageBody::Append {
                previous_index,
                previous_term,
                entries,
                commit_index,
                sent_at,
            } => {
                let answer =
                    self.accept_batch((previous_term, previous_index), entries, commit_index);
                let answer = answer.map(|answer| answer.into_body(sent_at));
                answer.into_iter().for_each(|body| self.send_after_sync(from, body));
            }
            MessageBody::SnapshotChunk { meta, offset, total_bytes, bytes, sent_at } => {
                let answer = self.accept_chunk(meta, offset, total_bytes, &bytes);
                let answer = answer.map(|answer| answer.into_body(sent_at));
                answer.into_iter().for_each(|body| self.send_after_sync(from, body));
            }
            _ => {}
        }
    }

    /// Appends entries whose predecessor matches. `None` when the batch cannot come from a correct
    /// leader: it has gaps or contradicts a committed entry.
    fn accept_batch(
        &mut self,
        previous: (Term, LogIndex),
        entries: Vec<LogEntry>,
        commit_index: LogIndex,
    ) -> Option<Answer> {
        let (previous_term, previous_index) = previous;
        let expected = previous_index.next().0..;
        if !expected.zip(&entries).all(|(index, entry)| entry.index.0 == index) {
            return None;
        }
        // What lies before the base is committed, so it matches.
        let is_before_base = previous_index < self.log.base_index();
        if !is_before_base && self.log.term_at(previous_index) != Some(previous_term) {
            let match_hint = self.log.match_hint(previous_index, self.commit_index);
            return Some(Answer::Mismatch { rejected_index: previous_index, match_hint });
        }
        let match_index = LogIndex(previous_index.0.saturating_add(entries.len() as u64));
        self.append_missing(entries)?;
        self.commit_index = self.commit_index.max(commit_index.min(match_index));
        Some(Answer::Matched(match_index))
    }

    fn append_missing(&mut self, entries: Vec<LogEntry>) -> Option<()> {
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

    fn accept_chunk(
        &mut self,
        meta: SnapshotMeta,
        offset: u64,
        total_bytes: u64,
        bytes: &[u8],
    ) -> Option<Answer> {
        let index = meta.index;
        if index <= self.commit_index {
            self.assembly = None;
            return Some(Answer::Matched(index));
        }
        if total_bytes > self.options.max_snapshot_bytes as u64 {
            return None;
        }
        let term = self.hard_state.term;
        if !self.assembly.as_ref().is_some_and(|assembly| assembly.is_of(term, &meta, total_bytes))
        {
            self.assembly = Some(SnapshotAssembly::new(term, meta, total_bytes));
        }
        let assembly = self.assembly.as_mut()?;
        assembly.add(offset, bytes);
        if !assembly.is_complete() {
            return Some(Answer::Progress { index, received_bytes: assembly.received_bytes() });
        }
        self.install_assembled();
        Some(Answer::Matched(index))
    }

    fn install_assembled(&mut self) {
        let Some(assembly) = self.assembly.take() else { return };
        let snapshot = assembly.into_snapshot();
        let index = snapshot.meta.index;
        self.log.install(snapshot);
        self.limit_synced(self.log.last_index());
        self.commit_index = index;
        self.applied = index;
        self.install_pending = true;
    }
}

/// Answer to a leader's message, without the echo of its time.
enum Answer {
    Matched(LogIndex),
    Mismatch { rejected_index: LogIndex, match_hint: LogIndex },
    Progress { index: LogIndex, received_bytes: u64 },
}

impl Answer {
    fn into_body(self, sent_at: Timestamp) -> MessageBody {
        match self {
            Answer::Matched(match_index) => MessageBody::Matched { match_index, sent_at },
            Answer::Mismatch { rejected_index, match_hint } => {
                MessageBody::Mismatch { rejected_index, match_hint, sent_at }
            }
            Answer::Progress { index, received_bytes } => {
                MessageBody::SnapshotProgress { index, received_bytes, sent_at }
            }
        }
    }
}
