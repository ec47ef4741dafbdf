use std::time::Duration;

use gw_fleet::FleetCommand;
use gw_fleet::FleetState;
use gw_ranges::GranterAction;
use gw_ranges::GranterOptions;
use gw_ranges::HeatMap;
use gw_ranges::HolderShare;
use gw_ranges::OrderOutcome;
use gw_ranges::RangeGranter;
use gw_ranges::RangeTable;
use gw_ranges::TargetOrder;
use gw_ranges::overloaded_holders;
use gw_types::ServiceName;
use gw_types::Timestamp;

use crate::control::target_watch::TargetWatch;
use crate::link::ServiceHeat;

/// Orders under way at the same time. A new leader grants everything anew; all at once, that would
/// keep it from its heartbeats until it loses the lead again.
const ORDERS_AT_ONCE: usize = 40;

struct KeptService {
    granter: RangeGranter,
    heat: HeatMap,
}

/// The granters of all services that are divided by key, on the leader.
pub(crate) struct RangeKeeper {
    options: GranterOptions,
    /// Sorted by service.
    services: Vec<KeptService>,
}

impl RangeKeeper {
    /// A keeper without services. Targets are granted keys for at most `max_lease_time`.
    pub(crate) fn new(max_lease_time: Duration) -> Self {
        let options = GranterOptions::default();
        let lease_duration = options.lease_duration.min(max_lease_time);
        Self { options: GranterOptions { lease_duration, ..options }, services: Vec::new() }
    }

    /// Forgets all granters, when the host gains or loses the lead.
    pub(crate) fn restart(&mut self) {
        self.services.clear();
    }

    /// Adds requests that an entry host has counted.
    pub(crate) fn note_heat(&mut self, now: Timestamp, heat: &ServiceHeat) {
        let found = self.services.iter_mut().find(|kept| *kept.granter.service() == heat.service);
        let Some(kept) = found else { return };
        kept.heat.advance(now);
        heat.counts.iter().for_each(|&(key, count)| kept.heat.add(key, count));
    }

    /// What is due for all services.
    pub(crate) fn step(
        &mut self,
        now: Timestamp,
        state: &FleetState,
        watch: &TargetWatch,
    ) -> (Vec<TargetOrder>, Vec<FleetCommand>) {
        let Some(config) = state.config() else { return (Vec::new(), Vec::new()) };
        for spec in config.services.iter().filter(|spec| spec.is_keyed) {
            self.add_service(now, &spec.name);
        }
        let (mut orders, mut commands) = (Vec::new(), Vec::new());
        let under_way: usize =
            self.services.iter().map(|kept| kept.granter.orders_in_flight()).sum();
        let mut left = ORDERS_AT_ONCE.saturating_sub(under_way);
        let unassigned = RangeTable::default();
        for kept in &mut self.services {
            let service = kept.granter.service().clone();
            let table = state.table(&service).unwrap_or(&unassigned);
            let candidates = watch.candidates(now, state, &service);
            kept.heat.advance(now);
            for action in kept.granter.step(now, table, &candidates, &kept.heat, left) {
                match action {
                    GranterAction::Order(order) => {
                        left -= 1;
                        orders.push(order);
                    }
                    GranterAction::Propose(change) => {
                        commands.push(FleetCommand::ChangeRanges(change));
                    }
                }
            }
        }
        (orders, commands)
    }

    /// Holders that are asked for more than they can run, sorted by holder.
    pub(crate) fn overloaded(
        &self,
        now: Timestamp,
        state: &FleetState,
        watch: &TargetWatch,
    ) -> Vec<HolderShare> {
        let tables = self.services.iter().filter_map(|kept| {
            let table = state.table(kept.granter.service())?;
            Some((table, &kept.heat))
        });
        let mut shares: Vec<HolderShare> = tables
            .flat_map(|(table, heat)| {
                overloaded_holders(table, heat, |holder| watch.capacity(now, state, holder))
            })
            .collect();
        shares.sort_by(|a, b| a.holder.cmp(&b.holder));
        shares
    }

    fn add_service(&mut self, now: Timestamp, service: &ServiceName) {
        let found = self.services.binary_search_by(|kept| kept.granter.service().cmp(service));
        if let Err(position) = found {
            let granter = RangeGranter::new(service.clone(), self.options, now);
            self.services.insert(position, KeptService { granter, heat: HeatMap::new(now) });
        }
    }

    /// Notes how an order ended.
    pub(crate) fn order_done(
        &mut self,
        now: Timestamp,
        order: &TargetOrder,
        outcome: &OrderOutcome,
    ) {
        let found = self.services.iter_mut().find(|kept| *kept.granter.service() == order.service);
        if let Some(kept) = found {
            kept.granter.order_done(now, order, outcome);
        }
    }
}
