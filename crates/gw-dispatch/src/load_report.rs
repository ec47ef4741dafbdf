use std::time::Duration;

use gw_types::TargetName;
use serde::Deserialize;
use serde::Serialize;

/// Load of a target as its dispatcher counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Number of requests that run or wait.
    pub outstanding: u32,
    /// Sum of their expected service times.
    pub work: Duration,
}

/// Load of a target as sent to other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Name of the target.
    pub target: TargetName,
    /// Load when the report was sent.
    pub load: TargetLoad,
}
