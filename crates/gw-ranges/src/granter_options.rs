use std::time::Duration;

/// Settings of a [`crate::RangeGranter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GranterOptions {
    /// How long a target may serve keys after a grant. Long holds bridge the loss of contact, short
    /// ones bring the keys of a lost target back sooner.
    pub lease_duration: Duration,
    /// Time between two grants of the same range to its holder.
    pub renewal_interval: Duration,
    /// Time until an order that failed is sent again.
    pub retry_interval: Duration,
    /// How much slower than this host's clock a target's clock may run, as a share.
    pub clock_drift: f64,
    /// Time between the announcement of a move and the release, in which hosts stop sending.
    pub release_delay: Duration,
    /// Longest time between sending an order and its arrival, beyond the sender's own timeout.
    pub delivery_slack: Duration,
    /// Longest time after the start of a leader in which orders of an earlier leader arrive.
    pub takeover_slack: Duration,
    /// Time between two plans for a service.
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
    /// Longest time for which a target serves keys after an order arrived, on this host's clock.
    pub fn max_lease_duration(&self) -> Duration {
        self.lease_duration.mul_f64(1.0 + self.clock_drift) + self.delivery_slack
    }
}
