use std::collections::VecDeque;

use gw_types::Timestamp;

use crate::Envelope;
use crate::PersistToken;
use crate::Ready;

/// Messages that wait until the batches that they rely on are synced, for callers that write batches
/// on another thread while the replica goes on.
///
/// Batches are completed in the order in which they were pushed.
#[derive(Debug, Default)]
pub struct SyncQueue {
    /// Batches that are not synced, oldest first, with strictly increasing tokens.
    batches: VecDeque<QueuedBatch>,
    /// Size of the entries in `batches`, in bytes.
    bytes: usize,
    /// Number of messages in `batches`. At most [`SyncQueue::MAX_MESSAGES`].
    message_count: usize,
}

#[derive(Debug)]
struct QueuedBatch {
    token: PersistToken,
    bytes: usize,
    pushed_at: Timestamp,
    messages: Vec<Envelope>,
}

impl SyncQueue {
    /// Number of messages that may wait. Further ones are dropped, which the protocol permits as it
    /// permits their loss on the way: a replica whose disk hangs goes on to receive heartbeats.
    pub const MAX_MESSAGES: usize = 1024;

    /// Takes `messages_after_sync` out of `ready` and returns those that may be sent now. If `ready`
    /// has a batch, the caller writes it after all batches that were pushed earlier.
    pub fn push(&mut self, now: Timestamp, ready: &mut Ready) -> Vec<Envelope> {
        let mut messages = std::mem::take(&mut ready.messages_after_sync);
        if !ready.persist.is_empty() {
            let bytes = ready.persist.entry_bytes();
            self.bytes += bytes;
            let (token, pushed_at, messages) = (ready.token, now, Vec::new());
            self.batches.push_back(QueuedBatch { token, bytes, pushed_at, messages });
        }
        let Some(last) = self.batches.back_mut() else { return messages };
        messages.truncate(Self::MAX_MESSAGES - self.message_count);
        self.message_count += messages.len();
        last.messages.append(&mut messages);
        Vec::new()
    }

    /// Records that the batch of `token` and all earlier ones are synced. Returns the messages that
    /// may be sent now, in the order in which they were pushed.
    pub fn complete(&mut self, token: PersistToken) -> Vec<Envelope> {
        let mut messages = Vec::new();
        while let Some(batch) = self.batches.pop_front_if(|batch| batch.token <= token) {
            self.bytes -= batch.bytes;
            self.message_count -= batch.messages.len();
            messages.extend(batch.messages);
        }
        messages
    }

    /// Returns the size of the entries that are not synced, in bytes.
    pub fn unsynced_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns when the oldest batch that is not synced was pushed; `None` if all are synced.
    pub fn unsynced_since(&self) -> Option<Timestamp> {
        self.batches.front().map(|batch| batch.pushed_at)
    }
}
