use gw_types::HostId;
use gw_types::Timestamp;

use crate::LogIndex;
use crate::Snapshot;

/// How far the leader has brought a member.
#[derive(Debug)]
pub(crate) struct MemberProgress {
    pub(crate) host: HostId,
    /// Last entry that the member has synced. Never decreases.
    pub(crate) match_index: LogIndex,
    /// Next entry to send; larger than `matched`.
    pub(crate) next: LogIndex,
    /// Batches sent since the last heartbeat and not answered.
    pub(crate) in_flight: usize,
    /// Set until a batch matches: one batch at a time, since most of them would be refused.
    pub(crate) probing: bool,
    /// When the latest answered message was sent.
    pub(crate) last_contact: Option<Timestamp>,
    pub(crate) snapshot: Option<SnapshotProgress>,
}

/// A snapshot on its way to a member.
#[derive(Debug)]
pub(crate) struct SnapshotProgress {
    pub(crate) snapshot: Snapshot,
    /// Bytes that the member has received.
    pub(crate) offset: usize,
}

impl MemberProgress {
    pub(crate) fn new(host: HostId, next: LogIndex) -> Self {
        Self {
            host,
            match_index: LogIndex::ZERO,
            next,
            in_flight: 0,
            probing: true,
            last_contact: None,
            snapshot: None,
        }
    }

    /// Notes an answer to a message sent at `sent`.
    pub(crate) fn note_contact(&mut self, sent_at: Timestamp) {
        self.last_contact = self.last_contact.max(Some(sent_at));
    }

    pub(crate) fn note_match(&mut self, match_index: LogIndex) {
        self.match_index = self.match_index.max(match_index);
        self.next = self.next.max(self.match_index.next());
        self.in_flight = self.in_flight.saturating_sub(1);
        self.probing = false;
        self.snapshot.take_if(|progress| progress.snapshot.meta.index <= self.match_index);
    }

    /// Goes back to where the logs may match. A refusal from before a later match is ignored.
    pub(crate) fn note_mismatch(&mut self, rejected_index: LogIndex, match_hint: LogIndex) {
        if rejected_index > self.match_index {
            let match_hint = match_hint.min(rejected_index.previous()).max(self.match_index);
            self.next = self.next.min(match_hint.next());
            self.in_flight = 0;
            self.probing = true;
        }
    }

    /// Whether another batch may be sent before an answer.
    pub(crate) fn has_window(&self, max_in_flight: usize) -> bool {
        let limit = if self.probing { 1 } else { max_in_flight };
        self.snapshot.is_none() && self.in_flight < limit
    }
}
