use serde::Deserialize;
use serde::Serialize;

use crate::KeyRange;
use crate::RangeHolder;
use crate::RangeTransfer;

/// Assignment of one range to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeAssignment {
    /// Range that is assigned.
    pub range: KeyRange,
    /// Current holder; `None` until the first assignment.
    pub holder: Option<RangeHolder>,
    /// Fencing token of the holder; 0 until the first assignment.
    pub fence: u64,
    /// Next holder while a move is in progress.
    pub successor: Option<RangeHolder>,
}

impl RangeAssignment {
    /// Returns whether the two assignments can be merged. Ranges that move are kept separate, since
    /// one may be released before the other.
    fn can_merge_with(&self, other: &Self) -> bool {
        let is_moving = self.successor.is_some() || other.successor.is_some();
        !is_moving && self.holder == other.holder && self.fence == other.fence
    }
}

/// Maps every key of a service to its holder and fencing token.
///
/// Invariant: the assignments are sorted, cover every key exactly once, and adjacent assignments
/// differ in holder or fencing token unless one of them moves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeTable {
    assignments: Vec<RangeAssignment>,
}

impl Default for RangeTable {
    fn default() -> Self {
        let range = KeyRange::ALL;
        let unassigned = RangeAssignment { range, holder: None, fence: 0, successor: None };
        Self { assignments: vec![unassigned] }
    }
}

impl RangeTable {
    /// Returns all assignments, sorted by key.
    pub fn assignments(&self) -> &[RangeAssignment] {
        &self.assignments
    }

    /// Returns the assignment that contains `key`.
    pub fn find(&self, key: u16) -> &RangeAssignment {
        // The table covers every key, so the first range starts at 0.
        let end = self.assignments.partition_point(|assignment| assignment.range.first <= key);
        &self.assignments[end - 1]
    }

    /// Records the next holder of a range that is about to move. Returns `false`, without a change,
    /// if the range no longer has the expected fencing token.
    pub fn announce(&mut self, transfer: &RangeTransfer) -> bool {
        self.change(transfer, |assignment| assignment.successor = Some(transfer.to.clone()))
    }

    /// Assigns a range to a holder under `fence`, which must be higher than all earlier tokens.
    /// Returns `false`, without a change, if the range no longer has the expected fencing token.
    pub fn assign(&mut self, transfer: &RangeTransfer, fence: u64) -> bool {
        self.change(transfer, |assignment| {
            assignment.holder = Some(transfer.to.clone());
            assignment.fence = fence;
            assignment.successor = None;
        })
    }

    fn change(
        &mut self,
        transfer: &RangeTransfer,
        mut change: impl FnMut(&mut RangeAssignment),
    ) -> bool {
        let range = transfer.range;
        let mut parts =
            self.assignments.iter().filter(|assignment| assignment.range.overlaps(range));
        if !parts.all(|assignment| assignment.fence == transfer.fence) {
            return false;
        }
        self.split_at(range.first);
        if let Some(next) = range.last.checked_add(1) {
            self.split_at(next);
        }
        let covered =
            self.assignments.iter_mut().filter(|assignment| range.covers(assignment.range));
        covered.for_each(&mut change);
        self.merge_neighbours();
        true
    }

    /// Splits an assignment so that one starts at `first`.
    fn split_at(&mut self, first: u16) {
        let found =
            self.assignments.binary_search_by(|assignment| assignment.range.first.cmp(&first));
        let Err(index) = found else { return };
        let mut upper = self.assignments[index - 1].clone();
        upper.range.first = first;
        self.assignments[index - 1].range.last = first - 1;
        self.assignments.insert(index, upper);
    }

    fn merge_neighbours(&mut self) {
        self.assignments.dedup_by(|upper, lower| {
            let can_merge = upper.can_merge_with(lower);
            if can_merge {
                lower.range.last = upper.range.last;
            }
            can_merge
        });
    }
}
