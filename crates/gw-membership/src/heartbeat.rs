use gw_types::TableVersion;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Periodic message between hosts, see [`HEARTBEAT_INTERVAL`](crate::HEARTBEAT_INTERVAL). Its frame
/// identifies the sender and the run of the sender's process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Increases with each heartbeat of a run.
    pub sequence: u64,
    /// Whether the host holds state at least as new as the state that was in force when it started.
    pub is_ready: bool,
    /// Versions of the state that the host holds.
    pub digest: DigestSummary,
    /// Load of the targets that the host dispatches to.
    pub load: LoadSummary,
}

/// Versions of the replicated state that a host holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestSummary {
    /// Index of the last applied control entry.
    pub control_index: u64,
    /// Digest of the quarantine entries; equal on hosts that hold the same entries.
    pub quarantine: u64,
    /// Versions of zone tables. Empty in most heartbeats (see
    /// [`carries_tables`](crate::HeartbeatPlan::carries_tables)), because zone names take most of
    /// the bytes of a heartbeat.
    pub tables: Vec<ZoneDigest>,
}

/// Version of one zone table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// Zone of the table.
    pub zone: ZoneName,
    /// Version that the host holds.
    pub version: TableVersion,
}

/// Load of the targets of a host, as their dispatcher counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Number of requests that are queued or in flight.
    pub outstanding: u32,
    /// Mean service time in microseconds.
    pub service_time_us: u32,
}
