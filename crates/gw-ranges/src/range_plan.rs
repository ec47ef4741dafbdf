use crate::DecayedCounts;
use crate::HolderStatus;
use crate::KeyRange;
use crate::RangeAssignment;
use crate::RangeCandidate;
use crate::RangeTable;
use crate::RangeTransfer;
use crate::evacuation_pace::EvacuationPace;

/// Ratio of a target's load to the average above which keys are moved away from it.
const OVERLOAD_RATIO: f64 = 1.2;
/// Number of ranges of one target from which its ranges are no longer split. Each range costs one
/// call per renewal.
const MAX_RANGES_PER_TARGET: usize = 10;
/// Lower bound of the limit on concurrent moves for load balancing.
const MIN_CONCURRENT_MOVES: usize = 6;
/// Number of targets for each concurrent move, in fleets where that allows more than
/// [`MIN_CONCURRENT_MOVES`]. With a fixed limit, balancing hundreds of targets would take minutes.
const TARGETS_PER_MOVE: usize = 8;
/// Largest ratio of a range's requests to the requests to move at which the range moves without a
/// split.
const MAX_EXCESS_RATIO: f64 = 1.2;
/// Largest ratio of a hot key's load on its next holder to that on its current one at which the key
/// moves. Speeds are known to within about 20%, and two fast targets must not pass the key back and
/// forth.
const MAX_HOT_KEY_RATIO: f64 = 0.65;
/// Smallest load that is worth a move, as a fraction of the average load: the requests themselves, or
/// what they are for their holder if it is slower than usual. Ranges of a target that takes next to
/// no requests would stay there otherwise, once they are small.
const MIN_MOVE_RATIO: f64 = 0.1;

/// Smallest part, as a fraction of the average load, that a target receives of an assignment without
/// a serving holder. Each part costs one call per renewal.
const MIN_PART_RATIO: f64 = 0.25;

/// Load that a range without requests counts for, as a fraction of the average, when ranges are split
/// over targets. Otherwise all idle ranges of a zone would go to the target with the least load.
const RANGE_LOAD_RATIO: f64 = 0.01;

struct TargetLoad<'a> {
    candidate: &'a RangeCandidate,
    /// Decayed number of requests for the keys that the target holds or is about to receive,
    /// divided by its speed.
    load: f64,
    /// Whether the target may receive further keys.
    may_receive: bool,
    /// Number of ranges that it holds or is about to receive.
    ranges: usize,
}

/// Decides which ranges move to which targets.
///
/// Ranges without a serving holder, because they were never assigned or because their holder is
/// draining, silent or has ended, are split over the least loaded serving targets. So are the ranges
/// of evacuated holders, the busiest first and at a limited pace, since their holders serve them
/// until then. If there are none, keys move from the most to the least loaded target. Cold
/// targets keep what they hold, and receive keys only if no target is serving. `may_move`
/// returns whether a range can be released without delay; it limits only the moves for load balancing
/// and those out of evacuated zones.
pub fn plan_moves(
    table: &RangeTable,
    candidates: &[RangeCandidate],
    counts: &DecayedCounts,
    may_move: impl Fn(&RangeAssignment) -> bool,
) -> Vec<RangeTransfer> {
    let holds = |candidate: &&RangeCandidate| {
        matches!(candidate.status, HolderStatus::Serving | HolderStatus::Cold)
    };
    let is_serving = |candidate: &RangeCandidate| candidate.status == HolderStatus::Serving;
    let is_any_serving = candidates.iter().any(is_serving);
    let mut loads: Vec<TargetLoad<'_>> = candidates
        .iter()
        .filter(holds)
        .map(|candidate| TargetLoad {
            candidate,
            load: 0.0,
            ranges: 0,
            may_receive: is_serving(candidate) || !is_any_serving,
        })
        .collect();
    if loads.is_empty() {
        return Vec::new();
    }
    loads.sort_by(|a, b| a.candidate.holder.cmp(&b.candidate.holder));
    for assignment in table.assignments() {
        if let Some(index) = owner_index(&loads, assignment) {
            loads[index].load +=
                counts.requests_of(assignment.range) / loads[index].candidate.speed;
            loads[index].ranges += 1;
        }
    }
    let mut moves = Vec::new();
    let is_unserved = |assignment: &&RangeAssignment| owner_index(&loads, assignment).is_none();
    let pace = EvacuationPace::new(candidates);
    let (evacuated, unserved): (Vec<&RangeAssignment>, Vec<&RangeAssignment>) =
        table.assignments().iter().filter(is_unserved).partition(|range| pace.is_due(range));
    for assignment in unserved {
        let average = average_load(&loads, counts.requests_of(assignment.range));
        split_over_targets(assignment, counts, average, &mut loads, &mut moves);
    }
    let requests = evacuated.iter().map(|assignment| counts.requests_of(assignment.range)).sum();
    let average = average_load(&loads, requests);
    let end = moves.len() + pace.free_moves(table);
    for assignment in pace.order(&evacuated, counts, &may_move) {
        if moves.len() >= end {
            break;
        }
        split_over_targets(assignment, counts, average, &mut loads, &mut moves);
    }
    let moving =
        table.assignments().iter().filter(|assignment| assignment.successor.is_some()).count();
    let max_concurrent_moves = MIN_CONCURRENT_MOVES.max(candidates.len() / TARGETS_PER_MOVE);
    if moves.is_empty() {
        for number in moving..max_concurrent_moves {
            let later_moves = max_concurrent_moves - number - 1;
            move_load(table, counts, &mut loads, &mut moves, &may_move, later_moves);
        }
    }
    moves
}

