use gw_types::BootId;
use gw_types::ServiceName;
use gw_types::ZoneName;

/// Why the registry ignored a message about a target.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    /// The target belongs to another zone and is registered by the leader of that zone.
    #[error("the target belongs to zone {zone}")]
    OtherZone {
        /// Zone of the target.
        zone: ZoneName,
    },
    /// The target is registered for another service.
    #[error("the target is registered for service {registered}")]
    OtherService {
        /// Service that the target is registered for.
        registered: ServiceName,
    },
    /// A later run of the target is registered.
    #[error("a later run of the target is registered: {known}")]
    OldRun {
        /// Run that is registered.
        known: BootId,
    },
    /// A later announcement or traffic summary of the same run was processed before.
    #[error("a later message of the same run was processed before: {known}")]
    OldSequence {
        /// Sequence of the latest one.
        known: u64,
    },
    /// The run is not registered, so a full announcement has to come first.
    #[error("this run of the target is not registered")]
    UnknownRun,
    /// The message took the expiry or longer to arrive.
    #[error("the message is older than the expiry")]
    TooLate,
    /// The sender of a traffic summary is not the dispatcher of the target.
    #[error("the sender is not the target's dispatcher")]
    NotDispatcher,
    /// The registry holds the maximum number of targets, none of which is lost.
    #[error("the registry holds {limit} targets, which is the limit")]
    Full {
        /// Maximum number of targets.
        limit: usize,
    },
}
