use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A non-empty, inclusive range of keys. Invariant: `first <= last`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// Lowest key of the range, inclusive.
    pub first: u16,
    /// Highest key of the range, inclusive.
    pub last: u16,
}

impl KeyRange {
    /// The whole key space.
    pub const ALL: KeyRange = KeyRange { first: 0, last: u16::MAX };

    /// Returns whether `key` is in this range.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Returns whether the two ranges have a key in common.
    pub fn overlaps(self, other: KeyRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns whether this range contains all keys of `other`.
    pub fn covers(self, other: KeyRange) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Returns the number of keys, at least 1.
    pub fn key_count(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}
