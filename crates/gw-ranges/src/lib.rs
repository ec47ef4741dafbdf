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
mod key_range;
mod overload_plan;
mod range_command;
mod range_granter;
mod range_holder;
mod range_lease;
mod range_plan;
mod range_table;
mod target_order;
mod work_meter;

pub use granter_options::GranterOptions;
pub use heat_map::HeatMap;
pub use key_range::KeyRange;
pub use overload_plan::HolderShare;
pub use overload_plan::overloaded_holders;
pub use range_command::RangeCommand;
pub use range_command::RangeTransfer;
pub use range_granter::GranterAction;
pub use range_granter::RangeGranter;
pub use range_holder::HolderStanding;
pub use range_holder::RangeCandidate;
pub use range_holder::RangeHolder;
pub use range_plan::plan_moves;
pub use range_table::RangeAssignment;
pub use range_table::RangeTable;
pub use target_order::OrderKind;
pub use target_order::OrderOutcome;
pub use target_order::TargetOrder;
pub use work_meter::WorkMeter;
