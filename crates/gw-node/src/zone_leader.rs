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
use crate::control_part::ControlPart;
use crate::delegation_watch::delegated_slots;
use crate::dispatcher_choice::DispatcherChoice;
use crate::outbox::Outbox;
use crate::table_replication::AcknowledgeRule;
use crate::table_replication::AcknowledgedTable;
use crate::table_replication::TableReplication;

/// Time between two steps that give targets without enough slots their share.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Slots that one such step moves at most, so that few keys are in handover at a time.
const JOIN_SLOTS: u32 = 512;
/// Time between two steps that level small differences. Few large steps leave fewer ranges in the
/// table than many small ones: each step splits ranges.
const LEVEL_INTERVAL: Duration = Duration::from_secs(30);
/// Slots that one such step moves at most: half of what churn may move in a minute.
const LEVEL_SLOTS: u32 = gw_placement::MAX_SLOTS_PER_MINUTE / 2;

/// Reports are in microseconds, plans in nanoseconds.
const NANOS_PER_MICRO: u64 = 1_000;

/// Time that targets have to be heard of by a new zone leader: their renewal interval of 500 ms, the
/// relay, and a second copy of a lost relay. A whole expiry would add to the time for which the keys
/// of a target that was lost together with the leader have no owner.
const RENEWAL_GRACE: Duration = Duration::from_millis(650);

/// An entry host of the zone, as its leader sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneMember {
    pub(crate) host: HostId,
    pub(crate) boot: BootId,
    /// Whether heartbeats of the run arrive.
    pub(crate) is_live: bool,
    /// Whether heartbeats of the host came before and are missing now.
    pub(crate) is_lost: bool,
    /// Whether the run counts as a copy.
    pub(crate) is_ready: bool,
}

/// What the zone leader has to know of the host before it acts.
#[derive(Clone, Debug)]
pub(crate) struct LeaderContext {
    /// All entry hosts of the zone, this one included.
    pub(crate) members: Vec<ZoneMember>,
    /// Whether the control leader renewed the zone's lease.
    pub(crate) is_connected: bool,
    /// End of the zone's lease.
    pub(crate) lease_end: Timestamp,
}

/// What a new zone leader has to take into account.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaderOptions {
    /// Longest rest of a dispatcher lease of the term before. Dispatcher leases never outlive the
    /// zone lease under which they were granted, so it is zero unless that lease was given up.
    pub(crate) inherited: Duration,
    /// Time that has surely gone by since the leases of the term before passed.
    pub(crate) passed: Duration,
    /// Longest deadline of a request to a target.
    pub(crate) longest_deadline: Duration,
}

/// The state of a host that leads its zone, for one term.
pub(crate) struct ZoneLeader {
    host: HostId,
    zone: ZoneName,
    term: TermNumber,
    registry: TargetRegistry,
    placement: ZonePlacement,
    choice: DispatcherChoice,
    replication: TableReplication,
    planners: Vec<(ServiceName, MovePlanner)>,
    next_rebalance: Timestamp,
    next_level: Timestamp,
    /// Control index up to which delegations were taken.
    delegations_at: Option<u64>,
}

impl ZoneLeader {
    /// Begins a term with the highest table that was found.
    pub(crate) fn new(
        host: HostId,
        term: TermNumber,
        table: ZoneTable,
        options: LeaderOptions,
        now: Timestamp,
    ) -> Self {
        let placement_options = PlacementOptions {
            dispatcher_lease: options.inherited,
            longest_deadline: options.longest_deadline,
            raise_tokens: options.inherited.is_zero(),
            ..PlacementOptions::default()
        };
        let options_of_registry = RegistryOptions::default();
        let heard = now - (options_of_registry.expiry - RENEWAL_GRACE);
        let registry = TargetRegistry::rebuild(&table, heard, options_of_registry);
        let choice = DispatcherChoice::new(term, options.inherited, now, &table);
        Self {
            host,
            zone: table.zone.clone(),
            term,
            registry,
            choice,
            placement: ZonePlacement::adopt(placement_options, term, table, now - options.passed),
            replication: TableReplication::new(host),
            planners: Vec::new(),
            next_rebalance: now,
            next_level: now + LEVEL_INTERVAL,
            delegations_at: None,
        }
    }

