//! All state machines of one host behind one step function.
//!
//! A [`NodeEvent`] goes into [`HostNode::step`], [`NodeAction`]s come out. The caller brings time,
//! messages, random seeds and the results of I/O, so that the same code runs in a daemon and in
//! virtual time.
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
