use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::BootId;
use crate::HostId;
use crate::ServiceName;
use crate::TargetName;

/// State of a target, which determines whether it receives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// In its slow start; receives requests at an increasing rate.
    Starting,
    /// Receives requests.
    Serving,
    /// Receives no new requests and finishes those in flight.
    Draining,
    /// Has not renewed its announcement or is failing; receives no requests and owns no slots.
    Lost,
}

impl TargetState {
    /// Returns whether a target in this state may receive new requests.
    pub fn accepts_work(self) -> bool {
        matches!(self, TargetState::Starting | TargetState::Serving)
    }
}

/// A target as the zone leader publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Unique among the targets of all services.
    pub name: TargetName,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// TCP address at which the target accepts requests.
    pub address: SocketAddr,
    /// Run of the target process that announced itself.
    pub boot: BootId,
    /// Determines whether the target receives requests.
    pub state: TargetState,
    /// Maximum number of requests that the target runs concurrently; at least 1.
    pub work_slots: u16,
    /// Whether the target rejects a request whose fencing token is lower than one that it has seen.
    /// A target that does not must never receive requests from two hosts at a time.
    pub checks_tokens: bool,
    /// The only host that may send requests to the target, a host of the same zone; absent while no
    /// host holds the dispatcher lease.
    pub dispatcher: Option<HostId>,
}
