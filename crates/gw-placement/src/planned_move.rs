use gw_types::KeyHash;
use gw_types::SlotIndex;
use gw_types::TargetName;

/// Move that a [`MovePlanner`](crate::MovePlanner) proposes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlannedMove {
    /// Gives a hot key an override that names this target, or changes the target of its override.
    Override(KeyHash, TargetName),
    /// Removes the override of a key, so that the owner of its slot serves it again.
    MergeKey(KeyHash),
    /// Moves a slot to this target.
    Slot(SlotIndex, TargetName),
}
