use std::time::Duration;

use gw_ranges::RangeHolder;

/// Requests of one entry host that a target answered without failure, or turned away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredRequests {
    /// Run of the target that answered.
    pub holder: RangeHolder,
    /// Number of requests that it answered.
    pub count: u32,
    /// Sum of their response times. The time of an outlier is capped at a multiple of the average.
    pub total: Duration,
    /// Number of requests that it turned away and asked for rest.
    pub rests: u32,
    /// Remaining time of that rest.
    pub rest: Duration,
}