    pub(crate) fn term(&self) -> TermNumber {
        self.term
    }

    /// The latest version that was made, acknowledged or not.
    pub(crate) fn latest(&self) -> Option<&Arc<ZoneTable>> {
        self.replication.pending().or(self.replication.acknowledged())
    }

    pub(crate) fn take_batch(&mut self, now: Timestamp, from: HostId, batch: &RelayBatch) {
        // Old, foreign and repeated items change nothing, which is all that their errors say.
        let _ = self.registry.apply_batch(now, from, batch);
    }

    pub(crate) fn take_answer(&mut self, now: Timestamp, answer: &DispatcherAnswer) {
        self.choice.take_answer(now, answer);
    }

    pub(crate) fn drained(&mut self, done: &DrainDone) {
        self.placement.confirm_drain(done);
    }

    pub(crate) fn note_held(&mut self, peer: HostId, boot: BootId, version: TableVersion) {
        self.replication.note_held(peer, boot, version);
    }

    pub(crate) fn forget_copies(&mut self, peer: HostId) {
        self.replication.forget(peer);
    }

    /// Adds load that a dispatcher saw.
    pub(crate) fn observe_load(
        &mut self,
        now: Timestamp,
        load: &crate::LoadReport,
        control: &ControlPart,
    ) {
        let Some(rules) = control.view().service_profile(load.service.as_str()) else { return };
        let place = self.planners.iter().position(|(service, _)| *service == load.service);
        let place = place.unwrap_or_else(|| {
            let planner = MovePlanner::new(rules.profile.moves.clone(), now);
            self.planners.push((load.service.clone(), planner));
            self.planners.len() - 1
        });
        let planner = &mut self.planners[place].1;
        for (key, micros) in &load.keys {
            planner.observe_key(*key, u64::from(*micros) * NANOS_PER_MICRO);
        }
        for (slot, micros) in &load.slots {
            planner.observe_slot(*slot, u64::from(*micros) * NANOS_PER_MICRO);
        }
    }

