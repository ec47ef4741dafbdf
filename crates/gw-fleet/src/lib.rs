//! Replicated state of the gateway: configuration, targets, key ranges and replicas.
//!
//! [`FleetState`] is the state machine of the control log: it applies [`FleetCommand`]s in log
//! order. Replicas and entry hosts hold the same state. Entry hosts follow as learners and omit the
//! document of the configuration, which only operators read.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod control_choice;
mod departed_target;
mod departure_reason;
mod fault_tolerance;
mod fleet_command;
mod fleet_state;
mod format_version;
mod learned_state;
mod recent_run;
mod replica_record;
mod run_replacements;
mod seat_policy;
mod seat_view;
mod state_additions;
mod state_fetch;
mod stored_config;
mod target_record;
mod vote_change;
mod zone_evacuation;

pub use control_choice::ControlChoice;
pub use departed_target::DepartedTarget;
pub use departed_target::DepartureCause;
pub use fault_tolerance::FaultTolerance;
pub use fleet_command::FleetCommand;
pub use fleet_command::FleetOutcome;
pub use fleet_state::FleetState;
pub use fleet_state::SnapshotError;
pub use format_version::FormatVersion;
pub use learned_state::LearnOutcome;
pub use learned_state::LearnedState;
pub use replica_record::ReplicaRecord;
pub use run_replacements::RunReplacements;
pub use seat_policy::SeatPolicy;
pub use seat_view::SeatView;
pub use state_fetch::LinkProgress;
pub use state_fetch::StateFetch;
pub use stored_config::StoredConfig;
pub use target_record::TargetPhase;
pub use target_record::TargetRecord;
pub use vote_change::VoteChange;
pub use zone_evacuation::ZoneEvacuation;
