use std::time::Duration;

use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// Definition of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the service is partitioned by key, so that each key belongs to exactly one target.
    pub is_keyed: bool,
    /// Number of connections that one target accepts from all hosts together.
    pub max_connections: u32,
    /// Time for which a target is slow for keys that it received without a handover token.
    pub warm_up: Duration,
}
