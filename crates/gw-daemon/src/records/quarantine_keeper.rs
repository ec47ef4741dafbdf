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

/// Fingerprints that one host holds, about 1 MB with a few crashes each.
const CAPACITY: usize = 4_096;

/// How long a fingerprint is held after its last crash; as long as the default resend horizon.
const HOLD: Duration = Duration::from_secs(600);

/// Time between two digests, each to one other host in turn.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Entries of one message; more are sent in several.
const ENTRIES_PER_MESSAGE: usize = 256;

/// Requests that crash targets, as far as all hosts know.
///
/// What this host sees goes to all other hosts at once. Digests, sent to one host after another,
/// repair what was lost.
pub struct QuarantineKeeper {
    own: Weak<QuarantineKeeper>,
    others: Vec<HostId>,
    state: Arc<TrafficState>,
    sender: OnceLock<Arc<dyn PeerSender>>,
    inner: Mutex<QuarantineState>,
}

struct QuarantineState {
    quarantine: CrashQuarantine,
    running: HashMap<CrashedRun, Vec<RunningRequest>>,
    next_id: u64,
    next_digest: Timestamp,
    turn: usize,
}

struct RunningRequest {
    id: u64,
    fingerprint: RequestFingerprint,
    /// Whether a crash of the run was counted against the request. Its own connection is lost a
    /// moment later; counting that again would make it the only suspect.
    is_blamed: bool,
}

impl QuarantineKeeper {
    /// A keeper on `host`, one of `hosts`, that knows of no crash.
    pub fn new(host: HostId, hosts: &[HostEntry], state: Arc<TrafficState>) -> Arc<Self> {
        let others = hosts.iter().filter(|other| other.id != host && other.is_entry());
        let others: Vec<_> = others.map(|other| other.id).collect();
        let options = QuarantineOptions { capacity: CAPACITY, hold: HOLD };
        let inner = QuarantineState {
            quarantine: CrashQuarantine::new(options),
            running: HashMap::new(),
            next_id: 0,
            next_digest: state.now() + DIGEST_INTERVAL,
            turn: 0,
        };
        let (sender, inner) = (OnceLock::new(), Mutex::new(inner));
        Arc::new_cyclic(|own| Self { own: own.clone(), others, state, sender, inner })
    }

    /// What is to be done with a request of a service that allows it `crash_limit` targets.
    pub fn judge(&self, fingerprint: RequestFingerprint, crash_limit: u8) -> CrashVerdict {
        let now = self.state.now();
        self.lock().quarantine.verdict(now, fingerprint, crash_limit)
    }

    /// Digest of all that is known here, equal on hosts that know the same.
    pub fn digest(&self) -> u64 {
        let now = self.state.now();
        self.lock().quarantine.digest(now)
    }

    /// Sends a digest when one is due.
    pub fn tick(&self, now: Timestamp) {
        let mut inner = self.lock();
        if now < inner.next_digest || self.others.is_empty() {
            return;
        }
        inner.next_digest = now + DIGEST_INTERVAL;
        inner.turn = (inner.turn + 1) % self.others.len();
        inner.quarantine.expire(now);
        let (to, digest) = (self.others[inner.turn], inner.quarantine.digest(now));
        drop(inner);
        self.send(to, QuarantineMessage::Digest(digest));
    }

    /// Notes that a request is about to be written to `target`.
    pub(crate) fn begin(&self, target: &TargetEntry, fingerprint: RequestFingerprint) -> RunMark {
        let run = CrashedRun { target: target.name.clone(), boot: target.boot };
        let mut inner = self.lock();
        let id = inner.next_id;
        inner.next_id += 1;
        let request = RunningRequest { id, fingerprint, is_blamed: false };
        inner.running.entry(run.clone()).or_default().push(request);
        RunMark { keeper: self.own.clone(), run, id, fingerprint }
    }

    fn note_crash(&self, run: &CrashedRun, id: u64) {
        let now = self.state.now();
        let mut inner = self.lock();
        let Some(requests) = inner.running.get_mut(run) else { return };
        if requests.iter().any(|request| request.id == id && request.is_blamed) {
            return;
        }
        requests.iter_mut().for_each(|request| request.is_blamed = true);
        let blamed: Vec<_> = requests.iter().map(|request| request.fingerprint).collect();
        inner.quarantine.record_crash(now, run, &blamed);
        let mut entries = inner.quarantine.entries(now);
        drop(inner);
        entries.retain(|entry| blamed.contains(&entry.fingerprint));
        let (target, count) = (&run.target, blamed.len());
        log::warn!("event=target_crashed target={target} boot={} in_flight={count}", run.boot);
        for host in &self.others {
            self.send_entries(*host, &entries);
        }
    }

    fn note_completion(&self, fingerprint: RequestFingerprint) {
        self.lock().quarantine.record_completion(fingerprint);
    }

    fn end(&self, run: &CrashedRun, id: u64) {
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
                let (own, entries) = {
                    let inner = self.lock();
                    (inner.quarantine.digest(now), inner.quarantine.entries(now))
                };
                // The sender repairs the other direction when this host's digest reaches it.
                if own != digest {
                    self.send_entries(from, &entries);
                }
            }
        }
    }
}

impl PeerHandler for QuarantineKeeper {
    fn attach(&self, sender: Arc<dyn PeerSender>) {
        self.sender.set(sender).ok();
    }

    fn take(&self, from: HostId, _boot: BootId, message: PeerMessage) -> Option<PeerMessage> {
        let PeerMessage::Quarantine(message) = message else { return Some(message) };
        self.handle(from, message);
        None
    }

    fn follow(&self, now: Timestamp, _node: &HostNode) {
        self.tick(now);
    }
}

/// A request that is running on a target. Dropped without a call, it says nothing of the target.
pub(crate) struct RunMark {
    keeper: Weak<QuarantineKeeper>,
    run: CrashedRun,
    id: u64,
    fingerprint: RequestFingerprint,
}

impl RunMark {
    /// The connection ended abruptly.
    pub(crate) fn crashed(&self) {
        if let Some(keeper) = self.keeper.upgrade() {
            keeper.note_crash(&self.run, self.id);
        }
    }

    /// The target has answered in full.
    pub(crate) fn completed(&self) {
        if let Some(keeper) = self.keeper.upgrade() {
            keeper.note_completion(self.fingerprint);
        }
    }
}

impl Drop for RunMark {
    fn drop(&mut self) {
        if let Some(keeper) = self.keeper.upgrade() {
            keeper.end(&self.run, self.id);
        }
    }
}
