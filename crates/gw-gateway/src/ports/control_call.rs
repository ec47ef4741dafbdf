use bytes::Bytes;
use gw_fleet::StoredConfig;
use gw_fleet::TargetRecord;
use gw_routing::ConfigVersion;
use gw_types::TargetName;

/// An announcement of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// What it says of itself.
    pub record: TargetRecord,
    /// Grows with each announcement of one run, so that a late one is recognised.
    pub sequence: u64,
}

/// A call of a target or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// A target announces itself.
    Announce(TargetAnnouncement),
    /// A target leaves.
    Leave {
        /// The target.
        name: TargetName,
    },
    /// An operator puts a configuration in force.
    PutConfig(StoredConfig),
    /// An operator reads the configuration.
    ReadConfig,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlReply {
    /// The announcement or farewell is known to the whole system.
    Accepted,
    /// This version, or a higher one, is in force.
    ConfigInForce(ConfigVersion),
    /// The operators' text of the newest configuration.
    Config(Bytes),
    /// No configuration was ever accepted.
    NoConfig,
    /// This host cannot tell or act at present; another may.
    Unavailable {
        /// Why.
        reason: &'static str,
    },
}
