use serde::Deserialize;
use serde::Serialize;

use crate::TargetRecord;

/// Reason for the removal of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureCause {
    /// The target deregistered itself. It may still run for a while.
    Left,
    /// The target was not heard from for too long. It may still run and announce itself again.
    Silent,
    /// The target has ended: a later run of it, or another target, has its address.
    Ended,
}

/// A removed target. Kept so that late announcements do not add it again, and so that the keys that
/// it holds can be released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedTarget {
    /// Last record of the target.
    pub record: TargetRecord,
    /// Reason for the removal.
    pub cause: DepartureCause,
}
