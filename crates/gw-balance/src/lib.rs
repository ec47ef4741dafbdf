//! Choice of targets and admission of requests on an entry host.
//!
//! Every entry host sends to targets directly. [`TargetPool`] holds what this host has learnt of
//! each target from its own requests: how long they take, how many are in flight, how many fail.
//! [`HolderThrottle`] lets only a part of the requests go to holders of keys that are asked for more than
//! they can run. [`RequestQueue`] holds requests for which no target has room yet, most urgent first.
//! Everything here is pure.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod answered_requests;
mod attempt_outcome;
mod holder_throttle;
mod preferred_targets;
mod request_queue;
mod target_pool;
mod target_view;

pub use answered_requests::AnsweredRequests;
pub use attempt_outcome::AttemptOutcome;
pub use holder_throttle::HolderThrottle;
pub use preferred_targets::PreferredTargets;
pub use request_queue::RequestQueue;
pub use request_queue::WaitingRequest;
pub use target_pool::HolderAvailability;
pub use target_pool::TargetPool;
pub use target_view::TargetView;
