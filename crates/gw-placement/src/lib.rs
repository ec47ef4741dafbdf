//! Assignment of slots and keys to targets, handover and moves.
//!
//! A zone leader holds one [`ZonePlacement`]. It plans with [`plan_assignment`], moves slots and keys
//! through [`SlotHandover`] and publishes each change as a [`TableDelta`]. A [`MovePlanner`]
//! proposes moves from observed load; the control leader divides slots among zones with
//! [`plan_delegation`].
//!
//! # What the placement relies on
//!
//! - The holder of the zone's lease alone drives it, and a dispatcher uses a table version only
//!   once it is acknowledged.
//! - A dispatcher that answered a drain request sends nothing for its slots to that target under
//!   any table of the same term with a lower token, and counts a request that it abandoned as in
//!   flight until its deadline.
//! - A target that checks tokens refuses, after a restart, slots that it was not granted anew.
//! - A dispatcher uses a lease only under the table version that the grant requires or a later one.
//! - A dispatcher is replaced only under the rule of `gw_lease::DispatcherGrantor`.
//!
//! # Why a key has at most one owner
//!
//! 1. A slot or key is in the table once. It loses its owner, under a higher token, when a handover
//!    begins, and gets the next one only when the handover is safe.
//! 2. A handover is safe when the dispatcher of the old owner has confirmed. It then voids claims
//!    below the revocation's token, so a stale table does no harm. A dispatcher that restarted does
//!    not know what its earlier run sent, so its answer counts only once that run's last deadline
//!    must have passed.
//! 3. Without a confirmation, the dispatcher's lease and the longest deadline must pass, counted by
//!    the zone leader with the drift margin. The bound grows with each renewal of the lease, since
//!    the dispatcher may not have received the revocation.
//! 4. A new zone leader knows old owners that its table names, and bounds them by one lease and the
//!    longest deadline from its start. For a subject without owner it waits equally long. Its own
//!    grants do not extend that wait: they require a table in which the subject has no owner.
//! 5. Slots come from another zone only when the delegation says that they are ready. Slots leave
//!    the table only after every key that was split off from them.
//!
//! Tokens grow because each counter begins above every token of its term that the adopted table
//! holds, and because a grant of an earlier leader is in use only after it was acknowledged, so that
//! the next leader's table holds it.
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
