use gw_types::SLOT_COUNT;
use gw_types::ServiceName;
use gw_types::SlotIndex;
use gw_types::TermNumber;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::DelegateRefusal;
use crate::ZoneRange;

/// Which zone holds each slot of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotDelegation {
    /// The service.
    pub service: ServiceName,
    /// Term of the latest change.
    pub term: TermNumber,
    /// Cover all slots in order, without gap or overlap.
    pub ranges: Vec<DelegatedRange>,
    /// Zones that earlier delegations gave slots to, sorted. Each of them may still hold slots that
    /// it was to let go of.
    pub earlier_holders: Vec<ZoneName>,
    /// Zones that nobody can hold slots in from before the term, sorted by zone.
    pub expired: Vec<ExpiredZone>,
}

/// A zone that was silent for `zone_hold` plus margin when a delegation was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiredZone {
    /// The zone.
    pub zone: ZoneName,
    /// Term of the delegation.
    pub term: TermNumber,
}

/// Neighbouring slots of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedRange {
    /// First slot.
    pub first: u16,
    /// Last slot, inclusive.
    pub last: u16,
    /// The zone.
    pub zone: ZoneName,
    /// Term of the change that gave the slots to the zone.
    pub term: TermNumber,
}

impl SlotDelegation {
    /// The range that `slot` is in.
    pub fn range(&self, slot: SlotIndex) -> Option<&DelegatedRange> {
        let place = self.ranges.partition_point(|range| range.last < slot.0);
        self.ranges.get(place)
    }

    /// The slots of `zone`.
    pub fn ranges_of<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a DelegatedRange> {
        self.ranges.iter().filter(move |range| range.zone.as_str() == zone)
    }

    /// The delegation after `wanted` replaced `previous`, and how many slots changed their zone.
    /// Slots that stay in their zone keep their term.
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
                let kept = known.filter(|known| known.zone == range.zone);
                if kept.is_none() {
                    moved += last - first + 1;
                }
                let term = kept.map_or(term, |known| known.term);
                delegation.push(DelegatedRange { first, last, zone: range.zone.clone(), term });
                first = last + 1;
            }
        }
        (delegation, moved)
    }

    /// All zones that may hold slots.
    fn holders(&self) -> Vec<ZoneName> {
        let mut holders = self.earlier_holders.clone();
        holders.extend(self.ranges.iter().map(|range| range.zone.clone()));
        holders.sort();
        holders.dedup();
        holders
    }

    /// Notes zones that can hold no slot from before this delegation.
    pub(crate) fn note_expired(&mut self, zones: &[ZoneName]) {
        let term = self.term;
        for zone in zones {
            match self.expired.binary_search_by(|known| known.zone.cmp(zone)) {
                Ok(place) => self.expired[place].term = term,
                Err(place) => self.expired.insert(place, ExpiredZone { zone: zone.clone(), term }),
            }
        }
    }

    /// Whether `zone` was silent when a delegation of `term` or later was made.
    pub fn is_expired(&self, zone: &ZoneName, term: TermNumber) -> bool {
        let place = self.expired.binary_search_by(|known| known.zone.cmp(zone));
        place.is_ok_and(|place| self.expired[place].term >= term)
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

/// Checks that `ranges` cover each slot exactly once in order.
pub(crate) fn check_cover(ranges: &[ZoneRange]) -> Result<(), DelegateRefusal> {
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
