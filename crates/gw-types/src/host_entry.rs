use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::HostName;
use crate::ZoneName;

/// Id of a host, the same in the settings of all hosts.
///
/// A replacement host takes over the id of the host that it replaces; their
/// [boot ids](crate::BootId) differ.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HostId(pub u16);

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A host as the settings of every host list it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Unique among all hosts.
    pub id: HostId,
    /// Unique among all hosts; identifies the host in logs and to operators.
    pub name: HostName,
    /// Availability zone that the host is in.
    pub zone: ZoneName,
    /// UDP and TCP address at which the host receives frames from other hosts.
    pub peers: SocketAddr,
    /// TCP address at which the host receives requests that other entry hosts forward; absent on a
    /// host that only runs a control replica.
    pub forwards: Option<SocketAddr>,
    /// Whether the host runs a control replica.
    pub control: bool,
}

impl HostEntry {
    /// Returns whether the host accepts callers' requests and can be a zone leader or dispatcher.
    pub fn is_entry(&self) -> bool {
        self.forwards.is_some()
    }
}
