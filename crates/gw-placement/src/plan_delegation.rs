use gw_types::SLOT_COUNT;
use gw_types::ZoneName;

use crate::slot_balance::SlotBalance;
use crate::slot_balance::UNASSIGNED;

/// Zone that may hold slots of a service, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedZone {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Sum of the work slots of the zone's targets of the service.
    pub work_slots: u32,
}

/// Contiguous range of slots delegated to one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneRange {
    /// First slot of the range.
    pub first: u16,
    /// Last slot of the range, inclusive.
    pub last: u16,
    /// Zone to which the slots are delegated.
    pub zone: ZoneName,
}

/// Divides all slots of a service among zones in proportion to their work slots.
///
/// Slots that `previous` does not list are also assigned, and as few slots as possible change zone.
/// Returns no ranges if no zone has work slots.
pub fn plan_delegation(zones: &[WeightedZone], previous: &[ZoneRange]) -> Vec<ZoneRange> {
    let mut zones: Vec<_> = zones.iter().filter(|zone| zone.work_slots > 0).collect();
    zones.sort_by(|a, b| a.zone.cmp(&b.zone));
    zones.dedup_by(|a, b| a.zone == b.zone);
    let weights = zones.iter().map(|zone| u64::from(zone.work_slots)).collect();
    let mut balance = SlotBalance::new(weights);
    balance.fill(0, SLOT_COUNT - 1, UNASSIGNED);
    for range in previous {
        if let Ok(index) = zones.binary_search_by(|zone| zone.zone.cmp(&range.zone)) {
            balance.fill(range.first, range.last, index as u16);
        }
    }
    balance.balance(usize::MAX);
    let to_range = |run: crate::slot_balance::SlotRun| {
        let (first, last) = run.bounds();
        let zone = zones.get(usize::from(run.owner))?.zone.clone();
        Some(ZoneRange { first, last, zone })
    };
    balance.runs().into_iter().filter_map(to_range).collect()
}
