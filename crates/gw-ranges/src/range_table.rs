use serde::Deserialize;
use serde::Serialize;

use crate::KeyRange;
use crate::RangeHolder;
use crate::RangeTransfer;

/// Who holds a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeAssignment {
    /// The keys.
    pub range: KeyRange,
    /// The holder; `None` until the first assignment.
    pub holder: Option<RangeHolder>,
    /// The holder's fencing token; 0 until the first assignment.
    pub fence: u64,
    /// The next holder, while a move is under way.
    pub successor: Option<RangeHolder>,
}

impl RangeAssignment {
    /// Whether both can be one range. Moves stay apart: one may be released before the other.
    fn is_one_with(&self, other: &Self) -> bool {
        let is_moving = self.successor.is_some() || other.successor.is_some();
        !is_moving && self.holder == other.holder && self.fence == other.fence
    }
}

/// Who holds which keys of a service.
///
/// Invariant: the assignments are sorted, cover every key once, and no neighbours agree in holder
/// and fencing token unless one of them moves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeTable {
    assignments: Vec<RangeAssignment>,
}

impl Default for RangeTable {
    fn default() -> Self {
        let range = KeyRange::ALL;
        let unheld = RangeAssignment { range, holder: None, fence: 0, successor: None };
        Self { assignments: vec![unheld] }
    }
}

impl RangeTable {
    /// All assignments, by key.
    pub fn assignments(&self) -> &[RangeAssignment] {
        &self.assignments
    }

    /// The assignment of `key`.
    pub fn find(&self, key: u16) -> &RangeAssignment {
        // The table covers every key, so the first range starts at 0.
        let after = self.assignments.partition_point(|held| held.range.first <= key);
        &self.assignments[after - 1]
    }

    /// Notes that a range is about to go to another holder. Returns whether it had an effect.
    pub fn announce(&mut self, transfer: &RangeTransfer) -> bool {
        self.change(transfer, |held| held.successor = Some(transfer.to.clone()))
    }

    /// Gives a range to a holder under `fence`, which must be above all earlier ones. Returns
    /// whether it had an effect.
    pub fn assign(&mut self, transfer: &RangeTransfer, fence: u64) -> bool {
        self.change(transfer, |held| {
            held.holder = Some(transfer.to.clone());
            held.fence = fence;
            held.successor = None;
        })
    }

    fn change(
        &mut self,
        transfer: &RangeTransfer,
        mut change: impl FnMut(&mut RangeAssignment),
    ) -> bool {
        let range = transfer.range;
        let mut parts = self.assignments.iter().filter(|held| held.range.overlaps(range));
        if !parts.all(|held| held.fence == transfer.fence) {
            return false;
        }
        self.split_at(range.first);
        if let Some(next) = range.last.checked_add(1) {
            self.split_at(next);
        }
        let within = self.assignments.iter_mut().filter(|held| range.covers(held.range));
        within.for_each(&mut change);
        self.merge_neighbours();
        true
    }

    /// Makes `first` the start of a range.
    fn split_at(&mut self, first: u16) {
        let found = self.assignments.binary_search_by(|held| held.range.first.cmp(&first));
        let Err(index) = found else { return };
        let mut upper = self.assignments[index - 1].clone();
        upper.range.first = first;
        self.assignments[index - 1].range.last = first - 1;
        self.assignments.insert(index, upper);
    }

    fn merge_neighbours(&mut self) {
        self.assignments.dedup_by(|upper, lower| {
            let is_same = upper.is_one_with(lower);
            if is_same {
                lower.range.last = upper.range.last;
            }
            is_same
        });
    }
}
