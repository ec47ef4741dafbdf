use gw_types::MAX_OVERRIDES;
use gw_types::SLOT_COUNT;
use gw_types::ServiceTable;
use gw_types::ZoneTable;

use crate::TableRule;

/// Checks the invariants of a zone table that its readers rely on: sort orders for binary searches,
/// and bounds.
pub(crate) fn check_table(table: &ZoneTable) -> Result<(), TableRule> {
    if !table.targets.is_sorted_by(|a, b| a.name < b.name) {
        return Err(TableRule::TargetsSorted);
    }
    if !table.services.is_sorted_by(|a, b| a.service < b.service) {
        return Err(TableRule::ServicesSorted);
    }
    table.services.iter().try_for_each(check_service)
}

fn check_service(service: &ServiceTable) -> Result<(), TableRule> {
    let ranges = &service.ranges;
    let is_in_bounds =
        ranges.iter().all(|range| range.first <= range.last && range.last < SLOT_COUNT);
    if !is_in_bounds || !ranges.is_sorted_by(|a, b| a.last < b.first) {
        return Err(TableRule::RangesDisjoint);
    }
    let overrides = &service.overrides;
    if overrides.len() > MAX_OVERRIDES || !overrides.is_sorted_by(|a, b| a.key < b.key) {
        return Err(TableRule::OverridesBounded);
    }
    Ok(())
}
