use std::time::Duration;

/// Times and limits of a [`TargetRegistry`](crate::TargetRegistry).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryOptions {
    /// A target that neither renewed nor answered for this long is lost.
    pub expiry: Duration,
    /// Time from joining to a full share of work, for services without a value of their own.
    pub slow_start: Duration,
    /// Failures in a row, as the dispatcher sees them, after which a target is lost.
    pub failure_limit: u32,
    /// The same for a target whose health endpoint reports trouble as well. The endpoint alone
    /// moves nothing, because its values lag and mislead.
    pub unhealthy_failure_limit: u32,
    /// Time for which a target counts as overloaded after it said so.
    pub overload_duration: Duration,
    /// Time during which losses of a target are counted for damping.
    pub damping_window: Duration,
    /// Shortest wait of a damped target; it doubles with each further loss in the window.
    pub min_damping_wait: Duration,
    /// Longest wait of a damped target.
    pub max_damping_wait: Duration,
    /// Time for which a lost target's boot id is remembered, so that an earlier run that was frozen
    /// cannot take its place.
    pub lost_retention: Duration,
    /// Most targets of the zone, lost ones included. Bounds memory.
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
