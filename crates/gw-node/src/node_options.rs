use std::time::Duration;

use gw_agreement::RecoveredState;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::HostId;

/// Parameters of a [`HostNode`](crate::HostNode).
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Id of this host. Must be listed in `hosts`.
    pub host: HostId,
    /// Boot id of this process. Larger than that of every earlier process of the host.
    pub boot: BootId,
    /// All hosts of the system. The same list on every host.
    pub hosts: Vec<HostEntry>,
    /// State recovered from the journal of the control replica; absent on a host without one.
    pub recovered: Option<RecoveredState>,
    /// Seed of the random election timeouts. Should differ between hosts and between processes.
    pub seed: u64,
    /// Upper bound of the deadlines of requests that dispatchers send to targets. Profiles cannot
    /// set a longer deadline.
    pub longest_deadline: Duration,
}
