//! All state machines of one host behind a single step function.
//!
//! A [`NodeEvent`] goes into [`HostNode::step`], [`NodeAction`]s come out. The embedding program
//! supplies the time, messages, random seeds and I/O results, so the same code runs in the daemon
//! and in simulated time.
//!
//! Roles of a host:
//!
//! - A *control replica* holds a copy of the replicated control log. The leader of these replicas
//!   is the *control leader*; it grants zone leases and delegates slots to availability zones.
//! - An *entry host* accepts callers' requests and the announcements of targets. One entry host of
//!   each zone holds the zone's lease: the *zone leader*, which alone writes the *zone table* with
//!   the zone's targets and the owner of each slot and key.
//! - A *dispatcher* is the only host that may send requests to a target, under a lease that the
//!   zone leader grants.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod control_log;
mod control_proposals;
mod delegated_slots;
mod delegation_planner;
mod dispatch_plan;
mod dispatcher_assigner;
mod dispatcher_state;
mod entry_history;
mod host_heartbeats;
mod host_leadership;
mod host_messages;
mod host_node;
mod host_targets;
mod lease_manager;
mod move_audit;
mod node_action;
mod node_event;
mod node_options;
mod outbox;
mod peer_message;
mod table_replication;
mod table_store;
mod zone_leader;

pub use dispatch_plan::DispatchAssignment;
pub use dispatch_plan::DispatchPlan;
pub use dispatch_plan::DrainOrder;
pub use dispatch_plan::DrainScope;
pub use host_node::HostNode;
pub use node_action::CallRefusal;
pub use node_action::NodeAction;
pub use node_action::StatusChange;
pub use node_action::Transport;
pub use node_event::CallId;
pub use node_event::NodeEvent;
pub use node_event::TargetResult;
pub use node_options::NodeOptions;
pub use peer_message::HostHeartbeat;
pub use peer_message::LoadReport;
pub use peer_message::PeerMessage;
pub use peer_message::ProposalAnswer;
pub use peer_message::TableContent;
