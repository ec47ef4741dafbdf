use std::sync::Arc;

use arc_swap::ArcSwap;
use arc_swap::Guard;
use gw_node::DispatchAssignment;
use gw_node::DispatchPlan;
use gw_node::DrainOrder;
use gw_node::NodeEvent;
use gw_profile::Profile;
use gw_types::Clock;
use gw_types::RoutingTable;
use gw_types::Timestamp;
use tokio::sync::watch;

use crate::control::ControlHandle;
use crate::dispatch::InFlightTable;
use crate::dispatch::QueueTable;
use crate::traffic::ProfileTable;

/// State that the control thread publishes to the traffic threads, and the drains that it orders.
///
/// Reads do not lock. The control thread calls the `publish_*` functions and
/// [`start_drain`](Self::start_drain) in the order of the actions that `HostNode::step` returned.
pub struct TrafficState {
    clock: Arc<dyn Clock>,
    routes: ArcSwap<RoutingTable>,
    plan: ArcSwap<DispatchPlan>,
    profiles: ArcSwap<ProfileTable>,
    /// Number of publications of routes and plans. Incremented after a snapshot is stored, so that
    /// a reader of the new count also reads the new snapshot.
    changes: watch::Sender<u64>,
    in_flight: InFlightTable,
    queues: QueueTable,
}

impl TrafficState {
    /// Creates a state without routes, assignments and profiles.
    pub fn new(clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self {
            clock,
            routes: ArcSwap::default(),
            plan: ArcSwap::default(),
            profiles: ArcSwap::default(),
            changes: watch::Sender::new(0),
            in_flight: InFlightTable::default(),
            queues: QueueTable::default(),
        })
    }

    /// Returns the current time of the host's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Replaces the routing table.
    pub fn publish_routes(&self, routes: Arc<RoutingTable>) {
        self.routes.store(routes);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Replaces the dispatch plan. Requests that wait for a target that is no longer assigned to
    /// this host, or that has another boot ID, are routed again.
    pub fn publish_plan(self: &Arc<Self>, plan: Arc<DispatchPlan>) {
        self.plan.store(plan.clone());
        self.queues.apply(self, &plan);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Replaces the profiles.
    pub fn publish_profiles(&self, profiles: Arc<ProfileTable>) {
        self.profiles.store(profiles);
    }

    /// Spawns a task that waits for the requests that `order` covers, cancels them once its time
    /// has passed, and sends [`NodeEvent::Drained`] when none is in flight. The routing table
    /// without the old owner must have been published before.
    ///
    /// Must be called within a tokio runtime.
    pub fn start_drain(self: &Arc<Self>, order: DrainOrder, control: Arc<dyn ControlHandle>) {
        let state = self.clone();
        tokio::spawn(async move {
            let remaining = order.cancel_at.since(state.now());
            let drained = state.in_flight.wait_drained(&order);
            if tokio::time::timeout(remaining, drained).await.is_err() {
                state.in_flight.cancel(&order);
                state.in_flight.wait_drained(&order).await;
            }
            log::info!("event=drained handover={} target={}", order.drain_id, order.target);
            control.send(NodeEvent::Drained { drain_id: order.drain_id });
        });
    }

    /// Returns the current routing table.
    pub fn routes(&self) -> Guard<Arc<RoutingTable>> {
        self.routes.load()
    }

    /// Returns the current dispatch plan.
    pub fn plan(&self) -> Guard<Arc<DispatchPlan>> {
        self.plan.load()
    }

    /// Returns the current profiles.
    pub fn profiles(&self) -> Guard<Arc<ProfileTable>> {
        self.profiles.load()
    }

    /// Returns the profile of `service`, or one with the default rules if the service or the
    /// profile is unknown to this host.
    pub(crate) fn profile_of(&self, service: &str) -> Arc<Profile> {
        let routes = self.routes();
        let definition = routes.service(service).map(|service| &service.definition);
        self.profiles().find(definition.map_or("default", |known| known.profile.as_str()))
    }

    /// Returns the number of publications of routes and plans.
    pub fn change_count(&self) -> u64 {
        *self.changes.borrow()
    }

    /// Waits until [`change_count`](Self::change_count) differs from `seen`, which must have been
    /// read before the snapshots.
    pub async fn changed_since(&self, seen: u64) {
        let mut changes = self.changes.subscribe();
        // The sender is owned by `self`, so waiting cannot fail.
        changes.wait_for(|count| *count != seen).await.ok();
    }

    /// Returns the number of requests in flight to targets.
    pub fn requests_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of requests that wait for a work slot of a target.
    pub fn waiting_requests(&self) -> usize {
        self.queues.waiting()
    }

    /// Returns whether the target of `assignment` may be written to: the plan still contains this
    /// process of the target, and its lease has not expired.
    pub(crate) fn may_write(&self, assignment: &DispatchAssignment) -> bool {
        let plan = self.plan.load();
        let Some(current) = plan.assignment(assignment.target.name.as_str()) else { return false };
        current.target.boot == assignment.target.boot
            && current.target.address == assignment.target.address
            && self.now() < current.lease_end
    }

    pub(crate) fn in_flight(&self) -> &InFlightTable {
        &self.in_flight
    }

    pub(crate) fn queues(&self) -> &QueueTable {
        &self.queues
    }
}
