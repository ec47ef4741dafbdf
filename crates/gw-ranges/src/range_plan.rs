use crate::HeatMap;
use crate::HolderStatus;
use crate::KeyRange;
use crate::RangeAssignment;
use crate::RangeCandidate;
use crate::RangeTable;
use crate::RangeTransfer;

/// A target is relieved when its load exceeds the average by this factor.
const RELIEF_FACTOR: f64 = 1.2;
/// Ranges of one target beyond which no further ones are cut off for balance. Each range costs a
/// call for each renewal.
const RANGES_PER_TARGET: usize = 10;
/// Ranges that move at the same time for balance, at least.
const MOVES_AT_ONCE: usize = 6;
/// Targets for each further range that may move at the same time. Hundreds of targets would be
/// balanced only after minutes otherwise.
const TARGETS_PER_MOVE: usize = 8;
/// How much more than the wanted heat a whole range may have, to spare a cut.
const OVERSHOOT: f64 = 1.2;
/// Load of the next holder of a hot key, as a share of the present one's, up to which the key
/// moves. Speeds are known to about a fifth, and two fast targets must not pass it back and forth.
const HOT_KEY_GAIN: f64 = 0.65;
/// Smallest part of the average load that is worth a move.
const LEAST_GAIN: f64 = 0.1;

struct TargetLoad<'a> {
    candidate: &'a RangeCandidate,
    /// Heat of the keys held or coming, divided by speed.
    load: f64,
}

/// Decides which ranges should go where.
///
/// Ranges without a holder are divided over all serving targets; ranges of holders that leave or
/// are lost go to the targets with the least load; then the target with the most load gives a part
/// to the one with the least. `may_move` says whether a range can change hands at once.
pub fn plan_moves(
    table: &RangeTable,
    candidates: &[RangeCandidate],
    heat: &HeatMap,
    may_move: impl Fn(&RangeAssignment) -> bool,
) -> Vec<RangeTransfer> {
    let is_serving = |c: &&RangeCandidate| c.status == HolderStatus::Serving;
    let mut loads: Vec<TargetLoad<'_>> = candidates
        .iter()
        .filter(is_serving)
        .map(|candidate| TargetLoad { candidate, load: 0.0 })
        .collect();
    if loads.is_empty() {
        return Vec::new();
    }
    loads.sort_by(|a, b| a.candidate.holder.cmp(&b.candidate.holder));
    for held in table.assignments() {
        if let Some(index) = owner_index(&loads, held) {
            loads[index].load += heat.heat_of(held.range) / loads[index].candidate.speed;
        }
    }
    let mut moves = Vec::new();
    let is_lost = |held: &&RangeAssignment| owner_index(&loads, held).is_none();
    let lost: Vec<&RangeAssignment> = table.assignments().iter().filter(is_lost).collect();
    for held in lost {
        spread(held, heat, &mut loads, &mut moves);
    }
    let moving = table.assignments().iter().filter(|held| held.successor.is_some()).count();
    let moves_at_once = MOVES_AT_ONCE.max(candidates.len() / TARGETS_PER_MOVE);
    if moves.is_empty() {
        for _ in moving..moves_at_once {
            balance(table, heat, &mut loads, &mut moves, &may_move);
        }
    }
    moves
}

