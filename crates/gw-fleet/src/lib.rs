//! Replicated state of the gateway: configuration, targets, key ranges, replicas.
//!
//! [`FleetState`] is built by applying [`FleetCommand`]s in the order of the control log. Replicas
//! and entry hosts hold the same state; entry hosts follow as learners and leave out the
//! configuration's document, which only operators read.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod departed_target;
mod fleet_command;
mod fleet_state;
mod replica_plan;
mod replica_record;
mod stored_config;
mod target_record;

pub use departed_target::DepartedTarget;
pub use departed_target::DepartureCause;
pub use fleet_command::FleetCommand;
pub use fleet_command::FleetOutcome;
pub use fleet_state::FleetState;
pub use fleet_state::SnapshotError;
pub use replica_plan::ReplicaView;
pub use replica_plan::lost_replica;
pub use replica_record::ReplicaRecord;
pub use stored_config::StoredConfig;
pub use target_record::TargetPhase;
pub use target_record::TargetRecord;
