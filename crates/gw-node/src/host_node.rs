use std::sync::Arc;

use gw_agreement::Membership;
use gw_agreement::ReplicaNode;
use gw_agreement::ReplicaOptions;
use gw_control::ControlState;
use gw_control::ControlView;
use gw_control::MoveBatch;
use gw_lease::LeaseState;
use gw_membership::DigestTable;
use gw_membership::HeartbeatPlan;
use gw_membership::HostDirectory;
use gw_membership::TargetRelay;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::RoutingTable;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::NodeAction;
use crate::NodeEvent;
use crate::NodeOptions;
use crate::StatusChange;
use crate::control_log::ControlLog;
use crate::delegation_planner::DelegationPlanner;
use crate::dispatcher_state::DispatcherState;
use crate::lease_manager::LeaseManager;
use crate::outbox::Outbox;
use crate::table_store::TableStore;
use crate::zone_leader::ZoneLeader;

/// Maximum number of messages that a host delivers to itself in one step. Stops two state machines
/// that would answer each other forever.
const MAX_LOOPBACK: usize = 10_000;

/// The state machines of one host, driven by [`step`](Self::step).
pub struct HostNode {
    pub(crate) host: HostId,
    pub(crate) boot: BootId,
    pub(crate) zone: ZoneName,
    pub(crate) is_entry: bool,
    /// All hosts, sorted by id.
    pub(crate) hosts: Vec<HostEntry>,
    /// All zones that have entry hosts, sorted.
    pub(crate) zones: Vec<ZoneName>,
    /// All other entry hosts of the zone. Cached, because many steps iterate over them and
    /// filtering `hosts` each time would cost time in proportion to all hosts of the system.
    pub(crate) zone_peers: Vec<HostId>,
    pub(crate) longest_deadline: std::time::Duration,
    pub(crate) control: ControlLog,
    pub(crate) leases: LeaseManager,
    pub(crate) leader: Option<ZoneLeader>,
    pub(crate) delegation_planner: DelegationPlanner,
    pub(crate) dispatcher: DispatcherState,
    pub(crate) tables: TableStore,
    pub(crate) routes: Arc<RoutingTable>,
    pub(crate) relay: TargetRelay,
    pub(crate) directory: HostDirectory,
    pub(crate) digests: DigestTable,
    pub(crate) heartbeat_plan: HeartbeatPlan,
    pub(crate) heartbeat_sequence: u64,
    pub(crate) next_heartbeat: Timestamp,
    pub(crate) next_control_fetch: Timestamp,
    /// Leadership claims in the latest heartbeats of other hosts, at most one per host.
    pub(crate) claims: Vec<LeaderClaim>,
    /// The table that the current term as zone leader started from. Cleared by the first version of
    /// the term, whose moves are computed against it.
    pub(crate) initial_table: Option<Arc<gw_types::ZoneTable>>,
    /// Ownership moves that are not yet in the audit trail, oldest first.
    pub(crate) unrecorded_moves: Vec<MoveBatch>,
    /// Milliseconds since 1970-01-01 UTC. Only used as a timestamp in audit records.
    pub(crate) wall_ms: u64,
    /// Highest control log index reported by a host that had caught up. This host has caught up
    /// once it has applied this index.
    pub(crate) catch_up_index: Option<u64>,
    /// Highest term of the own zone's tables that this process received from a zone leader.
    pub(crate) table_term: gw_types::TermNumber,
    /// Since when the host has been caught up on the control log without hearing from a leader of
    /// its zone.
    pub(crate) leaderless_since: Option<Timestamp>,
    /// Control log index in the last heartbeat that the host, as zone leader, sent to all entry
    /// hosts of its zone.
    pub(crate) announced_index: u64,
    /// Whether a message arrived that the zone leader acts on before the next tick.
    pub(crate) leadership_due: bool,
    pub(crate) is_ready: bool,
    pub(crate) leads_control: bool,
    pub(crate) is_closing: bool,
}

/// The claim to lead a zone that a host makes in its heartbeats.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaderClaim {
    pub(crate) host: HostId,
    pub(crate) term: gw_types::TermNumber,
    pub(crate) last_contact: Timestamp,
}

