use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gw_fleet::FaultTolerance;
use gw_types::HostName;
use gw_types::ZoneName;

/// Error while loading settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file cannot be read.
    #[error("settings file {path}: {source}")]
    File {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A field is missing or has an invalid value.
    #[error("settings file {path}: field {field}: {reason}")]
    Field {
        /// Path of the settings file.
        path: PathBuf,
        /// Name of the field.
        field: String,
        /// Description of the fault.
        reason: String,
    },
}

/// Settings of an entry host or a control host.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of this host, unique among all hosts.
    pub host: HostName,
    /// Availability zone of this host.
    pub zone: ZoneName,
    /// Address on which this host is reached by other hosts.
    pub address: IpAddr,
    /// Port for connections between hosts; the same on all hosts. Metrics are served on the next
    /// port.
    pub peer_port: u16,
    /// Whether the whole system starts for the first time, so that the control hosts in `seeds`
    /// form a new group instead of joining one.
    pub is_first_start: bool,
    /// Listener for callers; entry hosts only.
    pub caller_address: Option<SocketAddr>,
    /// Listener for the load balancer's readiness checks; entry hosts only.
    pub readiness_address: Option<SocketAddr>,
    /// Listener for calls from targets and operators; control hosts only.
    pub control_address: Option<SocketAddr>,
    /// Directory for the replica's identity and journal; control hosts only.
    pub data_dir: Option<PathBuf>,
    /// `control_address` of some control hosts. At the first start of the system these are exactly
    /// the initial members of the control group.
    pub seeds: Vec<SocketAddr>,
    /// Losses of control hosts that the group has to bear.
    pub fault_tolerance: FaultTolerance,
    /// Retry budget of a service over all hosts, as a fraction of its requests.
    pub retry_share: f64,
    /// Retries that a service may make within 10 s over all hosts, in addition to `retry_share`.
    pub retry_floor: f64,
    /// Longest time for which one grant lets a target serve keys.
    pub max_lease_duration: Duration,
    /// Rate of this host's network link in bytes per second; `None` if it is not limited.
    pub link_rate: Option<f64>,
    /// Time from the stop signal until the platform kills the process.
    pub grace_time: Duration,
    /// Memory that the process may use, in bytes; more ends it.
    pub memory_bytes: u64,
    /// Number of descriptors that the process may have open.
    pub max_descriptors: u64,
    /// Time after the acknowledgement of a zone's evacuation from which no request may reach a
    /// target of the zone.
    pub evacuation_time: Duration,
    /// Requests per second that a cold target may get from all hosts together, as a multiple of the
    /// rate that its service states.
    pub cold_rate_factor: f64,
    /// Requests that it may get in one second in addition.
    pub cold_extra_requests: f64,
}
