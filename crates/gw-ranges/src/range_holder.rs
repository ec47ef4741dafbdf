use std::fmt;

use gw_types::TargetName;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// One run of a target process, as a possible holder of keys. A restarted target is a different
/// holder and inherits no keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RangeHolder {
    /// Name of the target.
    pub target: TargetName,
    /// Number of the run. Grows with every restart of the target.
    pub run: u64,
}

impl fmt::Display for RangeHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.target, self.run)
    }
}

/// Status of a holder as far as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderStatus {
    /// Announces itself and may receive keys.
    Serving,
    /// Announces itself, but sustains few requests for some time. Keeps its keys until they move, and
    /// receives keys only if no target is serving at its full speed.
    Cold,
    /// Is draining or has deregistered itself. Still serves its keys, but receives no more.
    Draining,
    /// Serves its keys until they have moved, and receives no more, because its zone is evacuated.
    /// Its ranges leave at a limited pace; see [`crate::plan_moves`].
    Evacuated,
    /// Was not heard from for too long. It may still run and serve keys.
    Silent,
    /// Has certainly ended: a later run of the target, or another target, has its address.
    Ended,
}

/// A holder with the properties that placement depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct RangeCandidate {
    /// Run of the target.
    pub holder: RangeHolder,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Whether it may hold or receive keys.
    pub status: HolderStatus,
    /// Processing speed relative to a target of average speed, which has 1. Above 0.
    pub speed: f64,
    /// Whether it has answered requests a short time ago. One that does keeps its keys for longer
    /// when it responds to no order.
    pub is_answering: bool,
}
