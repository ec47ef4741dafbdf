use std::sync::Arc;
use std::time::Duration;

use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatRule {
    /// Idempotent: a request may be sent again.
    Idempotent,
    /// Not idempotent: a request may be sent again only when it is known not to have run.
    AtMostOnce,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the other parts. At least 0.
    pub weight: f64,
}

/// Where requests under a path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name for logs.
    pub name: Arc<str>,
    /// Begins with a slash.
    pub path_prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub repeat: RepeatRule,
    /// Time within which an answer has its full value to the caller.
    pub objective: Duration,
    /// Rank under load; 0 is the most urgent.
    pub priority: u8,
    /// Longest time that a request may be kept waiting for its answer.
    pub timeout: Option<Duration>,
    /// Most targets that one request may be sent to. At least 1.
    pub max_attempts: u32,
    /// The services. Not empty; the weights add up to more than 0.
    pub shares: Vec<ServiceShare>,
}
