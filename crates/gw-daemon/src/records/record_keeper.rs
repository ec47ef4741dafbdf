use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gw_dispatch::ClaimId;
use gw_dispatch::ClaimRecord;
use gw_dispatch::ClaimResponse;
use gw_dispatch::RecordKey;
use gw_dispatch::RecordMessage;
use gw_dispatch::RecordOutcome;
use gw_dispatch::RecordState;
use gw_node::HostNode;
use gw_node::PeerMessage;
use gw_node::Transport;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::ServiceName;
use gw_types::Timestamp;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::ClaimBook;
use super::ClaimRules;
use super::PeerHandler;
use super::PeerSender;
use super::RecordGroups;
use super::RecordScopes;
use super::ScopeTracker;
use super::sync_state::SyncState;
use crate::ClaimOutcome;
use crate::RecordClaim;
use crate::RecordDecision;
use crate::RecordFuture;
use crate::RecordStore;
use crate::TrafficState;

/// Bytes of records that one host holds, half of the memory that a node may use for control.
const BYTE_LIMIT: usize = 16 * 1_024 * 1_024;

/// Time from the start of a process to its first fetch. Grants of its earlier run may still decide a
/// round that is under way, and the other holders must know of that round when they answer, so this
/// is well above [`ROUND_LIMIT`](super::ROUND_LIMIT).
pub const SYNC_DELAY: Duration = Duration::from_secs(2);

/// Time between two fetches of a restarted holder.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Times that an end is sent to a holder that does not confirm it, and the wait between.
const END_ATTEMPTS: usize = 5;
const END_INTERVAL: Duration = Duration::from_millis(300);

/// Bytes of records in one part of an answer to a fetch; a frame holds 4 MiB.
const PART_BYTES: usize = 1_024 * 1_024;

/// Messages that wait for one round; a round has at most a few groups of three holders.
pub(super) const REPLY_QUEUE: usize = 64;

/// What a [`RecordKeeper`] is made of.
pub struct RecordKeeperOptions {
    /// This host.
    pub host: HostId,
    /// The run of this process.
    pub boot: BootId,
    /// All hosts.
    pub hosts: Vec<HostEntry>,
    /// Clock, profiles and routes.
    pub state: Arc<TrafficState>,
}

/// The idempotency records of one entry host: those that it holds for the system, and the claims of
/// the requests that it dispatches.
pub struct RecordKeeper {
    own: Weak<RecordKeeper>,
    pub(super) host: HostId,
    pub(super) boot: BootId,
    pub(super) groups: RecordGroups,
    pub(super) state: Arc<TrafficState>,
    sender: OnceLock<Arc<dyn PeerSender>>,
    inner: Mutex<KeeperState>,
    pub(super) next_number: AtomicU64,
}

pub(super) struct KeeperState {
    book: ClaimBook,
    pub(super) scopes: RecordScopes,
    tracker: ScopeTracker,
    is_ready: bool,
    pub(super) waiting: HashMap<ClaimId, mpsc::Sender<(HostId, ClaimResponse)>>,
    ends: HashMap<ClaimId, mpsc::Sender<HostId>>,
    syncs: BTreeMap<ServiceName, SyncState>,
    next_sync: Timestamp,
}

impl RecordKeeper {
    /// A keeper that has held nothing yet.
    pub fn new(options: RecordKeeperOptions) -> Arc<Self> {
        let now = options.state.now();
        Arc::new_cyclic(|own| Self {
            own: own.clone(),
            host: options.host,
            boot: options.boot,
            groups: RecordGroups::new(&options.hosts),
            state: options.state,
            sender: OnceLock::new(),
            inner: Mutex::new(KeeperState {
                book: ClaimBook::new(now, BYTE_LIMIT),
                scopes: RecordScopes::default(),
                tracker: ScopeTracker::default(),
                is_ready: false,
                waiting: HashMap::new(),
                ends: HashMap::new(),
                syncs: BTreeMap::new(),
                next_sync: now + SYNC_DELAY,
            }),
            next_number: AtomicU64::new(1),
        })
    }

    /// Takes the scopes by which holders are chosen.
    pub fn publish_scopes(&self, scopes: RecordScopes) {
        self.lock().scopes = scopes;
    }

    /// Notes that a service was registered after this process had caught up with the control log,
    /// so that no earlier run can have held records of it.
    pub fn set_complete(&self, service: &ServiceName) {
        self.lock().book.set_complete(service);
    }

