use gw_types::BootId;
use gw_types::TargetName;
use serde::Deserialize;
use serde::Serialize;

/// One run of a target process that crashed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The target.
    pub target: TargetName,
    /// The run that ended with the crash.
    pub boot: BootId,
}

/// A crash during which a request was in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// The crash.
    pub run: CrashedRun,
    /// Requests in flight on the target when it crashed, this one included; at least 1.
    pub in_flight: u16,
    /// Whether the request completed elsewhere after the crash, which speaks for its innocence.
    pub is_cleared: bool,
}

impl CrashEvidence {
    /// Joins what two hosts know of one crash. Commutative, associative and idempotent.
    pub(crate) fn join(&mut self, other: &CrashEvidence) {
        self.in_flight = self.in_flight.min(other.in_flight);
        self.is_cleared |= other.is_cleared;
    }

    /// Whether the request alone can have caused the crash.
    pub(crate) fn is_sole(&self) -> bool {
        self.in_flight <= 1
    }

    /// Weight of the crash when the blame is spread evenly.
    pub(crate) fn weight(&self) -> f64 {
        1.0 / f64::from(self.in_flight.max(1))
    }
}
