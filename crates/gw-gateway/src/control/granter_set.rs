use std::time::Duration;

use gw_fleet::FleetCommand;
use gw_fleet::FleetState;
use gw_ranges::DecayedCounts;
use gw_ranges::GranterAction;
use gw_ranges::GranterOptions;
use gw_ranges::HolderShare;
use gw_ranges::OrderOutcome;
use gw_ranges::RangeGranter;
use gw_ranges::RangeTable;
use gw_ranges::TargetOrder;
use gw_ranges::overloaded_holders;
use gw_types::ServiceName;
use gw_types::Timestamp;

use crate::control::target_monitor::TargetMonitor;
use crate::link::ServiceHeat;

/// Largest number of orders that were sent a short time ago and have not completed. A new leader
/// has to grant all ranges again; sending all grants at once would delay its heartbeats until it
/// loses the leadership.
const MAX_CONCURRENT_ORDERS: usize = 40;

struct ServiceGranter {
    granter: RangeGranter,
    counts: DecayedCounts,
}

/// The leader's range granters, one for each service that is partitioned by key.
pub(crate) struct GranterSet {
    options: GranterOptions,
    /// Sorted by service.
    services: Vec<ServiceGranter>,
}

impl GranterSet {
    /// Creates an empty set. A single grant lets a target serve keys for at most
    /// `max_lease_duration`.
    pub(crate) fn new(max_lease_duration: Duration) -> Self {
        let options = GranterOptions::default();
        let lease_duration = options.lease_duration.min(max_lease_duration);
        Self { options: GranterOptions { lease_duration, ..options }, services: Vec::new() }
    }

    /// Removes all granters. Called when this host gains or loses the leadership.
    pub(crate) fn restart(&mut self) {
        self.services.clear();
    }

    /// Adds the request counts for one service from an entry host's report.
    pub(crate) fn record_requests(&mut self, now: Timestamp, report: &ServiceHeat) {
        let found =
            self.services.iter_mut().find(|entry| *entry.granter.service() == report.service);
        let Some(entry) = found else { return };
        entry.counts.advance(now);
        report.counts.iter().for_each(|&(key, count)| entry.counts.add(key, count));
    }

    /// Advances the granters of all services and returns the orders to send and the commands to
    /// propose.
    pub(crate) fn step(
        &mut self,
        now: Timestamp,
        state: &FleetState,
        monitor: &TargetMonitor,
    ) -> (Vec<TargetOrder>, Vec<FleetCommand>) {
        let Some(config) = state.config() else { return (Vec::new(), Vec::new()) };
        for spec in config.services.iter().filter(|spec| spec.is_keyed) {
            self.add_service(now, &spec.name);
        }
        let (mut orders, mut commands) = (Vec::new(), Vec::new());
        let in_flight: usize =
            self.services.iter().map(|entry| entry.granter.orders_in_flight(now)).sum();
        let mut remaining_orders = MAX_CONCURRENT_ORDERS.saturating_sub(in_flight);
        let unassigned = RangeTable::default();
        for entry in &mut self.services {
            let service = entry.granter.service().clone();
            let table = state.table(&service).unwrap_or(&unassigned);
            let candidates = monitor.candidates(now, state, &service);
            entry.counts.advance(now);
            for action in
                entry.granter.step(now, table, &candidates, &entry.counts, remaining_orders)
            {
                match action {
                    GranterAction::Order(order) => {
                        remaining_orders -= 1;
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

    /// Returns the holders that receive more requests than they can process, sorted by holder. Cold
    /// ones are left out, since they get requests only by permits.
    pub(crate) fn overloaded(
        &self,
        now: Timestamp,
        state: &FleetState,
        monitor: &TargetMonitor,
    ) -> Vec<HolderShare> {
        let tables = self.services.iter().filter_map(|entry| {
            let table = state.table(entry.granter.service())?;
            Some((table, &entry.counts))
        });
        let mut shares: Vec<HolderShare> = tables
            .flat_map(|(table, counts)| {
                overloaded_holders(table, counts, |holder| monitor.capacity(now, state, holder))
            })
            .collect();
        shares.sort_by(|a, b| a.holder.cmp(&b.holder));
        shares
    }

    fn add_service(&mut self, now: Timestamp, service: &ServiceName) {
        let found = self.services.binary_search_by(|entry| entry.granter.service().cmp(service));
        if let Err(position) = found {
            let granter = RangeGranter::new(service.clone(), self.options, now);
            self.services
                .insert(position, ServiceGranter { granter, counts: DecayedCounts::new(now) });
        }
    }

    /// Passes the outcome of an order to its granter.
    pub(crate) fn order_done(
        &mut self,
        now: Timestamp,
        order: &TargetOrder,
        outcome: &OrderOutcome,
    ) {
        let found =
            self.services.iter_mut().find(|entry| *entry.granter.service() == order.service);
        if let Some(entry) = found {
            entry.granter.order_done(now, order, outcome);
        }
    }
}
