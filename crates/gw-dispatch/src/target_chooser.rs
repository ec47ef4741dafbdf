use std::time::Duration;

use gw_profile::SpreadPolicy;
use gw_profile::SpreadRules;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::LoadView;
use crate::RandomSource;

/// A target is slow if its typical service time exceeds that of all candidates by this factor.
/// Smaller differences are noise.
const SLOW_FACTOR: f64 = 1.5;
/// Service time that is assumed before the first observation.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(5);

/// A target that may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetCandidate {
    /// Name of the target.
    pub target: TargetName,
    /// Whether the target is in the same availability zone as the chooser.
    pub is_own_zone: bool,
    /// Maximum number of requests that the target runs at the same time.
    pub work_slots: u16,
    /// Share of work that the target receives, see [`SlowStart::share`](crate::SlowStart::share).
    pub share: f64,
}

/// Chooses a target for a request of a service that is not partitioned by key.
pub trait TargetChooser: Send {
    /// Returns the index of the chosen candidate; `None` if there are no candidates.
    fn choose(
        &mut self,
        now: Timestamp,
        view: &LoadView,
        candidates: &[TargetCandidate],
        random: &mut dyn RandomSource,
    ) -> Option<usize>;
}

/// Creates the chooser that the profile selects.
pub fn chooser_for(rules: &SpreadRules) -> Box<dyn TargetChooser> {
    let penalty = Duration::from_millis(u64::from(rules.other_zone_penalty_ms));
    match rules.policy {
        SpreadPolicy::LeastWait => Box::new(LeastWaitChooser::new(penalty, None)),
        SpreadPolicy::RoundRobin => Box::new(RoundRobinChooser::default()),
        SpreadPolicy::Random => Box::new(RandomChooser),
    }
}

/// Chooses the target with the shortest expected time. The time of a target in another zone is
/// increased by a penalty.
#[derive(Clone, Debug)]
pub struct LeastWaitChooser {
    penalty: Duration,
    /// Number of random candidates to compare; absent to compare all.
    sample: Option<usize>,
}

impl LeastWaitChooser {
    /// Creates a chooser that compares all candidates, or `sample` random ones.
    pub const fn new(penalty: Duration, sample: Option<usize>) -> Self {
        Self { penalty, sample }
    }

    fn cost(
        &self,
        now: Timestamp,
        view: &LoadView,
        candidate: &TargetCandidate,
        typical: Duration,
    ) -> Duration {
        let slots = f64::from(candidate.work_slots.max(1)) * candidate.share;
        let own = view.typical_service_time(&candidate.target).unwrap_or(typical);
        let service = if own > typical.mul_f64(SLOW_FACTOR) { own } else { typical };
        let time = view.expected_time(now, &candidate.target, slots, service);
        if candidate.is_own_zone { time } else { time + self.penalty }
    }
}

/// Returns the geometric mean of the typical service times of the candidates.
///
/// The service time depends on the request more than on the target, so comparing targets by their
/// own means would follow noise.
fn typical_service_time(view: &LoadView, candidates: &[TargetCandidate]) -> Duration {
    let known =
        candidates.iter().filter_map(|candidate| view.typical_service_time(&candidate.target));
    let sum = known.fold((0.0, 0), |sum, time| (sum.0 + time.as_secs_f64().ln(), sum.1 + 1));
    match sum {
        (_, 0) => DEFAULT_SERVICE_TIME,
        (logs, count) => Duration::from_secs_f64((logs / f64::from(count)).exp()),
    }
}

impl TargetChooser for LeastWaitChooser {
    fn choose(
        &mut self,
        now: Timestamp,
        view: &LoadView,
        candidates: &[TargetCandidate],
        random: &mut dyn RandomSource,
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let typical = typical_service_time(view, candidates);
        let sample = self.sample.unwrap_or(candidates.len()).min(candidates.len());
        // A random start breaks ties differently on each host and for each request.
        let start = random.below(candidates.len());
        let compared = (0..sample).map(|offset| match self.sample {
            Some(_) if offset > 0 => random.below(candidates.len()),
            _ => (start + offset) % candidates.len(),
        });
        let ranked = compared.map(|index| {
            let candidate = &candidates[index];
            let cost = self.cost(now, view, candidate, typical);
            // Among equal targets, prefers the one that this host has sent the least work.
            let work = view.recent_work(now, &candidate.target) / candidate.share.max(0.01);
            (cost, work, index)
        });
        let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, index)| index)
    }
}

/// Chooses the targets in turn, regardless of load. Serves as a baseline.
#[derive(Clone, Debug, Default)]
pub struct RoundRobinChooser {
    next: usize,
}

impl TargetChooser for RoundRobinChooser {
    fn choose(
        &mut self,
        _now: Timestamp,
        _view: &LoadView,
        candidates: &[TargetCandidate],
        _random: &mut dyn RandomSource,
    ) -> Option<usize> {
        self.next = self.next.wrapping_add(1);
        self.next.checked_rem(candidates.len())
    }
}

/// Chooses a target at random, regardless of load. Serves as a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChooser;

impl TargetChooser for RandomChooser {
    fn choose(
        &mut self,
        _now: Timestamp,
        _view: &LoadView,
        candidates: &[TargetCandidate],
        random: &mut dyn RandomSource,
    ) -> Option<usize> {
        (!candidates.is_empty()).then(|| random.below(candidates.len()))
    }
}
