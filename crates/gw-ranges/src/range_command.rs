use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::KeyRange;
use crate::RangeHolder;

/// A range and the holder that it goes to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeTransfer {
    /// The keys.
    pub range: KeyRange,
    /// The holder.
    pub to: RangeHolder,
    /// The fencing token that the range must still have; otherwise the transfer has no effect.
    pub fence: u64,
}

/// A replicated change of a range table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RangeCommand {
    /// The ranges are about to leave their holders: hosts hold back requests for their keys.
    Announce {
        /// The service.
        service: ServiceName,
        /// The ranges and their next holders.
        moves: Vec<RangeTransfer>,
    },
    /// The ranges belong to new holders, under a new fencing token. Proposed only once the earlier
    /// holders cannot serve the keys any more.
    Assign {
        /// The service.
        service: ServiceName,
        /// The ranges and their holders.
        moves: Vec<RangeTransfer>,
    },
}
