use std::time::Duration;

/// Length of a zone lease and of a promise.
pub const ZONE_LEASE: Duration = Duration::from_millis(1_500);
/// Interval between renewals of a zone lease and of its promises.
pub const ZONE_RENEWAL: Duration = Duration::from_millis(500);
/// Length of a dispatcher lease.
pub const DISPATCHER_LEASE: Duration = Duration::from_millis(1_000);
/// Interval between renewals of a dispatcher lease.
pub const DISPATCHER_RENEWAL: Duration = Duration::from_millis(300);

const FIXED_MARGIN: Duration = Duration::from_millis(100);
const MARGIN_DIVISOR: u32 = 100;

/// Returns what a grantor adds to `interval` because the holder's clock may run slower: 100 ms plus
/// 1%.
///
/// Covers clocks whose rates differ by at most 1% from each other.
pub fn drift_margin(interval: Duration) -> Duration {
    FIXED_MARGIN + interval / MARGIN_DIVISOR
}

/// Length and renewal interval of leases. All hosts of the system use the same values.
#[derive(Clone, Copy, Debug)]
pub struct LeaseOptions {
    /// Length of a lease.
    pub lease: Duration,
    /// Interval between renewals.
    pub renewal: Duration,
    /// Faults injected by tests; none in production.
    #[doc(hidden)]
    pub faults: TestFaults,
}

impl LeaseOptions {
    /// Options of zone leases and promises.
    pub fn zone() -> Self {
        Self { lease: ZONE_LEASE, renewal: ZONE_RENEWAL, faults: TestFaults::default() }
    }

    /// Options of dispatcher leases.
    pub fn dispatcher() -> Self {
        Self { lease: DISPATCHER_LEASE, renewal: DISPATCHER_RENEWAL, ..Self::zone() }
    }

    /// Returns `interval` plus its drift margin.
    pub(crate) fn with_margin(&self, interval: Duration) -> Duration {
        if self.faults.no_drift_margin {
            return interval;
        }
        interval + drift_margin(interval)
    }
}

/// Faults with which tests show that their checks detect each of them.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default)]
pub struct TestFaults {
    /// A candidate takes over with the grant of the control group alone.
    pub takeover_without_promises: bool,
    /// A restarted host promises without waiting.
    pub promise_after_restart: bool,
    /// Grantors add no drift margin.
    pub no_drift_margin: bool,
    /// Promises extend an expired hold.
    pub resume_by_promises: bool,
    /// The control leader does not wait until the current lease has expired.
    pub grant_while_held: bool,
    /// A dispatcher measures its lease from the receipt of the grant.
    pub count_from_receipt: bool,
}
