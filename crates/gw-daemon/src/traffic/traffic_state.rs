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

/// What the control thread publishes to the traffic threads, and the drains that it orders.
///
/// Reading never locks. The control thread calls the `publish_*` functions and
/// [`start_drain`](Self::start_drain), in the order of the actions that `HostNode::step` returned.
pub struct TrafficState {
    clock: Arc<dyn Clock>,
    routes: ArcSwap<RoutingTable>,
    plan: ArcSwap<DispatchPlan>,
    profiles: ArcSwap<ProfileTable>,
    /// Counts publications of routes and plans. Changed after the snapshots, so that a reader who
    /// sees the new count sees the new snapshots.
    changes: watch::Sender<u64>,
    in_flight: InFlightTable,
    queues: QueueTable,
}

impl TrafficState {
    /// State without routes and duties.
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

    /// The current time on the host's clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Replaces the routes.
    pub fn publish_routes(&self, routes: Arc<RoutingTable>) {
        self.routes.store(routes);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Replaces the duties. Queued requests of a target that is no longer a assignment, or that runs
    /// under another boot id, are routed again.
    pub fn publish_plan(self: &Arc<Self>, plan: Arc<DispatchPlan>) {
        self.plan.store(plan.clone());
        self.queues.apply(self, &plan);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Replaces the profiles.
    pub fn publish_profiles(&self, profiles: Arc<ProfileTable>) {
        self.profiles.store(profiles);
    }

    /// Carries out a drain in a task of its own and sends [`NodeEvent::Drained`] when nothing of it
    /// is in flight. The routes without the old owner must have been published before.
    ///
    /// Must be called inside a tokio runtime.
    pub fn start_drain(self: &Arc<Self>, order: DrainOrder, control: Arc<dyn ControlHandle>) {
        let state = self.clone();
        tokio::spawn(async move {
            let left = order.cancel_at.since(state.now());
            let drained = state.in_flight.wait_drained(&order);
            if tokio::time::timeout(left, drained).await.is_err() {
                state.in_flight.cancel(&order);
                state.in_flight.wait_drained(&order).await;
            }
            log::info!("event=drained handover={} target={}", order.drain_id, order.target);
            control.send(NodeEvent::Drained { drain_id: order.drain_id });
        });
    }

    /// The routes.
    pub fn routes(&self) -> Guard<Arc<RoutingTable>> {
        self.routes.load()
    }

    /// The duties.
    pub fn plan(&self) -> Guard<Arc<DispatchPlan>> {
        self.plan.load()
    }

    /// The profiles.
    pub fn profiles(&self) -> Guard<Arc<ProfileTable>> {
        self.profiles.load()
    }

    /// The profile that `service` runs under, or the default rules when either is unknown here.
    pub(crate) fn profile_of(&self, service: &str) -> Arc<Profile> {
        let routes = self.routes();
        let definition = routes.service(service).map(|service| &service.definition);
        self.profiles().find(definition.map_or("default", |known| known.profile.as_str()))
    }

    /// Number of publications of routes and plans so far.
    pub fn change_count(&self) -> u64 {
        *self.changes.borrow()
    }

    /// Waits until the number of publications differs from `seen`, which was read before the
    /// snapshots.
    pub async fn changed_since(&self, seen: u64) {
        let mut changes = self.changes.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        changes.wait_for(|count| *count != seen).await.ok();
    }

    /// Requests that are being sent to targets.
    pub fn requests_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Requests that wait for their turn at a target.
    pub fn waiting_requests(&self) -> usize {
        self.queues.waiting()
    }

    /// Whether a byte may be written to the target of `assignment` now: the lease has not run out and the
    /// plan still names this run of the target.
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
