use gw_types::KeyHash;
use gw_types::ServiceName;
use gw_types::SlotIndex;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::Timestamp;

/// The targets that this host is dispatcher of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatchPlan {
    /// Sorted by target name.
    pub assignments: Vec<DispatchAssignment>,
}

impl DispatchPlan {
    /// This host's duty towards `target`, if it has one.
    pub fn assignment(&self, target: &str) -> Option<&DispatchAssignment> {
        let search =
            self.assignments.binary_search_by(|duty| duty.target.name.as_str().cmp(target));
        search.ok().and_then(|index| self.assignments.get(index))
    }
}

/// One target and the lease under which this host sends to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchAssignment {
    /// The target.
    pub target: TargetEntry,
    /// No byte of a request may be written to the target at or after this time.
    pub lease_end: Timestamp,
}

/// Asks the traffic side to finish what is in flight before a handover.
///
/// The routing table that was published before the order no longer names the target as owner. A
/// request must be counted as in flight before the table is read, so that either the order sees
/// the request or the request sees the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainOrder {
    /// Named again when the order is done.
    pub drain_id: u64,
    /// The service.
    pub service: ServiceName,
    /// The target that loses the slots or the key.
    pub target: TargetName,
    /// What the target loses.
    pub scope: DrainScope,
    /// Requests still in flight then are cancelled.
    pub cancel_at: Timestamp,
}

/// What a drain covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainScope {
    /// Neighbouring slots, both inclusive.
    Slots(SlotIndex, SlotIndex),
    /// One overridden key.
    Key(KeyHash),
    /// Everything that is sent to the target.
    Target,
}
