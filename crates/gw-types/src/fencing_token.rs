use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Term of a zone lease or of a slot delegation.
///
/// Each grant of a zone lease and each delegation of slots takes the next number of a counter in
/// the control log, so no two of them share a term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TermNumber(pub u32);

impl fmt::Display for TermNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Fencing token of a grant of a slot or key: a later grant has a larger token.
///
/// The high 32 bits are the larger of the zone lease's term and the slot's delegation term. The low
/// 32 bits are a counter of the zone leader, which restarts with each term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Token below every granted one, for a slot or key that was never granted.
    pub const NONE: FencingToken = FencingToken(0);

    /// Creates the token of grant number `counter` in `term`.
    pub const fn new(term: TermNumber, counter: u32) -> Self {
        Self(((term.0 as u64) << 32) | counter as u64)
    }

    /// Returns the term, which is in the high 32 bits.
    pub const fn term(self) -> TermNumber {
        TermNumber((self.0 >> 32) as u32)
    }

    /// Returns the counter, which is in the low 32 bits.
    pub const fn counter(self) -> u32 {
        self.0 as u32
    }

    /// Returns the token as the number that targets receive.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Creates the token from the number that a target or host sent.
    pub const fn from_u64(raw: u64) -> Self {
        Self(raw)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
