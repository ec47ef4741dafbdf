use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Index of an entry in the log. The first entry has index 1; index 0 precedes every entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The index before the first entry.
    pub const ZERO: LogIndex = LogIndex(0);

    /// Returns the following index. Saturates, so that a malformed message cannot overflow it.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the preceding index, or `ZERO` for `ZERO`.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of an election term. Each term has at most one leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the following term. Saturates, so that a malformed message cannot overflow it.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
