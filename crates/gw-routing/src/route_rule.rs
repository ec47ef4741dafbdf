use std::sync::Arc;
use std::time::Duration;

use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// Whether requests of a route may be processed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatRule {
    /// Requests are idempotent: one may be sent again even if a target may have processed it.
    Idempotent,
    /// Requests are not idempotent: one may be sent again only if certainly no target processed it.
    AtMostOnce,
    /// Requests are idempotent and have large responses, which are forwarded as they arrive. One may
    /// be sent again until the first byte of a response went to the caller.
    UntilFirstByte,
}

/// Service of a route and its weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Weight relative to the other services of the route. At least 0; no requests at 0.
    pub weight: f64,
}

/// Routing rule for requests under a path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route in logs and errors.
    pub name: Arc<str>,
    /// Prefix that request paths are compared with. Begins with a slash.
    pub path_prefix: Arc<str>,
    /// Whether failed requests may be sent again.
    pub repeat: RepeatRule,
    /// Latency objective: time within which an answer has its full value to the caller.
    pub objective: Duration,
    /// Priority under load; 0 is the most urgent.
    pub priority: u8,
    /// Longest time until the answer to a request; `None` for the default of the entry host.
    pub timeout: Option<Duration>,
    /// Largest number of targets that one request may be sent to. At least 1.
    pub max_attempts: u32,
    /// Services that share the requests. Not empty; the weights add up to more than 0.
    pub shares: Vec<ServiceShare>,
}
