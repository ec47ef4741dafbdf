use serde::Deserialize;
use serde::Serialize;

use crate::TargetRecord;

/// Why a target is no longer in the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureCause {
    /// It said that it leaves. It may still run for a while.
    Left,
    /// Nothing was heard of it. It may still run, and may announce itself again.
    Silent,
    /// A later run, or another target, has its address: it has ended.
    Ended,
}

/// A target that was removed. Kept so that late announcements do not bring it back, and so that
/// keys that it holds can be taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedTarget {
    /// What was known of it.
    pub record: TargetRecord,
    /// Why it was removed.
    pub cause: DepartureCause,
}
