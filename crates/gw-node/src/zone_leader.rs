use std::sync::Arc;
use std::time::Duration;

use gw_control::ControlCommand;
use gw_lease::DispatcherAnswer;
use gw_membership::RegistryOptions;
use gw_membership::RelayBatch;
use gw_membership::TargetChange as RegistryChange;
use gw_membership::TargetRegistry;
use gw_placement::DrainDone;
use gw_placement::DrainRequest;
use gw_placement::MovePlanner;
use gw_placement::PlacementOptions;
use gw_placement::ServiceView;
use gw_placement::TargetChange;
use gw_placement::ZonePlacement;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::ServiceName;
use gw_types::SlotRange;
use gw_types::TableVersion;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;
use gw_types::ZoneTable;

use crate::PeerMessage;
use crate::TableContent;
use crate::control_log::ControlLog;
use crate::delegated_slots::delegated_slots;
use crate::dispatcher_assigner::DispatcherAssigner;
use crate::outbox::Outbox;
use crate::table_replication::AcknowledgedTable;
use crate::table_replication::QuorumState;
use crate::table_replication::TableReplication;

/// Interval of the steps that give targets which own too few slots their share.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of slots that one such step moves. Limits the keys that are in handover at a
/// time.
const JOIN_SLOTS: u32 = 512;
/// Interval of the steps that even out small differences between targets. Each step splits ranges,
/// so a few large steps leave fewer ranges in the table than many small ones.
const BALANCE_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum number of slots that one such step moves. Two steps use up the limit for one minute.
const BALANCE_SLOTS: u32 = gw_placement::MAX_SLOTS_PER_MINUTE / 2;

/// Load reports are in microseconds, the move planner counts nanoseconds.
const NANOS_PER_MICRO: u64 = 1_000;

/// Time after which a new zone leader counts targets that it has not heard from as lost. Covers
/// their renewal interval of 500 ms, the relay, and the repetition of a lost relay message. Waiting
/// for the full expiry would prolong the time for which the keys of a target that was lost together
/// with the previous leader have no owner.
const RENEWAL_GRACE: Duration = Duration::from_millis(650);

/// An entry host of the zone as its leader sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneMember {
    pub(crate) host: HostId,
    pub(crate) boot: BootId,
    /// Whether heartbeats of the host arrive and, for this host, whether it is not shutting down.
    pub(crate) is_live: bool,
    /// Whether heartbeats of the host arrived before and have stopped. False for a host that this
    /// host has not heard from yet.
    pub(crate) is_lost: bool,
    /// Whether the host's copy of the table counts towards acknowledging it.
    pub(crate) is_ready: bool,
}

/// State of the host and its zone that the zone leader depends on in one step.
#[derive(Clone, Debug)]
pub(crate) struct LeaderContext {
    /// All entry hosts of the zone including this one, sorted by id.
    pub(crate) members: Vec<ZoneMember>,
    /// Whether the zone's lease was last renewed by the control leader rather than by promises of
    /// the zone's hosts.
    pub(crate) is_connected: bool,
    /// End of the zone's lease on this host's clock.
    pub(crate) lease_end: Timestamp,
}

/// What a new zone leader has to assume about the previous term.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaderOptions {
    /// Longest time for which a dispatcher lease of the previous term may still run. Dispatcher
    /// leases end with the zone lease under which they were granted at the latest, so it is zero
    /// unless that lease was released early.
    pub(crate) inherited_lease: Duration,
    /// Time that has passed at least since the leases of the previous term ended.
    pub(crate) expired_for: Duration,
    /// Upper bound of the deadlines of requests to targets.
    pub(crate) longest_deadline: Duration,
}

