use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_agreement::ReplicaNode;
use gw_agreement::SyncQueue;
use gw_daemon::BootClock;
use gw_daemon::control::JournalReport;
use gw_daemon::control::JournalThread;
use gw_dispatch::CrashQuarantine;
use gw_dispatch::QuarantineOptions;
use gw_fleet::FleetCommand;
use gw_fleet::RunReplacements;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_ranges::RangeHolder;
use gw_ranges::StepPacer;
use gw_types::Clock;
use gw_types::HostId;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::GatewaySettings;
use crate::control::cold_targets::ColdDuty;
use crate::control::fleet_log::FleetLog;
use crate::control::granter_set::GranterSet;
use crate::control::journal_slot::JournalSlot;
use crate::control::peer_links::PeerLink;
use crate::control::replica_identity::ReplicaIdentity;
use crate::control::target_monitor::TargetMonitor;
use crate::gateway_metrics::GatewayMetrics;
use crate::link::CallFailure;
use crate::link::CallId;
use crate::link::CallResult;
use crate::link::FrameBudget;
use crate::link::LinkHandle;
use crate::link::LinkId;
use crate::link::LinkMessage;
use crate::memory::MemoryGate;
use crate::memory_bounds::MemoryBounds;
use crate::ports::ProtocolAdapter;
use crate::ports::TargetDialer;
use crate::targets::TargetConnections;

/// Longest time since the last message of a leader for a follower to count as in contact with the
/// group.
pub(crate) const CONTACT_TIMEOUT: Duration = Duration::from_millis(600);
/// Fraction of the process's memory for the bodies of calls. The control log and what is derived from
/// it need the rest.
const MEMORY_SHARE: f64 = 0.25;
/// Size of the kernel's buffers of a connection for calls, in bytes: a configuration of 1 MB takes
/// less than 0.1 s at a round trip of 10 ms.
const SOCKET_BUFFER_BYTES: usize = 256 * 1024;
/// Bounds for remembering requests that crash targets: `capacity` bounds memory, `hold` outlasts
/// callers' retries.
const QUARANTINE_OPTIONS: QuarantineOptions =
    QuarantineOptions { capacity: 256, hold: Duration::from_secs(120) };

/// Destination of the result of a proposal or read.
pub(crate) enum ReplySink {
    /// A task of this host.
    Local(oneshot::Sender<CallResult>),
    /// Another host, over the connection on which it asked.
    Remote { link: LinkHandle, call: CallId },
}

impl ReplySink {
    pub(crate) fn send(self, result: CallResult) {
        match self {
            // The receiver is gone if the call timed out or its client disconnected.
            Self::Local(sender) => drop(sender.send(result)),
            Self::Remote { link, call } => {
                link.send(&LinkMessage::Answer { call, result });
            }
        }
    }
}

/// A command that this leader has appended to its log and that is not committed yet.
pub(crate) struct PendingCommand {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) reply_to: ReplySink,
}

/// A read that waits until a majority confirms this host's leadership.
pub(crate) struct PendingRead {
    pub(crate) requested_at: Timestamp,
    pub(crate) reply_to: ReplySink,
}

/// A running replica of the control group.
pub(crate) struct Replica {
    pub(crate) node: ReplicaNode,
    pub(crate) journal: JournalThread,
    /// Messages that wait for the journal.
    pub(crate) unsynced: SyncQueue,
    pub(crate) last_snapshot: u64,
    /// Index of the first entry of its own term that this replica applied as leader; `None` until
    /// then. From that index on, everything that earlier leaders acknowledged has been applied.
    pub(crate) leads_since: Option<u64>,
}

