//! Entry hosts and control hosts of the router.
//!
//! Control hosts replicate the [`FleetState`](gw_fleet::FleetState): routing configuration,
//! targets, and key ranges. Their leader grants key ranges to targets. Entry hosts follow that
//! state as non-voting learners, accept callers' requests and forward them directly to targets. An
//! adapter that implements [`ports::ProtocolAdapter`] translates between these types and what
//! callers, targets and operators send and receive.
//!
//! Each process runs on a single thread, because its host has only a fraction of a CPU core. Control
//! hosts write their journal on a second one, so that they go on while a sync takes long.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod callers;
mod control;
mod entry;
mod gateway_metrics;
mod http_server;
mod link;
mod log_output;
mod memory;
mod memory_bounds;
mod options;
mod options_file;
pub mod ports;
mod process;
mod settings;
mod settings_watch;
mod targets;
mod wall_clock;

pub use log_output::LogError;
pub use log_output::flush_log;
pub use log_output::start_log;
pub use options::GatewayOptions;
pub use options::HedgingOptions;
pub use options::OptionsError;
pub use options_file::OptionsFile;
pub use process::RunError;
pub use process::run;
pub use settings::GatewaySettings;
pub use settings::SettingsError;
