use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use gw_node::DrainOrder;
use gw_node::DrainScope;
use gw_types::KeyHash;
use gw_types::TargetName;
use tokio::sync::Notify;

use super::CancelSignal;

/// Number of separately locked shards, about the number of targets of one dispatcher. With fewer,
/// targets would contend for the same lock; more would only use memory.
const SHARD_COUNT: usize = 16;

/// Requests that may be written to a target now, and requests that were written and have not ended.
#[derive(Debug, Default)]
pub(crate) struct InFlightTable {
    shards: [Mutex<Vec<InFlightEntry>>; SHARD_COUNT],
    next_id: AtomicU64,
    ended: Notify,
}

#[derive(Debug)]
struct InFlightEntry {
    id: u64,
    target: TargetName,
    key: Option<KeyHash>,
    cancel: Arc<CancelSignal>,
}

impl InFlightEntry {
    fn is_covered_by(&self, order: &DrainOrder) -> bool {
        self.target == order.target
            && match order.scope {
                DrainScope::Target => true,
                DrainScope::Key(key) => self.key == Some(key),
                DrainScope::Slots(first, last) => {
                    self.key.is_some_and(|key| (first..=last).contains(&key.slot()))
                }
            }
    }
}

impl InFlightTable {
    fn shard(&self, target: &TargetName) -> MutexGuard<'_, Vec<InFlightEntry>> {
        let hash = KeyHash::of(target.as_str().as_bytes()).0;
        let shard = &self.shards[(hash % SHARD_COUNT as u64) as usize];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, target: &TargetName, key: Option<KeyHash>, cancel: Arc<CancelSignal>) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.shard(target).push(InFlightEntry { id, target: target.clone(), key, cancel });
        id
    }

    fn remove(&self, target: &TargetName, id: u64) {
        let mut entries = self.shard(target);
        if let Some(index) = entries.iter().position(|entry| entry.id == id) {
            entries.swap_remove(index);
        }
        drop(entries);
        self.ended.notify_waiters();
    }

    fn has_covered(&self, order: &DrainOrder) -> bool {
        self.shard(&order.target).iter().any(|entry| entry.is_covered_by(order))
    }

    /// Waits until no request that `order` covers is in flight.
    pub(crate) async fn wait_drained(&self, order: &DrainOrder) {
        loop {
            // Created before the check, so that a request that ends between the check and the wait
            // is not missed.
            let ended = self.ended.notified();
            if !self.has_covered(order) {
                return;
            }
            ended.await;
        }
    }

    /// Cancels the requests that `order` covers.
    pub(crate) fn cancel(&self, order: &DrainOrder) {
        for entry in self.shard(&order.target).iter().filter(|entry| entry.is_covered_by(order)) {
            entry.cancel.cancel();
        }
    }

    /// Returns the number of requests in flight.
    pub(crate) fn len(&self) -> usize {
        let count = |shard: &Mutex<Vec<_>>| shard.lock().map_or(0, |entries| entries.len());
        self.shards.iter().map(count).sum()
    }
}

/// Entry of one request in the [`InFlightTable`], removed on drop.
pub(crate) struct InFlightGuard {
    state: Arc<crate::TrafficState>,
    target: TargetName,
    id: u64,
    /// Set when the time limit of a drain order has passed.
    pub(crate) cancel: Arc<CancelSignal>,
}

impl InFlightGuard {
    /// Registers a request as in flight. The routing table must be read again afterwards, for the
    /// reason given at [`DrainOrder`].
    pub(crate) fn register(
        state: &Arc<crate::TrafficState>,
        target: &TargetName,
        key: Option<KeyHash>,
    ) -> Self {
        let cancel = Arc::new(CancelSignal::default());
        let id = state.in_flight().add(target, key, cancel.clone());
        Self { state: state.clone(), target: target.clone(), id, cancel }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.in_flight().remove(&self.target, self.id);
    }
}
