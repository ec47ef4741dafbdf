use gw_types::KeyHash;
use gw_types::SlotIndex;
use gw_types::TargetName;

/// A move that a [`MovePlanner`](crate::MovePlanner) proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlannedMove {
    /// Split a hot key off from its slot, or move its override.
    Override(KeyHash, TargetName),
    /// Merge a key back into its slot.
    MergeKey(KeyHash),
    /// Move a slot.
    Slot(SlotIndex, TargetName),
}
