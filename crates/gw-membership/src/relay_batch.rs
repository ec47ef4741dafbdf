use gw_types::BootId;
use gw_types::TargetName;
use serde::Deserialize;
use serde::Serialize;

use crate::TargetAnnouncement;
use crate::TargetReport;

/// Most bytes of an encoded batch. With the frame around it, a batch fits into one UDP datagram on
/// links with the smallest MTU of IPv6 (1,280 bytes).
pub const MAX_BATCH_BYTES: usize = 1_200;

/// What one entry host heard of targets, on the way to their zone leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayBatch {
    /// The sender's run.
    pub boot: BootId,
    /// Grows with each batch of one run.
    pub sequence: u64,
    /// At most as many as fit into [`MAX_BATCH_BYTES`].
    pub items: Vec<RelayItem>,
}

/// One thing that a host heard of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayItem {
    /// Time in milliseconds since the host heard it. Liveness counts from then, so that a delayed
    /// message does not extend it.
    pub age_ms: u32,
    /// What was heard.
    pub event: RelayEvent,
}

/// What was heard of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayEvent {
    /// The target announced itself.
    Announced(Box<TargetAnnouncement>),
    /// The target renewed an announcement that was relayed in full a short time ago.
    Renewed {
        /// The target.
        target: TargetName,
        /// Its run.
        boot: BootId,
        /// Sequence of the renewal.
        sequence: u64,
    },
    /// The target reported trouble.
    Reported(TargetReport),
    /// The sender, as dispatcher, sent requests to the target.
    Traffic(TrafficSummary),
    /// The target's health endpoint answered.
    Health {
        /// The target.
        target: TargetName,
        /// Its run.
        boot: BootId,
        /// Whether the endpoint reports no trouble.
        is_healthy: bool,
    },
}

impl RelayEvent {
    /// The target that the event is of.
    pub fn target(&self) -> &TargetName {
        match self {
            RelayEvent::Announced(announcement) => &announcement.target,
            RelayEvent::Renewed { target, .. } | RelayEvent::Health { target, .. } => target,
            RelayEvent::Reported(report) => &report.target,
            RelayEvent::Traffic(summary) => &summary.target,
        }
    }
}

/// What a dispatcher last saw of a target. Holds totals rather than differences, so that a repeated
/// message changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficSummary {
    /// The target.
    pub target: TargetName,
    /// The run that the requests were sent to.
    pub boot: BootId,
    /// Time in milliseconds from the last answer to the item's time; absent if there was none.
    pub last_answer_age_ms: Option<u32>,
    /// Failures since the last answer.
    pub failures_in_row: u32,
}
