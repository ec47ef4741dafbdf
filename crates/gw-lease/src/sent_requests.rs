use std::collections::VecDeque;

use gw_types::Timestamp;

/// Number of requests kept. A holder sends two a second, so answers to older requests come after
/// the end of the lease. A candidate sends 40 a second, so answers may take half a lease.
const MAX_REQUESTS: usize = 32;

/// Send times of recent requests by sequence number.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentRequests {
    last: u64,
    sent: VecDeque<(u64, Timestamp)>,
}

impl SentRequests {
    /// Records a request sent at `now` and returns its sequence number, starting at 1.
    pub(crate) fn send(&mut self, now: Timestamp) -> u64 {
        self.last += 1;
        self.sent.push_back((self.last, now));
        if self.sent.len() > MAX_REQUESTS {
            self.sent.pop_front();
        }
        self.last
    }

    /// Returns when the request was sent, or `None` if it is unknown or no longer kept.
    pub(crate) fn sent_at(&self, sequence: u64) -> Option<Timestamp> {
        let index = self.sent.binary_search_by_key(&sequence, |(number, _)| *number).ok()?;
        Some(self.sent[index].1)
    }

    /// Removes all requests, so that answers to them are ignored. Sequence numbers keep increasing.
    pub(crate) fn clear(&mut self) {
        self.sent.clear();
    }
}
