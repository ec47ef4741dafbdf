use gw_types::BootId;
use gw_types::TargetName;
use serde::Deserialize;
use serde::Serialize;

/// Problem that a target reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    /// It has more work than it can complete in time.
    Overloaded,
    /// It cannot answer requests properly.
    Failing,
    /// It wants no new work and completes the work it has.
    Draining,
    /// It is about to exit.
    Leaving,
}

/// Report that a target sends to an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetReport {
    /// Name of the reporting target.
    pub target: TargetName,
    /// Run of the target process that reports.
    pub boot_id: BootId,
    /// Problem of the target.
    pub trouble: TroubleKind,
}
