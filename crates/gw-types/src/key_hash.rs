use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::SLOT_COUNT;
use crate::SlotIndex;

/// Hash of a key. Control state identifies keys only by their hashes.
///
/// Keys with equal hashes share one owner: a collision makes the distribution of keys less even,
/// but each key still has a single owner.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes `key` with XXH3. All hosts must use the same hash function.
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }

    /// Returns the slot that contains the key.
    pub fn slot(self) -> SlotIndex {
        SlotIndex((self.0 % u64::from(SLOT_COUNT)) as u16)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
