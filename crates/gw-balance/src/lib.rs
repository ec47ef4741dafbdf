//! Choice of targets and admission of requests on an entry host.
//!
//! Every entry host sends to targets directly. [`TargetPool`] holds what this host has learnt of
//! each target from its own requests: how long they take, how many are in flight, how many fail.
//! [`HolderGate`] lets only a part of the requests go to holders of keys that are asked for more than
//! they can run. [`WaitingLine`] holds requests for which no target has room yet, most urgent first.
//! Everything here is pure.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod answered_runs;
mod holder_gate;
mod home_hosts;
mod run_end;
mod target_line;
mod target_pool;
mod waiting_line;

pub use answered_runs::AnsweredRuns;
pub use holder_gate::HolderGate;
pub use home_hosts::HomeHosts;
pub use run_end::RunEnd;
pub use target_line::TargetLine;
pub use target_pool::HolderPick;
pub use target_pool::TargetPool;
pub use waiting_line::WaitingLine;
pub use waiting_line::WaitingRequest;
