use std::time::Duration;

use serde::Deserialize;

/// Minimum of `head_bytes`: hyper requires a read buffer of at least this size.
const MIN_HEAD_BYTES: usize = 8_192;

/// Limits on requests and connections.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Longest request head in bytes. A longer one is answered with 431.
    pub head_bytes: usize,
    /// Longest request line in bytes. A longer one is answered with 414.
    pub request_line_bytes: usize,
    /// Longest request body in bytes. A longer one is answered with 413.
    pub body_bytes: u64,
    /// Maximum number of header fields of a request. A request with more is answered with 431.
    pub header_count: usize,
    /// Longest time to receive a request head, and longest idle time of a connection, in
    /// milliseconds.
    pub head_timeout_ms: u64,
    /// Longest pause within a request body, in milliseconds. A longer one is answered with 408.
    pub body_timeout_ms: u64,
    /// Longest time for which a caller may leave an answer unread, in milliseconds.
    pub answer_timeout_ms: u64,
    /// Longest time to connect to a target or another host, in milliseconds. The default allows for
    /// one lost packet and a round trip between zones.
    pub connect_timeout_ms: u64,
    /// Maximum number of open connections of each listener. Further connections wait to be
    /// accepted.
    pub connections: usize,
    /// Maximum number of requests that wait while their key is handed over to another target.
    pub handover_waiting: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1_024,
            request_line_bytes: 8 * 1_024,
            body_bytes: 1_024 * 1_024 * 1_024,
            header_count: 100,
            head_timeout_ms: 10_000,
            body_timeout_ms: 10_000,
            answer_timeout_ms: 10_000,
            connect_timeout_ms: 1_500,
            connections: 10_000,
            handover_waiting: 1_024,
        }
    }
}

impl LimitSettings {
    /// Returns [`head_timeout_ms`](Self::head_timeout_ms) as a duration.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }

    /// Returns [`body_timeout_ms`](Self::body_timeout_ms) as a duration.
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }

    /// Returns [`answer_timeout_ms`](Self::answer_timeout_ms) as a duration.
    pub fn answer_timeout(&self) -> Duration {
        Duration::from_millis(self.answer_timeout_ms)
    }

    /// Returns [`connect_timeout_ms`](Self::connect_timeout_ms) as a duration.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Returns the fields with invalid values, each with the reason.
    pub(super) fn invalid_fields(&self) -> Vec<(&'static str, String)> {
        let mut fields = Vec::new();
        if self.head_bytes < MIN_HEAD_BYTES {
            fields.push(("limits.head_bytes", format!("must be at least {MIN_HEAD_BYTES}")));
        }
        if self.request_line_bytes > self.head_bytes {
            let reason = "must not be larger than limits.head_bytes";
            fields.push(("limits.request_line_bytes", reason.to_owned()));
        }
        let positive = [
            ("limits.request_line_bytes", self.request_line_bytes as u64),
            ("limits.header_count", self.header_count as u64),
            ("limits.head_timeout_ms", self.head_timeout_ms),
            ("limits.body_timeout_ms", self.body_timeout_ms),
            ("limits.answer_timeout_ms", self.answer_timeout_ms),
            ("limits.connect_timeout_ms", self.connect_timeout_ms),
            ("limits.connections", self.connections as u64),
        ];
        let zeros = positive.iter().filter(|(_, value)| *value == 0);
        fields.extend(zeros.map(|(field, _)| (*field, "must be at least 1".to_owned())));
        fields
    }
}
