//! The state machine of the replicated control log: profiles, services, slot delegations, zone
//! grants, zone tables and the audit trail.
//!
//! [`ControlState::apply`] is deterministic: hosts that apply the same commands in the same order
//! have equal states with equal [snapshots](ControlState::snapshot). Every host holds the state.
//! Hosts without a control replica keep it current with a [`ControlLearner`].
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod audit_query;
mod audit_record;
mod audit_trail;
mod change_cache;
mod control_command;
mod control_learner;
mod control_outcome;
mod control_state;
mod control_view;
mod operator_name;
mod profile_change;
mod profile_store;
mod service_registry;
mod slot_delegation;
mod wall_time;
mod zone_store;
mod zone_table_check;

pub use audit_query::AuditPage;
pub use audit_query::AuditQuery;
pub use audit_record::AuditEvent;
pub use audit_record::AuditRecord;
pub use audit_record::MoveBatch;
pub use audit_record::MoveCause;
pub use audit_record::MoveRecord;
pub use audit_record::MoveScope;
pub use audit_trail::AUDIT_LIMIT;
pub use change_cache::CHANGE_CACHE_LIMIT;
pub use control_command::ControlCommand;
pub use control_command::ZoneRange;
pub use control_learner::ControlLearner;
pub use control_learner::EntryBatch;
pub use control_learner::LearnError;
pub use control_outcome::ControlOutcome;
pub use control_outcome::DelegateOutcome;
pub use control_outcome::DelegateRefusal;
pub use control_outcome::GrantOutcome;
pub use control_outcome::ProfileOutcome;
pub use control_outcome::ProfileRefusal;
pub use control_outcome::ServiceOutcome;
pub use control_outcome::ServiceWarning;
pub use control_outcome::TableOutcome;
pub use control_outcome::TableRefusal;
pub use control_outcome::TableRule;
pub use control_state::ControlState;
pub use control_state::SNAPSHOT_VERSION;
pub use control_state::SnapshotError;
pub use control_view::ControlView;
pub use control_view::EffectiveProfile;
pub use operator_name::OperatorName;
pub use operator_name::OperatorNameError;
pub use profile_change::ProfileChange;
pub use profile_store::HISTORY_LIMIT;
pub use profile_store::MAX_PROFILES;
pub use profile_store::ProfileRevision;
pub use service_registry::DefinitionField;
pub use service_registry::MAX_SERVICES;
pub use slot_delegation::DelegatedRange;
pub use slot_delegation::ExpiredZone;
pub use slot_delegation::SlotDelegation;
pub use wall_time::WallTime;
pub use zone_store::MAX_ZONES;
pub use zone_store::ZoneGrant;
