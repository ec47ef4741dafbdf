use std::time::Duration;

use gw_types::ServiceName;

/// What the configuration says about the targets of a service while they are cold.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmUpLimit {
    /// The service.
    pub service: ServiceName,
    /// How long a target is cold.
    pub warm_up: Duration,
    /// Requests per second that a cold target sustains. Above 0.
    pub per_second: f64,
}

impl WarmUpLimit {
    /// Returns the limit of `service` among `limits`, which are sorted by service.
    pub fn find<'a>(limits: &'a [Self], service: &ServiceName) -> Option<&'a Self> {
        let found = limits.binary_search_by(|limit| limit.service.cmp(service));
        found.ok().map(|index| &limits[index])
    }
}
