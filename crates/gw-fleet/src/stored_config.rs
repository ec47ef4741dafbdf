use std::sync::Arc;

use gw_routing::RoutingConfig;
use serde::Deserialize;
use serde::Serialize;

/// A routing configuration with the document that it was read from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Parsed configuration.
    pub routing: Arc<RoutingConfig>,
    /// Document as sent by operators, returned to them unchanged. Empty on entry hosts.
    #[serde(with = "gw_types::raw_bytes")]
    pub document: Arc<[u8]>,
}

impl StoredConfig {
    /// Returns a copy without the document.
    pub fn without_document(&self) -> Self {
        Self { routing: self.routing.clone(), document: Arc::from([]) }
    }
}