/// State and decisions of a zone leader during one term: which targets exist, who owns each slot
/// and key, who dispatches to each target, and the replication of the resulting zone table.
pub(crate) struct ZoneLeader {
    host: HostId,
    zone: ZoneName,
    term: TermNumber,
    registry: TargetRegistry,
    placement: ZonePlacement,
    assigner: DispatcherAssigner,
    replication: TableReplication,
    planners: Vec<(ServiceName, MovePlanner)>,
    next_join_step: Timestamp,
    next_balance_step: Timestamp,
    /// Control log index as of which delegations were last applied.
    delegations_index: Option<u64>,
}

impl ZoneLeader {
    /// Starts a term from `table`, the highest version that was found.
    pub(crate) fn new(
        host: HostId,
        term: TermNumber,
        table: ZoneTable,
        options: LeaderOptions,
        now: Timestamp,
    ) -> Self {
        let placement_options = PlacementOptions {
            dispatcher_lease: options.inherited_lease,
            longest_deadline: options.longest_deadline,
            raise_tokens: options.inherited_lease.is_zero(),
            ..PlacementOptions::default()
        };
        let registry_options = RegistryOptions::default();
        let heard = now - (registry_options.expiry - RENEWAL_GRACE);
        let registry = TargetRegistry::rebuild(&table, heard, registry_options);
        let assigner = DispatcherAssigner::new(term, options.inherited_lease, now, &table);
        Self {
            host,
            zone: table.zone.clone(),
            term,
            registry,
            assigner,
            placement: ZonePlacement::adopt(
                placement_options,
                term,
                table,
                now - options.expired_for,
            ),
            replication: TableReplication::new(host),
            planners: Vec::new(),
            next_join_step: now,
            next_balance_step: now + BALANCE_INTERVAL,
            delegations_index: None,
        }
    }

    pub(crate) fn term(&self) -> TermNumber {
        self.term
    }

    /// The latest version of the table, whether acknowledged or not.
    pub(crate) fn latest(&self) -> Option<&Arc<ZoneTable>> {
        self.replication.pending().or(self.replication.acknowledged())
    }

    pub(crate) fn handle_relay(&mut self, now: Timestamp, from: HostId, batch: &RelayBatch) {
        // The errors only report items that were ignored because they are outdated, repeated or
        // belong to another zone.
        let _ = self.registry.apply_batch(now, from, batch);
    }

    pub(crate) fn handle_answer(&mut self, now: Timestamp, answer: &DispatcherAnswer) {
        self.assigner.handle_answer(now, answer);
    }

    pub(crate) fn drained(&mut self, done: &DrainDone) {
        self.placement.confirm_drain(done);
    }

    pub(crate) fn record_held(&mut self, peer: HostId, boot: BootId, version: TableVersion) {
        self.replication.record_held(peer, boot, version);
    }

    pub(crate) fn remove_copies(&mut self, peer: HostId) {
        self.replication.remove_copies(peer);
    }

    /// Adds load that a dispatcher measured to the service's move planner.
    pub(crate) fn observe_load(
        &mut self,
        now: Timestamp,
        load: &crate::LoadReport,
        control: &ControlLog,
    ) {
        let Some(effective) = control.view().service_profile(load.service.as_str()) else { return };
        let position = self.planners.iter().position(|(service, _)| *service == load.service);
        let position = position.unwrap_or_else(|| {
            let planner = MovePlanner::new(effective.profile.moves.clone(), now);
            self.planners.push((load.service.clone(), planner));
            self.planners.len() - 1
        });
        let planner = &mut self.planners[position].1;
        for (key, micros) in &load.keys {
            planner.observe_key(*key, u64::from(*micros) * NANOS_PER_MICRO);
        }
        for (slot, micros) in &load.slots {
            planner.observe_slot(*slot, u64::from(*micros) * NANOS_PER_MICRO);
        }
    }

