//! Runtime of entry and control hosts: sockets, storage, settings, logs and metrics for the state
//! machines of `gw-node`.
//!
//! The traffic side, [`entry::run`], serves the listeners of an entry host and forwards requests
//! between callers, other hosts and targets. It runs apart from the control thread and has two
//! interfaces with it: [`control::ControlHandle`] passes events from the traffic side to the
//! control thread, and [`TrafficState`] passes routes, dispatch plans, profiles and drains to the
//! traffic side.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod boot_clock;
pub mod control;
pub mod dispatch;
pub mod entry;
pub mod forward;
mod http;
mod listen;
mod logging;
mod metrics;
pub mod operators;
pub mod process;
pub mod records;
pub mod settings;
mod shutdown;
mod traffic;

pub use boot_clock::BootClock;
pub use http::is_final_status;
pub use http::remove_hop_fields;
pub use listen::ApiFuture;
pub use listen::ApiReply;
pub use listen::ApiRequest;
pub use listen::OperatorApi;
pub use listen::ReadyState;
pub use logging::LoggingError;
pub use logging::start_logging;
pub use metrics::TrafficMetrics;
pub use shutdown::ShutdownHandle;
pub use shutdown::ShutdownPhase;
pub use shutdown::watch_signals;
pub use traffic::ClaimOutcome;
pub use traffic::ProfileTable;
pub use traffic::RecordClaim;
pub use traffic::RecordDecision;
pub use traffic::RecordFuture;
pub use traffic::RecordStore;
pub use traffic::RequestKeyError;
pub use traffic::RouteChoice;
pub use traffic::TrafficState;
pub use traffic::UnavailableRecords;
pub use traffic::choose_route;
