use std::sync::Arc;
use std::time::Duration;

use gw_lease::DispatcherAnswer;
use gw_lease::DispatcherGrant;
use gw_lease::DispatcherLease;
use gw_lease::LeaseOptions;
use gw_placement::DrainDone;
use gw_placement::DrainRequest;
use gw_placement::HandoverId;
use gw_placement::HandoverSubject;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::RoutingTable;
use gw_types::ServiceRoutes;
use gw_types::SlotIndex;
use gw_types::TableVersion;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneTable;

use crate::DispatchAssignment;
use crate::DispatchPlan;
use crate::DrainOrder;
use crate::DrainScope;
use crate::NodeAction;
use crate::PeerMessage;
use crate::outbox::Outbox;

/// Time after which the requests in flight of a drain are cancelled. A key may be without an owner
/// for at most 3 s; the rest of that time is for the handover itself.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of finished drains that are remembered to answer repeated requests at once, and
/// of requests that wait for routes.
const MAX_KEPT_DRAINS: usize = 256;

/// State of this host as dispatcher: the targets that it may send to, and the drains of targets,
/// slots and keys that it gives up.
#[derive(Debug)]
pub(crate) struct DispatcherState {
    host: HostId,
    started: Timestamp,
    lease: DispatcherLease,
    /// Targets of the latest grant, sorted.
    granted: Vec<TargetName>,
    /// Targets that the latest grant left out and whose requests in flight are being drained.
    revoked: Vec<RevokedTarget>,
    /// Drains that the zone leader asked for and that are not finished.
    drains: Vec<ActiveDrain>,
    /// Drain requests that wait for the routes of their revocation, at most [`MAX_KEPT_DRAINS`].
    /// The zone leader repeats those that are dropped.
    waiting: Vec<(HostId, DrainRequest)>,
    finished: Vec<HandoverId>,
    next_id: u64,
    plan: Arc<DispatchPlan>,
}

#[derive(Debug)]
struct RevokedTarget {
    target: TargetName,
    drain_id: u64,
    is_idle: bool,
}

#[derive(Debug)]
struct ActiveDrain {
    drain_id: u64,
    id: HandoverId,
    leader: HostId,
}

impl DispatcherState {
    pub(crate) fn new(host: HostId, boot: BootId, now: Timestamp) -> Self {
        Self {
            host,
            started: now,
            lease: DispatcherLease::new(host, boot, LeaseOptions::dispatcher(), now),
            granted: Vec::new(),
            revoked: Vec::new(),
            drains: Vec::new(),
            waiting: Vec::new(),
            finished: Vec::new(),
            next_id: 1,
            plan: Arc::default(),
        }
    }

    /// Handles a grant of the zone leader, which replaces the set of targets that this host sends
    /// to, and answers it.
    pub(crate) fn handle_grant(
        &mut self,
        now: Timestamp,
        from: HostId,
        grant: &DispatcherGrant,
        out: &mut Outbox,
    ) {
        self.drain_revoked(now, &grant.targets, out);
        let revoked = &self.revoked;
        let is_idle = |target: &TargetName| {
            revoked.iter().filter(|known| known.target == *target).all(|known| known.is_idle)
        };
        let Some(answer) = self.lease.handle(now, grant, is_idle) else { return };
        self.granted.clone_from(&grant.targets);
        self.revoked.retain(|known| answer.draining.contains(&known.target));
        out.datagram(from, PeerMessage::DispatcherAnswer(answer));
    }

    /// Orders a drain of each granted target that is not in `targets`.
    fn drain_revoked(&mut self, now: Timestamp, targets: &[TargetName], out: &mut Outbox) {
        let missing: Vec<_> = self
            .granted
            .iter()
            .filter(|target| targets.binary_search(target).is_err())
            .filter(|target| !self.revoked.iter().any(|known| known.target == **target))
            .cloned()
            .collect();
        for target in missing {
            // A target that was never in a published plan has no requests in flight.
            let Some(assignment) = self.plan.assignment(target.as_str()) else { continue };
            let service = assignment.target.service.clone();
            let drain_id = self.next_drain_id();
            out.push(NodeAction::Drain(DrainOrder {
                drain_id,
                service,
                target: target.clone(),
                scope: DrainScope::Target,
                cancel_at: now + DRAIN_TIMEOUT,
            }));
            self.revoked.push(RevokedTarget { target, drain_id, is_idle: false });
        }
    }

    fn next_drain_id(&mut self) -> u64 {
        let drain_id = self.next_id;
        self.next_id += 1;
        drain_id
    }