    /// Number of records held here.
    pub fn held_records(&self) -> usize {
        self.lock().book.len()
    }

    /// Calls [`tick`](Self::tick) until the keeper is dropped.
    pub async fn run(keeper: Weak<Self>) {
        while let Some(keeper) = keeper.upgrade() {
            keeper.tick(keeper.state.now());
            drop(keeper);
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Asks other hosts for forgotten records where that is due, and forgets old ones.
    pub fn tick(&self, now: Timestamp) {
        let mut inner = self.lock();
        if now < inner.next_sync {
            return;
        }
        inner.next_sync = now + SYNC_INTERVAL;
        let names: Vec<_> = inner.scopes.services.iter().map(|s| s.service.clone()).collect();
        let others: Vec<_> = self.groups.hosts().filter(|host| *host != self.host).collect();
        let mut fetches = Vec::new();
        for service in names {
            let rules = self.rules(&service);
            inner.book.expire(now, &rules, &service);
            // With no other host, nobody knows what an earlier run held.
            if others.is_empty() || inner.book.is_complete(now, &rules, &service) {
                continue;
            }
            let request = self.next_number.fetch_add(1, Ordering::Relaxed);
            let sync = inner.syncs.entry(service.clone()).or_default();
            sync.begin(request);
            let missing = others.iter().filter(|host| sync.is_missing(**host));
            fetches.extend(missing.map(|host| (*host, service.clone(), request)));
        }
        drop(inner);
        for (host, service, request) in fetches {
            self.send(host, RecordMessage::Fetch { service, request });
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, KeeperState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn rules(&self, service: &ServiceName) -> ClaimRules {
        ClaimRules::from_profile(&self.state.profile_of(service.as_str()))
    }

    pub(super) fn send(&self, to: HostId, message: RecordMessage) {
        if to == self.host {
            self.handle(self.host, message);
        } else if let Some(sender) = self.sender.get() {
            sender.send(to, Transport::Stream, PeerMessage::Records(message));
        }
    }

    fn handle(&self, from: HostId, message: RecordMessage) {
        let now = self.state.now();
        match message {
            RecordMessage::Claim { service, record } => {
                let rules = self.rules(&service);
                let response = self.lock().book.claim(now, &rules, &service, &record);
                self.send(from, RecordMessage::ClaimResponse { claim: record.claim, response });
            }
            RecordMessage::ClaimResponse { claim, response } => {
                if let Some(waiting) = self.lock().waiting.get(&claim) {
                    // A full queue holds more answers than the round has holders.
                    waiting.try_send((from, response)).ok();
                }
            }
            RecordMessage::Release { service, key, claim } => {
                self.lock().book.release(&service, key, claim);
            }
            RecordMessage::End { service, record } => {
                let rules = self.rules(&service);
                self.lock().book.end(now, &rules, &service, &record);
                self.send(from, RecordMessage::EndAck { claim: record.claim });
            }
            RecordMessage::EndAck { claim } => {
                if let Some(waiting) = self.lock().ends.get(&claim) {
                    waiting.try_send(from).ok();
                }
            }
            RecordMessage::Fetch { service, request } => {
                self.answer_fetch(now, from, service, request);
            }
            RecordMessage::Records { service, request, part, is_last, is_complete, records } => {
                let rules = self.rules(&service);
                let mut inner = self.lock();
                let KeeperState { book, syncs, .. } = &mut *inner;
                let Some(sync) = syncs.get_mut(&service) else { return };
                if sync.request != request {
                    return;
                }
                let is_kept = book.merge(now, &rules, &service, &records);
                sync.note(from, part, is_last, is_complete && is_kept);
                let mut others = self.groups.hosts().filter(|host| *host != self.host);
                if others.all(|host| !sync.is_missing(host)) {
                    syncs.remove(&service);
                    book.set_complete(&service);
                    log::info!("event=records_complete service={service} cause=fetched");
                }
            }
        }
    }

    fn answer_fetch(&self, now: Timestamp, to: HostId, service: ServiceName, request: u64) {
        let rules = self.rules(&service);
        let (records, is_complete) = {
            let inner = self.lock();
            (inner.book.records(&service), inner.book.is_complete(now, &rules, &service))
        };
        let mut parts: Vec<Vec<ClaimRecord>> = vec![Vec::new()];
        let mut bytes = 0;
        for record in records {
            let size = 128 + answer_size(&record.state);
            if bytes + size > PART_BYTES {
                parts.push(Vec::new());
                bytes = 0;
            }
            bytes += size;
            parts.last_mut().into_iter().for_each(|part| part.push(record.clone()));
        }
        let count = parts.len();
        for (index, records) in parts.into_iter().enumerate() {
            let (part, is_last) = (index as u32, index + 1 == count);
            let service = service.clone();
            let message =
                RecordMessage::Records { service, request, part, is_last, is_complete, records };
            self.send(to, message);
        }
    }

    /// Tells all holders the end until they confirm it.
    async fn spread_end(
        self: Arc<Self>,
        service: ServiceName,
        record: ClaimRecord,
        mut holders: Vec<HostId>,
    ) {
        let claim = record.claim;
        let (sender, mut confirmed) = mpsc::channel(REPLY_QUEUE);
        self.lock().ends.insert(claim, sender);
        for _ in 0..END_ATTEMPTS {
            for holder in &holders {
                let (service, record) = (service.clone(), record.clone());
                self.send(*holder, RecordMessage::End { service, record });
            }
            let limit = Instant::now() + END_INTERVAL;
            while !holders.is_empty() {
                match tokio::time::timeout_at(limit, confirmed.recv()).await {
                    Ok(Some(host)) => holders.retain(|holder| *holder != host),
                    Ok(None) | Err(_) => break,
                }
            }
            if holders.is_empty() {
                break;
            }
        }
        self.lock().ends.remove(&claim);
    }
}

impl RecordStore for RecordKeeper {
    fn begin(&self, claim: RecordClaim) -> RecordFuture {
        match self.own.upgrade() {
            Some(keeper) => Box::pin(keeper.decide(claim)),
            None => Box::pin(std::future::ready(RecordDecision::Unavailable)),
        }
    }

    fn end(&self, claim: &RecordClaim, end: ClaimOutcome) {
        let (Some(id), Some(keeper)) = (claim.id, self.own.upgrade()) else { return };
        let key = RecordKey::of(&claim.service, &claim.idempotency_key);
        let service = claim.service.clone();
        let holders = claim.holders.clone();
        let state = match end {
            ClaimOutcome::NotRun => {
                for holder in holders {
                    let service = service.clone();
                    self.send(holder, RecordMessage::Release { service, key, claim: id });
                }
                return;
            }
            ClaimOutcome::Ended(RecordOutcome::Answered(answer)) => {
                RecordState::Answered(answer.into())
            }
            ClaimOutcome::Ended(RecordOutcome::AnswerNotStored) => RecordState::AnswerNotStored,
            ClaimOutcome::Ended(RecordOutcome::Unknown) => RecordState::Unknown,
        };
        let record = ClaimRecord { key, claim: id, fingerprint: claim.fingerprint, state };
        // Without a runtime the process is ending; resends wait and then get `unknown`.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(keeper.spread_end(service, record, holders));
        }
    }
}

impl PeerHandler for RecordKeeper {
    fn attach(&self, sender: Arc<dyn PeerSender>) {
        self.sender.set(sender).ok();
    }

    fn take(&self, from: HostId, boot: BootId, message: PeerMessage) -> Option<PeerMessage> {
        let PeerMessage::Records(message) = message else { return Some(message) };
        self.lock().book.hear(from, boot);
        self.handle(from, message);
        None
    }

    fn follow(&self, now: Timestamp, node: &HostNode) {
        let mut inner = self.lock();
        let KeeperState { book, scopes, tracker, is_ready, .. } = &mut *inner;
        let fresh = tracker.follow(now, node);
        // A service that this run did not find when it had caught up is newer than this run.
        if *is_ready {
            let is_new = |service: &&ServiceName| scopes.find(service).is_none();
            let names = fresh.services.iter().map(|scope| &scope.service);
            for service in names.filter(is_new) {
                book.set_complete(service);
                log::info!("event=records_complete service={service} cause=new_service");
            }
        }
        *scopes = fresh;
        if !*is_ready && node.has_caught_up(now) {
            *is_ready = true;
            let count = scopes.services.len();
            log::info!("event=records_started known_services={count}");
        }
    }
}

fn answer_size(state: &RecordState) -> usize {
    match state {
        RecordState::Answered(answer) => answer.size(),
        _ => 0,
    }
}
