use gw_types::BootId;
use gw_types::TargetName;
use serde::Deserialize;
use serde::Serialize;

use crate::TargetAnnouncement;
use crate::TargetReport;

/// Maximum size of an encoded batch in bytes. Together with its frame, a batch fits into one UDP
/// datagram at the minimum MTU of IPv6 (1,280 bytes).
pub const MAX_BATCH_BYTES: usize = 1_200;

/// Events about targets that an entry host forwards to their zone leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayBatch {
    /// Run of the sender's process.
    pub boot: BootId,
    /// Increases with each batch of a run.
    pub sequence: u64,
    /// Events and their ages; the encoded batch takes at most [`MAX_BATCH_BYTES`].
    pub items: Vec<RelayItem>,
}

/// An event about a target and its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayItem {
    /// Age of the event in milliseconds when the batch was created. The target counts as alive from
    /// the time of the event, so that a delayed message does not extend its registration.
    pub age_ms: u32,
    /// What happened.
    pub event: RelayEvent,
}

/// An event about a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayEvent {
    /// The target announced itself.
    Announced(Box<TargetAnnouncement>),
    /// The target repeated an announcement that was relayed in full recently or that the zone
    /// leader has published.
    Renewed {
        /// Name of the target.
        target: TargetName,
        /// Run of the target's process.
        boot: BootId,
        /// Sequence of the announcement.
        sequence: u64,
    },
    /// The target reported trouble.
    Reported(TargetReport),
    /// The sender, which is the dispatcher of the target, observed answers or failures.
    Traffic(TrafficSummary),
    /// The health endpoint of the target gave an answer that differs from the previous one.
    Health {
        /// Name of the target.
        target: TargetName,
        /// Run of the target's process.
        boot: BootId,
        /// Whether the endpoint reports that the target is healthy.
        is_healthy: bool,
    },
}

impl RelayEvent {
    /// Returns the name of the target that the event is about.
    pub fn target(&self) -> &TargetName {
        match self {
            RelayEvent::Announced(announcement) => &announcement.target,
            RelayEvent::Renewed { target, .. } | RelayEvent::Health { target, .. } => target,
            RelayEvent::Reported(report) => &report.target,
            RelayEvent::Traffic(summary) => &summary.target,
        }
    }
}

/// Latest answer and failures of a target at its dispatcher. Contains totals instead of
/// differences, so that a duplicated message has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficSummary {
    /// Name of the target.
    pub target: TargetName,
    /// Run of the target's process that the requests were sent to.
    pub boot: BootId,
    /// Time from the latest answer to the time of the event, in milliseconds; absent if there was
    /// no answer.
    pub last_answer_age_ms: Option<u32>,
    /// Number of failures since the latest answer.
    pub failures_in_row: u32,
}
