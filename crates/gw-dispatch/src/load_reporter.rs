use std::time::Duration;

use gw_types::Timestamp;

use crate::TargetLoad;

/// Decides when a target's load is reported to the other hosts.
pub trait LoadReporter {
    /// Takes the load at `now` and returns whether to report it.
    fn observe(&mut self, now: Timestamp, load: TargetLoad) -> bool;
}

/// Reports at a fixed interval.
#[derive(Clone, Debug)]
pub struct PeriodicReporter {
    interval: Duration,
    next_report_at: Timestamp,
}

impl PeriodicReporter {
    /// Creates a reporter that reports every `interval`.
    pub const fn new(interval: Duration) -> Self {
        Self { interval, next_report_at: Timestamp::ZERO }
    }
}

impl LoadReporter for PeriodicReporter {
    fn observe(&mut self, now: Timestamp, _load: TargetLoad) -> bool {
        let is_due = now >= self.next_report_at;
        if is_due {
            self.next_report_at = now + self.interval;
        }
        is_due
    }
}

/// Reports when the number of outstanding requests has changed by at least a threshold.
#[derive(Clone, Debug)]
pub struct OnChangeReporter {
    threshold: u32,
    last_reported: Option<u32>,
}

impl OnChangeReporter {
    /// Creates a reporter with a threshold in requests; 0 is raised to 1.
    pub fn new(threshold: u32) -> Self {
        Self { threshold: threshold.max(1), last_reported: None }
    }
}

impl LoadReporter for OnChangeReporter {
    fn observe(&mut self, _now: Timestamp, load: TargetLoad) -> bool {
        let last_reported = self.last_reported;
        let is_due =
            last_reported.is_none_or(|sent| sent.abs_diff(load.outstanding) >= self.threshold);
        if is_due {
            self.last_reported = Some(load.outstanding);
        }
        is_due
    }
}

/// Reports at an interval that is inversely proportional to the load.
///
/// Follows the inverse notification frequency of Meehan and Ladiges (2001): the load of an idle
/// target hardly affects the choice of a target and is reported rarely. The higher the load, the
/// earlier other hosts have to learn of a change.
#[derive(Clone, Debug)]
pub struct InverseReporter {
    idle_interval: Duration,
    last_report_at: Option<Timestamp>,
}

impl InverseReporter {
    /// Creates a reporter that reports every `idle_interval` without load, and `n + 1` times as
    /// often with `n` requests outstanding.
    pub const fn new(idle_interval: Duration) -> Self {
        Self { idle_interval, last_report_at: None }
    }
}

impl LoadReporter for InverseReporter {
    fn observe(&mut self, now: Timestamp, load: TargetLoad) -> bool {
        let interval = self.idle_interval / (load.outstanding + 1);
        let is_due = self.last_report_at.is_none_or(|last| now.since(last) >= interval);
        if is_due {
            self.last_report_at = Some(now);
        }
        is_due
    }
}