    /// Handles a drain request. The drain starts once the routes show the revocation, because any
    /// request that starts later must see that the target is no longer the owner.
    pub(crate) fn handle_drain(
        &mut self,
        now: Timestamp,
        from: HostId,
        request: &DrainRequest,
        routes: Option<&ServiceRoutes>,
        out: &mut Outbox,
    ) {
        if self.finished.contains(&request.id) {
            self.send_done(now, from, request.id, out);
            return;
        }
        if self.drains.iter().any(|active| active.id == request.id) {
            return;
        }
        if !routes.is_some_and(|routes| shows_revocation(routes, request)) {
            self.defer_drain(from, request);
            return;
        }
        let drain_id = self.next_drain_id();
        self.drains.push(ActiveDrain { drain_id, id: request.id, leader: from });
        let scope = match request.subject {
            HandoverSubject::Slots { first, last } => {
                DrainScope::Slots(SlotIndex(first), SlotIndex(last))
            }
            HandoverSubject::Key(key) => DrainScope::Key(key),
        };
        out.push(NodeAction::Drain(DrainOrder {
            drain_id,
            service: request.service.clone(),
            target: request.target.clone(),
            scope,
            cancel_at: now + DRAIN_TIMEOUT,
        }));
    }

    /// Keeps a request that arrived before the table which revokes the ownership.
    fn defer_drain(&mut self, from: HostId, request: &DrainRequest) {
        self.waiting.retain(|(_, known)| known.id != request.id);
        if self.waiting.len() < MAX_KEPT_DRAINS {
            self.waiting.push((from, request.clone()));
        }
    }

    /// Starts the drains that waited for `routes`.
    pub(crate) fn take_routes(&mut self, now: Timestamp, routes: &RoutingTable, out: &mut Outbox) {
        for (from, request) in std::mem::take(&mut self.waiting) {
            let service = routes.service(request.service.as_str());
            self.handle_drain(now, from, &request, service, out);
        }
    }

    /// Records that no request of a drain is in flight any more, and reports it to the zone leader
    /// that asked for the drain.
    pub(crate) fn drained(&mut self, now: Timestamp, drain_id: u64, out: &mut Outbox) {
        for known in &mut self.revoked {
            known.is_idle |= known.drain_id == drain_id;
        }
        if let Some(position) = self.drains.iter().position(|active| active.drain_id == drain_id) {
            let active = self.drains.remove(position);
            self.send_done(now, active.leader, active.id, out);
            self.finished.push(active.id);
            if self.finished.len() > MAX_KEPT_DRAINS {
                self.finished.remove(0);
            }
        }
    }

    fn send_done(&self, now: Timestamp, to: HostId, id: HandoverId, out: &mut Outbox) {
        let run_age = now.since(self.started);
        let done = DrainDone { id, dispatcher: self.host, run_age };
        out.datagram(to, PeerMessage::DrainDone(done));
    }

    /// Whether the host may write a request to `target` at `now`. `held` is the version of its
    /// zone's table that it uses.
    pub(crate) fn may_send(&self, now: Timestamp, target: &TargetName, held: TableVersion) -> bool {
        self.lease.may_send(now, target, held)
    }

    /// Whether the host is the dispatcher of any target, or still drains one.
    pub(crate) fn has_targets(&self) -> bool {
        !self.granted.is_empty() || !self.revoked.is_empty()
    }

    /// Releases all targets on shutdown. No request may be in flight.
    pub(crate) fn release(&mut self, now: Timestamp) -> DispatcherAnswer {
        self.granted.clear();
        self.lease.release_all(now)
    }

    /// Builds the plan for the traffic threads. Returns it only if it changed.
    pub(crate) fn take_plan(&mut self, table: Option<&ZoneTable>) -> Option<Arc<DispatchPlan>> {
        let entry = |target: &TargetName| -> Option<TargetEntry> {
            table.and_then(|table| table.target(target.as_str())).cloned()
        };
        let held = table.map(|table| table.version).unwrap_or_default();
        let assignments = self.granted.iter().filter_map(|target| {
            let lease_end = self.lease.until(target, held)?;
            Some(DispatchAssignment { target: entry(target)?, lease_end })
        });
        let assignments: Vec<_> = assignments.collect();
        if assignments == self.plan.assignments {
            return None;
        }
        self.plan = Arc::new(DispatchPlan { assignments });
        Some(self.plan.clone())
    }
}

/// Whether the routes show that the target lost the slots or the key of the request, which is the
/// case if they carry the token of the revocation or a higher one.
fn shows_revocation(routes: &ServiceRoutes, request: &DrainRequest) -> bool {
    match request.subject {
        HandoverSubject::Key(key) => routes.key_route(key).token >= request.token,
        HandoverSubject::Slots { first, last } => {
            (first..=last).all(|slot| routes.slot_token(SlotIndex(slot)) >= request.token)
        }
    }
}
