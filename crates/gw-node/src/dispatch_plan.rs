use gw_types::KeyHash;
use gw_types::ServiceName;
use gw_types::SlotIndex;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::Timestamp;

/// The targets that this host is the dispatcher of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatchPlan {
    /// Sorted by target name.
    pub assignments: Vec<DispatchAssignment>,
}

impl DispatchPlan {
    /// The assignment of `target`, if this host is its dispatcher.
    pub fn assignment(&self, target: &str) -> Option<&DispatchAssignment> {
        let search = self
            .assignments
            .binary_search_by(|assignment| assignment.target.name.as_str().cmp(target));
        search.ok().and_then(|index| self.assignments.get(index))
    }
}

/// A target and the dispatcher lease under which this host sends requests to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchAssignment {
    /// The target's entry in the acknowledged zone table.
    pub target: TargetEntry,
    /// End of the lease. No byte of a request may be written to the target at or after this time.
    pub lease_end: Timestamp,
}

/// Orders the traffic threads to finish requests in flight before ownership or a target is handed
/// over.
///
/// The routing table published before the order no longer names the target as owner. Each request
/// must be counted as in flight before it reads the routing table. Then either the drain counts the
/// request, or the request sees the new table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainOrder {
    /// Unique within one process. To be repeated in
    /// [`NodeEvent::Drained`](crate::NodeEvent::Drained).
    pub drain_id: u64,
    /// The service that the target belongs to.
    pub service: ServiceName,
    /// The target whose requests are to be finished.
    pub target: TargetName,
    /// Which of the target's requests are to be finished.
    pub scope: DrainScope,
    /// Requests that are still in flight at this time are to be cancelled.
    pub cancel_at: Timestamp,
}

/// The requests that a drain covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainScope {
    /// Requests for keys in a range of slots, from the first to the last, both inclusive.
    Slots(SlotIndex, SlotIndex),
    /// Requests for one key that has an owner of its own.
    Key(KeyHash),
    /// All requests to the target.
    Target,
}
