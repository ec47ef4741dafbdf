use gw_types::SLOT_COUNT;

/// Owner index of a slot that is not part of the plan.
pub(crate) const EXCLUDED: u16 = u16::MAX;
/// Owner index of a slot that needs an owner.
pub(crate) const UNASSIGNED: u16 = u16::MAX - 1;

/// Owner index of each slot, and the algorithm that balances them.
///
/// Slots are balanced if each owner has its proportional share rounded down or up. For the given
/// shares, as few slots as possible change owner.
#[derive(Clone, Debug)]
pub(crate) struct SlotBalance {
    pub(crate) owners: Vec<u16>,
    weights: Vec<u64>,
}

impl SlotBalance {
    /// Creates a plan that excludes all slots. `weights` has one entry per owner.
    pub(crate) fn new(weights: Vec<u64>) -> Self {
        Self { owners: vec![EXCLUDED; usize::from(SLOT_COUNT)], weights }
    }

    /// Sets the owner of the slots `first..=last`.
    pub(crate) fn fill(&mut self, first: u16, last: u16, owner: u16) {
        let last = last.min(SLOT_COUNT - 1);
        if first <= last {
            self.owners[usize::from(first)..=usize::from(last)].fill(owner);
        }
    }

    /// Assigns every unassigned slot and moves at most `budget` owned slots.
    pub(crate) fn balance(&mut self, budget: usize) {
        if self.weights.iter().all(|weight| *weight == 0) {
            return;
        }
        let counts = self.counts();
        let shares = self.shares(&counts);
        self.unassign_excess(&counts, &shares, budget);
        self.assign_slots(&shares);
    }

    fn counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.weights.len()];
        for owner in &self.owners {
            if let Some(count) = counts.get_mut(usize::from(*owner)) {
                *count += 1;
            }
        }
        counts
    }

    /// Returns the proportional share of each owner. Slots left over from rounding down go first to
    /// owners that would otherwise lose a slot, then by largest remainder, then by index.
    fn shares(&self, counts: &[usize]) -> Vec<usize> {
        let total = self.owners.iter().filter(|owner| **owner != EXCLUDED).count() as u64;
        let weight_sum: u64 = self.weights.iter().sum();
        let exact = |index: usize| total * self.weights[index];
        let mut shares: Vec<_> =
            (0..counts.len()).map(|index| (exact(index) / weight_sum) as usize).collect();
        let leftover = total as usize - shares.iter().sum::<usize>();
        let mut order: Vec<_> =
            (0..counts.len()).filter(|index| self.weights[*index] > 0).collect();
        order.sort_by_key(|&index| {
            let remainder = exact(index) % weight_sum;
            let loses = counts[index] > shares[index] && remainder > 0;
            (!loses, std::cmp::Reverse(remainder), index)
        });
        for index in order.into_iter().take(leftover) {
            shares[index] += 1;
        }
        shares
    }

    /// Unassigns the slots that owners have beyond their shares, short runs first, so that ranges
    /// stay compact.
    fn unassign_excess(&mut self, counts: &[usize], shares: &[usize], budget: usize) {
        let mut excess: Vec<_> =
            counts.iter().zip(shares).map(|(count, share)| count.saturating_sub(*share)).collect();
        if budget == 0 || excess.iter().all(|count| *count == 0) {
            return;
        }
        let mut budget = budget;
        let mut runs = self.runs();
        runs.retain(|run| excess.get(usize::from(run.owner)).is_some_and(|count| *count > 0));
        runs.sort_by_key(|run| (run.len, run.first));
        for run in runs {
            let remaining = &mut excess[usize::from(run.owner)];
            let freed = run.len.min(*remaining).min(budget);
            *remaining -= freed;
            budget -= freed;
            let end = run.first + run.len;
            self.owners[end - freed..end].fill(UNASSIGNED);
        }
    }

    fn assign_slots(&mut self, shares: &[usize]) {
        let counts = self.counts();
        let mut deficits: Vec<_> =
            shares.iter().zip(&counts).map(|(share, count)| share.saturating_sub(*count)).collect();
        for run in self.runs() {
            if run.owner == UNASSIGNED {
                self.assign_run(run, &mut deficits);
            }
        }
    }

    /// Extends the adjacent runs first, then gives pieces to the owner with the largest deficit.
    fn assign_run(&mut self, run: SlotRun, deficits: &mut [usize]) {
        let (mut first, mut end) = (run.first, run.first + run.len);
        if first > 0 {
            let owner = self.owners[first - 1];
            let taken = take_deficit(deficits, owner, end - first);
            self.owners[first..first + taken].fill(owner);
            first += taken;
        }
        if let Some(&owner) = self.owners.get(end) {
            let taken = take_deficit(deficits, owner, end - first);
            self.owners[end - taken..end].fill(owner);
            end -= taken;
        }
        while first < end {
            let largest = (0..deficits.len()).max_by_key(|&i| (deficits[i], std::cmp::Reverse(i)));
            let Some(owner) = largest.filter(|&index| deficits[index] > 0) else { return };
            let taken = take_deficit(deficits, owner as u16, end - first);
            self.owners[first..first + taken].fill(owner as u16);
            first += taken;
        }
    }

    /// Returns the runs of adjacent slots with one owner, without excluded slots.
    pub(crate) fn runs(&self) -> Vec<SlotRun> {
        let mut first = 0;
        let mut runs = Vec::new();
        for chunk in self.owners.chunk_by(|a, b| a == b) {
            if chunk[0] != EXCLUDED {
                runs.push(SlotRun { first, len: chunk.len(), owner: chunk[0] });
            }
            first += chunk.len();
        }
        runs
    }
}

/// Run of adjacent slots with one owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotRun {
    pub(crate) first: usize,
    pub(crate) len: usize,
    pub(crate) owner: u16,
}

impl SlotRun {
    /// Returns the first and the last slot.
    pub(crate) fn bounds(self) -> (u16, u16) {
        (self.first as u16, (self.first + self.len - 1) as u16)
    }
}

fn take_deficit(deficits: &mut [usize], owner: u16, at_most: usize) -> usize {
    let Some(deficit) = deficits.get_mut(usize::from(owner)) else { return 0 };
    let taken = at_most.min(*deficit);
    *deficit -= taken;
    taken
}
