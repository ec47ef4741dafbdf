use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_agreement::Membership;
use gw_agreement::ReplicaNode;
use gw_agreement::ReplicaOptions;
use gw_daemon::BootClock;
use gw_daemon::control::JournalWriter;
use gw_dispatch::CrashQuarantine;
use gw_dispatch::QuarantineOptions;
use gw_ranges::RangeHolder;
use gw_types::Clock;
use gw_types::HostId;
use gw_types::TargetName;
use gw_types::Timestamp;
use tokio::sync::oneshot;

use crate::GatewaySettings;
use crate::control::fleet_log::FleetLog;
use crate::control::link_keeper::PeerLink;
use crate::control::range_keeper::RangeKeeper;
use crate::control::replica_identity::JOURNAL_FOLDER;
use crate::control::replica_identity::ReplicaIdentity;
use crate::control::target_watch::TargetWatch;
use crate::link::CallFailure;
use crate::link::CallId;
use crate::link::CallResult;
use crate::link::LinkHandle;
use crate::link::LinkMessage;
use crate::metrics_page::MetricsPage;
use crate::ports::ProtocolAdapter;
use crate::targets::TargetConnections;

/// Longest time between two signs of a leader for a follower to be in contact with the group.
const CONTACT_TIME: Duration = Duration::from_millis(600);
/// Largest command, in bytes: a configuration of tens of thousands of routes with its text.
const COMMAND_BYTES: usize = 16 * 1024 * 1024;
/// Requests that crash targets: the number is a bound on memory, the time outlasts resends.
const QUARANTINE: QuarantineOptions =
    QuarantineOptions { capacity: 256, hold: Duration::from_secs(120) };

/// Who waits for a command or a read.
pub(crate) enum Asker {
    /// A call on this host.
    Own(oneshot::Sender<CallResult>),
    /// Another host.
    Remote { link: LinkHandle, call: CallId },
}

impl Asker {
    pub(crate) fn answer(self, result: CallResult) {
        match self {
            // The caller may have gone.
            Self::Own(sender) => drop(sender.send(result)),
            Self::Remote { link, call } => {
                link.send(&LinkMessage::Answer { call, result });
            }
        }
    }
}

/// A command in the log of this leader, and who waits for it.
pub(crate) struct WaitingCommand {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) asker: Asker,
}

/// A read that waits for a confirmation of the lead.
pub(crate) struct WaitingRead {
    pub(crate) asked: Timestamp,
    pub(crate) asker: Asker,
}

/// A running replica.
pub(crate) struct Replica {
    pub(crate) node: ReplicaNode,
    pub(crate) journal: JournalWriter,
    pub(crate) last_snapshot: u64,
    /// Whether an entry of the present leader's own term was applied here while it led: all that
    /// earlier leaders acknowledged is applied then.
    pub(crate) leads_since: Option<u64>,
}

/// What the tasks of a control host share. All of them run on one thread.
pub(crate) struct ControlHost {
    pub(crate) settings: RefCell<GatewaySettings>,
    pub(crate) dialect: Rc<dyn ProtocolAdapter>,
    pub(crate) clock: BootClock,
    pub(crate) metrics: MetricsPage,
    pub(crate) calls_address: SocketAddr,
    pub(crate) connections: TargetConnections,
    pub(crate) identity: RefCell<Option<ReplicaIdentity>>,
    pub(crate) replica: RefCell<Option<Replica>>,
    pub(crate) log: RefCell<FleetLog>,
    pub(crate) links: RefCell<Vec<PeerLink>>,
    pub(crate) watch: RefCell<TargetWatch>,
    /// Targets heard on a follower, for the leader.
    pub(crate) heard: RefCell<BTreeSet<TargetName>>,
    pub(crate) ranges: RefCell<RangeKeeper>,
    /// Holders that entry hosts were told last are overloaded.
    pub(crate) overloaded: RefCell<Vec<RangeHolder>>,
    pub(crate) quarantine: RefCell<CrashQuarantine>,
    /// When this leader noticed each other replica first.
    pub(crate) noticed: RefCell<BTreeMap<HostId, Timestamp>>,
    /// Calls to other hosts that wait for an answer.
    pub(crate) calls: RefCell<BTreeMap<CallId, oneshot::Sender<CallResult>>>,
    pub(crate) is_stopping: Cell<bool>,
    /// When a replica that failed is started again.
    pub(crate) restart_at: Cell<Timestamp>,
    pub(crate) waiting: RefCell<Vec<WaitingCommand>>,
    pub(crate) reads: RefCell<Vec<WaitingRead>>,
    next_call: Cell<CallId>,
    pub(crate) was_leader: Cell<bool>,
}

