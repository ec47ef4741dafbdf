use std::collections::VecDeque;
use std::time::Duration;

use gw_types::HostId;
use gw_types::Timestamp;

use crate::LogIndex;
use crate::Snapshot;

/// Rate below which a member's link is not expected to be, in bytes per millisecond (1.6 Mbit/s).
/// Data that takes longer to arrive counts as lost. A hundredth of the slowest link of a control
/// host, on which other traffic competes.
const SLOWEST_RATE: u64 = 200;
/// Time in addition to the transmission after which data counts as lost: several round trips and
/// syncs. The loss of a connection is reported earlier; this is for messages that a receiver drops.
const MIN_LOSS_WAIT: Duration = Duration::from_millis(500);
/// Maximum size of entries, in bytes, that are sent to a member whose log may not match, and whose
/// loss is looked for with each heartbeat: few enough that repetitions do not fill a slow link.
pub(crate) const MAX_REPEATED_BYTES: usize = 16 * 1024;
/// Number of times that the time to wait before data is sent again is doubled, so that a link slower
/// than [`SLOWEST_RATE`] is not filled with repetitions.
const MAX_DOUBLINGS: u32 = 3;

/// Replication state of one member, as tracked by the leader.
#[derive(Debug)]
pub(crate) struct MemberProgress {
    pub(crate) host: HostId,
    /// Last entry that the member has synced and that matches the leader's log. Never decreases.
    pub(crate) match_index: LogIndex,
    /// First entry of the next batch. Always greater than `match_index`.
    pub(crate) next_index: LogIndex,
    /// Batches that are not yet acknowledged, oldest first. Empty while `probing`.
    pub(crate) in_flight: VecDeque<SentBatch>,
    /// Set until a message is accepted. Until then the member is sent only small batches, which do not
    /// count as in flight: it would reject most of those that follow a rejected one.
    pub(crate) probing: bool,
    /// Whether a small batch was sent since `probing` was set or the last rejection. Heartbeats carry
    /// no entries meanwhile.
    pub(crate) probe_sent: bool,
    /// When the oldest data in flight was sent, or the member last acknowledged some of it.
    progress_at: Timestamp,
    /// Number of times that data was given up as lost since the last progress.
    losses: u32,
    /// Send time of the latest message that the member has responded to.
    pub(crate) last_contact: Option<Timestamp>,
    /// When the member last reported to have synced all entries that were committed by then.
    pub(crate) caught_up_at: Option<Timestamp>,
    pub(crate) snapshot: Option<SnapshotTransfer>,
}

/// A batch that was sent and is not yet acknowledged.
#[derive(Debug)]
pub(crate) struct SentBatch {
    pub(crate) last_index: LogIndex,
    pub(crate) bytes: usize,
}

/// Snapshot that is being sent to a member.
#[derive(Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    /// Number of bytes that the member has acknowledged.
    pub(crate) offset: usize,
    /// Size of the chunk in flight. Zero if it was lost.
    pub(crate) chunk_bytes: usize,
}

impl MemberProgress {
    pub(crate) fn new(host: HostId, next_index: LogIndex) -> Self {
        Self {
            host,
            match_index: LogIndex::ZERO,
            next_index,
            in_flight: VecDeque::new(),
            probing: true,
            probe_sent: false,
            progress_at: Timestamp::ZERO,
            losses: 0,
            last_contact: None,
            caught_up_at: None,
            snapshot: None,
        }
    }

    /// Records a response to a message sent at `sent_at`.
    pub(crate) fn record_contact(&mut self, sent_at: Timestamp) {
        self.last_contact = self.last_contact.max(Some(sent_at));
    }

    pub(crate) fn record_match(&mut self, now: Timestamp, match_index: LogIndex) {
        if match_index > self.match_index {
            self.record_progress(now);
        }
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index.next());
        while self.in_flight.pop_front_if(|batch| batch.last_index <= match_index).is_some() {}
        self.probing = false;
        self.snapshot.take_if(|transfer| transfer.snapshot.meta.index <= self.match_index);
    }

    /// Moves `next_index` back to where the logs may match. A delayed rejection of an index that
    /// has matched since is ignored.
    pub(crate) fn record_mismatch(&mut self, rejected_index: LogIndex, match_hint: LogIndex) {
        if rejected_index > self.match_index {
            let match_hint = match_hint.min(rejected_index.previous()).max(self.match_index);
            self.probe_from(self.next_index.min(match_hint.next()));
        }
    }

    /// Records a batch that was sent.
    pub(crate) fn record_sent(&mut self, now: Timestamp, batch: SentBatch) {
        if self.in_flight.is_empty() {
            self.progress_at = now;
        }
        self.next_index = batch.last_index.next();
        self.in_flight.push_back(batch);
    }

    /// Records that a chunk of the snapshot was sent.
    pub(crate) fn record_chunk_sent(&mut self, now: Timestamp, bytes: usize) {
        self.progress_at = now;
        if let Some(transfer) = &mut self.snapshot {
            transfer.chunk_bytes = bytes;
        }
    }

    pub(crate) fn record_progress(&mut self, now: Timestamp) {
        self.progress_at = now;
        self.losses = 0;
    }

    /// Returns whether a chunk of a snapshot is in flight, or so many entries that they may still be
    /// on their way over a slow link. The loss of fewer shows at the next heartbeat, which the member
    /// rejects.
    pub(crate) fn has_much_in_flight(&self) -> bool {
        let has_chunk = self.snapshot.as_ref().is_some_and(|transfer| transfer.chunk_bytes > 0);
        has_chunk || self.bytes_in_flight() > MAX_REPEATED_BYTES
    }

    /// Gives up the data in flight if it is much and should have arrived by now.
    pub(crate) fn check_loss(&mut self, now: Timestamp) {
        let bytes = self.bytes_in_flight();
        let transmission = Duration::from_millis(bytes as u64 / SLOWEST_RATE);
        let wait = (MIN_LOSS_WAIT + transmission) * (1 << self.losses.min(MAX_DOUBLINGS));
        if self.has_much_in_flight() && now.since(self.progress_at) >= wait {
            // Data for a member that does not respond at all is not on a slow link.
            let is_reached = self.last_contact.is_some_and(|at| at > self.progress_at);
            self.losses = if is_reached { self.losses + 1 } else { 0 };
            self.record_loss();
        }
    }

    /// Records that the data in flight will not arrive.
    pub(crate) fn record_loss(&mut self) {
        if let Some(transfer) = &mut self.snapshot {
            transfer.chunk_bytes = 0;
        }
        if !self.in_flight.is_empty() {
            self.probe_from(self.match_index.next());
        }
    }

    fn probe_from(&mut self, next_index: LogIndex) {
        self.next_index = next_index;
        self.in_flight.clear();
        self.probing = true;
        self.probe_sent = false;
    }

    /// Returns the size of the batches or of the snapshot chunk in flight.
    fn bytes_in_flight(&self) -> usize {
        let chunk = self.snapshot.as_ref().map_or(0, |transfer| transfer.chunk_bytes);
        chunk + self.in_flight.iter().map(|batch| batch.bytes).sum::<usize>()
    }

    /// Returns whether a batch of `bytes` bytes may be sent before the next response arrives.
    pub(crate) fn can_send(&self, bytes: usize, max_batches: usize, max_bytes: usize) -> bool {
        let has_room = self.in_flight.len() < max_batches
            && self.bytes_in_flight().saturating_add(bytes) <= max_bytes;
        self.snapshot.is_none() && !self.probing && (self.in_flight.is_empty() || has_room)
    }
}
