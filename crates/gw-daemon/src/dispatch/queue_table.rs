use std::sync::Arc;

use arc_swap::ArcSwap;
use gw_node::DispatchPlan;

use super::DispatchQueue;
use crate::TrafficState;

/// Dispatch queues of all targets of which this host is the dispatcher.
#[derive(Default)]
pub(crate) struct QueueTable {
    /// Sorted by target name. Replaced as a whole, so that readers do not lock.
    queues: ArcSwap<Vec<Arc<DispatchQueue>>>,
}

impl QueueTable {
    /// Keeps the queues of unchanged targets, creates queues for new ones and closes the others. A
    /// target with another boot ID, address or number of work slots gets a new queue. Called only
    /// by the control thread.
    pub(crate) fn apply(&self, state: &Arc<TrafficState>, plan: &DispatchPlan) {
        let old = self.queues.load_full();
        let queues: Vec<_> = plan
            .assignments
            .iter()
            .map(|assignment| {
                let known = find(&old, assignment.target.name.as_str()).filter(|queue| {
                    let target = &queue.assignment.target;
                    target.boot == assignment.target.boot
                        && target.address == assignment.target.address
                        && target.work_slots == assignment.target.work_slots
                });
                known.cloned().unwrap_or_else(|| Arc::new(DispatchQueue::new(state, assignment)))
            })
            .collect();
        self.queues.store(Arc::new(queues.clone()));
        for queue in old.iter().filter(|queue| !queues.iter().any(|kept| Arc::ptr_eq(kept, queue)))
        {
            queue.close();
        }
    }

    /// Returns the queue of `target`, or `None` if this host is not its dispatcher.
    pub(crate) fn get(&self, target: &str) -> Option<Arc<DispatchQueue>> {
        find(&self.queues.load(), target).cloned()
    }

    /// Returns the number of requests that wait in all queues.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.load().iter().map(|queue| queue.waiting()).sum()
    }
}

fn find<'a>(queues: &'a [Arc<DispatchQueue>], target: &str) -> Option<&'a Arc<DispatchQueue>> {
    let search = queues.binary_search_by(|queue| queue.assignment.target.name.as_str().cmp(target));
    search.ok().map(|index| &queues[index])
}
