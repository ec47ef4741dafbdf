use std::time::Duration;

use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_types::Timestamp;

use crate::AnsweredRequests;
use crate::AttemptOutcome;

/// Weight of the newest run in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.2;
/// Age at which an average no longer says anything, so that the target is tried again.
const AVERAGE_AGE: Duration = Duration::from_secs(4);
/// First pause after a failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failures. A target that is back is tried within this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Pause after a refusal: the target is full for about one run.
const REFUSAL_PAUSE: Duration = Duration::from_millis(40);
/// How many times the average a run counts at most when the target's speed is worked out: a few
/// requests need far more work than others, at any target.
const STRAGGLER_FACTOR: u32 = 3;
/// Failures in a row after which a target is paused. One failure alone may be the request's fault.
const PAUSE_FAILURES: u32 = 2;

/// One target as this host sees it.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// What it announced.
    pub record: TargetRecord,
    /// Whether it is in this host's availability zone.
    pub is_near: bool,
    /// Whether this host prefers it over the other targets of its zone.
    pub is_preferred: bool,
    /// How much this host avoids the target as long as others are as good: 1 for targets at home,
    /// more for others, and another figure on each host.
    pub(crate) reserve: f64,
    /// Requests of this host that it has and that have not ended.
    pub in_flight: u32,
    /// When this host learnt that the target drains.
    pub(crate) draining_since: Option<Timestamp>,
    /// Average time of a run, in seconds; `None` without a recent run.
    run_time: Option<f64>,
    /// Share of runs that failed, 0 to 1, as a moving average.
    failure_share: f64,
    /// Failures in a row.
    failures: u32,
    paused_until: Timestamp,
    /// Whether another target has its address. This run never serves again.
    has_ended: bool,
    last_end: Timestamp,
    /// Runs that it answered without failure and that were not taken yet.
    untaken_runs: u32,
    /// Their time to answer together; see [`AnsweredRequests::total`].
    untaken_total: Duration,
}

impl TargetView {
    pub(crate) fn new(record: TargetRecord, now: Timestamp) -> Self {
        Self {
            record,
            is_near: false,
            is_preferred: false,
            reserve: 1.0,
            in_flight: 0,
            draining_since: None,
            run_time: None,
            failure_share: 0.0,
            failures: 0,
            paused_until: Timestamp::ZERO,
            has_ended: false,
            last_end: now,
            untaken_runs: 0,
            untaken_total: Duration::ZERO,
        }
    }

    /// Average time of a run in seconds, unless it is too old.
    pub fn response_time(&self, now: Timestamp) -> Option<f64> {
        self.run_time.filter(|_| now.since(self.last_end) < AVERAGE_AGE || self.in_flight > 0)
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether requests may be sent to it.
    pub fn is_available(&self, now: Timestamp) -> bool {
        self.record.phase == TargetPhase::Serving && !self.has_ended && !self.is_paused(now)
    }

    /// Whether another target has its address.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Whether it is left alone after failures.
    pub fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// How long it is still left alone.
    pub fn remaining_pause(&self, now: Timestamp) -> Duration {
        self.paused_until.since(now)
    }

    /// Expected time in seconds until an answer to a further request, by which targets are
    /// compared. `typical` is the run time of the service's targets.
    pub(crate) fn cost(&self, now: Timestamp, typical: f64, far_penalty: f64) -> f64 {
        let run_time = self.response_time(now).unwrap_or(typical);
        let slots = f64::from(self.record.work_slots.max(1));
        let turns = (f64::from(self.in_flight + 1) / slots).max(1.0);
        let success = (1.0 - self.failure_share).max(0.1);
        let away = if self.is_near { 0.0 } else { far_penalty };
        run_time * turns * self.reserve / (success * success) + away
    }

    /// Follows a newer announcement of the same run.
    pub(crate) fn renew(&mut self, record: &TargetRecord, now: Timestamp) {
        self.record = record.clone();
        if record.phase == TargetPhase::Draining {
            self.draining_since.get_or_insert(now);
        }
    }

    pub(crate) fn record_end(&mut self, now: Timestamp, end: AttemptOutcome) {
        let is_failure = match end {
            AttemptOutcome::Cancelled => return,
            AttemptOutcome::Replaced => {
                self.has_ended = true;
                return;
            }
            AttemptOutcome::Refused => {
                self.paused_until = self.paused_until.max(now + REFUSAL_PAUSE);
                return;
            }
            AttemptOutcome::Answered { elapsed, is_failure } => {
                if !is_failure {
                    self.add_untaken(elapsed);
                }
                self.note_run_time(elapsed.as_secs_f64());
                is_failure
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::Unanswered => {
                true
            }
        };
        self.last_end = now;
        self.failure_share +=
            AVERAGE_WEIGHT * (f64::from(u8::from(is_failure)) - self.failure_share);
        if !is_failure {
            self.failures = 0;
            return;
        }
        self.failures += 1;
        // A target whose connections break during runs still runs others.
        let is_silent = matches!(end, AttemptOutcome::Unreachable | AttemptOutcome::Unanswered);
        if is_silent && self.failures >= PAUSE_FAILURES {
            let doublings = (self.failures - PAUSE_FAILURES).min(4);
            let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
            self.paused_until = now + pause;
        }
    }

    fn add_untaken(&mut self, elapsed: Duration) {
        let usual = self.run_time.map_or(elapsed, Duration::from_secs_f64);
        self.untaken_runs += 1;
        self.untaken_total += elapsed.min(usual * STRAGGLER_FACTOR);
    }

    pub(crate) fn take_answered(&mut self) -> Option<AnsweredRequests> {
        let runs = std::mem::take(&mut self.untaken_runs);
        let total = std::mem::take(&mut self.untaken_total);
        (runs > 0).then(|| AnsweredRequests { holder: self.record.holder(), count: runs, total })
    }

    fn note_run_time(&mut self, seconds: f64) {
        let average = self.run_time.get_or_insert(seconds);
        *average += AVERAGE_WEIGHT * (seconds - *average);
    }
}
