use std::time::Duration;

use gw_types::Timestamp;

/// Half-life of a request's weight. Long enough that a few outliers move no keys, short enough that
/// keys move away within seconds from a target that becomes slow.
pub(crate) const HALF_LIFE: Duration = Duration::from_secs(3);
/// Smallest total weight of requests for an estimate; with fewer, the estimate is mostly noise.
const MIN_REQUESTS: f64 = 4.0;
/// Time in which the estimate takes over half of an increase. When a hot key arrives, response
/// times rise at once, while the response rate, which tells queueing from slow processing, follows
/// later.
const INCREASE_HALF_TIME: Duration = Duration::from_secs(4);
/// Bisection steps of the search for the processing time.
const BISECTION_STEPS: u32 = 24;

/// Estimates the time that a target needs to process one request, from the responses that all entry
/// hosts observe.
///
/// The response time exceeds the processing time when requests queue at the target, so the estimate
/// is derived from the response time and the response rate together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessingTimeEstimator {
    /// Decayed sum of response times, in seconds.
    seconds: f64,
    /// Decayed number of requests.
    requests: f64,
    /// Processing time of one request in seconds; `None` until enough requests are known.
    estimate: Option<f64>,
    updated_at: Timestamp,
}

impl ProcessingTimeEstimator {
    /// Records `requests` answered requests with the summed response time `total`, at a target that
    /// processes `slots` requests concurrently.
    pub fn record(&mut self, now: Timestamp, requests: u32, total: Duration, slots: u16) {
        let age = now.since(self.updated_at);
        let weight = decay(age, HALF_LIFE);
        self.seconds = self.seconds * weight + total.as_secs_f64();
        self.requests = self.requests * weight + f64::from(requests);
        self.updated_at = now;
        if self.requests < MIN_REQUESTS {
            return;
        }
        let current = self.current_estimate(slots);
        let previous = self.estimate.unwrap_or(current);
        let retained = if current > previous { decay(age, INCREASE_HALF_TIME) } else { 0.0 };
        self.estimate = Some(current + (previous - current) * retained);
    }

    /// Returns the processing time of one request in seconds; `None` if there were too few recent
    /// requests.
    pub fn processing_time(&self, now: Timestamp) -> Option<f64> {
        self.estimate.filter(|_| self.recent_requests(now) >= MIN_REQUESTS)
    }

    /// Returns when answered requests were last recorded.
    pub fn recorded_at(&self) -> Timestamp {
        self.updated_at
    }

    /// Returns the number of recent requests, each weighted by its age.
    pub fn recent_requests(&self, now: Timestamp) -> f64 {
        self.requests * decay(now.since(self.updated_at), HALF_LIFE)
    }

    fn current_estimate(&self, slots: u16) -> f64 {
        let response_time = self.seconds / self.requests;
        let slots = f64::from(slots.max(1));
        let rate = self.requests * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        // At utilization u, a request with processing time w is answered after about
        // w / (1 - u ^ slots). This grows with w, so w is found by bisection.
        let (mut low, mut high) = (0.0, response_time.min(slots / rate));
        for _ in 0..BISECTION_STEPS {
            let estimate = (low + high) / 2.0;
            let utilization = rate * estimate / slots;
            let is_too_low = estimate / (1.0 - utilization.powf(slots)) < response_time;
            (low, high) = if is_too_low { (estimate, high) } else { (low, estimate) };
        }
        low
    }
}

/// Returns the fraction that remains after `age` of exponential decay with `half_life`.
pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
