use serde::Deserialize;
use serde::Serialize;

/// Policy that selects the target of a request of an unkeyed service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SpreadPolicy {
    /// The target with the shortest expected wait, estimated from the observations of dispatchers.
    #[default]
    LeastWait,
    /// Each target in turn.
    RoundRobin,
    /// A random target.
    Random,
}

/// Rules for balancing requests over targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpreadRules {
    /// Policy that selects the target of a request.
    pub policy: SpreadPolicy,
    /// Time in milliseconds by which the expected wait of a target in another zone must be shorter
    /// than that of the best target in the caller's zone, 0 to 1,000. Should be at least the round
    /// trip time between the zones.
    pub other_zone_penalty_ms: u32,
    /// Duration in milliseconds of the slow start, in which the share of requests of a new target
    /// increases to its full size, 0 to 600,000.
    pub slow_start_ms: u32,
}

impl Default for SpreadRules {
    fn default() -> Self {
        Self { policy: SpreadPolicy::LeastWait, other_zone_penalty_ms: 10, slow_start_ms: 5_000 }
    }
}
