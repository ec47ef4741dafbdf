use std::sync::Arc;

use gw_routing::RoutingConfig;
use serde::Deserialize;
use serde::Serialize;

/// A configuration together with the text that operators sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// What it says.
    pub routing: Arc<RoutingConfig>,
    /// The operators' text, returned when it is read. Empty on entry hosts.
    pub document: Arc<[u8]>,
}

impl StoredConfig {
    /// The same without the text.
    pub fn without_document(&self) -> Self {
        Self { routing: self.routing.clone(), document: Arc::from([]) }
    }
}
