//! Control hosts: replicas of the control log, calls of targets and operators, key ranges.

mod call_flow;
mod control_host;
mod fleet_log;
mod group_keeper;
mod link_keeper;
mod order_flow;
mod range_keeper;
mod replica_driver;
mod replica_identity;
mod run_control;
mod target_watch;

pub(crate) use run_control::run_control;
