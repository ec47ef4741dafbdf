use gw_placement::MovePlanner;
use gw_placement::PlannedMove;
use gw_placement::ServiceView;
use gw_placement::WeightedTarget;
use gw_profile::MoveRules;
use gw_types::KeyHash;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::Scenario;
use crate::simulated_target::SimulatedTarget;
use crate::slot_owners::SlotOwners;

/// The move planner of one keyed service in one zone.
struct ZonePlanner {
    service: usize,
    zone: usize,
    planner: MovePlanner,
}

/// Move planners of the zone leaders: one per keyed service and zone.
pub(crate) struct ZonePlanners {
    planners: Vec<ZonePlanner>,
    work_slots: u32,
}

impl ZonePlanners {
    pub(crate) fn new(scenario: &Scenario, rules: &MoveRules) -> Self {
        let services = scenario.services.iter().enumerate();
        let keyed = services.filter(|(_, service)| service.is_keyed).map(|(index, _)| index);
        let planners = keyed.flat_map(|service| {
            (0..scenario.zones.len()).map(move |zone| ZonePlanner {
                service,
                zone,
                planner: MovePlanner::new(rules.clone(), Timestamp::ZERO),
            })
        });
        Self { planners: planners.collect(), work_slots: u32::from(scenario.work_slots) }
    }

    /// Adds the load that a run of `key` puts on a target of `zone`.
    pub(crate) fn observe(&mut self, service: usize, zone: usize, key: KeyHash, load_ns: u64) {
        let mut planners = self.planners.iter_mut();
        let found = planners.find(|planner| planner.service == service && planner.zone == zone);
        if let Some(found) = found {
            found.planner.observe_key(key, load_ns);
        }
    }

    /// Returns the moves that the planners decide on now, each with the index of its service.
    pub(crate) fn plan(
        &mut self,
        now: Timestamp,
        scenario: &Scenario,
        owners: &SlotOwners,
        targets: &[SimulatedTarget],
        target_names: &[TargetName],
    ) -> Vec<(usize, PlannedMove)> {
        let mut moves = Vec::new();
        for ZonePlanner { service, zone, planner } in &mut self.planners {
            let name = &scenario.services[*service].name;
            let table = owners.table(*service, *zone, name, targets, target_names);
            let members = targets.iter().zip(target_names).filter(|(target, _)| {
                target.service == *service && target.zone == *zone && target.is_listed
            });
            let mut members: Vec<_> = members
                .map(|(_, name)| WeightedTarget { name: name.clone(), weight: self.work_slots })
                .collect();
            members.sort_by(|a, b| a.name.cmp(&b.name));
            let view = ServiceView { targets: &members, table: &table };
            let planned = planner.plan(now, view).into_iter();
            moves.extend(planned.map(|planned| (*service, planned)));
        }
        moves
    }
}
