use std::time::Duration;

use gw_types::Timestamp;

use crate::processing_time_estimator::HALF_LIFE;
use crate::processing_time_estimator::decay;

/// Time after the last request that was turned away for which the lowest estimate is kept. Without
/// keys a target gets no requests that would show that it takes them again.
const MEMORY: Duration = Duration::from_secs(10);

/// Estimates which fraction of the requests for its keys a target takes, while it turns requests
/// away and asks the hosts that sent them for rest.
///
/// A host sends nothing during a rest, so that few requests are turned away even if all would be.
/// The fraction of resting hosts is therefore taken into account as well.
#[derive(Clone, Debug, Default)]
pub struct AcceptanceEstimator {
    /// Decayed number of requests that were turned away.
    turned_away: f64,
    /// Ends of the rests that are not over, one for each resting host.
    rests: Vec<Timestamp>,
    /// When a request was last turned away; `None` if none ever was.
    last_refusal: Option<Timestamp>,
    /// Lowest fraction since the target started to turn requests away.
    lowest: f64,
}

impl AcceptanceEstimator {
    /// Records that the target has turned away `requests` of one of `host_count` hosts, which sends
    /// none for the time `rest`. `answered` is the number of requests that the target has answered
    /// recently, see [`ProcessingTimeEstimator::recent_requests`].
    ///
    /// [`ProcessingTimeEstimator::recent_requests`]: crate::ProcessingTimeEstimator::recent_requests
    pub fn record_turned_away(
        &mut self,
        now: Timestamp,
        requests: u32,
        rest: Duration,
        host_count: usize,
        answered: f64,
    ) {
        if !self.is_recent(now) {
            self.lowest = 1.0;
        }
        let age = self.last_refusal.map_or(Duration::ZERO, |at| now.since(at));
        self.turned_away = self.turned_away * decay(age, HALF_LIFE) + f64::from(requests);
        self.last_refusal = Some(now);
        self.rests.retain(|end| *end > now);
        self.rests.push(now + rest);
        let resting = (self.rests.len() as f64 / host_count.max(1) as f64).min(1.0);
        let taken = answered / (answered + self.turned_away).max(1.0);
        self.lowest = self.lowest.min((1.0 - resting) * taken);
    }

    /// Returns the fraction, from 0 to 1; 1 if no request was turned away recently.
    pub fn fraction(&self, now: Timestamp) -> f64 {
        if self.is_recent(now) { self.lowest } else { 1.0 }
    }

    fn is_recent(&self, now: Timestamp) -> bool {
        self.last_refusal.is_some_and(|at| now.since(at) < MEMORY)
    }
}
