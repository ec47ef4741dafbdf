//! Control hosts: replicate the control log, serve calls of targets and operators, and grant key
//! ranges to targets.

mod call_body;
mod call_handler;
mod cold_targets;
mod control_host;
mod fleet_log;
mod granter_set;
mod group_membership;
mod journal_slot;
mod order_delivery;
mod peer_links;
mod recovered_fleet;
mod replica_driver;
mod replica_identity;
mod replica_journal;
mod run_control;
mod target_monitor;

pub(crate) use run_control::run_control;
