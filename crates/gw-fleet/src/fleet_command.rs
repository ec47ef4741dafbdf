use std::net::SocketAddr;

use gw_ranges::RangeCommand;
use gw_routing::ConfigPatch;
use gw_routing::ConfigVersion;
use gw_types::HostId;
use gw_types::TargetName;
use serde::Deserialize;
use serde::Serialize;

use crate::DepartureCause;
use crate::ReplicaRecord;
use crate::StoredConfig;
use crate::TargetRecord;

/// A replicated change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Records the first members, whose ids follow from the settings. Has no effect later.
    SetFirstReplicas(Vec<ReplicaRecord>),
    /// Gives a replica an id, or returns the one that the same data folder has.
    AddReplica {
        /// Names the data folder.
        folder: u64,
        /// Where other hosts reach it.
        peers: SocketAddr,
        /// Where targets and operators reach it.
        calls: SocketAddr,
    },
    /// Removes a replica.
    RemoveReplica {
        /// The replica.
        id: HostId,
    },
    /// Puts a configuration in force if its version is higher than the one in force.
    SetConfig(StoredConfig),
    /// Adds or updates a target.
    PutTarget(TargetRecord),
    /// Removes a target.
    RemoveTarget {
        /// The target.
        name: TargetName,
        /// The run that is meant; `None` for whichever is known.
        run: Option<u64>,
        /// Why.
        cause: DepartureCause,
    },
    /// Changes a range table.
    ChangeRanges(RangeCommand),
    /// Puts the configuration in force that follows from the one in force. Only entry hosts are
    /// sent this, in place of [`FleetCommand::SetConfig`].
    PatchConfig(ConfigPatch),
}

/// What a command did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetOutcome {
    /// It is in effect.
    Applied,
    /// It had no effect, since something newer is known.
    Superseded,
    /// The replica has this id.
    Replica(HostId),
    /// This version is in force.
    Config(ConfigVersion),
}
