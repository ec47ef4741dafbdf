//! Target selection, throttling and queueing of requests on an entry host.
//!
//! Every entry host sends requests to targets directly. [`TargetPool`] tracks each target by this
//! host's own requests: response times, requests in flight and failures. [`HolderThrottle`] limits
//! the requests to overloaded holders of keys. [`EvacuatedZones`] says from when on targets get
//! nothing because of their zone. [`RequestQueue`] holds requests that wait for a free
//! target, most urgent first. [`LinkPacer`] and [`TransferLoad`] keep large responses from filling
//! the host's link. [`PathMonitor`] tells whether the host has lost its path to targets, and
//! [`RelayTable`] and [`RelayPool`] choose the hosts that forward its requests meanwhile.
//! [`MemoryBudget`] bounds what a host holds for others and who is closed if it is exceeded, and
//! [`SentBytes`] what it has sent to one target. On the control leader, [`WarmthTable`] tells which
//! targets are cold, and [`ColdAllocator`] divides the requests that they sustain among the entry
//! hosts. The crate does no I/O and reads no clock: callers pass in the current time.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod answered_requests;
mod attempt_outcome;
mod cold_allocator;
mod cold_list;
mod cold_state;
mod connection_group;
mod evacuated_zones;
mod holder_throttle;
mod host_count;
mod limit_table;
mod link_pacer;
mod memory_budget;
mod memory_class;
mod memory_limits;
mod path_monitor;
mod preferred_targets;
mod relay_limit;
mod relay_pool;
mod relay_table;
mod reported_load;
mod request_queue;
mod sent_bytes;
mod service_targets;
mod target_pacer;
mod target_pool;
mod target_view;
mod transfer_load;
mod warm_up_limit;
mod warmth_table;

pub use answered_requests::AnsweredRequests;
pub use attempt_outcome::AttemptOutcome;
pub use cold_allocator::COLD_LEASE_TIME;
pub use cold_allocator::COLD_PERMIT_TIME;
pub use cold_allocator::ColdAllocator;
pub use cold_allocator::ColdBound;
pub use cold_list::ColdGrant;
pub use cold_list::ColdLease;
pub use cold_list::ColdList;
pub use connection_group::ConnectionGroup;
pub use evacuated_zones::EvacuatedZones;
pub use evacuated_zones::EvacuationChanges;
pub use evacuated_zones::LearningTime;
pub use holder_throttle::HolderThrottle;
pub use host_count::HostCount;
pub use limit_table::LimitTable;
pub use limit_table::TargetLimit;
pub use link_pacer::LinkPacer;
pub use memory_budget::ConnectionAnswer;
pub use memory_budget::ConnectionState;
pub use memory_budget::DemandAnswer;
pub use memory_budget::MemoryBudget;
pub use memory_budget::MemoryVerdict;
pub use memory_class::MemoryClass;
pub use memory_limits::MemoryLimits;
pub use path_monitor::PathMonitor;
pub use preferred_targets::PreferredTargets;
pub use relay_limit::RelayLimit;
pub use relay_pool::RelayPeer;
pub use relay_pool::RelayPool;
pub use relay_table::RelayHost;
pub use relay_table::RelayTable;
pub use reported_load::LoadUses;
pub use reported_load::ReportedLoad;
pub use request_queue::RequestQueue;
pub use request_queue::WaitingRequest;
pub use sent_bytes::SentBytes;
pub use target_pool::HolderAvailability;
pub use target_pool::TargetPool;
pub use target_view::TargetView;
pub use transfer_load::TransferLoad;
pub use warm_up_limit::WarmUpLimit;
pub use warmth_table::WarmthTable;
