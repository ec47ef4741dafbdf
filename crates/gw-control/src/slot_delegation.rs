use gw_types::SLOT_COUNT;
use gw_types::ServiceName;
use gw_types::SlotIndex;
use gw_types::TermNumber;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::DelegateRefusal;
use crate::ZoneRange;

/// The zone that each slot of a keyed service is delegated to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotDelegation {
    /// The service that the slots belong to.
    pub service: ServiceName,
    /// Term of the latest change.
    pub term: TermNumber,
    /// Ranges that cover all slots in order, without gap or overlap.
    pub ranges: Vec<DelegatedRange>,
    /// Zones that had slots under earlier delegations, sorted. Each of them may not have released
    /// yet the slots that were delegated away from it.
    pub earlier_holders: Vec<ZoneName>,
    /// Zones whose hold on slots has expired, sorted by zone.
    pub expired: Vec<ExpiredZone>,
}

/// A zone whose hold on its slots had expired when a delegation was made: its lease had not been
/// renewed for `zone_hold` plus margin. No host in it can hold slots from an earlier term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiredZone {
    /// The zone whose hold had expired.
    pub zone: ZoneName,
    /// Term of the delegation that recorded the expiry.
    pub term: TermNumber,
}

/// A range of slots that are delegated to one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedRange {
    /// First slot of the range.
    pub first: u16,
    /// Last slot of the range, inclusive.
    pub last: u16,
    /// The zone that holds the slots.
    pub zone: ZoneName,
    /// Term of the delegation that gave the slots to the zone.
    pub term: TermNumber,
}

impl SlotDelegation {
    /// The range that contains `slot`.
    pub fn range(&self, slot: SlotIndex) -> Option<&DelegatedRange> {
        let position = self.ranges.partition_point(|range| range.last < slot.0);
        self.ranges.get(position)
    }

    /// The ranges that are delegated to `zone`.
    pub fn ranges_of<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a DelegatedRange> {
        self.ranges.iter().filter(move |range| range.zone.as_str() == zone)
    }

    /// Builds the delegation with the ranges `wanted` that replaces `previous`, and counts the
    /// slots that change their zone. Slots that stay in their zone keep their term.
    pub(crate) fn replace(
        service: ServiceName,
        previous: Option<&SlotDelegation>,
        wanted: &[ZoneRange],
        term: TermNumber,
    ) -> (Self, u16) {
        let mut delegation = Self {
            service,
            term,
            ranges: Vec::new(),
            earlier_holders: previous.map(SlotDelegation::holders).unwrap_or_default(),
            expired: previous.map(|previous| previous.expired.clone()).unwrap_or_default(),
        };
        let mut moved = 0;
        for range in wanted {
            let mut first = range.first;
            while first <= range.last {
                let known = previous.and_then(|previous| previous.range(SlotIndex(first)));
                let last = known.map_or(range.last, |known| known.last.min(range.last));
                let unmoved = known.filter(|known| known.zone == range.zone);
                if unmoved.is_none() {
                    moved += last - first + 1;
                }
                let term = unmoved.map_or(term, |known| known.term);
                delegation.push(DelegatedRange { first, last, zone: range.zone.clone(), term });
                first = last + 1;
            }
        }
        (delegation, moved)
    }

    /// All zones that may hold slots, sorted.
    fn holders(&self) -> Vec<ZoneName> {
        let mut holders = self.earlier_holders.clone();
        holders.extend(self.ranges.iter().map(|range| range.zone.clone()));
        holders.sort();
        holders.dedup();
        holders
    }

    /// Records zones whose hold had expired when this delegation was made.
    pub(crate) fn mark_expired(&mut self, zones: &[ZoneName]) {
        let term = self.term;
        for zone in zones {
            match self.expired.binary_search_by(|known| known.zone.cmp(zone)) {
                Ok(position) => self.expired[position].term = term,
                Err(position) => {
                    self.expired.insert(position, ExpiredZone { zone: zone.clone(), term })
                }
            }
        }
    }

    /// Whether the hold of `zone` had expired when a delegation of `term` or later was made.
    pub fn is_expired(&self, zone: &ZoneName, term: TermNumber) -> bool {
        let position = self.expired.binary_search_by(|known| known.zone.cmp(zone));
        position.is_ok_and(|position| self.expired[position].term >= term)
    }

    fn push(&mut self, range: DelegatedRange) {
        match self.ranges.last_mut() {
            Some(last) if last.zone == range.zone && last.term == range.term => {
                last.last = range.last;
            }
            _ => self.ranges.push(range),
        }
    }
}

/// Checks that `ranges` cover each slot exactly once and are in order.
pub(crate) fn check_coverage(ranges: &[ZoneRange]) -> Result<(), DelegateRefusal> {
    let mut next = 0;
    for range in ranges {
        if range.first != next || range.last < range.first || range.last >= SLOT_COUNT {
            let slot = next.min(range.first).min(SLOT_COUNT - 1);
            return Err(DelegateRefusal::NotCovered { slot });
        }
        next = range.last + 1;
    }
    if next == SLOT_COUNT { Ok(()) } else { Err(DelegateRefusal::NotCovered { slot: next }) }
}