/// The serving target that holds the range, or is about to. `loads` are sorted by holder.
fn owner_index(loads: &[TargetLoad<'_>], held: &RangeAssignment) -> Option<usize> {
    let owner = held.successor.as_ref().or(held.holder.as_ref())?;
    loads.binary_search_by(|load| load.candidate.holder.cmp(owner)).ok()
}

fn total_speed(loads: &[TargetLoad<'_>]) -> f64 {
    loads.iter().map(|load| load.candidate.speed).sum()
}

fn average_load(loads: &[TargetLoad<'_>], extra: f64) -> f64 {
    let heat: f64 = loads.iter().map(|load| load.load * load.candidate.speed).sum();
    (heat + extra) / total_speed(loads)
}

/// Cuts the range of `held` into parts for the targets that are below the average.
fn spread(
    held: &RangeAssignment,
    heat: &HeatMap,
    loads: &mut [TargetLoad<'_>],
    moves: &mut Vec<RangeTransfer>,
) {
    let average = average_load(loads, heat.heat_of(held.range));
    let mut rest = Some(held.range);
    while let Some(range) = rest {
        let least = loads.iter_mut().min_by(|a, b| a.load.total_cmp(&b.load));
        let Some(target) = least else { return };
        let room = (average - target.load) * target.candidate.speed;
        let total = heat.heat_of(range);
        // A small remainder is not worth a range of its own.
        let part = match heat.prefix_within(range, room) {
            Some(part) if total > room * 1.2 => part,
            None if total > room * 1.2 => KeyRange { first: range.first, last: range.first },
            _ => range,
        };
        target.load += heat.heat_of(part) / target.candidate.speed;
        let to = target.candidate.holder.clone();
        moves.push(RangeTransfer { range: part, to, fence: held.fence });
        rest =
            (part.last < range.last).then(|| KeyRange { first: part.last + 1, last: range.last });
    }
}

/// Moves a part of the most loaded target's keys to the least loaded target.
fn balance(
    table: &RangeTable,
    heat: &HeatMap,
    loads: &mut [TargetLoad<'_>],
    moves: &mut Vec<RangeTransfer>,
    may_move: &impl Fn(&RangeAssignment) -> bool,
) {
    let average = average_load(loads, 0.0);
    let by_load = |a: &(usize, f64), b: &(usize, f64)| a.1.total_cmp(&b.1);
    let indexed = || loads.iter().enumerate().map(|(index, load)| (index, load.load));
    let (Some(most), Some(least)) = (indexed().max_by(by_load), indexed().min_by(by_load)) else {
        return;
    };
    if most.1 < average * RELIEF_FACTOR || most.0 == least.0 {
        return;
    }
    let giver = &loads[most.0].candidate.holder;
    let own = || table.assignments().iter().filter(|held| held.holder.as_ref() == Some(giver));
    let may_split = own().count() < RANGES_PER_TARGET;
    let is_taken = |range: KeyRange| moves.iter().any(|taken| taken.range.overlaps(range));
    let mut movable: Vec<(&RangeAssignment, f64)> = own()
        .filter(|held| held.successor.is_none() && may_move(held) && !is_taken(held.range))
        .map(|held| (held, heat.heat_of(held.range)))
        .collect();
    movable.sort_by(|a, b| b.1.total_cmp(&a.1));
    let (giver_speed, taker_speed) =
        (loads[most.0].candidate.speed, loads[least.0].candidate.speed);
    // The amount after which both have the same load.
    let wanted = (most.1 - least.1) * giver_speed * taker_speed / (giver_speed + taker_speed);
    if let Some((held, _)) = movable.first()
        && let Some(to) = faster_target(held.range, most.0, average, heat, loads)
    {
        let key = heat.hottest_key(held.range);
        let key = KeyRange { first: key, last: key };
        loads[most.0].load -= heat.heat_of(key) / giver_speed;
        loads[to].load += heat.heat_of(key) / loads[to].candidate.speed;
        let to = loads[to].candidate.holder.clone();
        moves.push(RangeTransfer { range: key, to, fence: held.fence });
        return;
    }
    let parts = movable.iter().filter_map(|(held, total)| {
        let part = part_of(held.range, *total, wanted, heat, may_split)?;
        Some((held.fence, part, heat.heat_of(part)))
    });
    let best = parts.max_by(|a, b| a.2.total_cmp(&b.2));
    let Some((fence, part, moved)) = best.filter(|best| best.2 >= average * LEAST_GAIN) else {
        return;
    };
    loads[most.0].load -= moved / giver_speed;
    loads[least.0].load += moved / taker_speed;
    let to = loads[least.0].candidate.holder.clone();
    moves.push(RangeTransfer { range: part, to, fence });
}

/// The target that is to have the hottest key of `range`, if that alone is too much for its holder
/// and much less for the other. What else that target has goes elsewhere afterwards.
fn faster_target(
    range: KeyRange,
    giver: usize,
    average: f64,
    heat: &HeatMap,
    loads: &[TargetLoad<'_>],
) -> Option<usize> {
    let key = heat.hottest_key(range);
    let key_heat = heat.heat_of(KeyRange { first: key, last: key });
    let own = key_heat / loads[giver].candidate.speed;
    if own < average * RELIEF_FACTOR {
        return None;
    }
    let load_there = |index: usize| key_heat / loads[index].candidate.speed;
    let fitting = (0..loads.len()).filter(|&index| load_there(index) <= own * HOT_KEY_GAIN);
    let total = |index: usize| load_there(index) + loads[index].load;
    fitting.min_by(|&a, &b| total(a).total_cmp(&total(b)))
}

/// The part of `range` whose heat comes closest to `wanted`. A single key with more than that stays
/// where it is: its neighbours go, from whichever side has more.
fn part_of(
    range: KeyRange,
    total: f64,
    wanted: f64,
    heat: &HeatMap,
    may_split: bool,
) -> Option<KeyRange> {
    if total <= wanted * OVERSHOOT {
        return Some(range);
    }
    if !may_split {
        return None;
    }
    let sides = [heat.prefix_within(range, wanted), heat.suffix_within(range, wanted)];
    sides.into_iter().flatten().max_by(|a, b| heat.heat_of(*a).total_cmp(&heat.heat_of(*b)))
}
