//! Entry and control hosts that send to targets directly and grant them key ranges.
//!
//! Control hosts keep the replicated [`FleetState`](gw_fleet::FleetState): configuration, targets,
//! key ranges. Their leader grants the ranges. Entry hosts follow the state as learners, take
//! callers' requests and send them to targets. What is said on the wire to callers, targets and
//! operators is translated by an adapter behind [`ports::ProtocolAdapter`].
//!
//! Each process runs on one thread: its hosts have a fraction of one core.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod control;
mod entry;
mod http_server;
mod link;
mod log_output;
mod metrics_page;
pub mod ports;
mod process;
mod settings;
mod settings_watch;
mod targets;

pub use log_output::LogError;
pub use log_output::flush_log;
pub use log_output::start_log;
pub use process::RunError;
pub use process::run;
pub use settings::GatewaySettings;
pub use settings::SettingsError;
