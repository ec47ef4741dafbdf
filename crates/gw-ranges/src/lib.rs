//! Key ranges: ownership table, leases of holders, planning of moves.
//!
//! A service that is divided by key has a [`RangeTable`]: who holds which keys, under which fencing
//! token. The table is replicated. The leader of the control group runs a [`RangeGranter`] over it,
//! which grants ranges to targets, renews the grants, and moves ranges: it marks the move, releases
//! the old holder, waits until the old holder cannot serve the keys any more, and assigns them.
//! [`plan_moves`] decides which ranges should move. Everything here is pure.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod granter_options;
mod heat_map;
mod holder_share;
mod key_range;
mod processing_time_estimator;
mod range_command;
mod range_granter;
mod range_holder;
mod range_lease;
mod range_plan;
mod range_table;
mod target_order;

pub use granter_options::GranterOptions;
pub use heat_map::HeatMap;
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
pub use target_order::OrderKind;
pub use target_order::OrderOutcome;
pub use target_order::TargetOrder;
