use std::time::Duration;

/// Wait before the first repeat: a holder usually gets its grant within a few milliseconds of the
/// time at which the hosts learn that it holds the keys.
const FIRST_WAIT: Duration = Duration::from_millis(40);
/// Number of times that a request is sent again after a target has said that it does not hold the
/// key. With doubling waits they cover 280 ms, the time in which a leader that moves the keys of many
/// targets at once sends all of its orders.
const MAX_REPEATS: u32 = 3;

/// Repeats of a request that reached a target before the target was granted the request's key, or
/// after it had released it.
///
/// While keys move, hosts and targets learn of it at different times. The target has not executed the
/// request, so these attempts do not count as targets to which it was sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct MisdirectionRetry {
    repeats: u32,
}

impl MisdirectionRetry {
    /// Records that a target does not hold the key. Returns how long to wait before the request is
    /// sent again; `None` if it was sent again often enough.
    pub fn record(&mut self) -> Option<Duration> {
        if self.repeats >= MAX_REPEATS {
            return None;
        }
        let wait = FIRST_WAIT * 2_u32.pow(self.repeats);
        self.repeats += 1;
        Some(wait)
    }
}
