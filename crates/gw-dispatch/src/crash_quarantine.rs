use std::collections::BTreeMap;
use std::time::Duration;

use gw_types::TargetName;
use gw_types::Timestamp;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::CrashEvidence;
use crate::CrashedRun;
use crate::RequestFingerprint;

/// Maximum number of crashes kept per fingerprint. Exceeds the highest crash limit that a profile
/// may set, so a request that reaches its limit is refused before crashes are dropped.
const MAX_EVIDENCE: usize = 16;

/// Limits of a [`CrashQuarantine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// Maximum number of fingerprints. Those that crashed one target are evicted first, among them
    /// the one with the oldest last crash: on a large fleet, suspicions that nothing confirms would
    /// otherwise replace the others within seconds.
    pub capacity: usize,
    /// How long a fingerprint stays in quarantine after its last crash.
    pub hold: Duration,
}

/// Decision of the quarantine on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No crash is held against the request: run it.
    Clear,
    /// The request may have caused a crash: run it alone on its target, so that its completion or
    /// a further crash shows whether it did.
    Suspect,
    /// The request reached its crash limit: refuse it.
    Refused,
}

/// The evidence that one host holds against one fingerprint, as sent to other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Identifies the request.
    pub fingerprint: RequestFingerprint,
    /// Crashes during which the request was in flight, sorted by run.
    pub evidence: Vec<CrashEvidence>,
    /// Time since the last crash. Sent as a duration because hosts' clocks are not synchronized.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct CrashHistory {
    evidence: Vec<CrashEvidence>,
    last_crash: Timestamp,
    /// Revision of the quarantine in which the evidence last changed.
    revision: u64,
}

impl CrashHistory {
    /// Returns whether the evidence has changed.
    fn merge(&mut self, evidence: &CrashEvidence) -> bool {
        let index = match self.evidence.binary_search_by(|known| known.run.cmp(&evidence.run)) {
            Ok(index) => {
                let before = self.evidence[index].clone();
                self.evidence[index].merge(evidence);
                return self.evidence[index] != before;
            }
            Err(index) => index,
        };
        self.evidence.insert(index, evidence.clone());
        // Truncating a union to its smallest runs is commutative and idempotent as well.
        self.evidence.truncate(MAX_EVIDENCE);
        index < MAX_EVIDENCE
    }

    /// Whether several targets crashed with the request, of which some may be cleared.
    fn is_repeated(&self) -> bool {
        let mut targets = self.evidence.iter().map(|evidence| &evidence.run.target);
        let first = targets.next();
        targets.any(|target| Some(target) != first)
    }

    fn distinct_targets(&self) -> usize {
        let mut targets: Vec<&TargetName> =
            self.uncleared().map(|evidence| &evidence.run.target).collect();
        targets.dedup();
        targets.len()
    }

    fn uncleared(&self) -> impl Iterator<Item = &CrashEvidence> {
        self.evidence.iter().filter(|evidence| !evidence.is_cleared)
    }

    fn verdict(&self, crash_limit: u8) -> CrashVerdict {
        let limit = usize::from(crash_limit.max(1));
        if self.uncleared().next().is_none() {
            return CrashVerdict::Clear;
        }
        let is_confirmed = self.uncleared().any(CrashEvidence::was_alone);
        let expected_crashes: f64 = self.uncleared().map(CrashEvidence::probability).sum();
        let is_over_limit = self.distinct_targets() >= limit;
        if is_over_limit && (is_confirmed || expected_crashes >= limit as f64) {
            return CrashVerdict::Refused;
        }
        CrashVerdict::Suspect
    }
}

/// Identifies requests that crash targets, and refuses them.
///
/// A crash with several requests in flight does not show which of them caused it. Counting it in
/// full against each would quarantine a frequent request that happened to share two targets with
/// the cause. Counting it in equal parts would let the cause crash more targets than the limit.
/// Therefore a shared crash makes each request in flight a suspect, and a suspect next runs alone
/// on its target:
///
/// - If it completes, its evidence is cleared. The cost of a false suspicion is one exclusive run.
/// - If it crashes the target, its earlier shared crashes count in full, so the cause is refused
///   after `crash_limit` targets.
/// - If it never gets to run alone, it is refused once the sum of its equal parts reaches the
///   limit.
///
/// Invariants: holds at most `capacity` fingerprints; merging the entries of another host is
/// commutative and idempotent while the capacity is not exceeded.
#[derive(Clone, Debug)]
pub struct CrashQuarantine {
    options: QuarantineOptions,
    histories: BTreeMap<RequestFingerprint, CrashHistory>,
    /// Number of changes of the evidence so far.
    revision: u64,
}

impl CrashQuarantine {
    /// Creates an empty quarantine.
    pub fn new(options: QuarantineOptions) -> Self {
        Self { options, histories: BTreeMap::new(), revision: 0 }
    }