    /// Does what is due. Returns the table that has just been acknowledged.
    ///
    /// The caller has checked that the host holds the zone's lease.
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        context: &LeaderContext,
        control: &mut ControlPart,
        out: &mut Outbox,
    ) -> Option<AcknowledgedTable> {
        self.registry.tick(now);
        self.take_changes(now);
        self.take_delegations(now, control);
        self.register_services(now, control, out);
        self.choose_dispatchers(now, context, out);
        self.plan_moves(now);
        self.placement.tick(now);
        for request in self.placement.drain_requests(now) {
            send_drain(request, out);
        }
        self.replicate(now, context, control, out)
    }

    fn take_changes(&mut self, now: Timestamp) {
        for change in self.registry.take_changes() {
            let change = match change {
                RegistryChange::Joined { entry }
                | RegistryChange::Changed { entry }
                | RegistryChange::Restarted { entry, .. } => TargetChange::Joined(entry),
                RegistryChange::Draining { target, .. } => TargetChange::Draining(target),
                RegistryChange::Lost { target, .. } => TargetChange::Lost(target),
                // The target's queue and the load observed by its dispatcher decide; what the
                // target says of its load moves nothing by itself.
                RegistryChange::Overloaded { .. } => continue,
            };
            self.placement.change_target(now, change);
        }
    }

    fn take_delegations(&mut self, now: Timestamp, control: &ControlPart) {
        if self.delegations_at == Some(control.applied()) {
            return;
        }
        self.delegations_at = Some(control.applied());
        for delegation in control.view().delegations() {
            let slots = delegated_slots(delegation, &self.zone, control.view());
            self.placement.set_delegation(now, &delegation.service, slots);
        }
        let latest = control.view().delegations().iter().map(|delegation| delegation.term).max();
        self.placement.set_delegation_term(latest.unwrap_or_default());
    }

    /// Registers services that targets announce, or asks to change their definition.
    fn register_services(&self, now: Timestamp, control: &mut ControlPart, out: &mut Outbox) {
        let mut announced: Vec<_> = self.registry.definitions().collect();
        announced.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        let mut commands = Vec::new();
        for run in announced.chunk_by(|a, b| a.0 == b.0) {
            let definition = run[0].0;
            match control.view().definition(definition.name.as_str()) {
                None => commands.push(ControlCommand::RegisterService(definition.clone())),
                Some(known) if **known == *definition => {}
                Some(_) => {
                    let targets = run.iter().map(|(_, entry)| (entry.name.clone(), entry.boot));
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
        let changes = self.choice.tick(now, &context.members, self.placement.table());
        for (target, dispatcher) in changes {
            self.registry.set_dispatcher(target.as_str(), dispatcher);
            self.placement.change_target(now, TargetChange::Dispatcher(target, dispatcher));
        }
        for (host, grant, until) in self.choice.grants(now, context.lease_end) {
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
                // A move that became impossible since it was planned is planned again later.
                let _ = self.placement.begin_move(now, service, &planned);
            }
        }
        // Moves between live targets would lengthen the time without owner of keys that wait for a
        // recovery.
        if now >= self.next_rebalance && self.placement.handovers().is_empty() {
            self.next_rebalance = now + JOIN_INTERVAL;
            self.rebalance(now);
        }
    }

    /// Gives targets that joined their share quickly, and levels small differences slowly.
    fn rebalance(&mut self, now: Timestamp) {
        let is_level_due = now >= self.next_level;
        if is_level_due {
            self.next_level = now + LEVEL_INTERVAL;
        }
        let services: Vec<_> =
            self.placement.table().services.iter().map(|table| table.service.clone()).collect();
        for service in services {
            if self.lacks_slots(&service) {
                self.placement.rebalance(now, &service, JOIN_SLOTS);
            } else if is_level_due {
                self.placement.rebalance(now, &service, LEVEL_SLOTS);
            }
        }
    }

    /// Whether a target that takes work owns less than half of its share of the zone's slots, as
    /// after it joined.
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

    fn replicate(
        &mut self,
        now: Timestamp,
        context: &LeaderContext,
        control: &mut ControlPart,
        out: &mut Outbox,
    ) -> Option<AcknowledgedTable> {
        if self.replication.is_idle()
            && let Some(delta) = self.placement.publish()
        {
            self.choice.set_version(delta.to);
            self.replication.begin(now, self.placement.table().clone(), delta);
        }
        let stored = control.view().zone_table(self.zone.as_str());
        if let Some(stored) = stored {
            self.replication.note_committed(stored.version);
        }
        if let Some(pending) = self.replication.pending() {
            control.propose_table(now, pending, out);
        }
        self.replication.note_committed(control.stored_table());
        self.offer(now, context, out);
        let live = context.members.iter().filter(|member| self.counts(member)).count();
        let rule = AcknowledgeRule {
            members: context.members.len(),
            is_connected: context.is_connected,
            live_members: live,
        };
        let is_ready = |host: HostId| {
            context.members.iter().any(|member| member.host == host && member.is_ready)
        };
        self.replication.settle(rule, is_ready)
    }

    fn counts(&self, member: &ZoneMember) -> bool {
        member.host == self.host || (member.is_live && member.is_ready)
    }

    fn offer(&mut self, now: Timestamp, context: &LeaderContext, out: &mut Outbox) {
        let peers: Vec<_> = context
            .members
            .iter()
            .filter(|member| member.host != self.host && member.is_live)
            .map(|member| member.host)
            .collect();
        for peer in self.replication.offers(now, &peers) {
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
