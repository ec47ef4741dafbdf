//! Ownership of key ranges: the replicated table, leases and load balancing.
//!
//! Each service that is partitioned by key has a replicated [`RangeTable`], which maps every key to
//! its holder and the holder's fencing token. The leader of the control group runs one
//! [`RangeGranter`] per service. It grants leases on ranges to targets, renews them, and moves
//! ranges: it announces the move, tells the old holder to release the keys, waits until that holder
//! can no longer serve them, and assigns them to the new holder. [`plan_moves`] decides which
//! ranges move. The crate does no I/O and reads no clock: callers pass in the current time.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod acceptance_estimator;
mod decayed_counts;
mod evacuation_pace;
mod failing_holders;
mod granter_options;
mod holder_share;
mod key_range;
mod processing_time_estimator;
mod range_command;
mod range_granter;
mod range_holder;
mod range_lease;
mod range_plan;
mod range_table;
mod stated_pace;
mod step_pacer;
mod target_order;

pub use acceptance_estimator::AcceptanceEstimator;
pub use decayed_counts::DecayedCounts;
pub use granter_options::GranterOptions;
pub use holder_share::HolderShare;
pub use holder_share::overloaded_holders;
pub use key_range::KeyRange;
pub use processing_time_estimator::ProcessingTimeEstimator;
pub use range_command::RangeCommand;
pub use range_command::RangeTransfer;
pub use range_granter::GranterAction;
pub use range_granter::RangeGranter;
pub use range_holder::HolderStatus;
pub use range_holder::RangeCandidate;
pub use range_holder::RangeHolder;
pub use range_plan::plan_moves;
pub use range_table::RangeAssignment;
pub use range_table::RangeTable;
pub use stated_pace::StatedPace;
pub use step_pacer::StepPacer;
pub use target_order::OrderKind;
pub use target_order::OrderOutcome;
pub use target_order::TargetOrder;
