use std::fmt;

use gw_types::TargetName;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// One run of a target that may hold keys. A later run of the same target holds nothing of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RangeHolder {
    /// The target.
    pub target: TargetName,
    /// The run; later runs have higher numbers.
    pub run: u64,
}

impl fmt::Display for RangeHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.target, self.run)
    }
}

/// What the leader believes of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderStatus {
    /// It announces itself and may be given keys.
    Serving,
    /// It leaves and still serves what it holds.
    Leaving,
    /// Nothing was heard of it; it may still run and hold keys.
    Silent,
    /// It has ended for certain: a later run of it, or another target, has its address.
    Ended,
}

/// A holder as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RangeCandidate {
    /// The holder.
    pub holder: RangeHolder,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What is believed of it.
    pub status: HolderStatus,
    /// Relative speed. Above 0; 1 for a target of average speed.
    pub speed: f64,
}
