use std::collections::VecDeque;
use std::time::Duration;

use gw_types::Timestamp;

/// Number of response times kept for a service, 16 bytes each. Five of them lie above the highest
/// quantile that is asked for, 0.98, so that a single one does not decide.
const MAX_SAMPLES: usize = 256;
/// Fewest response times from which a quantile is taken.
const MIN_SAMPLES: usize = 50;
/// Age from which a response time says nothing about the present load.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(60);
/// Age from which a quantile is computed anew. Sorting the response times for each request would
/// cost more than sending it.
const MAX_QUANTILE_AGE: Duration = Duration::from_millis(250);

/// Quantiles of the recent response times of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResponseQuantiles {
    /// Half of the responses take no longer.
    pub(crate) median: Duration,
    /// Nearly all responses take no longer.
    pub(crate) high: Duration,
}

/// Recent response times of one service.
///
/// Invariant: holds at most [`MAX_SAMPLES`] times, in the order in which they were recorded.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResponseTimes {
    samples: VecDeque<(Timestamp, Duration)>,
    /// The last result, the quantile asked for, and when it was computed.
    cached: Option<(Timestamp, f64, ResponseQuantiles)>,
}

impl ResponseTimes {
    /// Records a response time.
    pub(crate) fn record(&mut self, now: Timestamp, elapsed: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, elapsed));
    }

    /// Returns the median and the quantile `high`; `None` with too few recent response times.
    pub(crate) fn quantiles(&mut self, now: Timestamp, high: f64) -> Option<ResponseQuantiles> {
        if let Some((at, of, found)) = self.cached
            && of == high
            && now.since(at) < MAX_QUANTILE_AGE
        {
            return Some(found);
        }
        let recent = self.samples.iter().filter(|(at, _)| now.since(*at) < MAX_SAMPLE_AGE);
        let mut times: Vec<Duration> = recent.map(|(_, elapsed)| *elapsed).collect();
        times.sort_unstable();
        let quantile = |share: f64| times[((times.len() - 1) as f64 * share).ceil() as usize];
        let found = (times.len() >= MIN_SAMPLES)
            .then(|| ResponseQuantiles { median: quantile(0.5), high: quantile(high) });
        self.cached = found.map(|found| (now, high, found));
        found
    }
}
