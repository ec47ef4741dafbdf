use std::net::SocketAddr;

use gw_types::HostId;
use serde::Deserialize;
use serde::Serialize;

/// Record of one replica of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Id in the control log. Never reused, not even for the same host after it lost its disk.
    pub id: HostId,
    /// Identifies the data directory, so that a repeated request to join returns the same id.
    pub folder: u64,
    /// Address for connections from other hosts.
    pub peers: SocketAddr,
    /// Address for calls of targets and operators.
    pub calls: SocketAddr,
}