    /// Records the crash of `run` against each request that was in flight on it.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        run: &CrashedRun,
        in_flight: &[RequestFingerprint],
    ) {
        let count = u16::try_from(in_flight.len()).unwrap_or(u16::MAX);
        for &fingerprint in in_flight {
            let run = run.clone();
            let evidence = CrashEvidence { run, in_flight: count, is_cleared: false };
            self.add_evidence(now, fingerprint, &evidence);
        }
        self.enforce_capacity();
    }

    /// Clears the evidence against a request that a target has completed.
    pub fn record_completion(&mut self, fingerprint: RequestFingerprint) {
        let Some(history) = self.histories.get_mut(&fingerprint) else { return };
        if history.uncleared().next().is_some() {
            history.evidence.iter_mut().for_each(|evidence| evidence.is_cleared = true);
            self.revision += 1;
            history.revision = self.revision;
        }
    }

    /// Decides on a request that may crash `crash_limit` distinct targets before it is refused.
    pub fn verdict(
        &self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        crash_limit: u8,
    ) -> CrashVerdict {
        match self.histories.get(&fingerprint) {
            Some(history) if self.is_current(now, history) => history.verdict(crash_limit),
            _ => CrashVerdict::Clear,
        }
    }

    /// Merges an entry of another host. An entry older than the hold time is ignored.
    pub fn merge(&mut self, now: Timestamp, entry: &QuarantineEntry) {
        if entry.age >= self.options.hold {
            return;
        }
        for evidence in &entry.evidence {
            self.add_evidence(now - entry.age, entry.fingerprint, evidence);
        }
        self.enforce_capacity();
    }

    /// Returns all current entries, to be sent to a host whose digest differs.
    pub fn entries(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        self.select_entries(now, |_| true)
    }

    /// Returns the number of changes of the evidence so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the current entries whose evidence has changed after `revision`.
    pub fn changed_entries(&self, now: Timestamp, revision: u64) -> Vec<QuarantineEntry> {
        self.select_entries(now, |history| history.revision > revision)
    }

    /// Returns the current entries with crashes of several targets, of which some may be cleared.
    ///
    /// Most requests in quarantine have shared one broken connection with others. Only a host that
    /// merges the evidence of all hosts needs to know these.
    pub fn repeated_entries(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        self.select_entries(now, CrashHistory::is_repeated)
    }

    fn select_entries(
        &self,
        now: Timestamp,
        is_wanted: impl Fn(&CrashHistory) -> bool,
    ) -> Vec<QuarantineEntry> {
        let current = self
            .histories
            .iter()
            .filter(|(_, history)| self.is_current(now, history) && is_wanted(history));
        current
            .map(|(&fingerprint, history)| QuarantineEntry {
                fingerprint,
                evidence: history.evidence.clone(),
                age: now.since(history.last_crash),
            })
            .collect()
    }

    /// Returns a digest of all evidence. Hosts that hold the same evidence have the same digest.
    ///
    /// Ages are excluded: they differ between hosts by the delay of messages.
    pub fn digest(&self, now: Timestamp) -> u64 {
        let entries = self.entries(now);
        entries.iter().map(entry_digest).fold(0, u64::wrapping_add)
    }

    /// Removes fingerprints whose last crash is older than the hold time.
    pub fn expire(&mut self, now: Timestamp) {
        let hold = self.options.hold;
        self.histories.retain(|_, history| now.since(history.last_crash) < hold);
    }

    /// Returns the number of fingerprints, including expired ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Whether no fingerprint is held.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    fn is_current(&self, now: Timestamp, history: &CrashHistory) -> bool {
        now.since(history.last_crash) < self.options.hold
    }

    fn add_evidence(
        &mut self,
        at: Timestamp,
        fingerprint: RequestFingerprint,
        evidence: &CrashEvidence,
    ) {
        let empty = CrashHistory { evidence: Vec::new(), last_crash: at, revision: 0 };
        let history = self.histories.entry(fingerprint).or_insert(empty);
        history.last_crash = history.last_crash.max(at);
        if history.merge(evidence) {
            self.revision += 1;
            history.revision = self.revision;
        }
    }

    fn enforce_capacity(&mut self) {
        while self.histories.len() > self.options.capacity.max(1) {
            let oldest = self
                .histories
                .iter()
                .min_by_key(|(key, history)| (history.is_repeated(), history.last_crash, **key));
            let Some((&fingerprint, _)) = oldest else { return };
            self.histories.remove(&fingerprint);
        }
    }
}

fn entry_digest(entry: &QuarantineEntry) -> u64 {
    let mut bytes = entry.fingerprint.0.to_le_bytes().to_vec();
    for evidence in &entry.evidence {
        bytes.extend_from_slice(evidence.run.target.as_str().as_bytes());
        bytes.extend_from_slice(&evidence.run.boot.0.to_le_bytes());
        bytes.extend_from_slice(&evidence.in_flight.to_le_bytes());
        bytes.push(u8::from(evidence.is_cleared));
    }
    xxh3_64(&bytes)
}
