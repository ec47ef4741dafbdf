use std::time::Duration;

use gw_dispatch::RequestOutcome;
use gw_types::Timestamp;
use hdrhistogram::Histogram;

use crate::Outcome;
use crate::RequestKind;
use crate::Scenario;
use crate::request_state::RequestState;
use crate::simulated_target::SimulatedTarget;

/// Length of the windows over which the targets' loads are compared.
const WINDOW: Duration = Duration::from_secs(1);
/// Upper bound of the histograms; longer times are recorded as this one. Deadlines are shorter.
const LONGEST_WAIT_US: u64 = 60_000_000;
/// The users' objective: 99% of requests wait at most this long beyond service time and network
/// delay.
const WAIT_OBJECTIVE_US: u64 = 20_000;

/// Measurements collected during a replay.
#[derive(Debug)]
pub(crate) struct ReplayMetrics {
    /// Waits of requests other than scans, in microseconds.
    waits: Histogram<u64>,
    /// Times from arrival to answer of requests other than scans, in microseconds.
    totals: Histogram<u64>,
    /// Service time of the runs that began on each target in each window, in microseconds.
    work: Vec<Vec<u64>>,
    peak: (Timestamp, Timestamp),
    /// Whether each service is keyed.
    is_keyed: Vec<bool>,
    requests: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    within_objective: u64,
    peak_requests: u64,
    peak_in_deadline: u64,
    pub(crate) runs: u64,
    pub(crate) slot_moves: u64,
    pub(crate) key_moves: u64,
}

impl ReplayMetrics {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        Self {
            waits: Histogram::new_with_bounds(1, LONGEST_WAIT_US, 3).expect("valid bounds"),
            totals: Histogram::new_with_bounds(1, LONGEST_WAIT_US, 3).expect("valid bounds"),
            work: vec![Vec::new(); scenario.target_count()],
            peak: scenario.peak,
            is_keyed: scenario.services.iter().map(|service| service.is_keyed).collect(),
            requests: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            within_objective: 0,
            peak_requests: 0,
            peak_in_deadline: 0,
            runs: 0,
            slot_moves: 0,
            key_moves: 0,
        }
    }

    /// Counts a run of `cost_us` that begins on `target` now.
    pub(crate) fn record_run(&mut self, now: Timestamp, target: usize, cost_us: u64) {
        self.runs += 1;
        let window = (now.as_nanos() / WINDOW.as_nanos() as u64) as usize;
        let windows = &mut self.work[target];
        if windows.len() <= window {
            windows.resize(window + 1, 0);
        }
        windows[window] += cost_us;
    }

    /// Counts the first outcome of a request. `network_ns` is the network delay to the target and
    /// back, used for answered requests only.
    pub(crate) fn record_outcome(
        &mut self,
        now: Timestamp,
        request: &RequestState,
        outcome: RequestOutcome,
        network_ns: u64,
    ) {
        let is_peak = (self.peak.0..self.peak.1).contains(&request.arrived);
        let in_deadline = outcome == RequestOutcome::Answered && now <= request.deadline;
        self.requests += 1;
        self.peak_requests += u64::from(is_peak);
        self.peak_in_deadline += u64::from(is_peak && in_deadline);
        match outcome {
            RequestOutcome::Answered => self.record_answer(now, request, network_ns),
            RequestOutcome::NotRun(_) => self.not_run += 1,
            RequestOutcome::Unknown(_) => self.unknown += 1,
        }
    }

    fn record_answer(&mut self, now: Timestamp, request: &RequestState, network_ns: u64) {
        let total_us = now.since(request.arrived).as_micros() as u64;
        let wait_us = total_us.saturating_sub(request.cost_us + network_ns / 1_000);
        self.answered += 1;
        self.within_objective += u64::from(wait_us <= WAIT_OBJECTIVE_US);
        if request.kind != RequestKind::Scan {
            self.waits.saturating_record(wait_us);
            self.totals.saturating_record(total_us);
        }
    }

    /// Computes the results of the replay.
    pub(crate) fn into_outcome(
        self,
        variant: &str,
        targets: &[SimulatedTarget],
        requests: &[RequestState],
        outage: Option<Duration>,
        seconds: f64,
        report_bytes: u64,
    ) -> Outcome {
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let writes = requests.iter().filter(|request| !request.is_idempotent());
        let (max_ratio, variation) = self.imbalance(targets, &self.is_keyed);
        Outcome {
            variant: variant.to_owned(),
            requests: self.requests,
            answered: share(self.answered, self.requests),
            not_run: share(self.not_run, self.requests),
            unknown: share(self.unknown, self.requests),
            within_stated: share(self.within_objective, self.requests),
            crest_in_deadline: share(self.peak_in_deadline, self.peak_requests),
            short_wait_p50_us: self.waits.value_at_quantile(0.5),
            short_wait_p99_us: self.waits.value_at_quantile(0.99),
            short_wait_p999_us: self.waits.value_at_quantile(0.999),
            short_total_mean_us: self.totals.mean() as u64,
            imbalance_max: max_ratio,
            imbalance_cv: variation,
            slot_moves: self.slot_moves,
            key_moves: self.key_moves,
            unreachable_ms: outage.map(|outage| outage.as_millis() as u64),
            amplification: share(self.runs, self.requests),
            write_runs_max: writes.map(|request| request.runs).max().unwrap_or(0),
            report_bytes_a_second: report_bytes as f64 / seconds,
        }
    }

    /// Returns the load imbalance among targets as max/mean and coefficient of variation.
    ///
    /// Both are averaged over services without keys and over windows. Targets that hosts no longer
    /// list at the end are left out.
    fn imbalance(&self, targets: &[SimulatedTarget], is_keyed: &[bool]) -> (f64, f64) {
        let windows = self.work.iter().map(Vec::len).max().unwrap_or(0);
        let mut ratios = Vec::new();
        for service in (0..is_keyed.len()).filter(|&service| !is_keyed[service]) {
            let members: Vec<usize> = (0..targets.len())
                .filter(|&index| targets[index].service == service && targets[index].is_listed)
                .collect();
            // The last window is incomplete.
            for window in 0..windows.saturating_sub(1) {
                let work = members.iter().map(|&index| self.work[index].get(window).copied());
                let work: Vec<f64> = work.map(|work| work.unwrap_or(0) as f64).collect();
                ratios.extend(dispersion(&work));
            }
        }
        let count = ratios.len().max(1) as f64;
        let sum = ratios.iter().fold((0.0, 0.0), |sum, value| (sum.0 + value.0, sum.1 + value.1));
        (sum.0 / count, sum.1 / count)
    }
}

/// Returns max/mean and the coefficient of variation, or `None` if all values are 0.
fn dispersion(work: &[f64]) -> Option<(f64, f64)> {
    let mean = work.iter().sum::<f64>() / work.len().max(1) as f64;
    if mean <= 0.0 {
        return None;
    }
    let variance = work.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / work.len() as f64;
    let max = work.iter().copied().fold(0.0, f64::max);
    Some((max / mean, variance.sqrt() / mean))
}
