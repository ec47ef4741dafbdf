use std::fmt;

use gw_types::KeyHash;
use gw_types::TermNumber;
use serde::Deserialize;
use serde::Serialize;

/// Identifier of a handover, unique within a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HandoverId {
    /// Term of the zone lease under which the handover began.
    pub term: TermNumber,
    /// Number of the handover within the term, starting at 1.
    pub number: u64,
}

impl fmt::Display for HandoverId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.term, self.number)
    }
}

/// Slots or key that are handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverSubject {
    /// The slots `first..=last`.
    Slots {
        /// First slot of the range.
        first: u16,
        /// Last slot of the range, inclusive.
        last: u16,
    },
    /// Key that has an override or is about to get one.
    Key(KeyHash),
}
