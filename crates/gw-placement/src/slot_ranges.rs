use gw_types::FencingToken;
use gw_types::SLOT_COUNT;
use gw_types::SlotRange;

/// Returns the range that contains `slot`.
pub(crate) fn find(ranges: &[SlotRange], slot: u16) -> Option<&SlotRange> {
    let index = ranges.partition_point(|range| range.last < slot);
    ranges.get(index).filter(|range| range.first <= slot)
}

/// Replaces the owner and token of the slots of `new`, and joins adjacent ranges with equal owner
/// and token.
pub(crate) fn overlay(ranges: &mut Vec<SlotRange>, new: SlotRange) {
    let at = cut(ranges, new.first, new.last);
    ranges.insert(at, new);
    join(ranges, at + 1);
    join(ranges, at);
}

/// Removes the slots `first..=last`.
pub(crate) fn remove(ranges: &mut Vec<SlotRange>, first: u16, last: u16) {
    cut(ranges, first, last);
}

/// Returns the parts of `ranges` within `first..=last`.
pub(crate) fn within(ranges: &[SlotRange], first: u16, last: u16) -> Vec<SlotRange> {
    let overlapping = ranges.iter().filter(|range| range.first <= last && range.last >= first);
    let clip = |range: &SlotRange| SlotRange {
        first: range.first.max(first),
        last: range.last.min(last),
        ..range.clone()
    };
    overlapping.map(clip).collect()
}

/// Returns the highest token in `first..=last`.
pub(crate) fn highest_token(ranges: &[SlotRange], first: u16, last: u16) -> FencingToken {
    let overlapping = ranges.iter().filter(|range| range.first <= last && range.last >= first);
    overlapping.map(|range| range.token).max().unwrap_or(FencingToken::NONE)
}

/// Removes the slots and returns the index at which a range of them would be inserted.
fn cut(ranges: &mut Vec<SlotRange>, first: u16, last: u16) -> usize {
    let from = ranges.partition_point(|range| range.last < first);
    let to = ranges.partition_point(|range| range.first <= last);
    let mut kept = Vec::with_capacity(2);
    let mut at = from;
    if let Some(range) = ranges[from..to].first().filter(|range| range.first < first) {
        kept.push(SlotRange { last: first - 1, ..range.clone() });
        at += 1;
    }
    if let Some(range) = ranges[from..to].last().filter(|range| range.last > last) {
        kept.push(SlotRange { first: last + 1, ..range.clone() });
    }
    ranges.splice(from..to, kept);
    at
}

/// Joins the range at `index` with the previous one if they are adjacent and have the same owner
/// and token.
fn join(ranges: &mut Vec<SlotRange>, index: usize) {
    if index == 0 || index >= ranges.len() {
        return;
    }
    let (before, after) = (&ranges[index - 1], &ranges[index]);
    let is_equal = before.owner == after.owner && before.token == after.token;
    if is_equal && before.last + 1 == after.first {
        ranges[index - 1].last = ranges[index].last;
        ranges.remove(index);
    }
}

/// Returns whether the ranges are valid, sorted and do not overlap.
pub(crate) fn is_sorted(ranges: &[SlotRange]) -> bool {
    let are_valid = ranges.iter().all(|range| range.first <= range.last && range.last < SLOT_COUNT);
    are_valid && ranges.windows(2).all(|pair| pair[0].last < pair[1].first)
}
