//! Replay of recorded traces through the dispatch and placement logic.
//!
//! [`replay`] is a discrete-event simulation: it feeds a trace in virtual time to the queues,
//! choosers and retry rules of `gw-dispatch`, with simulated targets behind them. It does not
//! simulate a cluster: there are no hosts' control messages, and the network model consists of
//! fixed delays and partitions of whole zones. Slots of keyed services are distributed evenly at
//! the start. The planner of `gw-placement` moves them by load, and a lost target's slots get new
//! owners after fixed delays.
//!
//! A trace is a CSV file with the columns `time_us,zone,service,key,kind,cost_us`: microseconds
//! since the start, the zone at which the request arrives, its service, its key (any number), its
//! kind (`lookup`, `scan` or `write`; only `write` is non-idempotent) and the time for which it
//! occupies a work slot of its target. Rows are sorted by time.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod event_queue;
mod generator;
mod idempotency_records;
mod load_reporting;
mod options;
mod outcome;
mod replay_engine;
mod replay_metrics;
mod request_state;
mod scenario;
mod simulated_target;
mod slot_owners;
mod trace;
mod zone_planners;

pub use generator::TraceShape;
pub use generator::generate;
pub use options::ReplayOptions;
pub use options::ReplayVariant;
pub use options::ReporterKind;
pub use options::SendingMode;
pub use options::load_report_variants;
pub use outcome::Outcome;
pub use outcome::outcome_csv;
pub use outcome::outcome_table;
pub use replay_engine::replay;
pub use scenario::Scenario;
pub use scenario::ScenarioFault;
pub use scenario::ScenarioService;
pub use scenario::TimedFault;
pub use trace::RequestKind;
pub use trace::Trace;
pub use trace::TraceEntry;
pub use trace::TraceError;
