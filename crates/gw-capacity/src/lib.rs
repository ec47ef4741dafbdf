//! Capacity benchmarks: how the state, network traffic and CPU time of each host role grow with the
//! number of hosts, targets and slots.
//!
//! [`Cluster`] runs the production state machine [`HostNode`](gw_node::HostNode) of all hosts in
//! one thread and in virtual time, and passes messages between them as encoded frames. Message and
//! byte counts are the same in each run with the same seed; CPU times are not.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod cluster;
mod cluster_layout;
mod event_cost;
mod host_counters;
mod host_loss;
mod host_role;
mod layout_measurement;
mod line_fit;
mod message_kind;
mod part_costs;
mod resident_memory;
mod seeded_random;
mod simulated_host;
mod slopes_report;
mod steady_state;
mod thread_clock;

pub use cluster::Cluster;
pub use cluster_layout::ClusterLayout;
pub use event_cost::ClusterEvent;
pub use event_cost::EventCost;
pub use event_cost::SteadyRate;
pub use event_cost::change_profile;
pub use event_cost::measure_event;
pub use event_cost::time_to_change_profile;
pub use event_cost::time_to_serve_again;
pub use event_cost::time_to_spread_report;
pub use host_counters::HostCounters;
pub use host_loss::HostReplacement;
pub use host_loss::time_to_replace_host;
pub use host_role::HostRole;
pub use layout_measurement::LayoutMeasurement;
pub use layout_measurement::MeasureOptions;
pub use layout_measurement::SpreadTimes;
pub use layout_measurement::measure_layout;
pub use layout_measurement::run_until_quiet;
pub use line_fit::LineFit;
pub use message_kind::MESSAGE_KINDS;
pub use message_kind::message_kind;
pub use part_costs::PartCost;
pub use part_costs::PartError;
pub use part_costs::dispatch_costs;
pub use part_costs::journal_costs;
pub use part_costs::table_costs;
pub use resident_memory::resident_bytes;
pub use seeded_random::SeededRandom;
pub use simulated_host::SimulatedHost;
pub use slopes_report::MeasuredValue;
pub use slopes_report::QuantityFit;
pub use slopes_report::SizeAxis;
pub use slopes_report::fit_values;
pub use slopes_report::measured_values;
pub use slopes_report::write_fits;
pub use slopes_report::write_table;
pub use slopes_report::write_values;
pub use steady_state::RoleRates;
pub use steady_state::measure_steady;
pub use thread_clock::ThreadClock;