impl HostNode {
    /// Creates the state machines of a host whose process starts at `now`.
    ///
    /// # Panics
    ///
    /// Panics if `options.hosts` does not list `options.host`. Loading the settings rejects such a
    /// list.
    pub fn new(options: NodeOptions, now: Timestamp) -> Self {
        let mut hosts = options.hosts;
        hosts.sort_by_key(|entry| entry.id);
        let own = hosts.iter().find(|entry| entry.id == options.host);
        let own = own.expect("the settings list this host").clone();
        let mut zones: Vec<_> =
            hosts.iter().filter(|entry| entry.is_entry()).map(|entry| entry.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let replicas: Vec<_> =
            hosts.iter().filter(|entry| entry.control).map(|entry| entry.id).collect();
        let mut snapshot = None;
        let membership = Membership::of_voters(replicas.iter().copied());
        let settings = ReplicaOptions::new(own.id, membership, options.seed);
        let replica = options.recovered.map(|recovered| {
            snapshot = recovered.snapshot.as_ref().map(|snapshot| snapshot.data.clone());
            ReplicaNode::new(settings.clone(), recovered, now)
        });
        let members = hosts.iter().filter(|entry| entry.is_entry() && entry.zone == own.zone);
        let members: Vec<_> = members.map(|entry| entry.id).collect();
        let others = hosts.iter().map(|entry| entry.id).filter(|id| *id != own.id);
        Self {
            host: own.id,
            boot: options.boot,
            zone: own.zone.clone(),
            is_entry: own.is_entry(),
            zones: zones.clone(),
            zone_peers: members.iter().copied().filter(|id| *id != own.id).collect(),
            longest_deadline: options.longest_deadline,
            control: ControlLog::new(settings, replicas, replica, snapshot.as_deref()),
            leases: LeaseManager::new(&own, options.boot, members, zones, now),
            leader: None,
            delegation_planner: DelegationPlanner::default(),
            dispatcher: DispatcherState::new(own.id, options.boot, now),
            tables: TableStore::new(own.zone.clone()),
            routes: Arc::default(),
            relay: TargetRelay::new(options.boot),
            directory: HostDirectory::new(others, now),
            digests: DigestTable::new(),
            heartbeat_plan: HeartbeatPlan::new(&own, &hosts),
            heartbeat_sequence: 0,
            next_heartbeat: now,
            next_control_fetch: now,
            claims: Vec::new(),
            initial_table: None,
            unrecorded_moves: Vec::new(),
            wall_ms: 0,
            catch_up_index: None,
            table_term: gw_types::TermNumber(0),
            leaderless_since: None,
            announced_index: 0,
            leadership_due: false,
            is_ready: false,
            leads_control: false,
            is_closing: false,
            hosts,
        }
    }

    /// Sets the wall-clock time in milliseconds since 1970-01-01 UTC. Audit records carry it; no
    /// decision depends on it.
    pub fn set_wall_clock(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
    }

    /// Processes one event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Timestamp, event: NodeEvent) -> Vec<NodeAction> {
        let mut out = Outbox::new(self.host);
        self.handle(now, event, &mut out);
        self.apply_changes(now, &mut out);
        for _ in 0..MAX_LOOPBACK {
            let Some(message) = out.take_loopback() else { break };
            self.handle_message(now, self.host, self.boot, message, &mut out);
            self.apply_changes(now, &mut out);
        }
        out.into_actions()
    }

    fn handle(&mut self, now: Timestamp, event: NodeEvent, out: &mut Outbox) {
        match event {
            NodeEvent::Tick => self.tick(now, out),
            NodeEvent::Message { from, boot, message } => {
                self.handle_message(now, from, boot, message, out);
            }
            NodeEvent::Persisted { token } => self.control.persisted(now, token, out),
            NodeEvent::JournalFailed => {
                self.control.stop_replica();
                out.push(NodeAction::StatusChanged(StatusChange::JournalFailed));
            }
            NodeEvent::JournalReopened { recovered } => {
                self.control.start_replica(now, recovered);
                out.push(NodeAction::StatusChanged(StatusChange::JournalReopened));
            }
            NodeEvent::Announce { call, announcement } => {
                self.announce(now, call, &announcement, out);
            }
            NodeEvent::Report { call, report } => self.report(now, call, &report, out),
            NodeEvent::Propose { call, command } => {
                self.control.propose_call(now, call, command, out);
            }
            NodeEvent::AbandonCall { call } => self.control.abandon_call(call),
            NodeEvent::RequestEnded(result) => {
                // A full relay drops the observation. The target stays registered through its own
                // renewals.
                let _ = self.relay.observe(now, &result.target, result.boot, result.answered);
            }
            NodeEvent::Load(report) => self.send_load(report, out),
            NodeEvent::Drained { drain_id } => self.dispatcher.drained(now, drain_id, out),
            NodeEvent::Shutdown => self.shut_down(now, out),
            NodeEvent::Stop => self.release_targets(now, out),
        }
    }

    fn tick(&mut self, now: Timestamp, out: &mut Outbox) {
        for change in self.directory.tick(now) {
            self.handle_host_change(change, out);
        }
        self.control.tick(now, out);
        if self.is_entry {
            let context = self.lease_context(now);
            self.leases.tick(now, context, &mut self.control, out);
            self.update_zone_leadership(now, out);
        } else {
            self.leases.update_grantor(now, &self.control);
        }
        self.update_control_leadership(now, out);
        self.relay_targets(now, out);
        self.send_heartbeats(now, out);
        self.fetch_missing(now, out);
        self.update_ready(now);
    }

