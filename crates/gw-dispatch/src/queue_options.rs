use std::time::Duration;

use gw_profile::Profile;
use gw_profile::QueueOrder;
use gw_profile::ShedClass;

/// Settings of a [`TargetQueue`](crate::TargetQueue).
#[derive(Clone, Debug, PartialEq)]
pub struct QueueOptions {
    /// Maximum number of requests that the target runs at the same time; at least 1.
    pub work_slots: u16,
    /// Maximum number of waiting requests.
    pub queue_limit: usize,
    /// Order in which waiting requests start.
    pub order: QueueOrder,
    /// Classes in the order in which they are shed; classes not listed are shed last.
    pub shed_order: Vec<ShedClass>,
    /// Time over which the share of work of a newly started target grows to its full size.
    pub slow_start: Duration,
}

impl QueueOptions {
    /// Returns the settings of `profile` for a target with `work_slots`.
    pub fn from_profile(profile: &Profile, work_slots: u16) -> Self {
        Self {
            work_slots: work_slots.max(1),
            queue_limit: profile.refuse.queue_limit as usize,
            order: profile.refuse.queue_order,
            shed_order: profile.refuse.shed_order.clone(),
            slow_start: Duration::from_millis(u64::from(profile.spread.slow_start_ms)),
        }
    }
}
