use gw_types::FencingToken;
use gw_types::KeyHash;
use gw_types::KeyOverride;
use gw_types::ServiceName;
use gw_types::ServiceTable;
use gw_types::SlotRange;
use gw_types::TargetName;
use serde::Deserialize;
use serde::Serialize;

use crate::DeltaError;
use crate::OverrideTable;
use crate::slot_ranges;

/// Range of changed slots. The owner is an index into the target names of the delta, which keeps
/// the delta small enough for a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaRange {
    /// First slot of the range.
    pub first: u16,
    /// Last slot of the range, inclusive.
    pub last: u16,
    /// Index of the owner's name; `None` if the slots have no owner.
    pub owner: Option<u16>,
    /// Token of the grant or revocation.
    pub token: FencingToken,
}

/// Changes of one service between two versions of a zone table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDelta {
    /// Service that changed.
    pub service: ServiceName,
    /// Slots that changed or that were added to the zone.
    pub ranges: Vec<DeltaRange>,
    /// First and last slot of each range that was removed from the zone.
    pub removed_ranges: Vec<(u16, u16)>,
    /// Overrides that changed or were added: key, index of the owner's name, and token.
    pub overrides: Vec<(KeyHash, Option<u16>, FencingToken)>,
    /// Keys whose override was removed.
    pub removed_overrides: Vec<KeyHash>,
}

impl ServiceDelta {
    /// Returns the changes from `old` to `new`, or `None` if there are none. `names` receives the
    /// target names that the changes refer to.
    pub(crate) fn between(
        old: Option<&ServiceTable>,
        new: &ServiceTable,
        names: &mut Vec<TargetName>,
    ) -> Option<Self> {
        let old_ranges = old.map_or(&[][..], |table| &table.ranges);
        let old_overrides = old.map_or(&[][..], |table| &table.overrides);
        let is_changed_range = |range: &&SlotRange| !covers(old_ranges, range);
        let to_delta = |range: &SlotRange, names: &mut Vec<TargetName>| DeltaRange {
            first: range.first,
            last: range.last,
            owner: range.owner.as_ref().map(|owner| index_of(names, owner)),
            token: range.token,
        };
        let ranges = new.ranges.iter().filter(is_changed_range).map(|range| to_delta(range, names));
        let ranges: Vec<_> = ranges.collect();
        let is_changed = |entry: &&KeyOverride| !old_overrides.contains(entry);
        let overrides = new.overrides.iter().filter(is_changed).map(|entry| {
            (entry.key, entry.owner.as_ref().map(|owner| index_of(names, owner)), entry.token)
        });
        let overrides: Vec<_> = overrides.collect();
        let is_removed = |entry: &&KeyOverride| {
            new.overrides.binary_search_by_key(&entry.key, |other| other.key).is_err()
        };
        let removed_overrides =
            old_overrides.iter().filter(is_removed).map(|entry| entry.key).collect();
        let removed_ranges = removed_between(old_ranges, &new.ranges);
        let delta = Self {
            service: new.service.clone(),
            ranges,
            removed_ranges,
            overrides,
            removed_overrides,
        };
        (old.is_none() || !delta.is_empty()).then_some(delta)
    }

    fn is_empty(&self) -> bool {
        self.ranges.is_empty()
            && self.removed_ranges.is_empty()
            && self.overrides.is_empty()
            && self.removed_overrides.is_empty()
    }

    /// Applies the changes to `table`.
    pub(crate) fn apply(
        &self,
        table: &mut ServiceTable,
        names: &[TargetName],
    ) -> Result<(), DeltaError> {
        let name = |index: Option<u16>| match index {
            None => Ok(None),
            Some(index) => match names.get(usize::from(index)) {
                Some(name) => Ok(Some(name.clone())),
                None => Err(DeltaError::Name(index)),
            },
        };
        for &(first, last) in &self.removed_ranges {
            check_bounds(first, last)?;
            slot_ranges::remove(&mut table.ranges, first, last);
        }
        for range in &self.ranges {
            check_bounds(range.first, range.last)?;
            let DeltaRange { first, last, token, .. } = *range;
            let owner = name(range.owner)?;
            slot_ranges::overlay(&mut table.ranges, SlotRange { first, last, owner, token });
        }
        for key in &self.removed_overrides {
            OverrideTable::new(&mut table.overrides).remove(*key);
        }
        for (key, owner, token) in &self.overrides {
            OverrideTable::new(&mut table.overrides).set(*key, name(*owner)?, *token)?;
        }
        Ok(())
    }
}

fn check_bounds(first: u16, last: u16) -> Result<(), DeltaError> {
    match first <= last && last < gw_types::SLOT_COUNT {
        true => Ok(()),
        false => Err(DeltaError::Slots { first, last }),
    }
}

/// Returns whether `ranges` already has the owner and token of `range` for all of its slots.
fn covers(ranges: &[SlotRange], range: &SlotRange) -> bool {
    slot_ranges::find(ranges, range.first).is_some_and(|existing| {
        existing.last >= range.last
            && existing.owner == range.owner
            && existing.token == range.token
    })
}

/// Returns the slots of `old` that `new` does not list.
fn removed_between(old: &[SlotRange], new: &[SlotRange]) -> Vec<(u16, u16)> {
    let mut removed = old.to_vec();
    for range in new {
        slot_ranges::remove(&mut removed, range.first, range.last);
    }
    removed.iter().map(|range| (range.first, range.last)).collect()
}

fn index_of(names: &mut Vec<TargetName>, name: &TargetName) -> u16 {
    let index = names.iter().position(|entry| entry == name).unwrap_or_else(|| {
        names.push(name.clone());
        names.len() - 1
    });
    index as u16
}
