use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Number of slots of every keyed service.
///
/// Ownership is tracked per slot, so that its state does not grow with the number of keys.
pub const SLOT_COUNT: u16 = 16_384;

/// Index of a slot of a keyed service, less than [`SLOT_COUNT`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SlotIndex(pub u16);

impl SlotIndex {
    /// Returns the index as `usize`, for an array with one element per slot.
    pub fn as_usize(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for SlotIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
