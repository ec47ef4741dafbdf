use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Size limits and timeouts for requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head (request line and headers), in bytes.
    pub max_head_bytes: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for a request head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a kept-alive connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known: common defaults of HTTP
    /// servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}
