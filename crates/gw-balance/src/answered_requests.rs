use std::time::Duration;

use gw_ranges::RangeHolder;

/// Requests of one entry host that a target answered without failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredRequests {
    /// Run of the target that answered.
    pub holder: RangeHolder,
    /// Number of requests. Above 0.
    pub count: u32,
    /// Sum of their response times. The time of an outlier is capped at a multiple of the average.
    pub total: Duration,
}
