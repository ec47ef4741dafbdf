use gw_types::TargetName;

use crate::slot_balance::SlotBalance;
use crate::slot_balance::UNASSIGNED;

/// Target that may own slots, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedTarget {
    /// Name of the target.
    pub name: TargetName,
    /// Share of the slots relative to the other targets, usually the number of work slots.
    pub weight: u32,
}

/// Contiguous range of slots with one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRange {
    /// First slot of the range.
    pub first: u16,
    /// Last slot of the range, inclusive.
    pub last: u16,
    /// Owner of the slots; `None` if no target can own them.
    pub owner: Option<TargetName>,
}

/// Divides the slots of `previous` among `targets` in proportion to their weights.
///
/// Each target gets its share rounded down or up, as few slots as possible change owner, and ranges
/// stay compact. The result does not depend on the order of `targets`.
pub fn plan_assignment(targets: &[WeightedTarget], previous: &[OwnedRange]) -> Vec<OwnedRange> {
    let mut targets: Vec<_> = targets.iter().filter(|target| target.weight > 0).collect();
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    targets.dedup_by(|a, b| a.name == b.name);
    let weights = targets.iter().map(|target| u64::from(target.weight)).collect();
    let mut balance = SlotBalance::new(weights);
    for range in previous {
        let index = range
            .owner
            .as_ref()
            .and_then(|owner| targets.binary_search_by(|target| target.name.cmp(owner)).ok());
        balance.fill(range.first, range.last, index.map_or(UNASSIGNED, |index| index as u16));
    }
    balance.balance(usize::MAX);
    let to_range = |run: crate::slot_balance::SlotRun| {
        let (first, last) = run.bounds();
        let owner = targets.get(usize::from(run.owner)).map(|target| target.name.clone());
        OwnedRange { first, last, owner }
    };
    balance.runs().into_iter().map(to_range).collect()
}
