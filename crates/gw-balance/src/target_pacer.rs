use std::time::Duration;

use gw_types::Timestamp;

/// How long a permit to send can be used. Hosts that were idle would otherwise all hold an unused
/// one and send at the same time.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Longest time between two permits, for limits close to 0.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);

/// Spaces this host's requests to a target that has named a limit on their rate.
///
/// Each of the hosts takes an equal part of the limit. It gets one permit in each interval, at a time
/// that differs between hosts, and a permit that is not used lapses. Two requests of one host are at
/// least one interval apart.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetPacer {
    interval: Duration,
    /// Start of the next permit, or of one that has lapsed since.
    next_at: Timestamp,
}

impl TargetPacer {
    /// Creates a pacer for one of `host_count` hosts. `phase`, from 0 to 1, should differ between
    /// them.
    pub(crate) fn new(now: Timestamp, per_second: f64, host_count: u32, phase: f64) -> Self {
        let interval = interval(per_second, host_count);
        Self { interval, next_at: now + interval.mul_f64(phase) }
    }

    /// Changes the limit or the number of hosts.
    pub(crate) fn set_rate(&mut self, now: Timestamp, per_second: f64, host_count: u32) {
        let interval = interval(per_second, host_count);
        if interval > self.interval {
            self.next_at = self.next_at + (interval - self.interval);
        } else {
            self.next_at = self.next_at.min(now + interval);
        }
        self.interval = interval;
    }

    /// Returns when the next request may be sent; `now` if that is now.
    pub(crate) fn next_permit(&self, now: Timestamp) -> Timestamp {
        if now <= self.next_at {
            return self.next_at;
        }
        let late = now.since(self.next_at).as_nanos();
        let interval = self.interval.as_nanos().max(1);
        let into_interval = nanoseconds(late % interval);
        if into_interval < PERMIT_LIFETIME {
            return now;
        }
        now + (self.interval - into_interval)
    }

    /// Returns the time between two requests.
    pub(crate) fn interval(&self) -> Duration {
        self.interval
    }

    /// Records that a request is sent.
    pub(crate) fn record_send(&mut self, now: Timestamp) {
        self.next_at = now + self.interval;
    }
}

fn interval(per_second: f64, host_count: u32) -> Duration {
    let seconds = f64::from(host_count.max(1)) / per_second;
    Duration::try_from_secs_f64(seconds).map_or(MAX_INTERVAL, |time| time.min(MAX_INTERVAL))
}

fn nanoseconds(count: u128) -> Duration {
    u64::try_from(count).map_or(Duration::MAX, Duration::from_nanos)
}
