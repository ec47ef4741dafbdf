use std::time::Duration;

use gw_types::Timestamp;

/// Average time that new connections take from which this host's link counts as congested. Without a
/// queue at the link they take a few milliseconds.
const CONGESTED_SECONDS: f64 = 0.2;
/// Weight of the newest connection in the average. A single one may have met a busy target.
const NEWEST_WEIGHT: f64 = 0.125;
/// Shortest time between two reductions: the effect of one shows once requests have left.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(300);
/// Factor of a reduction.
const REDUCTION_FACTOR: f64 = 0.8;
/// Increase of the limit over as many uncongested connections as the limit has requests.
const INCREASE: f64 = 4.0;
/// Smallest limit, so that connections are still opened and show when the congestion has ended.
const MIN_LIMIT: f64 = 8.0;
/// Limit from which the link does not matter.
const MAX_LIMIT: f64 = 1_000.0;
/// Time after the last request of another host for which the limit holds.
const RELAYING_TIME: Duration = Duration::from_secs(1);

/// Limit on the requests that a host has in flight while it relays for others, so that its link
/// carries them without a queue.
///
/// A few hosts may relay for all others, far more than their links carry. With a queue at the link,
/// requests end late instead of being refused at once, and new connections take so long that the
/// host seems to have lost its own path to targets. The limit falls as soon as new connections take
/// long, and grows slowly while they do not and it is used. It holds for requests of this host's own
/// callers too: callers are served alike, whichever host they use.
#[derive(Clone, Debug)]
pub struct RelayLimit {
    /// Between [`MIN_LIMIT`] and [`MAX_LIMIT`].
    limit: f64,
    in_flight: usize,
    /// Average time that new connections take.
    connect_seconds: f64,
    reduced_at: Option<Timestamp>,
    /// When the last request of another host arrived.
    relayed_at: Option<Timestamp>,
}

impl Default for RelayLimit {
    fn default() -> Self {
        let (reduced_at, relayed_at) = (None, None);
        Self { limit: MAX_LIMIT, in_flight: 0, connect_seconds: 0.0, reduced_at, relayed_at }
    }
}

impl RelayLimit {
    /// Records that a connection to a target was opened in `elapsed`. Returns whether that has reduced
    /// the limit. Failures do not count: they tell of the target as likely as of the link.
    pub fn record_connect(&mut self, now: Timestamp, elapsed: Duration) -> bool {
        self.connect_seconds += NEWEST_WEIGHT * (elapsed.as_secs_f64() - self.connect_seconds);
        if self.connect_seconds < CONGESTED_SECONDS {
            if self.in_flight as f64 * 2.0 >= self.limit {
                self.limit = (self.limit + INCREASE / self.limit).min(MAX_LIMIT);
            }
            return false;
        }
        let is_due = self.reduced_at.is_none_or(|at| now.since(at) >= REDUCTION_INTERVAL);
        if !is_due || !self.is_relaying(now) {
            return false;
        }
        let used = self.limit.min(self.in_flight as f64);
        self.limit = (used * REDUCTION_FACTOR).max(MIN_LIMIT);
        self.reduced_at = Some(now);
        true
    }

    /// Counts a request as in flight, of another host if `is_relayed`. Returns `false`, without counting
    /// it, if the limit is reached.
    pub fn try_enter(&mut self, now: Timestamp, is_relayed: bool) -> bool {
        if is_relayed {
            self.relayed_at = Some(now);
        }
        let may_enter = !self.is_relaying(now) || ((self.in_flight + 1) as f64) <= self.limit;
        self.in_flight += usize::from(may_enter);
        may_enter
    }

    /// Records that a request that was counted has ended.
    pub fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the largest number of requests in flight.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    fn is_relaying(&self, now: Timestamp) -> bool {
        self.relayed_at.is_some_and(|at| now.since(at) < RELAYING_TIME)
    }
}
