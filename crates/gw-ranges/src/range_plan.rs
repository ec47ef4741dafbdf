use crate::HeatMap;
use crate::HolderStanding;
use crate::KeyRange;
use crate::RangeAssignment;
use crate::RangeCandidate;
use crate::RangeTable;
use crate::RangeTransfer;

/// A target is relieved when its load exceeds the average by this factor.
const RELIEF_FACTOR: f64 = 1.2;
/// Ranges of one target beyond which no further ones are cut off for balance. Each range costs a
/// call for each renewal.
const RANGES_PER_TARGET: usize = 6;
/// Ranges that move at the same time for balance.
const MOVES_AT_ONCE: usize = 6;
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
    let is_serving = |c: &&RangeCandidate| c.standing == HolderStanding::Serving;
    let mut loads: Vec<TargetLoad<'_>> = candidates
        .iter()
        .filter(is_serving)
        .map(|candidate| TargetLoad { candidate, load: 0.0 })
        .collect();
    if loads.is_empty() {
        return Vec::new();
    }
    for held in table.assignments() {
        let owner = held.successor.as_ref().or(held.holder.as_ref());
        let found = loads.iter_mut().find(|load| Some(&load.candidate.holder) == owner);
        if let Some(load) = found {
            load.load += heat.heat_of(held.range) / load.candidate.speed;
        }
    }
    let mut moves = Vec::new();
    let is_lost = |held: &&RangeAssignment| {
        let owner = held.successor.as_ref().or(held.holder.as_ref());
        !loads.iter().any(|load| Some(&load.candidate.holder) == owner)
    };
    let lost: Vec<&RangeAssignment> = table.assignments().iter().filter(is_lost).collect();
    for held in lost {
        spread(held, heat, &mut loads, &mut moves);
    }
    let moving = table.assignments().iter().filter(|held| held.successor.is_some()).count();
    if moves.is_empty() {
        for _ in moving..MOVES_AT_ONCE {
            balance(table, heat, &mut loads, &mut moves, &may_move);
        }
    }
    moves
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
        let last = if total <= room * 1.2 { range.last } else { heat.cut(range, room.max(0.0)) };
        let part = KeyRange { first: range.first, last };
        target.load += heat.heat_of(part) / target.candidate.speed;
        let to = target.candidate.holder.clone();
        moves.push(RangeTransfer { range: part, to, fence: held.fence });
        rest = (last < range.last).then(|| KeyRange { first: last + 1, last: range.last });
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
    let ranges_of = |index: usize| {
        let holder = &loads[index].candidate.holder;
        table.assignments().iter().filter(|held| held.holder.as_ref() == Some(holder)).count()
    };
    let is_taken = |range: KeyRange| moves.iter().any(|taken| taken.range.overlaps(range));
    let own = table.assignments().iter().filter(|held| held.holder.as_ref() == Some(giver));
    let hottest = own
        .filter(|held| held.successor.is_none() && may_move(held) && !is_taken(held.range))
        .max_by(|a, b| heat.heat_of(a.range).total_cmp(&heat.heat_of(b.range)));
    let Some(held) = hottest else { return };
    let (giver_speed, taker_speed) =
        (loads[most.0].candidate.speed, loads[least.0].candidate.speed);
    // The amount after which both have the same load.
    let wanted = (most.1 - least.1) * giver_speed * taker_speed / (giver_speed + taker_speed);
    let total = heat.heat_of(held.range);
    let last = if total <= wanted { held.range.last } else { heat.cut(held.range, wanted) };
    let part = KeyRange { first: held.range.first, last };
    let moved = heat.heat_of(part);
    let is_split = last < held.range.last;
    if moved < average * LEAST_GAIN
        || moved > wanted * 1.6
        || (is_split && ranges_of(most.0) >= RANGES_PER_TARGET)
    {
        return;
    }
    loads[most.0].load -= moved / giver_speed;
    loads[least.0].load += moved / taker_speed;
    let to = loads[least.0].candidate.holder.clone();
    moves.push(RangeTransfer { range: part, to, fence: held.fence });
}
