use gw_types::BootId;
use gw_types::HostId;
use gw_types::TermNumber;
use serde::Deserialize;
use serde::Serialize;

/// Host process to which the control group granted a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Host on which the process runs.
    pub host: HostId,
    /// Boot ID of the process. A later boot of the host does not hold the lease.
    pub boot: BootId,
    /// Term of the grant.
    pub term: TermNumber,
}
