use std::time::Duration;

/// Timing parameters of a [`crate::RangeGranter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GranterOptions {
    /// How long a target may serve a range after it receives a grant. A longer lease tolerates a
    /// longer loss of contact; a shorter one frees the keys of a lost target sooner.
    pub lease_duration: Duration,
    /// Time after a successful grant until it is renewed.
    pub renewal_interval: Duration,
    /// Delay before a failed order is retried.
    pub retry_interval: Duration,
    /// Largest fraction by which a target's clock may run slower than this host's clock.
    pub clock_drift: f64,
    /// Time between the announcement of a move and the release order, in which entry hosts learn of
    /// the move and stop sending requests for the range.
    pub release_delay: Duration,
    /// Longest delivery time of an order, in addition to the sender's own timeout.
    pub delivery_slack: Duration,
    /// Longest time after a new leader starts in which orders of earlier leaders may still arrive.
    pub takeover_slack: Duration,
    /// Time between two runs of the planner for a service.
    pub plan_interval: Duration,
}

impl Default for GranterOptions {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(5),
            renewal_interval: Duration::from_millis(1_000),
            retry_interval: Duration::from_millis(300),
            clock_drift: 0.02,
            release_delay: Duration::from_millis(30),
            delivery_slack: Duration::from_millis(100),
            takeover_slack: Duration::from_secs(1),
            plan_interval: Duration::from_millis(250),
        }
    }
}

impl GranterOptions {
    /// Returns the longest time, on this host's clock, for which a target may serve keys after a
    /// grant: the lease duration with clock drift and delivery time.
    pub fn worst_case_lease_duration(&self) -> Duration {
        self.lease_duration.mul_f64(1.0 + self.clock_drift) + self.delivery_slack
    }
}
