use std::time::Duration;

use gw_control::ControlCommand;
use gw_control::ControlView;
use gw_control::SlotDelegation;
use gw_control::ZoneRange;
use gw_lease::LeaseGrantor;
use gw_placement::WeightedZone;
use gw_placement::ZoneRange as PlannedRange;
use gw_placement::plan_delegation;
use gw_types::SLOT_COUNT;
use gw_types::ServiceName;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::control_log::ControlLog;
use crate::outbox::Outbox;

/// Interval at which the delegations of all services are planned.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the first targets of a service to its first delegation. Targets in other zones can
/// join meanwhile, which avoids moving slots that were granted a moment before.
const FIRST_DELEGATION_DELAY: Duration = Duration::from_secs(1);
/// Minimum time between two changes of one service's delegation, except after a failure.
const CHANGE_INTERVAL: Duration = Duration::from_secs(30);
/// Minimum share of all slots that a change moves to another zone, except after a failure.
const MIN_CHANGED_SHARE: f64 = 0.1;

/// Plans which availability zone holds each slot of a keyed service. Runs on the control leader.
#[derive(Debug, Default)]
pub(crate) struct DelegationPlanner {
    next_plan: Timestamp,
    /// For each service, when it first had targets or its delegation last changed.
    services: Vec<(ServiceName, Timestamp)>,
}

impl DelegationPlanner {
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        zones: &[ZoneName],
        grantor: &mut LeaseGrantor,
        control: &mut ControlLog,
        out: &mut Outbox,
    ) {
        if now < self.next_plan {
            return;
        }
        self.next_plan = now + PLAN_INTERVAL;
        let commands: Vec<_> = {
            let view = control.view();
            let keyed = view.definitions().filter(|definition| definition.is_keyed());
            let names: Vec<_> = keyed.map(|definition| definition.name.clone()).collect();
            names.iter().filter_map(|name| self.plan(now, name, zones, grantor, view)).collect()
        };
        for command in commands {
            control.propose(now, command, out);
        }
    }

    fn plan(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        zones: &[ZoneName],
        grantor: &mut LeaseGrantor,
        view: ControlView<'_>,
    ) -> Option<ControlCommand> {
        let delegation = view.delegation(service.as_str());
        let expired: Vec<_> =
            zones.iter().filter(|zone| grantor.redelegation_allowed(now, zone)).cloned().collect();
        let weights = zone_weights(service, view, &expired);
        let previous = delegation.map(to_planned_ranges).unwrap_or_default();
        let wanted = plan_delegation(&weights, &previous);
        if wanted.is_empty() || wanted == previous {
            return None;
        }
        let is_idle = |zone: &ZoneName| !weights.iter().any(|weight| weight.zone == *zone);
        let has_idle_zone = previous.iter().any(|range| is_idle(&range.zone));
        let has_expired_holder = expired.iter().any(|zone| holds_slots(delegation, zone));
        let is_urgent = has_expired_holder || (has_idle_zone && delegation.is_some());
        if !is_urgent && !self.is_change_due(now, service, delegation, &wanted) {
            return None;
        }
        if expired.iter().any(|zone| !grantor.begin_redelegation(now, zone)) {
            return None;
        }
        self.record_change(now, service);
        Some(ControlCommand::Delegate {
            service: service.clone(),
            base: delegation.map_or(TermNumber(0), |known| known.term),
            ranges: wanted.into_iter().map(to_zone_range).collect(),
            expired,
        })
    }

    /// Whether a change that is not caused by a failure is due and moves enough slots.
    fn is_change_due(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        delegation: Option<&SlotDelegation>,
        wanted: &[PlannedRange],
    ) -> bool {
        let position = self.services.iter().position(|(known, _)| known == service);
        let since = match position {
            Some(position) => self.services[position].1,
            None => {
                self.services.push((service.clone(), now));
                now
            }
        };
        match delegation {
            None => now >= since + FIRST_DELEGATION_DELAY,
            Some(known) => {
                let moved = moved_slots(known, wanted);
                now >= since + CHANGE_INTERVAL
                    && f64::from(moved) >= MIN_CHANGED_SHARE * f64::from(SLOT_COUNT)
            }
        }
    }

    fn record_change(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(entry) = self.services.iter_mut().find(|(known, _)| known == service) {
            entry.1 = now;
        }
    }
}

fn holds_slots(delegation: Option<&SlotDelegation>, zone: &ZoneName) -> bool {
    delegation.is_some_and(|known| known.ranges_of(zone.as_str()).next().is_some())
}

/// The number of work slots that each zone has for a service, according to the zone tables in the
/// control log. `expired` zones and zones without work slots are left out.
fn zone_weights(
    service: &ServiceName,
    view: ControlView<'_>,
    expired: &[ZoneName],
) -> Vec<WeightedZone> {
    let tables = view.zone_tables().filter(|table| !expired.contains(&table.zone));
    let weights = tables.map(|table| {
        let targets = table
            .targets
            .iter()
            .filter(|target| target.service == *service && target.state.accepts_work());
        let work_slots = targets.map(|target| u32::from(target.work_slots)).sum();
        WeightedZone { zone: table.zone.clone(), work_slots }
    });
    weights.filter(|weight| weight.work_slots > 0).collect()
}

fn moved_slots(known: &SlotDelegation, wanted: &[PlannedRange]) -> u16 {
    let mut moved = 0;
    for range in wanted {
        let stays = known.ranges_of(range.zone.as_str()).map(|old| {
            let first = old.first.max(range.first);
            let last = old.last.min(range.last);
            if first > last { 0 } else { last - first + 1 }
        });
        moved += range.last - range.first + 1 - stays.sum::<u16>();
    }
    moved
}

fn to_planned_ranges(delegation: &SlotDelegation) -> Vec<PlannedRange> {
    let mut ranges: Vec<PlannedRange> = Vec::new();
    for range in &delegation.ranges {
        match ranges.last_mut() {
            Some(last) if last.zone == range.zone => last.last = range.last,
            _ => ranges.push(PlannedRange {
                first: range.first,
                last: range.last,
                zone: range.zone.clone(),
            }),
        }
    }
    ranges
}

fn to_zone_range(range: PlannedRange) -> ZoneRange {
    ZoneRange { first: range.first, last: range.last, zone: range.zone }
}