/// State shared by the tasks of a control host, all of which run on one thread.
pub(crate) struct ControlHost {
    pub(crate) settings: RefCell<GatewaySettings>,
    /// Bounds of what the host keeps in memory, from the settings with which it was started.
    pub(crate) bounds: MemoryBounds,
    /// Bytes of the states and updates that wait for entry hosts.
    pub(crate) shared_frames: FrameBudget,
    pub(crate) adapter: Rc<dyn ProtocolAdapter>,
    pub(crate) clock: BootClock,
    pub(crate) metrics: Rc<GatewayMetrics>,
    /// What this host holds for calls.
    pub(crate) memory: Rc<MemoryGate>,
    /// Held while a large call is parsed and decided, which takes several times its size.
    pub(crate) large_call: Semaphore,
    pub(crate) control_address: SocketAddr,
    pub(crate) connections: TargetConnections,
    pub(crate) identity: RefCell<Option<ReplicaIdentity>>,
    pub(crate) replica: RefCell<Option<Replica>>,
    pub(crate) journal: RefCell<JournalSlot>,
    /// Journal of the replica that is to be started once it is open.
    pub(crate) opening: RefCell<Option<JournalThread>>,
    /// Whether this replica was removed and its data is to be removed once the journal is closed.
    pub(crate) is_removed: Cell<bool>,
    pub(crate) log: RefCell<FleetLog>,
    pub(crate) links: RefCell<Vec<PeerLink>>,
    pub(crate) monitor: RefCell<TargetMonitor>,
    /// Targets of which a later run has appeared a short time ago.
    pub(crate) run_replacements: RefCell<RunReplacements>,
    /// Targets that announced themselves here without a change since the last report to the leader.
    pub(crate) heard_targets: RefCell<BTreeSet<TargetName>>,
    pub(crate) granters: RefCell<GranterSet>,
    /// When the granters were last advanced.
    pub(crate) granters_stepped_at: Cell<Timestamp>,
    /// Leaves time between steps of the granters that take long.
    pub(crate) granter_pacer: Cell<StepPacer>,
    /// Overloaded holders that were last reported to entry hosts.
    pub(crate) overloaded: RefCell<Vec<RangeHolder>>,
    pub(crate) quarantine: RefCell<CrashQuarantine>,
    pub(crate) cold: RefCell<ColdDuty>,
    /// When this host was last in contact with a majority, or last logged that it is not.
    pub(crate) majority_seen_at: Cell<Timestamp>,
    /// When this leader first saw each other replica as a member.
    pub(crate) first_seen: RefCell<BTreeMap<HostId, Timestamp>>,
    /// When replicas last announced that their hosts were told to stop.
    pub(crate) leaving: RefCell<BTreeMap<HostId, Timestamp>>,
    /// Availability zones of the control hosts to which this host has opened a connection, by address.
    pub(crate) control_zones: RefCell<BTreeMap<SocketAddr, ZoneName>>,
    /// New replicas, by data folder, for which this leader has proposed a change, and when.
    pub(crate) proposed_joins: RefCell<BTreeMap<u64, Timestamp>>,
    /// When another control host was last heard over a connection, by its address. Known on
    /// followers as well, so that a new leader need not wait to learn who is silent.
    pub(crate) heard_hosts: RefCell<BTreeMap<SocketAddr, Timestamp>>,
    /// Calls to other hosts that wait for a reply.
    pub(crate) pending_calls: RefCell<BTreeMap<CallId, oneshot::Sender<CallResult>>>,
    pub(crate) is_stopping: Cell<bool>,
    /// Earliest time at which a failed replica is restarted.
    pub(crate) restart_at: Cell<Timestamp>,
    /// Whether the replica has messages or proposals for which no I/O was performed yet.
    pub(crate) is_drive_due: Cell<bool>,
    /// Wakes the loop of events when [`ControlHost::is_drive_due`] has been set.
    pub(crate) drive_wakeup: Notify,
    pub(crate) pending_commands: RefCell<Vec<PendingCommand>>,
    pub(crate) pending_reads: RefCell<Vec<PendingRead>>,
    next_call: Cell<CallId>,
    pub(crate) was_leader: Cell<bool>,
    /// Whether the last heads said that this host is in contact with a majority.
    pub(crate) announced_contact: Cell<bool>,
}

