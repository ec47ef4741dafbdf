use std::time::Duration;

use gw_types::Timestamp;

/// Age from which a processing time that a target has stated counts nothing: entry hosts report each
/// 0.3 s, and a slow phase may end at any time.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Weight of the newest report of a host. What a target states changes many times a second.
const NEWEST_WEIGHT: f64 = 0.3;

/// Processing time of a target as the target states it, from the reports of entry hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedPace {
    /// Average as a multiple of the usual time, and when the last report arrived.
    average: Option<(f64, Timestamp)>,
}

impl StatedPace {
    /// Records the processing time that a host reports, as a multiple of the usual one. Above 0.
    pub fn record(&mut self, now: Timestamp, pace: f64) {
        let known = self.average.filter(|(_, at)| now.since(*at) < MAX_AGE);
        let average = known.map_or(pace, |(average, _)| average + NEWEST_WEIGHT * (pace - average));
        self.average = Some((average, now));
    }

    /// Returns the relative speed of a target whose responses show the speed `measured`: the lower of
    /// that and the stated one. The measured one lags behind, but contains lasting differences between
    /// targets, which the stated one may not.
    pub fn limit(&self, now: Timestamp, measured: f64) -> f64 {
        let known = self.average.filter(|(_, at)| now.since(*at) < MAX_AGE);
        known.map_or(measured, |(average, _)| measured.min(1.0 / average))
    }
}
