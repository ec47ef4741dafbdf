use gw_types::BootId;
use gw_types::HostId;
use gw_types::ServiceDefinition;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::TermNumber;
use gw_types::ZoneName;
use gw_types::ZoneTable;
use serde::Deserialize;
use serde::Serialize;

use crate::MoveBatch;
use crate::ProfileChange;

/// A command in the replicated control log. Times are fields of commands, so that applying them
/// needs no clock and is deterministic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Creates or replaces a profile.
    ApplyProfile(ProfileChange),
    /// Registers a service, or changes the definition of one that has no targets.
    RegisterService(ServiceDefinition),
    /// Records that targets of a zone announce a definition that differs from the registered one.
    /// The definition is changed once all targets of the service in all zone tables have announced
    /// it.
    AnnounceDefinition {
        /// The definition that the targets announce.
        definition: ServiceDefinition,
        /// The announcing targets with the boot ids of their processes.
        targets: Vec<(TargetName, BootId)>,
    },
    /// Grants the lease of a zone to a new leader under a new term. The control leader proposes it
    /// only once no earlier lease of the zone can be held.
    GrantZone {
        /// The zone whose lease is granted.
        zone: ZoneName,
        /// The new zone leader.
        host: HostId,
        /// Boot id of the host's process that is granted the lease.
        boot: BootId,
    },
    /// Delegates all slots of a keyed service to zones.
    Delegate {
        /// The service that the slots belong to.
        service: ServiceName,
        /// Term of the delegation that this one replaces; 0 for the first. Prevents a delayed
        /// proposal from undoing a later delegation.
        base: TermNumber,
        /// Ranges that cover all slots in order, without gap or overlap.
        ranges: Vec<ZoneRange>,
        /// Zones whose lease was not renewed for so long that none of their hosts can hold a slot.
        /// Their hosts get no lease before they have applied this entry.
        expired: Vec<ZoneName>,
    },
    /// Stores a version of a zone table.
    StoreZoneTable(ZoneTable),
    /// Adds ownership moves to the audit trail.
    RecordMoves(MoveBatch),
}

/// A range of slots and the zone that it is to be delegated to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRange {
    /// First slot of the range.
    pub first: u16,
    /// Last slot of the range, inclusive.
    pub last: u16,
    /// The zone that is to hold the slots.
    pub zone: ZoneName,
}
