use crate::DecayedCounts;
use crate::HolderStatus;
use crate::RangeAssignment;
use crate::RangeCandidate;
use crate::RangeHolder;
use crate::RangeTable;

/// Lower bound of the limit on moves out of evacuated zones that are in progress. The leader has as
/// many orders under way at a time; ranges announced beyond that would be out of service while they
/// wait for their release.
const MIN_MOVES: usize = 40;
/// Number of ranges to move for each move in progress, if that allows more than [`MIN_MOVES`]. A move
/// takes about one interval between plans, of which the time limit of an evacuation allows twelve.
const RANGES_PER_MOVE: usize = 8;

/// Decides the order and the pace in which ranges leave the holders of evacuated zones.
///
/// A holder serves its keys until its ranges are announced to move, so a range is announced only when
/// it can be handed over at once. The busiest ranges leave first: if the time limit passes or the
/// leader is lost halfway, the fewest requests are affected.
pub(crate) struct EvacuationPace<'a> {
    /// Evacuated holders, sorted.
    holders: Vec<&'a RangeHolder>,
}

impl<'a> EvacuationPace<'a> {
    pub(crate) fn new(candidates: &'a [RangeCandidate]) -> Self {
        let evacuated =
            candidates.iter().filter(|candidate| candidate.status == HolderStatus::Evacuated);
        let mut holders: Vec<_> = evacuated.map(|candidate| &candidate.holder).collect();
        holders.sort_unstable();
        Self { holders }
    }

    /// Returns whether an evacuated holder serves the range and no move of it is announced.
    pub(crate) fn is_due(&self, assignment: &RangeAssignment) -> bool {
        assignment.successor.is_none() && self.is_held(assignment)
    }

    fn is_held(&self, assignment: &RangeAssignment) -> bool {
        let holder = assignment.holder.as_ref();
        holder.is_some_and(|holder| self.holders.binary_search(&holder).is_ok())
    }

    /// Returns the number of ranges whose move may begin now.
    pub(crate) fn free_moves(&self, table: &RangeTable) -> usize {
        if self.holders.is_empty() {
            return 0;
        }
        let held = table.assignments().iter().filter(|assignment| self.is_held(assignment));
        let (mut remaining, mut moving) = (0, 0);
        for assignment in held {
            remaining += 1;
            moving += usize::from(assignment.successor.is_some());
        }
        MIN_MOVES.max(remaining / RANGES_PER_MOVE).saturating_sub(moving)
    }

    /// Returns the ranges of `due` that can be handed over at once, in the order in which they leave.
    pub(crate) fn order<'b>(
        &self,
        due: &[&'b RangeAssignment],
        counts: &DecayedCounts,
        may_move: impl Fn(&RangeAssignment) -> bool,
    ) -> Vec<&'b RangeAssignment> {
        let ready = due.iter().copied().filter(|assignment| may_move(assignment));
        let mut ranked: Vec<(f64, &RangeAssignment)> =
            ready.map(|assignment| (counts.requests_of(assignment.range), assignment)).collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        ranked.into_iter().map(|(_, assignment)| assignment).collect()
    }
}
