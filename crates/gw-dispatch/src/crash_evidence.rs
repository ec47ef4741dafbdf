use gw_types::BootId;
use gw_types::TargetName;
use serde::Deserialize;
use serde::Serialize;

/// A run of a target process that ended in a crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Name of the target.
    pub target: TargetName,
    /// Identifies the run that crashed.
    pub boot: BootId,
}

/// A crash during which a request was in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// The target and its run that crashed.
    pub run: CrashedRun,
    /// Number of requests in flight on the target when it crashed, including this one.
    pub in_flight: u16,
    /// Whether the request has since completed on a target, which suggests that it did not cause
    /// the crash.
    pub is_cleared: bool,
}

impl CrashEvidence {
    /// Merges the evidence that two hosts hold on one crash. Commutative, associative and
    /// idempotent.
    pub(crate) fn merge(&mut self, other: &CrashEvidence) {
        self.in_flight = self.in_flight.min(other.in_flight);
        self.is_cleared |= other.is_cleared;
    }

    /// Whether no other request was in flight, so that only this one can have caused the crash.
    pub(crate) fn was_alone(&self) -> bool {
        self.in_flight <= 1
    }

    /// Probability that this request caused the crash if each request in flight is equally likely.
    pub(crate) fn probability(&self) -> f64 {
        1.0 / f64::from(self.in_flight.max(1))
    }
}
