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

use super::ClaimLimits;
use super::ClaimTable;
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

/// Maximum size of the records that one host holds: half of the memory that a host may use for
/// control state.
const MAX_RECORD_BYTES: usize = 16 * 1_024 * 1_024;

/// Time from the start of a process to its first fetch.
///
/// A round in progress at the restart may still be won with a grant of the earlier boot. The other
/// holders must have recorded that claim before they respond to the fetch, so this is well above
/// [`ROUND_TIMEOUT`](super::ROUND_TIMEOUT).
pub const SYNC_DELAY: Duration = Duration::from_secs(2);

/// Time between two fetches of a restarted holder.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two calls of [`RecordReplicator::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How often an outcome is sent to a holder that does not acknowledge it, and the time between two
/// attempts.
const OUTCOME_ATTEMPTS: usize = 5;
const OUTCOME_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum size of the records in one part of a response to a fetch. A frame holds 4 MiB.
const MAX_PART_BYTES: usize = 1_024 * 1_024;

/// Responses that may wait for one round. Larger than the number of holders of a round, which has
/// at most a few groups of three.
pub(super) const RESPONSE_QUEUE_LEN: usize = 64;

/// Arguments of [`RecordReplicator::new`].
pub struct RecordReplicatorOptions {
    /// This host.
    pub host: HostId,
    /// Boot ID of this process.
    pub boot: BootId,
    /// All hosts of the system.
    pub hosts: Vec<HostEntry>,
    /// Provides the clock, the profiles and the routes.
    pub state: Arc<TrafficState>,
}

/// Idempotency records on one entry host: the copies that it holds, and the claims for the requests
/// that it dispatches.
pub struct RecordReplicator {
    weak_self: Weak<RecordReplicator>,
    pub(super) host: HostId,
    pub(super) boot: BootId,
    pub(super) groups: RecordGroups,
    pub(super) state: Arc<TrafficState>,
    sender: OnceLock<Arc<dyn PeerSender>>,
    inner: Mutex<ReplicatorState>,
    pub(super) next_number: AtomicU64,
}

pub(super) struct ReplicatorState {
    claims: ClaimTable,
    pub(super) scopes: RecordScopes,
    tracker: ScopeTracker,
    has_caught_up_once: bool,
    pub(super) open_rounds: HashMap<ClaimId, mpsc::Sender<(HostId, ClaimResponse)>>,
    pending_outcomes: HashMap<ClaimId, mpsc::Sender<HostId>>,
    syncs: BTreeMap<ServiceName, SyncState>,
    next_sync: Timestamp,
}

