use std::time::Duration;

use gw_lease::drift_margin;
use gw_types::Timestamp;

/// Time until which requests may be sent to a target and may run there, on the zone leader's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendBound {
    /// End of the latest lease granted to the dispatcher of the target.
    pub grant_until: Timestamp,
    /// Latest deadline of a request that the dispatcher may have sent.
    pub deadline_until: Timestamp,
}

impl SendBound {
    /// Creates the bound for a lease that ends at `grant_until` and requests with deadlines of at
    /// most `longest_deadline`.
    pub fn new(grant_until: Timestamp, longest_deadline: Duration) -> Self {
        Self { grant_until, deadline_until: grant_until + longest_deadline }
    }

    /// Returns the later of the two times for each field.
    pub fn max(self, other: Self) -> Self {
        Self {
            grant_until: self.grant_until.max(other.grant_until),
            deadline_until: self.deadline_until.max(other.deadline_until),
        }
    }

    /// Returns when no request can be sent or run any more, including the drift margin for the time
    /// since `since`, when the wait began.
    pub fn safe_at(self, since: Timestamp) -> Timestamp {
        let end = self.grant_until.max(self.deadline_until).max(since);
        end + drift_margin(end.since(since))
    }
}