impl ControlHost {
    pub(crate) fn new(
        settings: GatewaySettings,
        adapter: Rc<dyn ProtocolAdapter>,
        dialer: Rc<dyn TargetDialer>,
        control_address: SocketAddr,
        journal_reports: UnboundedSender<JournalReport>,
    ) -> Rc<Self> {
        let clock = BootClock;
        let bounds = MemoryBounds::of(settings.memory_bytes);
        let metrics = Rc::new(GatewayMetrics::default());
        let memory = MemoryGate::new(&settings, MEMORY_SHARE, SOCKET_BUFFER_BYTES, metrics.clone());
        Rc::new(Self {
            bounds,
            shared_frames: FrameBudget::new(bounds.shared_frames),
            adapter,
            metrics,
            memory,
            large_call: Semaphore::new(1),
            control_address,
            connections: TargetConnections::new(dialer),
            identity: RefCell::default(),
            replica: RefCell::default(),
            journal: RefCell::new(JournalSlot::new(journal_reports)),
            opening: RefCell::default(),
            is_removed: Cell::new(false),
            log: RefCell::new(FleetLog::new(bounds.recent_commands)),
            links: RefCell::default(),
            monitor: RefCell::default(),
            run_replacements: RefCell::default(),
            heard_targets: RefCell::default(),
            granters: RefCell::new(GranterSet::new(settings.max_lease_duration)),
            granters_stepped_at: Cell::new(Timestamp::ZERO),
            granter_pacer: Cell::default(),
            overloaded: RefCell::default(),
            quarantine: RefCell::new(CrashQuarantine::new(QUARANTINE_OPTIONS)),
            cold: RefCell::new(ColdDuty::new(clock.now(), &settings)),
            majority_seen_at: Cell::new(clock.now()),
            first_seen: RefCell::default(),
            leaving: RefCell::default(),
            control_zones: RefCell::default(),
            proposed_joins: RefCell::default(),
            heard_hosts: RefCell::default(),
            pending_calls: RefCell::default(),
            is_stopping: Cell::new(false),
            restart_at: Cell::new(Timestamp::ZERO),
            is_drive_due: Cell::default(),
            drive_wakeup: Notify::new(),
            pending_commands: RefCell::default(),
            pending_reads: RefCell::default(),
            next_call: Cell::new(clock.now().as_nanos()),
            was_leader: Cell::new(false),
            announced_contact: Cell::new(false),
            clock,
            settings: RefCell::new(settings),
        })
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn next_call(&self) -> CallId {
        self.next_call.replace(self.next_call.get() + 1)
    }

    /// Whether this host is the leader, a majority has confirmed that within the shortest election
    /// timeout, and everything that earlier leaders acknowledged is applied.
    pub(crate) fn is_confirmed_leader(&self) -> bool {
        let now = self.now();
        let replica = self.replica.borrow();
        replica
            .as_ref()
            .is_some_and(|replica| replica.node.has_quorum(now) && replica.leads_since.is_some())
    }

    /// Whether this host is in contact with a majority, either as leader or through a leader that
    /// it has heard recently, and its state contains everything that earlier leaders acknowledged.
    pub(crate) fn is_current(&self) -> bool {
        let now = self.now();
        let replica = self.replica.borrow();
        let Some(replica) = replica.as_ref() else { return false };
        let node = &replica.node;
        if node.is_leader() {
            return node.has_quorum(now) && replica.leads_since.is_some();
        }
        node.is_caught_up() && now.since(node.last_leader_contact()) < CONTACT_TIMEOUT
    }

    pub(crate) fn stop_replica(&self, cause: &str) {
        /// Delay before a replica whose disk failed is restarted.
        const RESTART_DELAY: Duration = Duration::from_secs(1);
        log::error!("event=replica_stopped cause=\"{cause}\"");
        *self.replica.borrow_mut() = None;
        self.restart_at.set(self.now() + RESTART_DELAY);
        self.fail_pending(CallFailure::Unavailable);
    }

    /// Sends newly applied commands to the entry hosts that stream from this host. Those whose
    /// connection or whose frames have no room are tried again with the next call.
    pub(crate) fn push_updates(&self) {
        let mut log = self.log.borrow_mut();
        for link in self.links.borrow_mut().iter_mut().filter(|link| link.is_streaming) {
            if link.sent_through < log.applied() {
                let frame =
                    log.frame_since(link.sent_through, link.link.version(), &self.shared_frames);
                if frame.is_some_and(|frame| link.link.send_frame(frame)) {
                    link.sent_through = log.applied();
                }
            }
        }
    }

    /// Tells the replica that what was on its way over a connection, which is still in the list, is
    /// lost.
    pub(crate) fn record_lost_link(&self, lost: LinkId) {
        let mut replica = self.replica.borrow_mut();
        let Some(replica) = replica.as_mut() else { return };
        let members: Vec<HostId> = replica.node.membership().members().collect();
        for member in members {
            if self.link_to(member).is_some_and(|link| link.id == lost) {
                replica.node.connection_lost(member);
            }
        }
    }

    /// Records as draining, if this host is the confirmed leader, the targets that have said in an
    /// answer that they leave. `source` is the kind of answer, for the log.
    pub(crate) fn record_leaving<'a>(
        &self,
        leaving: impl IntoIterator<Item = &'a RangeHolder>,
        source: &str,
    ) {
        let mut leaving = leaving.into_iter().peekable();
        if leaving.peek().is_none() || !self.is_confirmed_leader() {
            return;
        }
        for holder in leaving {
            let known = self.log.borrow().state().live_target(holder).cloned();
            if let Some(known) = known.filter(|known| known.phase == TargetPhase::Serving) {
                log::info!("event=target_leaving target={holder} source={source}");
                let record = TargetRecord { phase: TargetPhase::Draining, ..known };
                self.propose(FleetCommand::PutTarget(record));
            }
        }
    }

