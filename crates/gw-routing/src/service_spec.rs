use std::time::Duration;

use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// How a service is run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The service.
    pub name: ServiceName,
    /// Whether each key belongs to exactly one target.
    pub is_keyed: bool,
    /// Connections that one target accepts from all hosts together.
    pub max_connections: u32,
    /// How long keys are slow after a move without handover.
    pub warm_up: Duration,
}
