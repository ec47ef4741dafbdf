use gw_types::KeyHash;
use gw_types::KeyOverride;
use gw_types::ServiceTable;
use gw_types::SlotIndex;
use gw_types::TargetName;

use crate::WeightedTarget;
use crate::slot_ranges;

/// Targets and ownership of a service in the zone, as input of a planner.
#[derive(Clone, Copy, Debug)]
pub struct ServiceView<'a> {
    /// Targets that accept work, sorted by name.
    pub targets: &'a [WeightedTarget],
    /// Current ownership of slots and keys.
    pub table: &'a ServiceTable,
}

impl ServiceView<'_> {
    /// Returns the index of the target that owns `slot`, if it is one of `targets`.
    pub fn slot_owner(&self, slot: SlotIndex) -> Option<usize> {
        let range = slot_ranges::find(&self.table.ranges, slot.0)?;
        self.target_index(range.owner.as_ref()?)
    }

    /// Returns the override of `key`.
    pub fn key_override(&self, key: KeyHash) -> Option<&KeyOverride> {
        let overrides = &self.table.overrides;
        let index = overrides.binary_search_by_key(&key, |entry| entry.key).ok()?;
        overrides.get(index)
    }

    /// Returns the index of the target that serves `key`, by its override or by its slot.
    pub fn key_owner(&self, key: KeyHash) -> Option<usize> {
        match self.key_override(key) {
            Some(entry) => self.target_index(entry.owner.as_ref()?),
            None => self.slot_owner(key.slot()),
        }
    }

    fn target_index(&self, name: &TargetName) -> Option<usize> {
        self.targets.binary_search_by(|target| target.name.cmp(name)).ok()
    }
}
