use std::net::SocketAddr;

use gw_ranges::RangeHolder;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetPhase {
    /// It does.
    Serving,
    /// It is about to leave and must get no new work.
    Draining,
}

/// A target that announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Unique at any time; a later run may use it again.
    pub name: TargetName,
    /// When this run started, in milliseconds since 1970 on the target's clock. Later runs have
    /// higher numbers.
    pub run: u64,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// The service that it is an instance of.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub work_slots: u16,
    /// Whether it takes new work. Within a run, a target that drains never serves again.
    pub phase: TargetPhase,
}

impl TargetRecord {
    /// This run as a holder of keys.
    pub fn holder(&self) -> RangeHolder {
        RangeHolder { target: self.name.clone(), run: self.run }
    }
}
