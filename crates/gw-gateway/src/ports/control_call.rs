use std::time::Duration;

use bytes::Bytes;
use gw_fleet::StoredConfig;
use gw_fleet::TargetRecord;
use gw_fleet::ZoneEvacuation;
use gw_routing::ConfigVersion;
use gw_types::TargetName;
use gw_types::ZoneName;

/// A target's periodic announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// The target's name, run, address, service, zone, capacity and phase.
    pub record: TargetRecord,
    /// Increases with each announcement of the same run, so that announcements that arrive out of
    /// order are recognized as outdated.
    pub sequence: u64,
    /// For how long the target stays cold; zero if it is warm, or says nothing about it.
    pub warm_up_left: Duration,
}

/// A call that a target or an operator makes to a control host.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// A target registers itself or renews its registration.
    Announce(TargetAnnouncement),
    /// A target deregisters itself.
    Leave {
        /// Name of the target that leaves.
        name: TargetName,
    },
    /// An operator puts a configuration in force; it has an effect only if its version is higher
    /// than the one in force.
    PutConfig(StoredConfig),
    /// An operator reads the newest configuration.
    ReadConfig,
    /// An operator requests that the targets of a zone get no requests.
    StartEvacuation {
        /// The zone.
        zone: ZoneName,
    },
    /// An operator withdraws the evacuation of a zone.
    EndEvacuation {
        /// The zone.
        zone: ZoneName,
    },
    /// An operator reads which zones are evacuated.
    ReadEvacuations,
}

/// The reply to a [`ControlCall`].
#[derive(Clone, Debug, PartialEq)]
pub enum ControlReply {
    /// The announcement, the deregistration, or the start or end of an evacuation is committed, or
    /// was already known.
    Accepted,
    /// Version in force after a [`ControlCall::PutConfig`]: the submitted one, or a higher one that
    /// was committed earlier.
    ConfigInForce(ConfigVersion),
    /// Document of the newest configuration, byte for byte as the operator submitted it.
    Config(Bytes),
    /// No configuration has been accepted yet.
    NoConfig,
    /// The evacuated zones, sorted by zone.
    Evacuations(Vec<ZoneEvacuation>),
    /// This host cannot serve the call at present; another control host may.
    Unavailable {
        /// Reason for the operator or the log.
        reason: &'static str,
    },
}
