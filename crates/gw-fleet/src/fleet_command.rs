use std::net::SocketAddr;

use gw_ranges::RangeCommand;
use gw_routing::ConfigPatch;
use gw_routing::ConfigVersion;
use gw_types::HostId;
use gw_types::TargetName;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::DepartureCause;
use crate::FormatVersion;
use crate::ReplicaRecord;
use crate::StoredConfig;
use crate::TargetRecord;
use crate::ZoneEvacuation;

/// A command of the control log that changes the fleet state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Records the initial replicas, whose ids follow from the settings. Has no effect once a
    /// replica is recorded.
    SetFirstReplicas(Vec<ReplicaRecord>),
    /// Adds a replica under a new id, or returns the id that its data directory already has.
    AddReplica {
        /// Identifies the data directory of the replica.
        folder: u64,
        /// Address for connections from other hosts.
        peers: SocketAddr,
        /// Address for calls of targets and operators.
        calls: SocketAddr,
    },
    /// Removes a replica from the control group.
    RemoveReplica {
        /// Id of the replica. It is never assigned again.
        id: HostId,
    },
    /// Replaces the configuration if the new version is higher.
    SetConfig(StoredConfig),
    /// Adds or updates a target, unless the announcement is outdated.
    PutTarget(TargetRecord),
    /// Removes a target.
    RemoveTarget {
        /// Name of the target.
        name: TargetName,
        /// Run to remove; `None` for any run.
        run: Option<u64>,
        /// Reason for the removal.
        cause: DepartureCause,
    },
    /// Changes the range table of a service.
    ChangeRanges(RangeCommand),
    /// Applies a patch to the configuration. Sent only to entry hosts, in place of
    /// [`FleetCommand::SetConfig`].
    PatchConfig(ConfigPatch),
    /// Requests that the targets of a zone get no requests.
    StartEvacuation(ZoneEvacuation),
    /// Withdraws the evacuation of a zone.
    EndEvacuation {
        /// The zone.
        zone: ZoneName,
    },
}

impl FleetCommand {
    /// Returns the oldest version that can read the command.
    pub fn format(&self) -> FormatVersion {
        match self {
            Self::StartEvacuation(_) | Self::EndEvacuation { .. } => FormatVersion::EVACUATIONS,
            _ => FormatVersion::UNSTATED,
        }
    }
}

/// Result of applying a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetOutcome {
    /// The command has taken effect.
    Applied,
    /// The command had no effect, since the state already contains something newer.
    Superseded,
    /// The replica has been recorded under this id.
    Replica(HostId),
    /// Version of the configuration after the command.
    Config(ConfigVersion),
}
