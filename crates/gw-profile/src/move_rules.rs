use serde::Deserialize;
use serde::Serialize;

/// Rules for moving keys and slots between targets and zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MoveRules {
    /// Share of a target's capacity that a key must use to be hot and get an override, 0.01 to 1.
    pub hot_key_share: f64,
    /// Smallest reduction of the load difference between two targets for which a slot or key moves,
    /// as a share of the mean load, 0 to 1.
    pub smallest_gain: f64,
    /// Maximum number of moves per minute, service and zone, 0 to 6,000. Moves because of failures
    /// are not limited.
    pub moves_per_minute: u32,
    /// Time in milliseconds for which a zone that is partitioned from the control group keeps its
    /// slots, 1,500 (one zone lease) to 3,600,000. A long hold keeps keys available inside a
    /// partitioned zone; a short one makes the keys of a lost zone available again sooner.
    pub zone_hold_ms: u32,
}

impl Default for MoveRules {
    fn default() -> Self {
        Self { hot_key_share: 0.2, smallest_gain: 0.1, moves_per_minute: 60, zone_hold_ms: 30_000 }
    }
}
