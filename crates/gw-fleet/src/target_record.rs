use std::net::SocketAddr;

use gw_ranges::RangeHolder;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetPhase {
    /// The target accepts new requests.
    Serving,
    /// The target is about to leave and must not receive new requests.
    Draining,
}

/// Record of a target, from its latest announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Name of the target. Unique at any time; later runs may reuse it.
    pub name: TargetName,
    /// Start time of this run, in milliseconds since 1970 on the target's clock. Later runs have
    /// higher values.
    pub run: u64,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Service that the target provides.
    pub service: ServiceName,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Number of requests that the target processes concurrently.
    pub work_slots: u16,
    /// Whether the target accepts new requests. Never returns to serving within a run.
    pub phase: TargetPhase,
}

impl TargetRecord {
    /// Returns this run as a holder of keys.
    pub fn holder(&self) -> RangeHolder {
        RangeHolder { target: self.name.clone(), run: self.run }
    }
}
