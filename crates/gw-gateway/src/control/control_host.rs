use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_agreement::EntryPayload;
use gw_agreement::Envelope;
use gw_agreement::LogEntry;
use gw_agreement::Membership;
use gw_agreement::Message;
use gw_agreement::ReplicaNode;
use gw_agreement::ReplicaOptions;
use gw_daemon::BootClock;
use gw_daemon::control::JournalWriter;
use gw_dispatch::CrashQuarantine;
use gw_dispatch::QuarantineOptions;
use gw_fleet::FleetCommand;
use gw_fleet::FleetOutcome;
use gw_fleet::FleetState;
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
use crate::ports::HostDialect;
use crate::targets::TargetConnections;

/// Longest time between two signs of a leader for a follower to be in contact with the group.
const CONTACT_TIME: Duration = Duration::from_millis(600);
/// Entries after which the log is replaced by a snapshot.
const SNAPSHOT_ENTRIES: u64 = 256;
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

struct WaitingCommand {
    index: u64,
    term: u64,
    asker: Asker,
}

struct WaitingRead {
    asked: Timestamp,
    asker: Asker,
}

/// A running replica.
pub(crate) struct Replica {
    pub(crate) node: ReplicaNode,
    journal: JournalWriter,
    last_snapshot: u64,
    /// Whether an entry of the present leader's own term was applied here while it led: all that
    /// earlier leaders acknowledged is applied then.
    leads_since: Option<u64>,
}

/// What the tasks of a control host share. All of them run on one thread.
pub(crate) struct ControlHost {
    pub(crate) settings: RefCell<GatewaySettings>,
    pub(crate) dialect: Rc<dyn HostDialect>,
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
    pub(crate) quarantine: RefCell<CrashQuarantine>,
    /// When this leader noticed each other replica first.
    pub(crate) noticed: RefCell<BTreeMap<HostId, Timestamp>>,
    /// Calls to other hosts that wait for an answer.
    pub(crate) calls: RefCell<BTreeMap<CallId, oneshot::Sender<CallResult>>>,
    pub(crate) is_stopping: Cell<bool>,
    /// When a replica that failed is started again.
    pub(crate) restart_at: Cell<Timestamp>,
    waiting: RefCell<Vec<WaitingCommand>>,
    reads: RefCell<Vec<WaitingRead>>,
    next_call: Cell<CallId>,
    was_leader: Cell<bool>,
}