    /// Takes all steps that are due. Returns the table if one was acknowledged in this call.
    ///
    /// Must only be called while the host holds the zone's lease.
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        context: &LeaderContext,
        control: &mut ControlLog,
        out: &mut Outbox,
    ) -> Option<AcknowledgedTable> {
        self.registry.tick(now);
        self.apply_target_changes(now);
        self.apply_delegations(now, control);
        self.register_services(now, control, out);
        self.choose_dispatchers(now, context, out);
        self.plan_moves(now);
        self.placement.tick(now);
        for request in self.placement.drain_requests(now) {
            send_drain(request, out);
        }
        self.replicate(now, context, control, out)
    }

    fn apply_target_changes(&mut self, now: Timestamp) {
        for change in self.registry.take_changes() {
            let change = match change {
                RegistryChange::Joined { entry }
                | RegistryChange::Changed { entry }
                | RegistryChange::Restarted { entry, .. } => TargetChange::Joined(entry),
                RegistryChange::Draining { target, .. } => TargetChange::Draining(target),
                RegistryChange::Lost { target, .. } => TargetChange::Lost(target),
                // Overload is handled by the target's queue and by moves planned from the load that
                // its dispatcher measures. The target's own report triggers no move.
                RegistryChange::Overloaded { .. } => continue,
            };
            self.placement.change_target(now, change);
        }
    }

    fn apply_delegations(&mut self, now: Timestamp, control: &ControlLog) {
        if self.delegations_index == Some(control.applied()) {
            return;
        }
        self.delegations_index = Some(control.applied());
        for delegation in control.view().delegations() {
            let slots = delegated_slots(delegation, &self.zone, control.view());
            self.placement.set_delegation(now, &delegation.service, slots);
        }
        let latest = control.view().delegations().iter().map(|delegation| delegation.term).max();
        self.placement.set_delegation_term(latest.unwrap_or_default());
    }

    /// Proposes service definitions that targets announce: to register a new service, or to
    /// announce a definition that differs from the registered one.
    fn register_services(&self, now: Timestamp, control: &mut ControlLog, out: &mut Outbox) {
        let mut announced: Vec<_> = self.registry.definitions().collect();
        announced.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        let mut commands = Vec::new();
        for group in announced.chunk_by(|a, b| a.0 == b.0) {
            let definition = group[0].0;
            match control.view().definition(definition.name.as_str()) {
                None => commands.push(ControlCommand::RegisterService(definition.clone())),
                Some(known) if **known == *definition => {}
                Some(_) => {
                    let targets = group.iter().map(|(_, entry)| (entry.name.clone(), entry.boot));
                    let targets = targets.collect();
                    let definition = definition.clone();
                    commands.push(ControlCommand::AnnounceDefinition { definition, targets });
                }
            }
        }
        for command in commands {
            control.propose(now, command, out);
        }
    }

    fn choose_dispatchers(&mut self, now: Timestamp, context: &LeaderContext, out: &mut Outbox) {
        let changes = self.assigner.tick(now, &context.members, self.placement.table());
        for (target, dispatcher) in changes {
            self.registry.set_dispatcher(target.as_str(), dispatcher);
            self.placement.change_target(now, TargetChange::Dispatcher(target, dispatcher));
        }
        for (host, grant, until) in self.assigner.grants(now, context.lease_end) {
            for target in &grant.targets {
                self.placement.record_grant(target, until);
            }
            out.datagram(host, PeerMessage::DispatcherGrant(grant));
        }
    }

    fn plan_moves(&mut self, now: Timestamp) {
        for (service, planner) in &mut self.planners {
            let Some(table) = self.placement.table().service(service.as_str()).cloned() else {
                continue;
            };
            let targets = self.placement.targets_of(service);
            let moves = planner.plan(now, ServiceView { targets: &targets, table: &table });
            for planned in moves {
                // A move that is not possible now is skipped; the planner plans it again later.
                let _ = self.placement.begin_move(now, service, &planned);
            }
        }
        // While handovers are under way, moves between live targets would prolong the time for
        // which keys of a lost target have no owner.
        if now >= self.next_join_step && self.placement.handovers().is_empty() {
            self.next_join_step = now + JOIN_INTERVAL;
            self.rebalance(now);
        }
    }

    /// Moves slots in quick steps to targets that own too few, as after joining, and in slow steps
    /// to even out small differences.
    fn rebalance(&mut self, now: Timestamp) {
        let is_balance_due = now >= self.next_balance_step;
        if is_balance_due {
            self.next_balance_step = now + BALANCE_INTERVAL;
        }
        let services: Vec<_> =
            self.placement.table().services.iter().map(|table| table.service.clone()).collect();
        for service in services {
            if self.lacks_slots(&service) {
                self.placement.rebalance(now, &service, JOIN_SLOTS);
            } else if is_balance_due {
                self.placement.rebalance(now, &service, BALANCE_SLOTS);
            }
        }
    }

    /// Whether any target that accepts work owns less than half of its share of the zone's slots,
    /// as right after joining. Shares are proportional to the targets' weights.
    fn lacks_slots(&self, service: &ServiceName) -> bool {
        let targets = self.placement.targets_of(service);
        let Some(table) = self.placement.table().service(service.as_str()) else { return false };
        let all_slots: u32 = table.ranges.iter().map(slot_count).sum();
        let all_weights: u32 = targets.iter().map(|target| target.weight).sum();
        targets.iter().any(|target| {
            let owned =
                table.ranges.iter().filter(|range| range.owner.as_ref() == Some(&target.name));
            let owned: u32 = owned.map(slot_count).sum();
            2 * owned * all_weights < all_slots * target.weight
        })
    }

    /// Starts the replication of the next table version once the previous one is acknowledged, and
    /// acknowledges the pending version when it has enough copies.
    fn replicate(
        &mut self,
        now: Timestamp,
        context: &LeaderContext,
        control: &mut ControlLog,
        out: &mut Outbox,
    ) -> Option<AcknowledgedTable> {
        if self.replication.is_idle()
            && let Some(delta) = self.placement.publish()
        {
            self.assigner.set_version(delta.to);
            self.replication.start(now, self.placement.table().clone(), delta);
        }
        let stored = control.view().zone_table(self.zone.as_str());
        if let Some(stored) = stored {
            self.replication.record_committed(stored.version);
        }
        if let Some(pending) = self.replication.pending() {
            control.propose_table(now, pending, out);
        }
        self.replication.record_committed(control.stored_table_version());
        self.send_offers(now, context, out);
        let live = context.members.iter().filter(|member| self.counts_as_copy(member)).count();
        let quorum = QuorumState {
            members: context.members.len(),
            is_connected: context.is_connected,
            live_members: live,
        };
        let is_ready = |host: HostId| {
            context.members.iter().any(|member| member.host == host && member.is_ready)
        };
        self.replication.try_acknowledge(quorum, is_ready)
    }

    fn counts_as_copy(&self, member: &ZoneMember) -> bool {
        member.host == self.host || (member.is_live && member.is_ready)
    }

    fn send_offers(&mut self, now: Timestamp, context: &LeaderContext, out: &mut Outbox) {
        let peers: Vec<_> = context
            .members
            .iter()
            .filter(|member| member.host != self.host && member.is_live)
            .map(|member| member.host)
            .collect();
        for peer in self.replication.due_offers(now, &peers) {
            let acknowledged = self.replication.is_idle();
            let Some(table) = self.latest() else { continue };
            let content = match self.replication.delta() {
                Some(delta) if self.replication.can_use_delta(peer) => {
                    TableContent::Delta(delta.clone())
                }
                _ => TableContent::Full(ZoneTable::clone(table)),
            };
            out.stream(peer, PeerMessage::TableOffer { content, acknowledged });
        }
    }
}

fn slot_count(range: &SlotRange) -> u32 {
    u32::from(range.last - range.first) + 1
}

fn send_drain(request: DrainRequest, out: &mut Outbox) {
    out.datagram(request.dispatcher, PeerMessage::DrainRequest(request));
}
