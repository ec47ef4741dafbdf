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
use crate::control_part::ControlPart;
use crate::delegation_part::DelegationPart;
use crate::duty_part::DutyPart;
use crate::lease_part::LeasePart;
use crate::outbox::Outbox;
use crate::table_book::TableBook;
use crate::zone_leader::ZoneLeader;

/// Messages that a host may send to itself in one step. More would mean that two parts answer each
/// other without end.
const MAX_LOOPBACK: usize = 10_000;

/// All state machines of one host.
pub struct HostNode {
    pub(crate) host: HostId,
    pub(crate) boot: BootId,
    pub(crate) zone: ZoneName,
    pub(crate) is_entry: bool,
    /// All hosts, sorted by id.
    pub(crate) hosts: Vec<HostEntry>,
    /// All zones that have entry hosts, sorted.
    pub(crate) zones: Vec<ZoneName>,
    /// All other entry hosts of the zone. Kept, since many steps go through them and a search of
    /// all hosts for them would grow with the system.
    pub(crate) zone_peers: Vec<HostId>,
    pub(crate) longest_deadline: std::time::Duration,
    pub(crate) control: ControlPart,
    pub(crate) leases: LeasePart,
    pub(crate) leader: Option<ZoneLeader>,
    pub(crate) delegations: DelegationPart,
    pub(crate) duties: DutyPart,
    pub(crate) tables: TableBook,
    pub(crate) routes: Arc<RoutingTable>,
    pub(crate) relay: TargetRelay,
    pub(crate) directory: HostDirectory,
    pub(crate) digests: DigestTable,
    pub(crate) plan: HeartbeatPlan,
    pub(crate) beat: u64,
    pub(crate) next_beat: Timestamp,
    pub(crate) next_control_fetch: Timestamp,
    /// Terms under which other hosts said that they lead their zone.
    pub(crate) claims: Vec<ZoneClaim>,
    /// The table with which the present term as zone leader began, until its first version.
    pub(crate) adopted: Option<Arc<gw_types::ZoneTable>>,
    /// Moves that wait to be recorded.
    pub(crate) moves: Vec<MoveBatch>,
    /// Milliseconds since 1970, for records only.
    pub(crate) wall_ms: u64,
    /// Highest control index that a host named that had caught up itself.
    pub(crate) heard_index: Option<u64>,
    /// Highest term of a zone leader that gave this run its table.
    pub(crate) copied_term: gw_types::TermNumber,
    /// Since when the host holds the control state without having heard a leader of its zone.
    pub(crate) leaderless_since: Option<Timestamp>,
    /// Control index that the host, as zone leader, last announced to all members.
    pub(crate) announced_control: u64,
    /// Whether something came that the zone's leadership waits for.
    pub(crate) lead_due: bool,
    pub(crate) is_ready: bool,
    pub(crate) leads_control: bool,
    pub(crate) closing: bool,
}

/// A host's claim to lead its zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneClaim {
    pub(crate) host: HostId,
    pub(crate) term: gw_types::TermNumber,
    pub(crate) heard: Timestamp,
}

impl HostNode {
    /// Starts a host at `now`.
    ///
    /// # Panics
    ///
    /// Panics if the host is not in its own list, which the settings check.
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
        let replica = options.recovered.map(|recovered| {
            snapshot = recovered.snapshot.as_ref().map(|snapshot| snapshot.data.clone());
            let membership = Membership::of_voters(replicas.iter().copied());
            let settings = ReplicaOptions::new(own.id, membership, options.seed);
            ReplicaNode::new(settings, recovered, now)
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
            control: ControlPart::new(own.id, replicas, replica, snapshot.as_deref()),
            leases: LeasePart::new(&own, options.boot, members, zones, now),
            leader: None,
            delegations: DelegationPart::default(),
            duties: DutyPart::new(own.id, options.boot, now),
            tables: TableBook::new(own.zone.clone()),
            routes: Arc::default(),
            relay: TargetRelay::new(options.boot),
            directory: HostDirectory::new(others, now),
            digests: DigestTable::new(),
            plan: HeartbeatPlan::new(&own, &hosts),
            beat: 0,
            next_beat: now,
            next_control_fetch: now,
            claims: Vec::new(),
            adopted: None,
            moves: Vec::new(),
            wall_ms: 0,
            heard_index: None,
            copied_term: gw_types::TermNumber(0),
            leaderless_since: None,
            announced_control: 0,
            lead_due: false,
            is_ready: false,
            leads_control: false,
            closing: false,
            hosts,
        }
    }

    /// Sets the wall-clock time in milliseconds since 1970, which only goes into records.
    pub fn set_wall_clock(&mut self, wall_ms: u64) {
        self.wall_ms = wall_ms;
    }

    /// Takes one event and returns what has to be done, in order.
    pub fn step(&mut self, now: Timestamp, event: NodeEvent) -> Vec<NodeAction> {
        let mut out = Outbox::new(self.host);
        self.handle(now, event, &mut out);
        self.settle(now, &mut out);
        for _ in 0..MAX_LOOPBACK {
            let Some(message) = out.take_loopback() else { break };
            self.handle_message(now, self.host, self.boot, message, &mut out);
            self.settle(now, &mut out);
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
            NodeEvent::Announce { call, announcement } => {
                self.announce(now, call, &announcement, out);
            }
            NodeEvent::Report { call, report } => self.report(now, call, &report, out),
            NodeEvent::Propose { call, command } => {
                self.control.propose_call(now, call, command, out);
            }
            NodeEvent::AbandonCall { call } => self.control.forget_call(call),
            NodeEvent::RequestEnded(result) => {
                // A full relay drops observations; the target's own renewals still count.
                let _ = self.relay.observe(now, &result.target, result.boot, result.answered);
            }
            NodeEvent::Load(report) => self.send_load(report, out),
            NodeEvent::Drained { drain_id } => self.duties.drained(now, drain_id, out),
            NodeEvent::Shutdown => self.shut_down(now, out),
            NodeEvent::Stop => self.release_targets(now, out),
        }
    }

