use std::time::Duration;

use gw_types::Timestamp;

/// Time for which a lower number of hosts is not relied on. A new leader counts only the hosts that
/// have connected to it so far.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// Number of hosts among which limits are divided until the leader has reported one.
const UNKNOWN_COUNT: u32 = 16;

/// Number of entry hosts among which the limit of a target is divided.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostCount {
    /// 0 until a number is known.
    peak: u32,
    peak_seen_at: Timestamp,
}

impl HostCount {
    /// Records the number that the leader has reported.
    pub fn record(&mut self, now: Timestamp, count: u32) {
        if count >= self.peak || now.since(self.peak_seen_at) >= HOLD_TIME {
            self.peak = count;
            self.peak_seen_at = now;
        }
    }

    /// Returns the highest number of the last 10 s; `None` until one is known.
    pub fn peak(&self) -> Option<u32> {
        Some(self.peak).filter(|peak| *peak > 0)
    }

    /// Returns the number by which a limit of all hosts is divided: the highest of the last 10 s, or an
    /// assumed one until one is known.
    pub fn divisor(&self) -> u32 {
        self.peak().unwrap_or(UNKNOWN_COUNT)
    }
}
