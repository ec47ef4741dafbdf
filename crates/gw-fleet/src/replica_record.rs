use std::net::SocketAddr;

use gw_types::HostId;
use serde::Deserialize;
use serde::Serialize;

/// A replica of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Its id in the control log. Never used again, also not by the same host with an empty disk.
    pub id: HostId,
    /// Names the data folder, so that a repeated request to join gets the same id.
    pub folder: u64,
    /// Where other hosts reach it.
    pub peers: SocketAddr,
    /// Where targets and operators reach it.
    pub calls: SocketAddr,
}
