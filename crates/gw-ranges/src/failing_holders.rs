use std::time::Duration;

use gw_types::Timestamp;

use crate::HolderStatus;
use crate::RangeCandidate;
use crate::RangeHolder;

/// Consecutive failed orders after which a holder counts as unresponsive.
pub(crate) const UNRESPONSIVE_FAILURES: u32 = 3;
/// Consecutive failed orders after which even a holder that answers requests counts as unresponsive.
/// Until then it probably serves under grants whose responses are lost, and moving its keys would
/// interrupt that for the time of a lease.
const ANSWERING_FAILURES: u32 = 8;
/// Time after its last failed order for which an unresponsive holder receives no keys.
const RECEIVE_BACKOFF: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct FailingHolder {
    holder: RangeHolder,
    /// Consecutive failed orders over all its ranges. At least [`UNRESPONSIVE_FAILURES`].
    failures: u32,
    failed_at: Timestamp,
}

/// Holders that respond to no order, also those that have lost all their ranges for it.
#[derive(Debug, Default)]
pub(crate) struct FailingHolders {
    /// Sorted by holder.
    holders: Vec<FailingHolder>,
}

impl FailingHolders {
    /// Records that `failures` orders to `holder` have failed in a row, the last one at `now`.
    pub(crate) fn record(&mut self, now: Timestamp, holder: &RangeHolder, failures: u32) {
        if failures < UNRESPONSIVE_FAILURES {
            return;
        }
        match self.find(holder) {
            Ok(index) => {
                let failing = &mut self.holders[index];
                failing.failures = failing.failures.max(failures);
                failing.failed_at = now;
            }
            Err(index) => {
                let holder = holder.clone();
                self.holders.insert(index, FailingHolder { holder, failures, failed_at: now });
            }
        }
    }

    /// Records that `holder` has responded to an order.
    pub(crate) fn remove(&mut self, holder: &RangeHolder) {
        if let Ok(index) = self.find(holder) {
            self.holders.remove(index);
        }
    }

    /// Marks the candidates that may hold keys but respond to no order as silent, so that their ranges
    /// go to the others. Marks none if no other candidate could take the ranges.
    pub(crate) fn mark_silent(&mut self, now: Timestamp, candidates: &mut [RangeCandidate]) {
        self.holders.retain(|failing| now.since(failing.failed_at) < RECEIVE_BACKOFF);
        if self.holders.is_empty() {
            return;
        }
        let may_hold = |candidate: &&mut RangeCandidate| {
            matches!(candidate.status, HolderStatus::Serving | HolderStatus::Cold)
        };
        let (unresponsive, others): (Vec<_>, Vec<_>) = candidates
            .iter_mut()
            .filter(may_hold)
            .partition(|candidate| self.is_unresponsive(candidate));
        if !others.is_empty() {
            unresponsive.into_iter().for_each(|candidate| candidate.status = HolderStatus::Silent);
        }
    }

    fn is_unresponsive(&self, candidate: &RangeCandidate) -> bool {
        let limit = if candidate.is_answering { ANSWERING_FAILURES } else { UNRESPONSIVE_FAILURES };
        self.find(&candidate.holder).is_ok_and(|index| self.holders[index].failures >= limit)
    }

    fn find(&self, holder: &RangeHolder) -> Result<usize, usize> {
        self.holders.binary_search_by(|failing| failing.holder.cmp(holder))
    }
}
