use std::time::Duration;

use gw_types::BootId;
use gw_types::TableVersion;
use gw_types::TargetName;
use gw_types::TermNumber;
use serde::Deserialize;
use serde::Serialize;

/// Grants a host the right to send requests to targets; sent by the zone leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherGrant {
    /// Term of the zone lease under which the leader sent the grant.
    pub term: TermNumber,
    /// Sequence number, increasing with each grant of the term.
    pub sequence: u64,
    /// Boot ID of the dispatcher process that may use the grant.
    pub boot: BootId,
    /// Number of the dispatcher's answer from which `duration` is measured. A grant with 0 only
    /// requests an answer and permits nothing.
    pub echo: u64,
    /// Lowest version of the zone table with which the dispatcher may use this grant. It keeps a
    /// dispatcher that missed a revocation from continuing with the previous table.
    pub version: TableVersion,
    /// Lease length, measured from when the dispatcher sent the echoed answer.
    pub duration: Duration,
    /// All targets of the dispatcher, sorted. A target that is not listed is revoked.
    pub targets: Vec<TargetName>,
}
