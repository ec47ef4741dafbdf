use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Keys from `first` to `last`, both included. Invariant: `first <= last`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// The lowest key.
    pub first: u16,
    /// The highest key.
    pub last: u16,
}

impl KeyRange {
    /// All keys.
    pub const ALL: KeyRange = KeyRange { first: 0, last: u16::MAX };

    /// Whether `key` lies within.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Whether the ranges share a key.
    pub fn overlaps(self, other: KeyRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Whether all keys of `other` lie within.
    pub fn covers(self, other: KeyRange) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Number of keys, at least 1.
    pub fn key_count(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}
