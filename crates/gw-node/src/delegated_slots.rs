use gw_control::ControlView;
use gw_control::SlotDelegation as ControlDelegation;
use gw_placement::SlotDelegation;
use gw_types::ZoneName;

/// The slots that `delegation` gives to `zone`. A range is `ready` once every zone that held its
/// slots before has released them.
pub(crate) fn delegated_slots(
    delegation: &ControlDelegation,
    zone: &ZoneName,
    view: ControlView<'_>,
) -> Vec<SlotDelegation> {
    let ranges = delegation.ranges_of(zone.as_str());
    let to_slots = |range: &gw_control::DelegatedRange| SlotDelegation {
        first: range.first,
        last: range.last,
        term: range.term,
        ready: view.is_released(delegation.service.as_str(), range),
    };
    ranges.map(to_slots).collect()
}
