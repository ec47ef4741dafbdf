use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use gw_dispatch::CrashQuarantine;
use gw_dispatch::CrashVerdict;
use gw_dispatch::CrashedRun;
use gw_dispatch::QuarantineEntry;
use gw_dispatch::QuarantineMessage;
use gw_dispatch::QuarantineOptions;
use gw_dispatch::RequestFingerprint;
use gw_node::HostNode;
use gw_node::PeerMessage;
use gw_node::Transport;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::TargetEntry;
use gw_types::Timestamp;

use super::PeerHandler;
use super::PeerSender;
use crate::TrafficState;

/// Maximum number of fingerprints that one host holds; about 1 MB with a few crashes each.
const MAX_FINGERPRINTS: usize = 4_096;

/// How long a fingerprint is held after its last crash. Equals the default resend horizon.
const RETENTION: Duration = Duration::from_secs(600);

/// Time between two digests. Each digest goes to one other host, in round-robin order.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of entries in one message. More entries are split into several messages.
const ENTRIES_PER_MESSAGE: usize = 256;

/// Requests that crash targets, replicated between all entry hosts.
///
/// A crash that this host observes is sent to all other entry hosts immediately. Periodic digests
/// detect and repair lost messages.
pub struct QuarantineReplicator {
    weak_self: Weak<QuarantineReplicator>,
    peers: Vec<HostId>,
    state: Arc<TrafficState>,
    sender: OnceLock<Arc<dyn PeerSender>>,
    inner: Mutex<QuarantineState>,
}

struct QuarantineState {
    quarantine: CrashQuarantine,
    running: HashMap<CrashedRun, Vec<RunningRequest>>,
    next_id: u64,
    next_digest: Timestamp,
    digest_peer: usize,
}

struct RunningRequest {
    id: u64,
    fingerprint: RequestFingerprint,
    /// Whether a crash of the target was already counted against the request. The request's own
    /// connection is lost shortly after; counting that as a second crash would attribute it to this
    /// request alone.
    is_counted: bool,
}

