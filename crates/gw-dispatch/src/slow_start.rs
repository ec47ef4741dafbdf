use std::time::Duration;

use gw_types::Timestamp;

/// Initial share of work of a newly started target.
const INITIAL_SHARE: f64 = 0.1;

/// Linear growth of the share of work of a newly started target to its full size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    started_at: Timestamp,
    duration: Duration,
}

impl SlowStart {
    /// Creates the slow start of a target that started at `started_at` and has its full share after
    /// `duration`.
    pub const fn cold(started_at: Timestamp, duration: Duration) -> Self {
        Self { started_at, duration }
    }

    /// Creates the state of a target that already has its full share.
    pub const fn warm() -> Self {
        Self { started_at: Timestamp::ZERO, duration: Duration::ZERO }
    }

    /// Returns the share of work at `now`, above 0 and up to 1.
    pub fn share(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.started_at);
        if elapsed >= self.duration {
            return 1.0;
        }
        (elapsed.as_secs_f64() / self.duration.as_secs_f64()).max(INITIAL_SHARE)
    }

    /// Returns how many of `full` work slots are usable at `now`; at least 1.
    ///
    /// The first slot is usable at once and the last one after `duration * (full - 1) / full`.
    pub fn usable_slots(&self, now: Timestamp, full: u16) -> u16 {
        let usable = 1 + (self.share(now) * f64::from(full)) as u16;
        usable.min(full).max(1)
    }

    /// Returns when the next work slot becomes usable; `None` if all are usable at `now`.
    pub fn next_slot_at(&self, now: Timestamp, full: u16) -> Option<Timestamp> {
        let usable = self.usable_slots(now, full);
        if usable >= full {
            return None;
        }
        let step = self.duration.mul_f64(f64::from(usable) / f64::from(full));
        // The extra microsecond covers rounding, so that the slot is usable at the returned time.
        Some(self.started_at + step + Duration::from_micros(1))
    }
}