impl ControlHost {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Rc<dyn HostDialect>,
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
            ranges: RefCell::new(RangeKeeper::new(settings.longest_hold)),
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
            && now.since(node.heard_leader_at()) < CONTACT_TIME
            && self.log.borrow().applied() > 0
    }

    /// Starts the replica from its data folder.
    pub(crate) fn start_replica(&self, identity: &ReplicaIdentity) -> Result<(), String> {
        let Some(id) = identity.id else { return Err("no id yet".to_owned()) };
        let data = self.settings.borrow().data.clone().ok_or("no data folder")?;
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

    fn stop_replica(&self, cause: &str) {
        /// Wait before a replica whose disk failed is started again.
        const RESTART_DELAY: Duration = Duration::from_secs(1);
        log::error!("event=replica_stopped cause=\"{cause}\"");
        *self.replica.borrow_mut() = None;
        self.restart_at.set(self.now() + RESTART_DELAY);
        self.fail_waiting(CallFailure::Unavailable);
    }

    /// Takes a message of another replica.
    pub(crate) fn take_agreement(&self, from: HostId, message: Message) {
        let now = self.now();
        if let Some(replica) = self.replica.borrow_mut().as_mut() {
            replica.node.handle(now, from, message);
        }
        self.drive();
    }

    /// Lets the replica do what is due.
    pub(crate) fn tick_replica(&self) {
        let now = self.now();
        if let Some(replica) = self.replica.borrow_mut().as_mut() {
            replica.node.tick(now);
        }
        self.drive();
    }

    /// Carries out what the replica asks for until it asks for nothing more.
    pub(crate) fn drive(&self) {
        loop {
            let now = self.now();
            let mut slot = self.replica.borrow_mut();
            let Some(replica) = slot.as_mut() else { return };
            let ready = replica.node.take_ready(now);
            if ready.is_empty() {
                break;
            }
            self.send_all(replica.node.id(), ready.messages);
            if !ready.persist.is_empty() {
                if let Err(error) = replica.journal.write(&ready.persist) {
                    drop(slot);
                    self.stop_replica(&error.to_string());
                    return;
                }
                replica.node.persisted(self.now(), ready.token);
            }
            self.send_all(replica.node.id(), ready.messages_after_sync);
            if let Some(snapshot) = ready.install {
                match FleetState::restore(&snapshot.data) {
                    Ok(state) => self.log.borrow_mut().install(snapshot.meta.index.0, state),
                    Err(error) => {
                        drop(slot);
                        self.stop_replica(&error.to_string());
                        return;
                    }
                }
            }
            for entry in ready.committed {
                self.apply(replica, &entry);
            }
            self.save_snapshot(replica);
        }
        self.follow_leadership();
        self.answer_reads();
        self.push_updates();
    }

    fn send_all(&self, from: HostId, messages: Vec<Envelope>) {
        for Envelope { to, message } in messages {
            if let Some(link) = self.link_to(to) {
                link.send(&LinkMessage::Agreement { from, to, message });
            }
        }
    }

    fn apply(&self, replica: &mut Replica, entry: &LogEntry) {
        let index = entry.index.0;
        if replica.node.is_leader()
            && entry.term == replica.node.term()
            && replica.leads_since.is_none()
        {
            replica.leads_since = Some(index);
        }
        let command = match &entry.payload {
            EntryPayload::Command(bytes) => match postcard::from_bytes::<FleetCommand>(bytes) {
                Ok(command) => Some(command),
                Err(error) => {
                    // All replicas skip it alike.
                    log::error!("event=command_not_read index={index} cause=\"{error}\"");
                    None
                }
            },
            EntryPayload::Noop => None,
            EntryPayload::Membership(members) => {
                log::info!("event=members_changed index={index} members={members:?}");
                None
            }
        };
        let outcome = self.log.borrow_mut().apply(index, command.as_ref());
        if let (Some(command), Some(outcome)) = (&command, outcome) {
            if let FleetCommand::PutTarget(record) = command {
                // It announced itself a moment ago, maybe to another replica.
                self.watch.borrow_mut().note_heard(self.now(), &record.name);
            }
            log_applied(index, command, outcome);
        }
        let mut waiting = self.waiting.borrow_mut();
        let due = waiting.extract_if(.., |waiting| waiting.index <= index);
        for waiting in due.collect::<Vec<_>>() {
            let is_own = waiting.index == index && waiting.term == entry.term.0;
            let result = match outcome.filter(|_| is_own) {
                Some(outcome) => CallResult::Committed(outcome),
                None => CallResult::Failed(CallFailure::Unavailable),
            };
            waiting.asker.answer(result);
        }
    }

    fn save_snapshot(&self, replica: &mut Replica) {
        let log = self.log.borrow();
        if log.applied() < replica.last_snapshot + SNAPSHOT_ENTRIES {
            return;
        }
        match log.state().snapshot() {
            Ok(data) => {
                replica.node.save_snapshot(gw_agreement::LogIndex(log.applied()), data);
                replica.last_snapshot = log.applied();
            }
            Err(error) => log::error!("event=snapshot_failed cause=\"{error}\""),
        }
    }

    fn follow_leadership(&self) {
        let (is_leader, term) = {
            let mut slot = self.replica.borrow_mut();
            let Some(replica) = slot.as_mut() else { return };
            if !replica.node.is_leader() {
                replica.leads_since = None;
            }
            (replica.node.is_leader(), replica.node.term().0)
        };
        if is_leader == self.was_leader.get() {
            return;
        }
        self.was_leader.set(is_leader);
        self.metrics.is_leader.set(i64::from(is_leader));
        let event = if is_leader { "leads_control" } else { "left_control" };
        log::info!("event={event} term={term}");
        self.ranges.borrow_mut().restart();
        self.watch.borrow_mut().restart(self.now());
        self.noticed.borrow_mut().clear();
        if !is_leader {
            self.fail_waiting(CallFailure::NotLeader);
        }
    }

    fn fail_waiting(&self, failure: CallFailure) {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        let reads = std::mem::take(&mut *self.reads.borrow_mut());
        let askers = waiting.into_iter().map(|waiting| waiting.asker);
        askers
            .chain(reads.into_iter().map(|read| read.asker))
            .for_each(|asker| asker.answer(CallResult::Failed(failure)));
    }

    /// Puts a command into the log as leader.
    pub(crate) fn propose_as_leader(&self, command: &FleetCommand, asker: Asker) {
        let now = self.now();
        let proposed = {
            let mut slot = self.replica.borrow_mut();
            let replica = slot.as_mut().filter(|replica| replica.node.is_leader());
            replica.map(|replica| {
                let bytes = postcard::to_stdvec(command).map_err(|error| error.to_string())?;
                let index = replica.node.propose(now, bytes).map_err(|error| error.to_string())?;
                Ok::<_, String>((index.0, replica.node.term().0))
            })
        };
        match proposed {
            Some(Ok((index, term))) => {
                self.waiting.borrow_mut().push(WaitingCommand { index, term, asker });
                self.drive();
            }
            Some(Err(cause)) => {
                log::warn!("event=proposal_refused cause=\"{cause}\"");
                asker.answer(CallResult::Failed(CallFailure::Unavailable));
            }
            None => asker.answer(CallResult::Failed(CallFailure::NotLeader)),
        }
    }

    /// Waits as leader until a majority has confirmed that no later leader exists.
    pub(crate) fn read_as_leader(&self, asker: Asker) {
        if !self.leads() {
            asker.answer(CallResult::Failed(CallFailure::NotLeader));
            return;
        }
        let asked = self.now();
        self.reads.borrow_mut().push(WaitingRead { asked, asker });
    }

    fn answer_reads(&self) {
        if self.reads.borrow().is_empty() {
            return;
        }
        let now = self.now();
        let confirmed = {
            let replica = self.replica.borrow();
            let leading = replica.as_ref().filter(|replica| replica.leads_since.is_some());
            leading.and_then(|replica| replica.node.confirmed_at(now))
        };
        let Some(confirmed) = confirmed else { return };
        let index = self.log.borrow().applied();
        let mut reads = self.reads.borrow_mut();
        let due: Vec<_> = reads.extract_if(.., |read| read.asked <= confirmed).collect();
        drop(reads);
        due.into_iter().for_each(|read| read.asker.answer(CallResult::ReadIndex(index)));
    }

    /// Sends what was applied to the entry hosts that stream from here.
    fn push_updates(&self) {
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
            let is_fresh = now.since(node.heard_leader_at()) < CONTACT_TIME;
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

fn log_applied(index: u64, command: &FleetCommand, outcome: FleetOutcome) {
    match command {
        FleetCommand::SetFirstReplicas(first) => {
            log::info!("event=first_replicas index={index} count={}", first.len());
        }
        FleetCommand::AddReplica { folder, peers, .. } => log::info!(
            "event=replica_added index={index} folder={folder:x} peers={peers} outcome={outcome:?}"
        ),
        FleetCommand::RemoveReplica { id } => {
            log::info!("event=replica_removed index={index} id={}", id.0);
        }
        FleetCommand::SetConfig(config) => log::info!(
            "event=config_committed index={index} version={} outcome={outcome:?}",
            config.routing.version
        ),
        FleetCommand::PutTarget(record) => log::info!(
            "event=target_committed index={index} target={} run={} service={} phase={:?} \
             outcome={outcome:?}",
            record.name,
            record.run,
            record.service,
            record.phase,
        ),
        FleetCommand::RemoveTarget { name, run, cause } => log::info!(
            "event=target_removed index={index} target={name} run={run:?} cause={cause:?} \
             outcome={outcome:?}"
        ),
        FleetCommand::ChangeRanges(change) => {
            log::info!("event=ranges_changed index={index} outcome={outcome:?} change={change:?}");
        }
    }
}