/// Returns the serving target that holds the range or is about to receive it. `loads` are sorted by
/// holder.
fn owner_index(loads: &[TargetLoad<'_>], assignment: &RangeAssignment) -> Option<usize> {
    let owner = assignment.successor.as_ref().or(assignment.holder.as_ref())?;
    loads.binary_search_by(|load| load.candidate.holder.cmp(owner)).ok()
}

fn total_speed(loads: &[TargetLoad<'_>]) -> f64 {
    loads.iter().map(|load| load.candidate.speed).sum()
}

fn average_load(loads: &[TargetLoad<'_>], extra_requests: f64) -> f64 {
    let requests: f64 = loads.iter().map(|load| load.load * load.candidate.speed).sum();
    (requests + extra_requests) / total_speed(loads)
}

/// Splits an assignment over the least loaded targets, each up to `average` or by a part of it.
fn split_over_targets(
    assignment: &RangeAssignment,
    counts: &DecayedCounts,
    average: f64,
    loads: &mut [TargetLoad<'_>],
    moves: &mut Vec<RangeTransfer>,
) {
    let mut remainder = Some(assignment.range);
    while let Some(range) = remainder {
        // Without requests, the loads do not tell targets apart.
        let rank = |load: &TargetLoad<'_>| {
            (load.load + average * RANGE_LOAD_RATIO * load.ranges as f64, load.ranges)
        };
        let by_load = |a: &&mut TargetLoad<'_>, b: &&mut TargetLoad<'_>| {
            let (a, b) = (rank(a), rank(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        };
        let receivers = loads.iter_mut().filter(|load| load.may_receive);
        let least_loaded = receivers.min_by(by_load);
        let Some(target) = least_loaded else { return };
        let spare = (average - target.load).max(average * MIN_PART_RATIO);
        let spare_requests = spare * target.candidate.speed;
        let total = counts.requests_of(range);
        // Avoids a separate range for a small remainder.
        let part = match counts.prefix_within(range, spare_requests) {
            Some(part) if total > spare_requests * 1.2 => part,
            None if total > spare_requests * 1.2 => {
                KeyRange { first: range.first, last: range.first }
            }
            _ => range,
        };
        target.load += counts.requests_of(part) / target.candidate.speed;
        target.ranges += 1;
        let to = target.candidate.holder.clone();
        moves.push(RangeTransfer { range: part, to, fence: assignment.fence });
        remainder =
            (part.last < range.last).then(|| KeyRange { first: part.last + 1, last: range.last });
    }
}

/// Returns what remains of a range when the parts that `moves` take from its ends have left it;
/// `None` if nothing remains or a part in its middle moves.
fn remainder_after(range: KeyRange, moves: &[RangeTransfer]) -> Option<KeyRange> {
    let mut rest = range;
    for part in moves.iter().map(|transfer| transfer.range) {
        if !part.overlaps(rest) {
            continue;
        }
        if part.covers(rest) {
            return None;
        }
        if part.first == rest.first {
            rest.first = part.last + 1;
        } else if part.last == rest.last {
            rest.last = part.first - 1;
        } else {
            return None;
        }
    }
    Some(rest)
}

/// Returns the number of requests to move from the most to the least loaded target.
///
/// A move takes a while, and a hot range has to be spread over many targets. The destination
/// therefore receives what fills it to the average, or its part of the excess of all targets if that
/// is more: this is divided by the moves of the round, of which `later_moves` are left. It never
/// receives more than what makes both targets' loads equal.
fn requests_to_move(
    loads: &[TargetLoad<'_>],
    (source, destination): (usize, usize),
    average: f64,
    later_moves: usize,
) -> f64 {
    let (source, destination) = (&loads[source], &loads[destination]);
    let (source_speed, destination_speed) = (source.candidate.speed, destination.candidate.speed);
    let difference = source.load - destination.load;
    let equalizing =
        difference * source_speed * destination_speed / (source_speed + destination_speed);
    let filling = (average - destination.load) * destination_speed;
    let excess = |load: &TargetLoad<'_>| (load.load - average).max(0.0) * load.candidate.speed;
    let excess_part = loads.iter().map(excess).sum::<f64>() / (later_moves + 2) as f64;
    equalizing.min(filling.max(excess_part))
}

/// Moves a part of the most loaded target's keys to the least loaded target, or its hottest key to
/// a much faster target. `later_moves` further moves may follow in the same round.
fn move_load(
    table: &RangeTable,
    counts: &DecayedCounts,
    loads: &mut [TargetLoad<'_>],
    moves: &mut Vec<RangeTransfer>,
    may_move: &impl Fn(&RangeAssignment) -> bool,
    later_moves: usize,
) {
    let average = average_load(loads, 0.0);
    let by_load = |a: &(usize, f64), b: &(usize, f64)| a.1.total_cmp(&b.1);
    let indexed = || loads.iter().enumerate().map(|(index, load)| (index, load.load));
    let receivers = indexed().filter(|(index, _)| loads[*index].may_receive);
    let (Some(most_loaded), Some(least_loaded)) =
        (indexed().max_by(by_load), receivers.min_by(by_load))
    else {
        return;
    };
    if most_loaded.1 < average * OVERLOAD_RATIO || most_loaded.0 == least_loaded.0 {
        return;
    }
    let source = &loads[most_loaded.0].candidate.holder;
    let source_assignments = || {
        table.assignments().iter().filter(|assignment| assignment.holder.as_ref() == Some(source))
    };
    let may_split = source_assignments().count() < MAX_RANGES_PER_TARGET;
    // Assignments of the source with the part that does not move yet, and its requests.
    let mut movable: Vec<(&RangeAssignment, KeyRange, f64)> = source_assignments()
        .filter(|assignment| assignment.successor.is_none() && may_move(assignment))
        .filter_map(|assignment| {
            let rest = remainder_after(assignment.range, moves)?;
            Some((assignment, rest, counts.requests_of(rest)))
        })
        .collect();
    movable.sort_by(|a, b| b.2.total_cmp(&a.2));
    let (source_speed, destination_speed) =
        (loads[most_loaded.0].candidate.speed, loads[least_loaded.0].candidate.speed);
    let requests_to_move =
        requests_to_move(loads, (most_loaded.0, least_loaded.0), average, later_moves);
    if let Some((assignment, rest, _)) = movable.first()
        && let Some(to) = faster_target(*rest, most_loaded.0, average, counts, loads)
    {
        let key = counts.hottest_key(*rest);
        let key = KeyRange { first: key, last: key };
        loads[most_loaded.0].load -= counts.requests_of(key) / source_speed;
        loads[to].load += counts.requests_of(key) / loads[to].candidate.speed;
        let to = loads[to].candidate.holder.clone();
        moves.push(RangeTransfer { range: key, to, fence: assignment.fence });
        return;
    }
    let parts = movable.iter().filter_map(|(assignment, rest, total)| {
        let part = part_to_move(*rest, *total, requests_to_move, counts, may_split)?;
        Some((assignment.fence, part, counts.requests_of(part)))
    });
    let best = parts.max_by(|a, b| a.2.total_cmp(&b.2));
    let is_worth = |requests: f64| requests / source_speed.min(1.0) >= average * MIN_MOVE_RATIO;
    let Some((fence, part, moved)) = best.filter(|best| is_worth(best.2)) else { return };
    loads[most_loaded.0].load -= moved / source_speed;
    loads[least_loaded.0].load += moved / destination_speed;
    let to = loads[least_loaded.0].candidate.holder.clone();
    moves.push(RangeTransfer { range: part, to, fence });
}

/// Returns the target that the hottest key of `range` should move to, if that key alone overloads
/// its holder and is a much smaller load for the other target. Later moves take the other keys of
/// that target elsewhere.
fn faster_target(
    range: KeyRange,
    source: usize,
    average: f64,
    counts: &DecayedCounts,
    loads: &[TargetLoad<'_>],
) -> Option<usize> {
    let key = counts.hottest_key(range);
    let key_requests = counts.requests_of(KeyRange { first: key, last: key });
    let source_load = key_requests / loads[source].candidate.speed;
    if source_load < average * OVERLOAD_RATIO {
        return None;
    }
    let load_at = |index: usize| key_requests / loads[index].candidate.speed;
    let eligible = (0..loads.len()).filter(|&index| {
        loads[index].may_receive && load_at(index) <= source_load * MAX_HOT_KEY_RATIO
    });
    let total = |index: usize| load_at(index) + loads[index].load;
    eligible.min_by(|&a, &b| total(a).total_cmp(&total(b)))
}

/// Returns the part of `range` to move so that about `requests_to_move` leave its holder. A single
/// key with more requests stays where it is; the keys on the busier side of it move instead.
fn part_to_move(
    range: KeyRange,
    total: f64,
    requests_to_move: f64,
    counts: &DecayedCounts,
    may_split: bool,
) -> Option<KeyRange> {
    if total <= requests_to_move * MAX_EXCESS_RATIO {
        return Some(range);
    }
    if !may_split {
        return None;
    }
    let sides = [
        counts.prefix_within(range, requests_to_move),
        counts.suffix_within(range, requests_to_move),
    ];
    sides
        .into_iter()
        .flatten()
        .max_by(|a, b| counts.requests_of(*a).total_cmp(&counts.requests_of(*b)))
}