impl RecordReplicator {
    /// Creates the replicator of a process that starts now and holds no records.
    pub fn new(options: RecordReplicatorOptions) -> Arc<Self> {
        let now = options.state.now();
        Arc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            host: options.host,
            boot: options.boot,
            groups: RecordGroups::new(&options.hosts),
            state: options.state,
            sender: OnceLock::new(),
            inner: Mutex::new(ReplicatorState {
                claims: ClaimTable::new(now, MAX_RECORD_BYTES),
                scopes: RecordScopes::default(),
                tracker: ScopeTracker::default(),
                has_caught_up_once: false,
                open_rounds: HashMap::new(),
                pending_outcomes: HashMap::new(),
                syncs: BTreeMap::new(),
                next_sync: now + SYNC_DELAY,
            }),
            next_number: AtomicU64::new(1),
        })
    }

    /// Sets the scopes by which holders are chosen.
    pub fn publish_scopes(&self, scopes: RecordScopes) {
        self.lock().scopes = scopes;
    }

    /// Marks that a service was registered after this process had caught up with the control log,
    /// so that no earlier boot of this host can have held its records.
    pub fn set_complete(&self, service: &ServiceName) {
        self.lock().claims.set_complete(service);
    }

    /// Returns the number of records that this host holds.
    pub fn record_count(&self) -> usize {
        self.lock().claims.len()
    }

    /// Calls [`tick`](Self::tick) periodically until the replicator is dropped.
    pub async fn run(replicator: Weak<Self>) {
        while let Some(replicator) = replicator.upgrade() {
            replicator.tick(replicator.state.now());
            drop(replicator);
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Removes expired records, and fetches records that were lost by a restart from the other
    /// hosts, if that is due.
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
            let limits = self.limits(&service);
            inner.claims.remove_expired(now, &limits, &service);
            // Without other hosts there is nobody to fetch the records of an earlier boot from.
            if others.is_empty() || inner.claims.is_complete(now, &limits, &service) {
                continue;
            }
            let request = self.next_number.fetch_add(1, Ordering::Relaxed);
            let sync = inner.syncs.entry(service.clone()).or_default();
            sync.start_fetch(request);
            let missing = others.iter().filter(|host| sync.is_missing(**host));
            fetches.extend(missing.map(|host| (*host, service.clone(), request)));
        }
        drop(inner);
        for (host, service, request) in fetches {
            self.send(host, RecordMessage::Fetch { service, request });
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ReplicatorState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn limits(&self, service: &ServiceName) -> ClaimLimits {
        ClaimLimits::from_profile(&self.state.profile_of(service.as_str()))
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
                let limits = self.limits(&service);
                let response = self.lock().claims.claim(now, &limits, &service, &record);
                self.send(from, RecordMessage::ClaimResponse { claim: record.claim, response });
            }
            RecordMessage::ClaimResponse { claim, response } => {
                if let Some(responses) = self.lock().open_rounds.get(&claim) {
                    // A full queue already holds more responses than the round has holders.
                    responses.try_send((from, response)).ok();
                }
            }
            RecordMessage::Release { service, key, claim } => {
                self.lock().claims.release(&service, key, claim);
            }
            RecordMessage::End { service, record } => {
                let limits = self.limits(&service);
                self.lock().claims.record_outcome(now, &limits, &service, &record);
                self.send(from, RecordMessage::EndAck { claim: record.claim });
            }
            RecordMessage::EndAck { claim } => {
                if let Some(acks) = self.lock().pending_outcomes.get(&claim) {
                    acks.try_send(from).ok();
                }
            }
            RecordMessage::Fetch { service, request } => {
                self.respond_to_fetch(now, from, service, request);
            }
            RecordMessage::Records { service, request, part, is_last, is_complete, records } => {
                let limits = self.limits(&service);
                let mut inner = self.lock();
                let ReplicatorState { claims, syncs, .. } = &mut *inner;
                let Some(sync) = syncs.get_mut(&service) else { return };
                if sync.request != request {
                    return;
                }
                let is_kept = claims.merge(now, &limits, &service, &records);
                sync.record_part(from, part, is_last, is_complete && is_kept);
                let mut others = self.groups.hosts().filter(|host| *host != self.host);
                if others.all(|host| !sync.is_missing(host)) {
                    syncs.remove(&service);
                    claims.set_complete(&service);
                    log::info!("event=records_complete service={service} cause=fetched");
                }
            }
        }
    }

    fn respond_to_fetch(&self, now: Timestamp, to: HostId, service: ServiceName, request: u64) {
        let limits = self.limits(&service);
        let (records, is_complete) = {
            let inner = self.lock();
            (inner.claims.records(&service), inner.claims.is_complete(now, &limits, &service))
        };
        let mut parts: Vec<Vec<ClaimRecord>> = vec![Vec::new()];
        let mut bytes = 0;
        for record in records {
            // An estimate: 128 bytes for the fields other than the headers and body of the answer.
            let size = 128 + answer_bytes(&record.state);
            if bytes + size > MAX_PART_BYTES {
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

    /// Sends an outcome to all holders, and again to those that do not acknowledge it in time.
    async fn send_outcome(
        self: Arc<Self>,
        service: ServiceName,
        record: ClaimRecord,
        mut holders: Vec<HostId>,
    ) {
        let claim = record.claim;
        let (sender, mut acks) = mpsc::channel(RESPONSE_QUEUE_LEN);
        self.lock().pending_outcomes.insert(claim, sender);
        for _ in 0..OUTCOME_ATTEMPTS {
            for holder in &holders {
                let (service, record) = (service.clone(), record.clone());
                self.send(*holder, RecordMessage::End { service, record });
            }
            let limit = Instant::now() + OUTCOME_RETRY_INTERVAL;
            while !holders.is_empty() {
                match tokio::time::timeout_at(limit, acks.recv()).await {
                    Ok(Some(host)) => holders.retain(|holder| *holder != host),
                    Ok(None) | Err(_) => break,
                }
            }
            if holders.is_empty() {
                break;
            }
        }
        self.lock().pending_outcomes.remove(&claim);
    }
}

impl RecordStore for RecordReplicator {
    fn begin(&self, claim: RecordClaim) -> RecordFuture {
        match self.weak_self.upgrade() {
            Some(replicator) => Box::pin(replicator.claim(claim)),
            None => Box::pin(std::future::ready(RecordDecision::Unavailable)),
        }
    }

    fn end(&self, claim: &RecordClaim, outcome: ClaimOutcome) {
        let (Some(id), Some(replicator)) = (claim.id, self.weak_self.upgrade()) else { return };
        let key = RecordKey::of(&claim.service, &claim.idempotency_key);
        let service = claim.service.clone();
        let holders = claim.holders.clone();
        let state = match outcome {
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
        // Without a runtime the process is ending. Resends then wait and are answered `unknown`.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(replicator.send_outcome(service, record, holders));
        }
    }
}

impl PeerHandler for RecordReplicator {
    fn attach(&self, sender: Arc<dyn PeerSender>) {
        self.sender.set(sender).ok();
    }

    fn handle_message(
        &self,
        from: HostId,
        boot: BootId,
        message: PeerMessage,
    ) -> Option<PeerMessage> {
        let PeerMessage::Records(message) = message else { return Some(message) };
        self.lock().claims.record_boot(from, boot);
        self.handle(from, message);
        None
    }

    fn update(&self, now: Timestamp, node: &HostNode) {
        let mut inner = self.lock();
        let ReplicatorState { claims, scopes, tracker, has_caught_up_once, .. } = &mut *inner;
        let current = tracker.update(now, node);
        // A service that was unknown when this process had caught up was registered later.
        if *has_caught_up_once {
            let is_new = |service: &&ServiceName| scopes.find(service).is_none();
            let names = current.services.iter().map(|scope| &scope.service);
            for service in names.filter(is_new) {
                claims.set_complete(service);
                log::info!("event=records_complete service={service} cause=new_service");
            }
        }
        *scopes = current;
        if !*has_caught_up_once && node.has_caught_up(now) {
            *has_caught_up_once = true;
            let count = scopes.services.len();
            log::info!("event=records_started known_services={count}");
        }
    }
}

fn answer_bytes(state: &RecordState) -> usize {
    match state {
        RecordState::Answered(answer) => answer.size(),
        _ => 0,
    }
}
