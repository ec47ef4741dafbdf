use std::time::Duration;

use gw_types::Timestamp;

/// Time in which the weight of old runs halves. Long enough that a few odd runs move no keys, short
/// enough that a target that turns slow is relieved within seconds.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Weight of runs from which a time is worked out; with fewer, chance decides.
const LEAST_RUNS: f64 = 4.0;
/// Time in which half of a rise is taken over. Answers take longer at once when a hot key arrives,
/// while the rate of answers, which tells that from slow work, is known only after a while.
const RISE_HALF_TIME: Duration = Duration::from_secs(4);
/// Halvings of the interval in which the time is searched.
const SEARCH_STEPS: u32 = 24;

/// Runs of one target, as callers' hosts see them together.
///
/// An answer takes longer than the work when other requests wait at the target. What the target
/// needs for one run follows from the time to answer and the rate of answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessingTimeEstimator {
    /// Time to answer of recent runs in seconds, the older the less.
    seconds: f64,
    /// Number of recent runs, the older the less.
    runs: f64,
    /// Time in seconds that the target works on one run, once enough runs are known.
    work: Option<f64>,
    noted: Timestamp,
}

impl ProcessingTimeEstimator {
    /// Adds `runs` runs that took `total` together, at a target that runs `slots` at a time.
    pub fn record(&mut self, now: Timestamp, runs: u32, total: Duration, slots: u16) {
        let age = now.since(self.noted);
        let weight = halvings(age, HALF_LIFE);
        self.seconds = self.seconds * weight + total.as_secs_f64();
        self.runs = self.runs * weight + f64::from(runs);
        self.noted = now;
        if self.runs < LEAST_RUNS {
            return;
        }
        let newest = self.newest_work_time(slots);
        let known = self.work.unwrap_or(newest);
        let kept = if newest > known { halvings(age, RISE_HALF_TIME) } else { 0.0 };
        self.work = Some(newest + (known - newest) * kept);
    }

    /// Time in seconds that the target works on one run; `None` if too little is known.
    pub fn processing_time(&self, now: Timestamp) -> Option<f64> {
        let runs = self.runs * halvings(now.since(self.noted), HALF_LIFE);
        self.work.filter(|_| runs >= LEAST_RUNS)
    }

    fn newest_work_time(&self, slots: u16) -> f64 {
        let answer_time = self.seconds / self.runs;
        let slots = f64::from(slots.max(1));
        let rate = self.runs * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        // With the share `busy` of its slots at work, a run of time w is answered after about
        // w / (1 - busy ^ slots), which grows with w.
        let (mut low, mut high) = (0.0, answer_time.min(slots / rate));
        for _ in 0..SEARCH_STEPS {
            let work = (low + high) / 2.0;
            let busy = rate * work / slots;
            let is_below = work / (1.0 - busy.powf(slots)) < answer_time;
            (low, high) = if is_below { (work, high) } else { (low, work) };
        }
        low
    }
}

/// What is left of 1 after `age` when half of it goes in `half_life`.
fn halvings(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
