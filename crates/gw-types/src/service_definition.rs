use serde::Deserialize;
use serde::Serialize;

use crate::KeySource;
use crate::ProfileName;
use crate::RouteMatch;
use crate::ServiceName;

/// Definition of a service as its targets announce it: which requests belong to it, where they
/// contain the key, and which profile applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDefinition {
    /// Unique among all services.
    pub name: ServiceName,
    /// Conditions under which a request belongs to the service.
    pub route: RouteMatch,
    /// Part of a request that contains the key; absent for an unkeyed service.
    pub key: Option<KeySource>,
    /// Profile whose rules apply to the service.
    pub profile: ProfileName,
}

impl ServiceDefinition {
    /// Returns whether the service is keyed: each key has a single owner among the targets.
    pub fn is_keyed(&self) -> bool {
        self.key.is_some()
    }
}