    fn tick(&mut self, now: Timestamp, out: &mut Outbox) {
        for change in self.directory.tick(now) {
            self.note_host_change(change, out);
        }
        self.control.tick(now, out);
        if self.is_entry {
            let context = self.lease_context(now);
            self.leases.tick(now, context, &mut self.control, out);
            self.lead_zone(now, out);
        } else {
            self.leases.update_grantor(now, &self.control);
        }
        self.lead_control(now, out);
        self.relay_targets(now, out);
        self.send_heartbeats(now, out);
        self.fetch_missing(now, out);
        self.update_ready(now);
    }

    /// Follows what the step changed: applied commands, tables, routes and the plan.
    fn settle(&mut self, now: Timestamp, out: &mut Outbox) {
        if std::mem::take(&mut self.lead_due) && self.is_entry {
            self.lead_zone(now, out);
        }
        let applied = self.control.take_applied();
        for command in &applied {
            self.leases.apply(command, &self.control);
        }
        if !applied.is_empty() || self.control.applied() > self.digests.own().control_index {
            self.tables.follow(self.control.view());
            self.tables.touch();
            self.digests.set_control_index(self.control.applied());
        }
        for table in self.tables.all() {
            self.digests.set_table_version(&table.zone, table.version);
        }
        if let Some(routes) = self.tables.take_routes(self.control.view()) {
            self.routes = routes.clone();
            out.push(NodeAction::PublishRoutes(routes.clone()));
            self.duties.take_routes(now, &routes, out);
        }
        let table = self.tables.accepted(self.zone.as_str()).cloned();
        if let Some(plan) = self.duties.take_plan(table.as_deref()) {
            out.push(NodeAction::PublishPlan(plan));
        }
    }

    fn shut_down(&mut self, now: Timestamp, out: &mut Outbox) {
        self.closing = true;
        self.next_beat = now;
        self.send_heartbeats(now, out);
        if self.leader.take().is_some() {
            out.push(NodeAction::StatusChanged(StatusChange::ZoneLeadershipLost));
        }
        self.leases.release(now, &mut self.control, out);
        self.control.transfer(now, out);
    }

    fn release_targets(&mut self, now: Timestamp, out: &mut Outbox) {
        let answer = self.duties.release(now);
        if let Some(leader) = self.zone_leader_host().filter(|leader| *leader != self.host) {
            out.datagram(leader, crate::PeerMessage::DispatcherAnswer(answer));
        }
    }

    /// Whether the host has been asked to stop.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Whether a host that shuts down has handed its targets over, or has nobody to take them.
    pub fn is_released(&self) -> bool {
        let peers = self.zone_peers();
        let has_heir = peers.iter().any(|peer| self.directory.is_reachable(*peer));
        !has_heir || !self.duties.has_targets()
    }

    /// The control state that the host has learnt.
    pub fn control_state(&self) -> &ControlState {
        self.control.learner().state()
    }

    /// What hosts read from the control state.
    pub fn control_view(&self) -> ControlView<'_> {
        self.control.view()
    }

    /// What is known of the other hosts.
    pub fn directory(&self) -> &HostDirectory {
        &self.directory
    }

    /// Last entry of the control log that `host` is known to have applied. Absent for a host that
    /// is unreachable or sends no heartbeats to this one.
    pub fn control_index_of(&self, host: HostId) -> Option<u64> {
        if host == self.host {
            return Some(self.control.applied());
        }
        self.digests.control_index_of(host)
    }

    /// Acknowledged tables of all zones.
    pub fn zone_tables(&self) -> &[Arc<gw_types::ZoneTable>] {
        self.tables.all()
    }

    /// The routes published last.
    pub fn routes(&self) -> &Arc<RoutingTable> {
        &self.routes
    }

    /// Whether the host holds state at least as new as what was in force when it started, and does
    /// not shut down.
    pub fn is_ready(&self) -> bool {
        self.is_ready && !self.closing
    }

    /// All hosts, sorted by id.
    pub fn hosts(&self) -> &[HostEntry] {
        &self.hosts
    }

    /// This host.
    pub fn entry(&self) -> &HostEntry {
        let place = self.hosts.binary_search_by_key(&self.host, |entry| entry.id);
        &self.hosts[place.expect("the list holds this host")]
    }

    /// How the host stands to the lease of its zone.
    pub fn lease_state(&self, now: Timestamp) -> LeaseState {
        self.leases.lease().state(now)
    }

    /// Term under which the host leads its zone at `now`.
    pub fn zone_term(&self, now: Timestamp) -> Option<gw_types::TermNumber> {
        self.leases.lease().holds(now).then(|| self.leases.lease().term()).flatten()
    }

    /// Whether the host may write a request to `target` at `now`.
    pub fn may_dispatch(&self, now: Timestamp, target: &gw_types::TargetName) -> bool {
        let table = self.tables.accepted(self.zone.as_str());
        let held = table.map(|table| table.version).unwrap_or_default();
        self.duties.may_send(now, target, held)
    }

    /// The control leader as far as the host knows.
    pub fn control_leader(&self) -> Option<HostId> {
        self.control.leader()
    }

    /// Whether this host leads the control group.
    pub fn leads_control(&self, now: Timestamp) -> bool {
        self.control.leads(now)
    }
}
