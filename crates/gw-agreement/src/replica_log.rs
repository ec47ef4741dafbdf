use std::collections::VecDeque;

use crate::EntryPayload;
use crate::LogEntry;
use crate::LogIndex;
use crate::Membership;
use crate::PersistBatch;
use crate::Snapshot;
use crate::SnapshotMeta;
use crate::Term;

/// Log in memory, and the changes to it that are not yet handed over for persistence.
#[derive(Debug)]
pub(crate) struct ReplicaLog {
    /// Index of the entry that precedes `entries`. That entry is committed.
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<LogEntry>,
    /// For each of `entries`, the size of all entries up to it since the replica was started.
    ends: VecDeque<u64>,
    /// Size of the entries that preceded `entries` since the replica was started.
    base_end: u64,
    /// Memberships and the indexes from which they are in force, oldest first. Never empty.
    memberships: Vec<(LogIndex, Membership)>,
    /// The latest snapshot. Its index is not lower than `base_index`.
    snapshot: Option<Snapshot>,
    /// Index of the first entry that was not handed over for persistence.
    first_unwritten: LogIndex,
    journal_truncate_from: Option<LogIndex>,
    snapshot_unwritten: bool,
}

impl ReplicaLog {
    pub(crate) fn new(
        snapshot: Option<Snapshot>,
        entries: Vec<LogEntry>,
        initial: &Membership,
    ) -> Self {
        let meta = snapshot.as_ref().map(|snapshot| snapshot.meta.clone()).unwrap_or_else(|| {
            SnapshotMeta { membership: initial.clone(), ..SnapshotMeta::default() }
        });
        let mut log = Self {
            base_index: meta.index,
            base_term: meta.term,
            entries: VecDeque::new(),
            ends: VecDeque::new(),
            base_end: 0,
            memberships: vec![(meta.index, meta.membership)],
            snapshot,
            first_unwritten: meta.index.next(),
            journal_truncate_from: None,
            snapshot_unwritten: false,
        };
        entries.into_iter().for_each(|entry| log.append(entry));
        log.first_unwritten = log.last_index().next();
        log
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex::ZERO, |snapshot| snapshot.meta.index)
    }

    /// Returns the term of the entry at `index`, or `None` if that entry is not in memory.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let position = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(position as usize)
    }

    /// Returns the first entries of `from..=to` whose total size is at most `max_bytes`, but always
    /// at least one if the range has any.
    pub(crate) fn batch(&self, from: LogIndex, to: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        for entry in (from.0..=to.0).map_while(|index| self.get(LogIndex(index))) {
            bytes += entry.size_bytes();
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Returns the size of the batch of at most `max_bytes` that starts at `from`, in bytes.
    pub(crate) fn batch_bytes(&self, from: LogIndex, max_bytes: usize) -> usize {
        let first = self.get(from).map_or(0, LogEntry::size_bytes);
        self.size_bytes(from, self.last_index()).min(max_bytes).max(first)
    }

    /// Returns the total size of the entries `from..=to`.
    pub(crate) fn size_bytes(&self, from: LogIndex, to: LogIndex) -> usize {
        self.end_of(to).saturating_sub(self.end_of(from.previous())) as usize
    }

    /// Returns the size of all entries up to `index` since the replica was started; for an entry
    /// that is not in memory, up to the closest one that is.
    fn end_of(&self, index: LogIndex) -> u64 {
        match index.0.checked_sub(self.base_index.0 + 1) {
            Some(position) => {
                let position = (position as usize).min(self.ends.len().saturating_sub(1));
                self.ends.get(position).copied().unwrap_or(self.base_end)
            }
            None => self.base_end,
        }
    }

    /// Returns whether a member that has the entries before `from` needs fewer bytes if it gets the
    /// snapshot instead of the entries that the snapshot covers.
    pub(crate) fn is_snapshot_smaller(&self, from: LogIndex) -> bool {
        let len = self.snapshot.as_ref().map_or(usize::MAX, |snapshot| snapshot.data.len());
        from <= self.snapshot_index() && len < self.size_bytes(from, self.snapshot_index())
    }

    /// Appends an entry, whose index must follow the last one.
    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        let end = self.ends.back().copied().unwrap_or(self.base_end);
        self.ends.push_back(end + entry.size_bytes() as u64);
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index`, which must be above the base, and all later ones.
    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let keep = index.0.saturating_sub(self.base_index.0 + 1) as usize;
        self.entries.truncate(keep);
        self.ends.truncate(keep);
        self.memberships.retain(|(from, _)| *from < index || *from <= self.base_index);
        self.truncate_unwritten(index);
    }

    fn truncate_unwritten(&mut self, index: LogIndex) {
        if index < self.first_unwritten {
            let earlier = self.journal_truncate_from.unwrap_or(index);
            self.journal_truncate_from = Some(earlier.min(index));
            self.first_unwritten = index;
        }
    }

    /// Returns the last index below `rejected_index` at which this log may match the leader's.
    ///
    /// Skips the whole term of a conflicting entry, so that a leader finds the common prefix in one
    /// round trip per term instead of one per entry.
    pub(crate) fn match_hint(&self, rejected_index: LogIndex, commit_index: LogIndex) -> LogIndex {
        let Some(conflicting) = self.term_at(rejected_index) else {
            return self.last_index().min(rejected_index.previous());
        };
        let mut hint = rejected_index.previous();
        while hint > commit_index && self.term_at(hint) == Some(conflicting) {
            hint = hint.previous();
        }
        hint
    }

    /// Returns the membership in force: that of the last membership entry, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Returns the membership as of the entry at `index`, which must not precede the snapshot.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let position = self.memberships.iter().rposition(|(from, _)| *from <= index);
        &self.memberships[position.unwrap_or(0)].1
    }

    /// Returns the index from which the current membership is in force.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Replaces the entries up to the applied one at `index` by a snapshot, but keeps the last
    /// `retained` of them in memory, as far as their size is at most `retained_bytes`.
    pub(crate) fn compact(
        &mut self,
        index: LogIndex,
        data: Vec<u8>,
        retained: u64,
        retained_bytes: usize,
    ) {
        let Some(term) = self.term_at(index) else { return };
        let membership = self.membership_at(index).clone();
        let in_force = self.memberships.iter().rposition(|(from, _)| *from <= index).unwrap_or(0);
        self.memberships.drain(..in_force);
        self.snapshot =
            Some(Snapshot { meta: SnapshotMeta { index, term, membership }, data: data.into() });
        self.snapshot_unwritten = true;
        let limit = self.end_of(index).saturating_sub(retained_bytes as u64);
        let by_count = index.0.saturating_sub(retained);
        let by_bytes = match limit > self.base_end {
            true => self.base_index.0 + self.ends.partition_point(|end| *end < limit) as u64 + 1,
            false => 0,
        };
        self.discard_up_to(LogIndex(by_count.max(by_bytes)));
    }

    fn discard_up_to(&mut self, index: LogIndex) {
        if let Some(term) = self.term_at(index).filter(|_| index > self.base_index) {
            let count = (index.0 - self.base_index.0) as usize;
            self.base_end = self.end_of(index);
            self.ends.drain(..count);
            self.entries.drain(..count);
            self.base_index = index;
            self.base_term = term;
        }
    }

    /// Replaces the log by a snapshot beyond the commit index. Later entries are kept only if the
    /// log contains the last entry that the snapshot covers.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let meta = &snapshot.meta;
        if self.term_at(meta.index) == Some(meta.term) {
            self.discard_up_to(meta.index);
        } else {
            self.truncate_unwritten(meta.index.next());
            self.entries.clear();
            self.ends.clear();
            self.base_index = meta.index;
            self.base_term = meta.term;
        }
        let base = self.base_index;
        self.memberships.retain(|(from, _)| *from > base);
        self.memberships.retain(|(from, _)| *from <= LogIndex(base.0 + self.entries.len() as u64));
        self.memberships.insert(0, (meta.index, meta.membership.clone()));
        self.first_unwritten = self.first_unwritten.max(meta.index.next());
        self.snapshot = Some(snapshot);
        self.snapshot_unwritten = true;
    }

    /// Returns the changes to persist since the last call.
    pub(crate) fn take_unwritten(&mut self) -> PersistBatch {
        let entries = self.batch(self.first_unwritten, self.last_index(), usize::MAX);
        self.first_unwritten = self.last_index().next();
        let snapshot_unwritten = std::mem::take(&mut self.snapshot_unwritten);
        PersistBatch {
            truncate_from: self.journal_truncate_from.take(),
            snapshot: self.snapshot.clone().filter(|_| snapshot_unwritten),
            entries,
            hard_state: None,
        }
    }
}
