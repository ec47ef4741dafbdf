use std::time::Duration;

/// Timeouts and limits of a [`TargetRegistry`](crate::TargetRegistry).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryOptions {
    /// Time without a renewal or an answer after which a target is lost.
    pub expiry: Duration,
    /// Time from joining until a target gets its full share of work, for services without a value
    /// of their own.
    pub slow_start: Duration,
    /// Number of consecutive failures at the dispatcher after which a target is lost.
    pub failure_limit: u32,
    /// The same for a target whose health endpoint reports trouble as well. The endpoint alone does
    /// not make a target lost, because its answers lag and can be wrong.
    pub unhealthy_failure_limit: u32,
    /// How long a target counts as overloaded after its latest report of overload.
    pub overload_duration: Duration,
    /// Time for which a loss counts for the damping of a target.
    pub damping_window: Duration,
    /// Wait after the first damped loss; doubles with each further loss in the window.
    pub min_damping_wait: Duration,
    /// Maximum wait of a damped target.
    pub max_damping_wait: Duration,
    /// How long the boot id of a lost target is kept, so that an earlier run that was suspended
    /// cannot register in its place.
    pub lost_retention: Duration,
    /// Maximum number of targets of the zone, including lost ones. Bounds memory.
    pub max_targets: usize,
}

impl Default for RegistryOptions {
    fn default() -> Self {
        Self {
            expiry: Duration::from_millis(1_500),
            slow_start: Duration::from_secs(5),
            failure_limit: 5,
            unhealthy_failure_limit: 3,
            overload_duration: Duration::from_secs(2),
            damping_window: Duration::from_secs(60),
            min_damping_wait: Duration::from_secs(1),
            max_damping_wait: Duration::from_secs(32),
            lost_retention: Duration::from_secs(600),
            max_targets: 4_096,
        }
    }
}
