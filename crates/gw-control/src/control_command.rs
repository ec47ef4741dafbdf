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

/// An entry of the replicated log. Times are fields, so that applying it needs no clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Creates or replaces a profile.
    ApplyProfile(ProfileChange),
    /// Registers a service, or changes one that has no targets.
    RegisterService(ServiceDefinition),
    /// Targets of a zone announce a definition that differs from the registered one. The change
    /// takes place once all targets of the service in all zone tables have announced it.
    AnnounceDefinition {
        /// What the targets announce.
        definition: ServiceDefinition,
        /// The targets and the runs of them that announce it.
        targets: Vec<(TargetName, BootId)>,
    },
    /// Draws a term for a new leader of a zone. The control leader proposes it only once no earlier
    /// lease of the zone can be held.
    GrantZone {
        /// The zone.
        zone: ZoneName,
        /// The new zone leader.
        host: HostId,
        /// The run of the host that is granted the lease.
        boot: BootId,
    },
    /// Assigns all slots of a keyed service to zones.
    Delegate {
        /// The service.
        service: ServiceName,
        /// Term of the service's delegation that this one replaces; 0 for the first. Keeps a
        /// delayed proposal from undoing a later one.
        base: TermNumber,
        /// Cover all slots in order, without gap or overlap.
        ranges: Vec<ZoneRange>,
        /// Zones that were silent for so long that nobody in them can hold a slot. Their hosts get
        /// no lease before they have applied this entry.
        expired: Vec<ZoneName>,
    },
    /// Stores a zone leader's table.
    StoreZoneTable(ZoneTable),
    /// Adds ownership moves to the audit trail.
    RecordMoves(MoveBatch),
}

/// Neighbouring slots and the zone that they go to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRange {
    /// First slot.
    pub first: u16,
    /// Last slot, inclusive.
    pub last: u16,
    /// The zone.
    pub zone: ZoneName,
}
