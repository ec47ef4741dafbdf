use gw_types::HostId;
use gw_types::Timestamp;

use crate::LogIndex;
use crate::Snapshot;

/// Replication state of one member, as tracked by the leader.
#[derive(Debug)]
pub(crate) struct MemberProgress {
    pub(crate) host: HostId,
    /// Last entry that the member has synced and that matches the leader's log. Never decreases.
    pub(crate) match_index: LogIndex,
    /// First entry of the next batch. Always greater than `match_index`.
    pub(crate) next_index: LogIndex,
    /// Number of batches sent since the last heartbeat that are not yet acknowledged.
    pub(crate) batches_in_flight: usize,
    /// Set until a batch is accepted. Limits the member to one batch in flight, because the member
    /// would reject most of the batches that follow a rejected one.
    pub(crate) probing: bool,
    /// Send time of the latest message that the member has responded to.
    pub(crate) last_contact: Option<Timestamp>,
    pub(crate) snapshot: Option<SnapshotTransfer>,
}

/// Snapshot that is being sent to a member.
#[derive(Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    /// Number of bytes that the member has acknowledged.
    pub(crate) offset: usize,
}

impl MemberProgress {
    pub(crate) fn new(host: HostId, next_index: LogIndex) -> Self {
        Self {
            host,
            match_index: LogIndex::ZERO,
            next_index,
            batches_in_flight: 0,
            probing: true,
            last_contact: None,
            snapshot: None,
        }
    }

    /// Records a response to a message sent at `sent_at`.
    pub(crate) fn record_contact(&mut self, sent_at: Timestamp) {
        self.last_contact = self.last_contact.max(Some(sent_at));
    }

    pub(crate) fn record_match(&mut self, match_index: LogIndex) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index.next());
        self.batches_in_flight = self.batches_in_flight.saturating_sub(1);
        self.probing = false;
        self.snapshot.take_if(|transfer| transfer.snapshot.meta.index <= self.match_index);
    }

    /// Moves `next_index` back to where the logs may match. A delayed rejection of an index that
    /// has matched since is ignored.
    pub(crate) fn record_mismatch(&mut self, rejected_index: LogIndex, match_hint: LogIndex) {
        if rejected_index > self.match_index {
            let match_hint = match_hint.min(rejected_index.previous()).max(self.match_index);
            self.next_index = self.next_index.min(match_hint.next());
            self.batches_in_flight = 0;
            self.probing = true;
        }
    }

    /// Returns whether another batch may be sent before the next response arrives.
    pub(crate) fn can_send_batch(&self, max_in_flight: usize) -> bool {
        let limit = if self.probing { 1 } else { max_in_flight };
        self.snapshot.is_none() && self.batches_in_flight < limit
    }
}
