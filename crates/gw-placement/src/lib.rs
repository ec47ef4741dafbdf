//! Assignment of slots and keys to targets, and their handover from one target to another.
//!
//! A zone leader holds one [`ZonePlacement`], which records the owner and the fencing token of each
//! slot and of each key with an override. It assigns slots by the rule of [`plan_assignment`],
//! moves slots and keys through [`SlotHandover`] and publishes each change as a [`TableDelta`]. A
//! [`MovePlanner`] proposes moves from observed load. The control leader divides the slots of a
//! service among zones with [`plan_delegation`].
//!
//! # Assumptions
//!
//! - Only the holder of the zone lease changes the placement, and a dispatcher uses a table version
//!   only after that version is acknowledged.
//! - A dispatcher that has answered a drain request sends nothing for the drained slots or key to
//!   that target under any table of the same term with a lower token. It counts a request that it
//!   abandoned as in flight until the deadline of the request.
//! - After a restart, a target that checks tokens refuses slots that it has not been granted again.
//! - A dispatcher uses a lease only under the table version that the grant requires or a later one.
//! - A dispatcher is replaced only under the rules of `gw_lease::DispatcherGrantor`.
//!
//! # A key has at most one owner
//!
//! 1. The table lists a slot or key once. When a handover begins, the slot or key loses its owner
//!    under a higher token. It gets the next owner only when the handover is safe.
//! 2. A handover is safe when the dispatcher of the old owner has confirmed it. From then on the
//!    dispatcher ignores ownership under tokens below that of the revocation, so a stale table has
//!    no effect. A restarted dispatcher does not know what its earlier boot sent, so its
//!    confirmation counts only when the last deadline of that boot must have passed.
//! 3. Without a confirmation, the lease of the dispatcher and the longest deadline must pass,
//!    measured by the zone leader with the drift margin. This bound grows with each renewal of the
//!    lease, because the dispatcher may not have received the revocation.
//! 4. A new zone leader knows the old owners that its table names, and bounds them by one lease and
//!    the longest deadline from its start. For slots and keys without an owner it waits equally
//!    long. Its own grants do not extend that wait: they require a table in which these slots and
//!    keys have no owner.
//! 5. Slots of another zone are added only when the delegation marks them as ready. Slots are
//!    removed from the table only after every override of their keys.
//!
//! Tokens never decrease: each counter starts above every token of its term in the adopted table,
//! and a grant of an earlier leader is used only after it was acknowledged, so that the table of
//! the next leader contains its token.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod churn_budget;
mod drain_done;
mod drain_request;
mod handover_subject;
mod key_counter;
mod move_planner;
mod override_table;
mod placement_grants;
mod placement_handovers;
mod placement_options;
mod placement_targets;
mod plan_assignment;
mod plan_delegation;
mod planned_move;
mod send_bound;
mod service_delta;
mod service_view;
mod slot_balance;
mod slot_delegation;
mod slot_handover;
mod slot_ranges;
mod table_delta;
mod target_change;
mod token_counter;
mod zone_placement;

pub use churn_budget::ChurnBudget;
pub use drain_done::DrainDone;
pub use drain_request::DrainRequest;
pub use handover_subject::HandoverId;
pub use handover_subject::HandoverSubject;
pub use key_counter::KeyCounter;
pub use key_counter::KeyLoad;
pub use move_planner::MAX_SLOTS_PER_MINUTE;
pub use move_planner::MovePlanner;
pub use override_table::OverrideError;
pub use override_table::OverrideTable;
pub use placement_options::PlacementFaults;
pub use placement_options::PlacementOptions;
pub use plan_assignment::OwnedRange;
pub use plan_assignment::WeightedTarget;
pub use plan_assignment::plan_assignment;
pub use plan_delegation::WeightedZone;
pub use plan_delegation::ZoneRange;
pub use plan_delegation::plan_delegation;
pub use planned_move::PlannedMove;
pub use send_bound::SendBound;
pub use service_delta::DeltaRange;
pub use service_delta::ServiceDelta;
pub use service_view::ServiceView;
pub use slot_delegation::SlotDelegation;
pub use slot_handover::HandoverPurpose;
pub use slot_handover::HandoverState;
pub use slot_handover::SlotHandover;
pub use table_delta::DeltaError;
pub use table_delta::TableDelta;
pub use target_change::TargetChange;
pub use token_counter::TokenCounter;
pub use zone_placement::MoveError;
pub use zone_placement::ZonePlacement;
