use std::time::Duration;

use gw_profile::SpreadPolicy;
use gw_profile::SpreadRules;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::LoadView;
use crate::RandomSource;

/// A target counts as slow when its typical service time is this many times that of the others;
/// smaller differences are chance.
const SLOW_FACTOR: f64 = 1.5;
/// Service time assumed before anything was observed.
const UNKNOWN_SERVICE: Duration = Duration::from_millis(5);

/// A target that may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetCandidate {
    /// The target.
    pub target: TargetName,
    /// Whether it is in the chooser's own zone.
    pub is_own_zone: bool,
    /// Requests that it runs at the same time.
    pub work_slots: u16,
    /// Share of its full size that it receives, see [`SlowStart`](crate::SlowStart).
    pub share: f64,
}

/// Picks a target for a request of a service that is not divided by key.
pub trait TargetChooser: Send {
    /// Index of the chosen candidate; `None` if there is none.
    fn choose(
        &mut self,
        now: Timestamp,
        view: &LoadView,
        candidates: &[TargetCandidate],
        random: &mut dyn RandomSource,
    ) -> Option<usize>;
}

/// The chooser that a profile selects.
pub fn chooser_for(rules: &SpreadRules) -> Box<dyn TargetChooser> {
    let penalty = Duration::from_millis(u64::from(rules.other_zone_penalty_ms));
    match rules.policy {
        SpreadPolicy::LeastWait => Box::new(LeastWaitChooser::new(penalty, None)),
        SpreadPolicy::RoundRobin => Box::new(RoundRobinChooser::default()),
        SpreadPolicy::Random => Box::new(RandomChooser),
    }
}

/// Takes the target with the least expected time; a target of another zone must be better by a
/// penalty.
#[derive(Clone, Debug)]
pub struct LeastWaitChooser {
    penalty: Duration,
    /// How many candidates are compared; all if absent.
    sample: Option<usize>,
}

impl LeastWaitChooser {
    /// Compares all candidates, or `sample` random ones.
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

/// Geometric mean of the candidates' typical service times. The time that a request takes is a
/// matter of the request first; comparing targets by their own means would follow chance.
fn typical_service_time(view: &LoadView, candidates: &[TargetCandidate]) -> Duration {
    let known =
        candidates.iter().filter_map(|candidate| view.typical_service_time(&candidate.target));
    let sum = known.fold((0.0, 0), |sum, time| (sum.0 + time.as_secs_f64().ln(), sum.1 + 1));
    match sum {
        (_, 0) => UNKNOWN_SERVICE,
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
        let compared = (0..sample).map(|step| match self.sample {
            Some(_) if step > 0 => random.below(candidates.len()),
            _ => (start + step) % candidates.len(),
        });
        let ranked = compared.map(|index| {
            let candidate = &candidates[index];
            let cost = self.cost(now, view, candidate, typical);
            // Of equal targets, the one that this host has given the least work.
            let work = view.recent_work(now, &candidate.target) / candidate.share.max(0.01);
            (cost, work, index)
        });
        let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, index)| index)
    }
}

/// Takes each target in turn. Baseline.
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

/// Takes a target at random. Baseline.
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
