use crate::HolderStatus;
use crate::RangeCandidate;

/// Utilization below which the shares do not depend on it any more. At low load every target responds
/// without queueing, and concentrating keys on the fastest ones would leave no room for a burst.
const MIN_UTILIZATION: f64 = 0.35;
/// Utilization above which shares are proportional to speed: all capacity is needed.
const MAX_UTILIZATION: f64 = 0.95;
/// Smallest share of a target, as a fraction of its share in proportion to speed. With fewer
/// requests its speed could no longer be estimated.
const MIN_SHARE: f64 = 0.3;

/// Replaces the speeds of serving candidates by the shares of requests that keep response times low.
///
/// If all targets are equally utilized, requests to slow targets take longer although faster ones
/// have room. The mean response time of independent queues with capacities `s` is lowest if the
/// capacity that each leaves unused is proportional to the square root of `s`: slow targets get less
/// than in proportion, fast ones more. `utilization` is the request rate as a fraction of the
/// capacity of all serving candidates. The sum of the speeds stays the same.
pub fn share_by_response_time(candidates: &mut [RangeCandidate], utilization: f64) {
    let utilization = utilization.clamp(MIN_UTILIZATION, MAX_UTILIZATION);
    let is_serving = |candidate: &&mut RangeCandidate| candidate.status == HolderStatus::Serving;
    let mut serving: Vec<&mut RangeCandidate> =
        candidates.iter_mut().filter(is_serving).collect();
    let total: f64 = serving.iter().map(|candidate| candidate.speed).sum();
    let roots: f64 = serving.iter().map(|candidate| candidate.speed.sqrt()).sum();
    if total <= 0.0 {
        return;
    }
    let unused = (1.0 - utilization) * total / roots;
    let share = |speed: f64| {
        let proportional = utilization * speed;
        (speed - unused * speed.sqrt()).max(MIN_SHARE * proportional)
    };
    let shares: f64 = serving.iter().map(|candidate| share(candidate.speed)).sum();
    for candidate in &mut serving {
        candidate.speed = share(candidate.speed) * total / shares;
    }
}
