use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gw_types::HostName;
use gw_types::ZoneName;

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings file {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// The reason.
        source: std::io::Error,
    },
    /// A field is missing or has no valid value.
    #[error("settings file {path}: field {field}: {reason}")]
    Field {
        /// The file.
        path: PathBuf,
        /// The field.
        field: String,
        /// What is wrong.
        reason: String,
    },
}

/// Settings of an entry host or a control host.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// This host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address.
    pub address: IpAddr,
    /// Port for other hosts; the same on all hosts.
    pub peer_port: u16,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Where callers connect; entry hosts only.
    pub caller_address: Option<SocketAddr>,
    /// Where the balancer asks for readiness; entry hosts only.
    pub readiness_address: Option<SocketAddr>,
    /// Where targets and operators call; control hosts only.
    pub control_address: Option<SocketAddr>,
    /// Folder for the replica's state; control hosts only.
    pub data_dir: Option<PathBuf>,
    /// `control_address`es of some control hosts, at most as many as first form the group.
    pub seeds: Vec<SocketAddr>,
    /// Retries of all hosts together, as a share of the requests of a service.
    pub retry_share: f64,
    /// Retries of all hosts together that a service may make in 10 s beyond the share.
    pub retry_floor: f64,
    /// Longest time for which a target may be granted keys.
    pub max_lease_time: Duration,
    /// Time from the request to stop until the process is killed.
    pub grace_time: Duration,
}