    /// Whether this replica is the leader in its current term, even without a recent confirmation
    /// by a majority.
    pub(crate) fn is_leader(&self) -> bool {
        self.replica.borrow().as_ref().is_some_and(|replica| replica.node.is_leader())
    }

    /// Returns the address at which this host accepts connections of other hosts.
    pub(crate) fn own_peer_address(&self) -> SocketAddr {
        let settings = self.settings.borrow();
        SocketAddr::new(settings.address, settings.peer_port)
    }

    /// Returns the leader this replica last heard from, if the contact is recent.
    pub(crate) fn recent_leader(&self) -> Option<HostId> {
        let now = self.now();
        let replica = self.replica.borrow();
        let node = &replica.as_ref()?.node;
        let is_fresh = now.since(node.last_leader_contact()) < CONTACT_TIMEOUT;
        node.leader_hint().filter(|_| is_fresh)
    }

    /// Returns the address of the leader this replica last heard from, if the contact is recent.
    pub(crate) fn leader_address(&self) -> Option<SocketAddr> {
        self.peer_address(self.recent_leader()?)
    }

    /// Returns the connection to the leader this replica last heard from, if that is another host
    /// and the contact is recent.
    pub(crate) fn leader_link(&self) -> Option<LinkHandle> {
        self.link_to(self.recent_leader()?)
    }

    /// Returns the address of a replica, from the replicated state or, if it is not there, from the
    /// saved identity.
    pub(crate) fn peer_address(&self, id: HostId) -> Option<SocketAddr> {
        let log = self.log.borrow();
        let known = log.state().replicas().iter().find(|replica| replica.id == id);
        let identity = self.identity.borrow();
        let saved = identity.as_ref().map_or(&[][..], |identity| &identity.peers);
        let mut saved = saved.iter().filter(|(peer, _)| *peer == id);
        known.map(|known| known.peers).or_else(|| saved.next().map(|(_, peers)| *peers))
    }

    /// Returns the connection that this host opened to a replica, or else the one over which the
    /// replica was last heard: its address may not be known.
    pub(crate) fn link_to(&self, id: HostId) -> Option<LinkHandle> {
        let address = self.peer_address(id);
        let links = self.links.borrow();
        let own = links.iter().rfind(|link| link.is_outbound && Some(link.peer) == address);
        let heard = || links.iter().rfind(|link| link.replica == Some(id));
        own.or_else(heard).map(|link| link.link.clone())
    }
}
