use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::KeyRange;
use crate::RangeHolder;

/// The transfer of one range to a new holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeTransfer {
    /// Range that changes its holder; it may be a part of one or more assignments.
    pub range: KeyRange,
    /// Next holder of the range.
    pub to: RangeHolder,
    /// Expected fencing token. The transfer has no effect if the range has another one by then.
    pub fence: u64,
}

/// A replicated command that changes a range table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RangeCommand {
    /// Announces that ranges are about to move, so that entry hosts hold back requests for them.
    Announce {
        /// Service whose table changes.
        service: ServiceName,
        /// Ranges and their next holders.
        moves: Vec<RangeTransfer>,
    },
    /// Assigns ranges to new holders under a new fencing token. Proposed only once the previous
    /// holders can no longer serve the keys.
    Assign {
        /// Service whose table changes.
        service: ServiceName,
        /// Ranges and their new holders.
        moves: Vec<RangeTransfer>,
    },
}
