use std::collections::HashMap;
use std::time::Duration;

use gw_types::TargetName;
use gw_types::Timestamp;

use crate::TargetLoad;

/// Time after which a report counts for about a third. Load changes within a few service times, so
/// a report that is older than this says little.
const REPORT_FADE: Duration = Duration::from_millis(500);
/// Weight of one observed service time in the moving mean.
const SERVICE_WEIGHT: f64 = 0.05;
/// Requests outstanding elsewhere that say nothing: a single one is gone before the report has
/// arrived. Leaving it out lowered the coefficient of variation of the load from 0.186 to 0.165 in
/// the replay of Slipwerk's day.
const ORDINARY_LOAD: u32 = 1;
/// Time for which a target that failed is left to others. A target that refuses connections answers
/// at once and has nothing outstanding, so it would otherwise look like the best choice.
const FAILURE_PENALTY: Duration = Duration::from_secs(1);
/// Time after which work counts for about a third in the recent work.
const WORK_FADE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct ObservedLoad {
    /// Requests that this host has sent or queued and that have not ended.
    own_outstanding: u32,
    /// Logarithm of the typical service time in seconds that this host observed. Single stragglers
    /// move it little.
    own_service_log: Option<f64>,
    /// Work that this host has given the target, fading over time; see [`LoadView::recent_work`].
    recent_work: f64,
    /// When `recent_work` was brought up to date.
    worked: Timestamp,
    /// Outstanding requests that others had when the report came.
    others: u32,
    reported: Timestamp,
    /// When this host last saw the target fail, unless it has answered since.
    failed: Option<Timestamp>,
}

impl ObservedLoad {
    fn recent_work(&self, now: Timestamp) -> f64 {
        let age = now.since(self.worked).as_secs_f64();
        self.recent_work * (-age / WORK_FADE.as_secs_f64()).exp()
    }
}

/// What one host knows of the load of targets.
///
/// Own observations are exact for this host's share and count in full. A report only adds what
/// other hosts have outstanding, and fades with its age.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    targets: HashMap<TargetName, ObservedLoad>,
}

impl LoadView {
    /// A view without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that this host sends to `target`.
    pub fn record_sent(&mut self, now: Timestamp, target: &TargetName) {
        let observed = self.entry(target);
        observed.own_outstanding += 1;
        observed.recent_work = observed.recent_work(now) + 1.0;
        observed.worked = now;
    }

    /// Counts the end of a request, with its service time if it was answered.
    pub fn record_ended(&mut self, target: &TargetName, time: Option<Duration>) {
        let observed = self.entry(target);
        observed.own_outstanding = observed.own_outstanding.saturating_sub(1);
        let Some(seconds) = time.map(|time| time.as_secs_f64()) else { return };
        // One microsecond keeps the logarithm finite.
        let log = seconds.max(1e-6).ln();
        let mean = observed.own_service_log.unwrap_or(log);
        // One unit was counted when the request was sent.
        observed.recent_work += (log - mean).exp() - 1.0;
        observed.own_service_log = Some(mean + SERVICE_WEIGHT * (log - mean));
        observed.failed = None;
    }

    /// Notes that `target` refused a connection, crashed or did not answer in time.
    pub fn record_failure(&mut self, now: Timestamp, target: &TargetName) {
        self.entry(target).failed = Some(now);
    }

    /// Takes in a report of the target's dispatcher.
    pub fn record_report(&mut self, now: Timestamp, target: &TargetName, load: TargetLoad) {
        let observed = self.entry(target);
        observed.others = load.outstanding.saturating_sub(observed.own_outstanding);
        observed.reported = now;
    }

    /// Forgets all targets for which `is_kept` does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(&TargetName) -> bool) {
        self.targets.retain(|target, _| is_kept(target));
    }

    /// Expected number of requests at `target`.
    pub fn expected_outstanding(&self, now: Timestamp, target: &TargetName) -> f64 {
        let Some(observed) = self.targets.get(target) else { return 0.0 };
        let age = now.since(observed.reported).as_secs_f64();
        let fade = (-age / REPORT_FADE.as_secs_f64()).exp();
        let others = observed.others.saturating_sub(ORDINARY_LOAD);
        f64::from(observed.own_outstanding) + f64::from(others) * fade
    }

    /// Work that this host gave `target` in the last seconds, in units of its typical service time.
    pub fn recent_work(&self, now: Timestamp, target: &TargetName) -> f64 {
        self.targets.get(target).map_or(0.0, |observed| observed.recent_work(now))
    }

    /// Typical service time that this host observed at `target`.
    pub fn typical_service_time(&self, target: &TargetName) -> Option<Duration> {
        let log = self.targets.get(target)?.own_service_log?;
        Some(Duration::from_secs_f64(log.exp()))
    }

    /// Expected time until `target`, running `slots` requests at a time, has finished a further
    /// request that takes `service`.
    pub fn expected_time(
        &self,
        now: Timestamp,
        target: &TargetName,
        slots: f64,
        service: Duration,
    ) -> Duration {
        let turns = (self.expected_outstanding(now, target) + 1.0) / slots.max(0.01);
        let failed = self.targets.get(target).and_then(|observed| observed.failed);
        let is_failing = failed.is_some_and(|failed| now.since(failed) < FAILURE_PENALTY);
        let penalty = if is_failing { FAILURE_PENALTY } else { Duration::ZERO };
        service.mul_f64(turns) + penalty
    }

    fn entry(&mut self, target: &TargetName) -> &mut ObservedLoad {
        self.targets.entry(target.clone()).or_insert(ObservedLoad {
            own_outstanding: 0,
            own_service_log: None,
            recent_work: 0.0,
            worked: Timestamp::ZERO,
            others: 0,
            reported: Timestamp::ZERO,
            failed: None,
        })
    }
}