impl ControlHost {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Rc<dyn ProtocolAdapter>,
        calls_address: SocketAddr,
    ) -> Rc<Self> {
        let clock = BootClock;
        Rc::new(Self {
            dialect,
            metrics: MetricsPage::default(),
            calls_address,
            connections: TargetConnections::default(),
            identity: RefCell::default(),
            replica: RefCell::default(),
            log: RefCell::default(),
            links: RefCell::default(),
            watch: RefCell::default(),
            heard: RefCell::default(),
            ranges: RefCell::new(RangeKeeper::new(settings.max_lease_time)),
            overloaded: RefCell::default(),
            quarantine: RefCell::new(CrashQuarantine::new(QUARANTINE)),
            noticed: RefCell::default(),
            calls: RefCell::default(),
            is_stopping: Cell::new(false),
            restart_at: Cell::new(Timestamp::ZERO),
            waiting: RefCell::default(),
            reads: RefCell::default(),
            next_call: Cell::new(clock.now().as_nanos()),
            was_leader: Cell::new(false),
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

    /// Whether this host leads and a majority confirmed that a moment ago.
    pub(crate) fn leads(&self) -> bool {
        let now = self.now();
        let replica = self.replica.borrow();
        replica
            .as_ref()
            .is_some_and(|replica| replica.node.has_quorum(now) && replica.leads_since.is_some())
    }

    /// Whether this host is in contact with a majority, directly or through the leader.
    pub(crate) fn is_current(&self) -> bool {
        let now = self.now();
        let replica = self.replica.borrow();
        let Some(replica) = replica.as_ref() else { return false };
        let node = &replica.node;
        if node.is_leader() {
            return node.has_quorum(now) && replica.leads_since.is_some();
        }
        node.leader_hint().is_some()
            && now.since(node.last_leader_contact()) < CONTACT_TIME
            && self.log.borrow().applied() > 0
    }

    /// Starts the replica from its data folder.
    pub(crate) fn start_replica(&self, identity: &ReplicaIdentity) -> Result<(), String> {
        let Some(id) = identity.id else { return Err("no id yet".to_owned()) };
        let data = self.settings.borrow().data_dir.clone().ok_or("no data folder")?;
        let opened = JournalWriter::open(&data.join(JOURNAL_FOLDER));
        let (journal, recovered) = opened.map_err(|error| error.to_string())?;
        let members = Membership::of_voters(identity.first_members.iter().copied());
        let options = ReplicaOptions {
            max_batch_bytes: COMMAND_BYTES,
            max_uncommitted_bytes: 2 * COMMAND_BYTES,
            ..ReplicaOptions::new(id, members, rand::random())
        };
        let node = ReplicaNode::new(options, recovered, self.now());
        *self.log.borrow_mut() = FleetLog::default();
        let replica = Replica { node, journal, last_snapshot: 0, leads_since: None };
        *self.replica.borrow_mut() = Some(replica);
        log::info!("event=replica_started id={}", id.0);
        Ok(())
    }

    pub(crate) fn stop_replica(&self, cause: &str) {
        /// Wait before a replica whose disk failed is started again.
        const RESTART_DELAY: Duration = Duration::from_secs(1);
        log::error!("event=replica_stopped cause=\"{cause}\"");
        *self.replica.borrow_mut() = None;
        self.restart_at.set(self.now() + RESTART_DELAY);
        self.fail_waiting(CallFailure::Unavailable);
    }

    /// Sends what was applied to the entry hosts that stream from here.
    pub(crate) fn push_updates(&self) {
        let log = self.log.borrow();
        for link in self.links.borrow_mut().iter_mut().filter(|link| link.is_streaming) {
            if link.sent_through < log.applied() {
                link.link.send(&log.since(link.sent_through));
                link.sent_through = log.applied();
            }
        }
    }

    /// Whether this replica is the leader, also without a recent confirmation.
    pub(crate) fn is_leader(&self) -> bool {
        self.replica.borrow().as_ref().is_some_and(|replica| replica.node.is_leader())
    }

    /// The connection to the probable leader, if that is another host.
    pub(crate) fn leader_link(&self) -> Option<LinkHandle> {
        let now = self.now();
        let leader = {
            let replica = self.replica.borrow();
            let node = &replica.as_ref()?.node;
            let is_fresh = now.since(node.last_leader_contact()) < CONTACT_TIME;
            node.leader_hint().filter(|_| is_fresh)?
        };
        self.link_to(leader)
    }

    /// The address of a replica.
    pub(crate) fn peer_address(&self, id: HostId) -> Option<SocketAddr> {
        let log = self.log.borrow();
        let known = log.state().replicas().iter().find(|replica| replica.id == id);
        let identity = self.identity.borrow();
        let remembered = identity.as_ref().map_or(&[][..], |identity| &identity.peers);
        let mut remembered = remembered.iter().filter(|(peer, _)| *peer == id);
        known.map(|known| known.peers).or_else(|| remembered.next().map(|(_, peers)| *peers))
    }

    /// The own connection to a replica.
    pub(crate) fn link_to(&self, id: HostId) -> Option<LinkHandle> {
        let address = self.peer_address(id)?;
        let links = self.links.borrow();
        let own = links.iter().filter(|link| link.is_own && link.peer == address);
        own.map(|link| link.link.clone()).next_back()
    }
}
