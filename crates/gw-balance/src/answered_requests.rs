use std::time::Duration;

use gw_ranges::RangeHolder;

/// Runs that a target answered without failure, as one host saw them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredRequests {
    /// The run of the target.
    pub holder: RangeHolder,
    /// How many. Above 0.
    pub count: u32,
    /// Their time to answer together. Runs that took much longer than usual count for less.
    pub total: Duration,
}
