use gw_profile::FieldFault;
use gw_profile::Revision;
use gw_types::ProfileName;
use gw_types::ServiceName;
use gw_types::TableVersion;
use gw_types::TermNumber;
use serde::Deserialize;
use serde::Serialize;

use crate::DefinitionField;
use crate::OperatorName;
use crate::WallTime;

/// Answer to a command; one variant for each, and one for entries that were applied before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlOutcome {
    /// Answer to [`ApplyProfile`](crate::ControlCommand::ApplyProfile).
    Profile(ProfileOutcome),
    /// Answer to [`RegisterService`](crate::ControlCommand::RegisterService) and
    /// [`AnnounceDefinition`](crate::ControlCommand::AnnounceDefinition).
    Service(ServiceOutcome),
    /// Answer to [`GrantZone`](crate::ControlCommand::GrantZone).
    Grant(GrantOutcome),
    /// Answer to [`Delegate`](crate::ControlCommand::Delegate).
    Delegation(DelegateOutcome),
    /// Answer to [`StoreZoneTable`](crate::ControlCommand::StoreZoneTable).
    Table(TableOutcome),
    /// Answer to [`RecordMoves`](crate::ControlCommand::RecordMoves): how many records were added;
    /// none if the batch was recorded before.
    Moves(u32),
    /// The entry's index was applied before; nothing was changed.
    AlreadyApplied,
}

/// Answer to a profile change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProfileOutcome {
    /// The change is the profile's new revision.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// Another change was accepted since the base revision. Names the latest.
    Conflict {
        /// The profile's revision.
        winner: Revision,
        /// Who made it.
        operator: OperatorName,
        /// When it was made.
        at: WallTime,
    },
    /// The change cannot be accepted whatever its base.
    Refused(ProfileRefusal),
}

/// Why a profile change cannot be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ProfileRefusal {
    /// A field has a value outside its range.
    #[error("{field} is {value}; allowed is {allowed}")]
    Invalid {
        /// Section and field, joined by a dot.
        field: String,
        /// The value as TOML.
        value: String,
        /// What would be allowed.
        allowed: String,
    },
    /// The base is a revision of a profile that does not exist.
    #[error("there is no profile of this name; a new profile has base revision 0")]
    NoSuchProfile,
    /// The change id belongs to a change with other content.
    #[error("the change id was used for another change")]
    ChangeIdTaken,
    /// There are [`MAX_PROFILES`](crate::MAX_PROFILES) profiles.
    #[error("there are {} profiles, which is the limit", crate::MAX_PROFILES)]
    TooManyProfiles,
}

impl From<FieldFault> for ProfileRefusal {
    fn from(fault: FieldFault) -> Self {
        Self::Invalid { field: fault.field, value: fault.value, allowed: fault.allowed }
    }
}

/// Answer to a service registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceOutcome {
    /// The definition is in force.
    Registered {
        /// Whether it differs from the one before.
        changed: bool,
        /// What the operators should correct.
        warnings: Vec<ServiceWarning>,
    },
    /// The service has targets that run under another definition.
    Differs {
        /// What differs from the registered definition.
        fields: Vec<DefinitionField>,
        /// Targets that have not announced the new definition.
        waiting_for: u32,
    },
    /// There are [`MAX_SERVICES`](crate::MAX_SERVICES) services.
    TooManyServices,
}

/// A definition that works otherwise than its author may expect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ServiceWarning {
    /// No operator has created the profile; a shipped profile is in force instead.
    #[error("profile {named} does not exist; the shipped profile {used} is in force")]
    NoSuchProfile {
        /// The profile that the service names.
        named: ProfileName,
        /// The shipped profile that is in force.
        used: ProfileName,
    },
    /// Another service has the same route.
    #[error("service {service} has the same route; the service whose name sorts first gets it")]
    SameRoute {
        /// The other service.
        service: ServiceName,
    },
}

/// Answer to a zone grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// The lease has this term.
    Granted {
        /// Larger than all terms before.
        term: TermNumber,
    },
    /// There are [`MAX_ZONES`](crate::MAX_ZONES) zones.
    TooManyZones,
    /// The counter has no terms left.
    TermsExhausted,
}

/// Answer to a delegation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DelegateOutcome {
    /// The delegation is in force.
    Delegated {
        /// Term of the slots that changed their zone.
        term: TermNumber,
        /// How many slots changed their zone.
        moved: u16,
    },
    /// Every slot already is where it should be; no term was drawn.
    Unchanged {
        /// Term of the delegation in force.
        term: TermNumber,
    },
    /// The delegation is not in force.
    Refused(DelegateRefusal),
}

/// Why a delegation is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum DelegateRefusal {
    /// The service is not registered.
    #[error("the service is not registered")]
    NoSuchService,
    /// The service is not divided by key.
    #[error("the service is not divided by key")]
    NotKeyed,
    /// Another delegation was made since the base.
    #[error("the delegation in force has term {current}, not the base")]
    StaleBase {
        /// Term of the delegation in force.
        current: TermNumber,
    },
    /// A slot is in no range, in two, or out of order.
    #[error("the ranges do not cover slot {slot} exactly once in order")]
    NotCovered {
        /// The first such slot.
        slot: u16,
    },
    /// The counter has no terms left.
    #[error("the counter has no terms left")]
    TermsExhausted,
}

/// Answer to a zone table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableOutcome {
    /// The log holds this version of the table.
    Stored {
        /// The stored version.
        version: TableVersion,
    },
    /// The table was not stored.
    Refused(TableRefusal),
}

/// Why a zone table is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum TableRefusal {
    /// A later leader has been granted the zone. The sender is no longer its leader.
    #[error("the zone is granted with the later term {granted}")]
    OldTerm {
        /// Term of the zone's lease.
        granted: TermNumber,
    },
    /// The zone was never granted with the table's term.
    #[error("the zone was not granted with the table's term")]
    NotGranted,
    /// The log holds the same or a later version with other content.
    #[error("the log holds version {}.{} of the table", held.term, held.number)]
    OldVersion {
        /// The held version.
        held: TableVersion,
    },
    /// The table breaks a rule of [`ZoneTable`](gw_types::ZoneTable).
    #[error("{0}")]
    Malformed(TableRule),
}

/// A rule of [`ZoneTable`](gw_types::ZoneTable) that readers rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum TableRule {
    /// Targets are sorted by name, without duplicates.
    #[error("targets are not sorted by name without duplicates")]
    TargetsSorted,
    /// Services are sorted by name, without duplicates.
    #[error("services are not sorted by name without duplicates")]
    ServicesSorted,
    /// Slot ranges are sorted, without overlap, and below the number of slots.
    #[error("slot ranges are not sorted without overlap below {}", gw_types::SLOT_COUNT)]
    RangesDisjoint,
    /// Overrides are sorted by key, without duplicates, and bounded.
    #[error("overrides are not sorted without duplicates, at most {}", gw_types::MAX_OVERRIDES)]
    OverridesBounded,
}