    /// Propagates what the step changed: applied commands to leases and tables, tables to the
    /// routes, routes and grants to the dispatch plan.
    fn apply_changes(&mut self, now: Timestamp, out: &mut Outbox) {
        if std::mem::take(&mut self.leadership_due) && self.is_entry {
            self.update_zone_leadership(now, out);
        }
        let applied = self.control.take_applied();
        for command in &applied {
            self.leases.apply(command, &self.control);
        }
        if !applied.is_empty() || self.control.applied() > self.digests.own().control_index {
            self.tables.apply_control(self.control.view());
            self.tables.mark_changed();
            self.digests.set_control_index(self.control.applied());
        }
        for table in self.tables.all() {
            self.digests.set_table_version(&table.zone, table.version);
        }
        if let Some(routes) = self.tables.take_routes(self.control.view()) {
            self.routes = routes.clone();
            out.push(NodeAction::PublishRoutes(routes.clone()));
            self.dispatcher.take_routes(now, &routes, out);
        }
        let table = self.tables.acknowledged(self.zone.as_str()).cloned();
        if let Some(plan) = self.dispatcher.take_plan(table.as_deref()) {
            out.push(NodeAction::PublishPlan(plan));
        }
    }

    fn shut_down(&mut self, now: Timestamp, out: &mut Outbox) {
        self.is_closing = true;
        self.next_heartbeat = now;
        self.send_heartbeats(now, out);
        if self.leader.take().is_some() {
            out.push(NodeAction::StatusChanged(StatusChange::ZoneLeadershipLost));
        }
        self.leases.release(now, &mut self.control, out);
        self.control.transfer(now, out);
    }

    fn release_targets(&mut self, now: Timestamp, out: &mut Outbox) {
        let answer = self.dispatcher.release(now);
        if let Some(leader) = self.zone_leader_host().filter(|leader| *leader != self.host) {
            out.datagram(leader, crate::PeerMessage::DispatcherAnswer(answer));
        }
    }

    /// Whether the host has received [`NodeEvent::Shutdown`].
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Whether a host that shuts down may stop: it is no longer the dispatcher of any target, or no
    /// other entry host of its zone is reachable to take its targets over.
    pub fn is_released(&self) -> bool {
        let peers = self.zone_peers();
        let has_successor = peers.iter().any(|peer| self.directory.is_reachable(*peer));
        !has_successor || !self.dispatcher.has_targets()
    }

    /// The control state as of the last control log entry that the host has applied.
    pub fn control_state(&self) -> &ControlState {
        self.control.learner().state()
    }

    /// Read access to the control state.
    pub fn control_view(&self) -> ControlView<'_> {
        self.control.view()
    }

    /// Reachability and readiness of the other hosts, as their heartbeats show it.
    pub fn directory(&self) -> &HostDirectory {
        &self.directory
    }

    /// Index of the last control log entry that `host` has reported as applied. Absent for a host
    /// that is unreachable or sends no heartbeats to this one.
    pub fn control_index_of(&self, host: HostId) -> Option<u64> {
        if host == self.host {
            return Some(self.control.applied());
        }
        self.digests.control_index_of(host)
    }

    /// The latest acknowledged table of each zone that this host has, sorted by zone.
    pub fn zone_tables(&self) -> &[Arc<gw_types::ZoneTable>] {
        self.tables.all()
    }

    /// The routes of the last [`NodeAction::PublishRoutes`].
    pub fn routes(&self) -> &Arc<RoutingTable> {
        &self.routes
    }

    /// Whether the host's state is at least as new as what was in force when it started, and the
    /// host is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.is_ready && !self.is_closing
    }

    /// All hosts, sorted by id.
    pub fn hosts(&self) -> &[HostEntry] {
        &self.hosts
    }

    /// The settings entry of this host.
    pub fn entry(&self) -> &HostEntry {
        let position = self.hosts.binary_search_by_key(&self.host, |entry| entry.id);
        &self.hosts[position.expect("the list holds this host")]
    }

    /// Whether and by whose renewal the host holds the lease of its zone at `now`.
    pub fn lease_state(&self, now: Timestamp) -> LeaseState {
        self.leases.lease().state(now)
    }

    /// Term under which the host leads its zone at `now`; absent if it does not hold the lease.
    pub fn zone_term(&self, now: Timestamp) -> Option<gw_types::TermNumber> {
        self.leases.lease().holds(now).then(|| self.leases.lease().term()).flatten()
    }

    /// Whether the host's dispatcher lease allows it to write a request to `target` at `now`.
    pub fn may_dispatch(&self, now: Timestamp, target: &gw_types::TargetName) -> bool {
        let table = self.tables.acknowledged(self.zone.as_str());
        let held = table.map(|table| table.version).unwrap_or_default();
        self.dispatcher.may_send(now, target, held)
    }

    /// The control leader as last known to this host. It may have been replaced since.
    pub fn control_leader(&self) -> Option<HostId> {
        self.control.leader()
    }

    /// Whether this host is the control leader and has applied an entry of its own term.
    pub fn leads_control(&self, now: Timestamp) -> bool {
        self.control.leads(now)
    }
}
