use gw_profile::FieldError;
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

/// Outcome of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlOutcome {
    /// Outcome of [`ApplyProfile`](crate::ControlCommand::ApplyProfile).
    Profile(ProfileOutcome),
    /// Outcome of [`RegisterService`](crate::ControlCommand::RegisterService) and
    /// [`AnnounceDefinition`](crate::ControlCommand::AnnounceDefinition).
    Service(ServiceOutcome),
    /// Outcome of [`GrantZone`](crate::ControlCommand::GrantZone).
    Grant(GrantOutcome),
    /// Outcome of [`Delegate`](crate::ControlCommand::Delegate).
    Delegation(DelegateOutcome),
    /// Outcome of [`StoreZoneTable`](crate::ControlCommand::StoreZoneTable).
    Table(TableOutcome),
    /// Outcome of [`RecordMoves`](crate::ControlCommand::RecordMoves): the number of records that
    /// were added, zero if the batch was skipped as a resend.
    Moves(u32),
    /// The entry was applied before. The state is unchanged.
    AlreadyApplied,
}

/// Outcome of a profile change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProfileOutcome {
    /// The change was accepted as a new revision of the profile.
    Accepted {
        /// Number of the new revision.
        revision: Revision,
    },
    /// The base is not the latest revision, usually because another change was accepted since.
    Conflict {
        /// The latest revision of the profile.
        winner: Revision,
        /// The operator who made the latest revision.
        operator: OperatorName,
        /// When the latest revision was made.
        at: WallTime,
    },
    /// The change is not acceptable, whatever its base.
    Refused(ProfileRefusal),
}

/// Why a profile change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ProfileRefusal {
    /// A field has a value outside its range.
    #[error("{field} is {value}; allowed is {allowed}")]
    Invalid {
        /// Section and field, joined by a dot.
        field: String,
        /// The refused value as TOML.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The base is not zero, but the profile does not exist.
    #[error("there is no profile of this name; a new profile has base revision 0")]
    NoSuchProfile,
    /// The change id was used before for a change with different content.
    #[error("the change id was used for another change")]
    ChangeIdTaken,
    /// The maximum of [`MAX_PROFILES`](crate::MAX_PROFILES) profiles is reached.
    #[error("there are {} profiles, which is the limit", crate::MAX_PROFILES)]
    TooManyProfiles,
}

impl From<FieldError> for ProfileRefusal {
    fn from(fault: FieldError) -> Self {
        Self::Invalid { field: fault.field, value: fault.value, allowed: fault.allowed }
    }
}

/// Outcome of a service registration or definition change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceOutcome {
    /// The definition is in force.
    Registered {
        /// Whether the registered definition was added or changed.
        changed: bool,
        /// Problems that operators should correct.
        warnings: Vec<ServiceWarning>,
    },
    /// The definition is not in force, because the service has live targets that have not
    /// announced it, or because it changes the key while there are live targets.
    Differs {
        /// Fields that differ from the registered definition.
        fields: Vec<DefinitionField>,
        /// Number of live targets that the change waits for.
        waiting_for: u32,
    },
    /// The maximum of [`MAX_SERVICES`](crate::MAX_SERVICES) services is reached.
    TooManyServices,
}

/// A reason why a definition that is in force may not work as its author expects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum ServiceWarning {
    /// The named profile does not exist. The `default` profile is in force instead.
    #[error("profile {named} does not exist; the shipped profile {used} is in force")]
    NoSuchProfile {
        /// The profile that the definition names.
        named: ProfileName,
        /// The profile that is in force.
        used: ProfileName,
    },
    /// Another service has the same route, so only one of the two gets requests.
    #[error("service {service} has the same route; the service whose name sorts first gets it")]
    SameRoute {
        /// Name of the other service.
        service: ServiceName,
    },
}

/// Outcome of a zone grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// The lease was granted.
    Granted {
        /// Term of the lease, larger than all terms before.
        term: TermNumber,
    },
    /// The maximum of [`MAX_ZONES`](crate::MAX_ZONES) zones is reached.
    TooManyZones,
    /// The term counter has reached its maximum.
    TermsExhausted,
}

/// Outcome of a delegation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DelegateOutcome {
    /// The delegation is in force.
    Delegated {
        /// Term of the delegation and of the slots that changed their zone.
        term: TermNumber,
        /// Number of slots that changed their zone.
        moved: u16,
    },
    /// Every slot is already delegated to the requested zone. No term was allocated.
    Unchanged {
        /// Term of the delegation in force.
        term: TermNumber,
    },
    /// The delegation was refused.
    Refused(DelegateRefusal),
}

/// Why a delegation is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum DelegateRefusal {
    /// The service is not registered.
    #[error("the service is not registered")]
    NoSuchService,
    /// The service has no key, so it has no slots.
    #[error("the service is not divided by key")]
    NotKeyed,
    /// The base is not the delegation in force.
    #[error("the base is not the delegation in force, which has term {current}")]
    StaleBase {
        /// Term of the delegation in force.
        current: TermNumber,
    },
    /// A slot is in no range, in more than one, or in a range that is out of order.
    #[error("the ranges do not cover slot {slot} exactly once in order")]
    NotCovered {
        /// The first such slot.
        slot: u16,
    },
    /// The term counter has reached its maximum.
    #[error("the term counter is exhausted")]
    TermsExhausted,
}

/// Outcome of storing a zone table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableOutcome {
    /// The table is stored, by this command or by an earlier one.
    Stored {
        /// Version of the stored table.
        version: TableVersion,
    },
    /// The table was refused.
    Refused(TableRefusal),
}

/// Why a zone table is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum TableRefusal {
    /// The zone's lease was granted under a later term, so the sender is no longer zone leader.
    #[error("the zone is granted with the later term {granted}")]
    OldTerm {
        /// Term of the latest grant of the zone.
        granted: TermNumber,
    },
    /// The zone was never granted under the table's term.
    #[error("the zone was not granted with the table's term")]
    NotGranted,
    /// A later version is stored, or the same version with different content.
    #[error("the log holds version {}.{} of the table", held.term, held.number)]
    OldVersion {
        /// Version of the stored table.
        held: TableVersion,
    },
    /// The table violates an invariant of [`ZoneTable`](gw_types::ZoneTable).
    #[error("{0}")]
    Malformed(TableRule),
}

/// An invariant of [`ZoneTable`](gw_types::ZoneTable) that readers rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum TableRule {
    /// Targets are sorted by name, without duplicates.
    #[error("targets are not sorted by name without duplicates")]
    TargetsSorted,
    /// Services are sorted by name, without duplicates.
    #[error("services are not sorted by name without duplicates")]
    ServicesSorted,
    /// Slot ranges are sorted, do not overlap, and are within the number of slots.
    #[error("slot ranges are not sorted without overlap below {}", gw_types::SLOT_COUNT)]
    RangesDisjoint,
    /// Overrides are sorted by key, without duplicates, and not more than allowed.
    #[error("overrides are not sorted without duplicates, at most {}", gw_types::MAX_OVERRIDES)]
    OverridesBounded,
}