impl QuarantineReplicator {
    /// Creates the replicator of `host`, which is one of `hosts`, without any known crash.
    pub fn new(host: HostId, hosts: &[HostEntry], state: Arc<TrafficState>) -> Arc<Self> {
        let peers = hosts.iter().filter(|other| other.id != host && other.is_entry());
        let peers: Vec<_> = peers.map(|other| other.id).collect();
        let options = QuarantineOptions { capacity: MAX_FINGERPRINTS, hold: RETENTION };
        let inner = QuarantineState {
            quarantine: CrashQuarantine::new(options),
            running: HashMap::new(),
            next_id: 0,
            next_digest: state.now() + DIGEST_INTERVAL,
            digest_peer: 0,
        };
        let (sender, inner) = (OnceLock::new(), Mutex::new(inner));
        Arc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            peers,
            state,
            sender,
            inner,
        })
    }

    /// Returns how to handle a request of a service whose profile permits it `crash_limit` crashed
    /// targets.
    pub fn verdict(&self, fingerprint: RequestFingerprint, crash_limit: u8) -> CrashVerdict {
        let now = self.state.now();
        self.lock().quarantine.verdict(now, fingerprint, crash_limit)
    }

    /// Returns a digest of all known crashes. Hosts with equal entries have equal digests.
    pub fn digest(&self) -> u64 {
        let now = self.state.now();
        self.lock().quarantine.digest(now)
    }

    /// Removes expired entries and sends a digest, if a digest is due.
    pub fn tick(&self, now: Timestamp) {
        let mut inner = self.lock();
        if now < inner.next_digest || self.peers.is_empty() {
            return;
        }
        inner.next_digest = now + DIGEST_INTERVAL;
        inner.digest_peer = (inner.digest_peer + 1) % self.peers.len();
        inner.quarantine.expire(now);
        let (to, digest) = (self.peers[inner.digest_peer], inner.quarantine.digest(now));
        drop(inner);
        self.send(to, QuarantineMessage::Digest(digest));
    }

    /// Records that a request is about to be written to `target`.
    pub(crate) fn start_attempt(
        &self,
        target: &TargetEntry,
        fingerprint: RequestFingerprint,
    ) -> AttemptGuard {
        let run = CrashedRun { target: target.name.clone(), boot: target.boot };
        let mut inner = self.lock();
        let id = inner.next_id;
        inner.next_id += 1;
        let request = RunningRequest { id, fingerprint, is_counted: false };
        inner.running.entry(run.clone()).or_default().push(request);
        AttemptGuard { replicator: self.weak_self.clone(), run, id, fingerprint }
    }

    fn record_crash(&self, run: &CrashedRun, id: u64) {
        let now = self.state.now();
        let mut inner = self.lock();
        let Some(requests) = inner.running.get_mut(run) else { return };
        if requests.iter().any(|request| request.id == id && request.is_counted) {
            return;
        }
        requests.iter_mut().for_each(|request| request.is_counted = true);
        let blamed: Vec<_> = requests.iter().map(|request| request.fingerprint).collect();
        inner.quarantine.record_crash(now, run, &blamed);
        let mut entries = inner.quarantine.entries(now);
        drop(inner);
        entries.retain(|entry| blamed.contains(&entry.fingerprint));
        let (target, count) = (&run.target, blamed.len());
        log::warn!("event=target_crashed target={target} boot={} in_flight={count}", run.boot);
        for host in &self.peers {
            self.send_entries(*host, &entries);
        }
    }

    fn record_completion(&self, fingerprint: RequestFingerprint) {
        self.lock().quarantine.record_completion(fingerprint);
    }

    fn end_attempt(&self, run: &CrashedRun, id: u64) {
        let mut inner = self.lock();
        let Some(requests) = inner.running.get_mut(run) else { return };
        requests.retain(|request| request.id != id);
        if requests.is_empty() {
            inner.running.remove(run);
        }
    }

    fn lock(&self) -> MutexGuard<'_, QuarantineState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, to: HostId, message: QuarantineMessage) {
        if let Some(sender) = self.sender.get() {
            sender.send(to, Transport::Datagram, PeerMessage::Quarantine(message));
        }
    }

    fn send_entries(&self, to: HostId, entries: &[QuarantineEntry]) {
        for part in entries.chunks(ENTRIES_PER_MESSAGE) {
            self.send(to, QuarantineMessage::Entries(part.to_vec()));
        }
    }

    fn handle(&self, from: HostId, message: QuarantineMessage) {
        let now = self.state.now();
        match message {
            QuarantineMessage::Entries(entries) => {
                let mut inner = self.lock();
                entries.iter().for_each(|entry| inner.quarantine.merge(now, entry));
            }
            QuarantineMessage::Digest(digest) => {
                let (own_digest, entries) = {
                    let inner = self.lock();
                    (inner.quarantine.digest(now), inner.quarantine.entries(now))
                };
                // The opposite direction is repaired when this host's digest reaches the sender.
                if own_digest != digest {
                    self.send_entries(from, &entries);
                }
            }
        }
    }
}

impl PeerHandler for QuarantineReplicator {
    fn attach(&self, sender: Arc<dyn PeerSender>) {
        self.sender.set(sender).ok();
    }

    fn handle_message(
        &self,
        from: HostId,
        _boot: BootId,
        message: PeerMessage,
    ) -> Option<PeerMessage> {
        let PeerMessage::Quarantine(message) = message else { return Some(message) };
        self.handle(from, message);
        None
    }

    fn update(&self, now: Timestamp, _node: &HostNode) {
        self.tick(now);
    }
}

/// A request that is running on a target. Dropping it ends the attempt without recording a crash or
/// a completion.
pub(crate) struct AttemptGuard {
    replicator: Weak<QuarantineReplicator>,
    run: CrashedRun,
    id: u64,
    fingerprint: RequestFingerprint,
}

impl AttemptGuard {
    /// Records that the connection to the target ended unexpectedly.
    pub(crate) fn record_crash(&self) {
        if let Some(replicator) = self.replicator.upgrade() {
            replicator.record_crash(&self.run, self.id);
        }
    }

    /// Records that the target answered completely.
    pub(crate) fn record_completion(&self) {
        if let Some(replicator) = self.replicator.upgrade() {
            replicator.record_completion(self.fingerprint);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(replicator) = self.replicator.upgrade() {
            replicator.end_attempt(&self.run, self.id);
        }
    }
}
