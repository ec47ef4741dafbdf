use gw_node::HostNode;
use gw_types::HostId;
use gw_types::SLOT_COUNT;
use gw_types::ServiceDefinition;
use gw_types::ServiceName;
use gw_types::SlotRange;
use gw_types::TargetState;
use gw_types::Timestamp;
use gw_types::ZoneTable;
use serde::Deserialize;
use serde::Serialize;

use crate::operators::reachability::Reachability;

/// Slots of one keyed service whose owner requests cannot reach, as seen by one host.
///
/// Each slot counts once, under the first cause that applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyReport {
    /// Name of the service.
    pub service: ServiceName,
    /// Total number of slots of the service.
    pub slots: u32,
    /// Number of slots without a reachable owner: the sum of the four causes below.
    pub unreachable_slots: u32,
    /// Slots that no zone table lists, or that are listed without an owner.
    pub without_owner: u32,
    /// Slots whose owner is lost or not in the zone table.
    pub owner_lost: u32,
    /// Slots whose owner has no dispatcher.
    pub without_dispatcher: u32,
    /// Slots whose owner has a dispatcher that the answering host cannot reach.
    pub dispatcher_unreachable: u32,
    /// Time in milliseconds for which an unreachable zone keeps its slots, set by the profile in
    /// force. After it, the slots of a lost zone are delegated to other zones.
    pub zone_hold_ms: u32,
}

/// Whether requests reach the owner of a slot, or why not. Ordered by preference: if two zone
/// tables list a slot, the smaller value counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SlotAccess {
    Reachable,
    DispatcherUnreachable,
    WithoutDispatcher,
    OwnerLost,
    WithoutOwner,
}

impl KeyReport {
    /// Creates the reports of all keyed services, sorted by service.
    pub(super) fn all(node: &HostNode, now: Timestamp) -> Vec<Self> {
        let reachable = Reachability::new(node, now).reachable_hosts();
        let services = node.control_view().definitions();
        services
            .filter(|service| service.is_keyed())
            .map(|service| Self::of(node, &reachable, service))
            .collect()
    }

    fn of(node: &HostNode, reachable: &[HostId], service: &ServiceDefinition) -> Self {
        let name = service.name.as_str();
        let mut slots = vec![SlotAccess::WithoutOwner; usize::from(SLOT_COUNT)];
        for table in node.zone_tables() {
            let ranges = table.service(name).map_or(&[][..], |routes| &routes.ranges);
            for range in ranges {
                let access = access_of(reachable, table, range);
                // While a slot moves to another zone, two tables may list it. The slot is reachable
                // if either of them makes it so.
                for slot in &mut slots[usize::from(range.first)..=usize::from(range.last)] {
                    *slot = access.min(*slot);
                }
            }
        }
        let count = |wanted| slots.iter().filter(|access| **access == wanted).count() as u32;
        let rules = node.control_view().effective_profile(service.profile.as_str());
        Self {
            service: service.name.clone(),
            slots: u32::from(SLOT_COUNT),
            unreachable_slots: u32::from(SLOT_COUNT) - count(SlotAccess::Reachable),
            without_owner: count(SlotAccess::WithoutOwner),
            owner_lost: count(SlotAccess::OwnerLost),
            without_dispatcher: count(SlotAccess::WithoutDispatcher),
            dispatcher_unreachable: count(SlotAccess::DispatcherUnreachable),
            zone_hold_ms: rules.profile.moves.zone_hold_ms,
        }
    }
}

fn access_of(reachable: &[HostId], table: &ZoneTable, range: &SlotRange) -> SlotAccess {
    let Some(owner) = &range.owner else { return SlotAccess::WithoutOwner };
    match table.target(owner.as_str()) {
        None => SlotAccess::OwnerLost,
        Some(target) if target.state == TargetState::Lost => SlotAccess::OwnerLost,
        Some(target) => match target.dispatcher {
            None => SlotAccess::WithoutDispatcher,
            Some(host) if reachable.binary_search(&host).is_ok() => SlotAccess::Reachable,
            Some(_) => SlotAccess::DispatcherUnreachable,
        },
    }
}
