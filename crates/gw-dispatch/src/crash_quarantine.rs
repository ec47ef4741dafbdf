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

/// Most crashes kept for one fingerprint. A fingerprint is refused well before.
const MAX_EVIDENCE: usize = 16;

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// Most fingerprints held.
    pub capacity: usize,
    /// How long a fingerprint is held after its last crash.
    pub hold: Duration,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Run it.
    Clear,
    /// Run it alone on its target, so that a further crash or its completion tells whether it is
    /// the cause.
    Suspect,
    /// Refuse it.
    Refused,
}

/// What one host knows of one fingerprint, as sent to other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Crashes, sorted by run.
    pub evidence: Vec<CrashEvidence>,
    /// Time since the last crash. A duration, since hosts' clocks are not compared.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct HeldEvidence {
    evidence: Vec<CrashEvidence>,
    last_crash: Timestamp,
}

impl HeldEvidence {
    fn join(&mut self, evidence: &CrashEvidence) {
        match self.evidence.binary_search_by(|held| held.run.cmp(&evidence.run)) {
            Ok(index) => self.evidence[index].join(evidence),
            Err(index) => self.evidence.insert(index, evidence.clone()),
        }
        // Keeping the smallest runs of a union is itself commutative and idempotent.
        self.evidence.truncate(MAX_EVIDENCE);
    }

    fn distinct_targets(&self) -> usize {
        let mut targets: Vec<&TargetName> = self.standing().map(|held| &held.run.target).collect();
        targets.dedup();
        targets.len()
    }

    fn standing(&self) -> impl Iterator<Item = &CrashEvidence> {
        self.evidence.iter().filter(|held| !held.is_cleared)
    }

    fn verdict(&self, crash_limit: u8) -> CrashVerdict {
        let limit = usize::from(crash_limit.max(1));
        if self.standing().next().is_none() {
            return CrashVerdict::Clear;
        }
        let is_confirmed = self.standing().any(CrashEvidence::is_sole);
        let weight: f64 = self.standing().map(CrashEvidence::weight).sum();
        let is_over_limit = self.distinct_targets() >= limit;
        if is_over_limit && (is_confirmed || weight >= limit as f64) {
            return CrashVerdict::Refused;
        }
        CrashVerdict::Suspect
    }
}

/// Requests that crash targets.
///
/// A crash with several requests in flight does not tell which one caused it. Counting it against
/// all of them would quarantine a popular request that shared two targets with the cause; spreading
/// the blame evenly would let the cause crash more targets than the limit. So a shared crash makes
/// each request a suspect, and a suspect runs alone next. If it completes, its evidence is cleared;
/// if it crashes its target alone, its earlier shared crashes count in full. The cause is refused
/// after `crash_limit` targets, and an innocent request costs one run without company. A request
/// that is only ever seen in company is refused when its evenly spread blame reaches the limit.
///
/// Invariants: holds at most `capacity` fingerprints; the join with another host's entries is
/// commutative and idempotent while the capacity is not exceeded.
#[derive(Clone, Debug)]
pub struct CrashQuarantine {
    options: QuarantineOptions,
    held: BTreeMap<RequestFingerprint, HeldEvidence>,
}

impl CrashQuarantine {
    /// An empty quarantine.
    pub fn new(options: QuarantineOptions) -> Self {
        Self { options, held: BTreeMap::new() }
    }

    /// Counts the crash of `run` against all requests that were in flight on it.
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
            self.join(now, fingerprint, &evidence);
        }
        self.enforce_capacity();
    }

    /// Clears the evidence against a request that a target has run to completion.
    pub fn record_completion(&mut self, fingerprint: RequestFingerprint) {
        let Some(held) = self.held.get_mut(&fingerprint) else { return };
        held.evidence.iter_mut().for_each(|evidence| evidence.is_cleared = true);
    }

    /// What is to be done with a request that may crash `crash_limit` distinct targets.
    pub fn verdict(
        &self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        crash_limit: u8,
    ) -> CrashVerdict {
        match self.held.get(&fingerprint) {
            Some(held) if self.is_held(now, held) => held.verdict(crash_limit),
            _ => CrashVerdict::Clear,
        }
    }

    /// Joins what another host knows. Entries older than the hold time are ignored.
    pub fn merge(&mut self, now: Timestamp, entry: &QuarantineEntry) {
        if entry.age >= self.options.hold {
            return;
        }
        for evidence in &entry.evidence {
            self.join(now - entry.age, entry.fingerprint, evidence);
        }
        self.enforce_capacity();
    }

    /// All entries, to be sent to a host with another digest.
    pub fn entries(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        let current = self.held.iter().filter(|(_, held)| self.is_held(now, held));
        current
            .map(|(&fingerprint, held)| QuarantineEntry {
                fingerprint,
                evidence: held.evidence.clone(),
                age: now.since(held.last_crash),
            })
            .collect()
    }

    /// Digest of all evidence, equal on hosts that know the same. Ages are left out, since they
    /// differ by the time that messages take.
    pub fn digest(&self, now: Timestamp) -> u64 {
        let entries = self.entries(now);
        entries.iter().map(entry_digest).fold(0, u64::wrapping_add)
    }

    /// Forgets fingerprints whose last crash is older than the hold time.
    pub fn expire(&mut self, now: Timestamp) {
        let hold = self.options.hold;
        self.held.retain(|_, held| now.since(held.last_crash) < hold);
    }

    /// Number of fingerprints held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn is_held(&self, now: Timestamp, held: &HeldEvidence) -> bool {
        now.since(held.last_crash) < self.options.hold
    }

    fn join(&mut self, at: Timestamp, fingerprint: RequestFingerprint, evidence: &CrashEvidence) {
        let empty = HeldEvidence { evidence: Vec::new(), last_crash: at };
        let held = self.held.entry(fingerprint).or_insert(empty);
        held.last_crash = held.last_crash.max(at);
        held.join(evidence);
    }

    fn enforce_capacity(&mut self) {
        while self.held.len() > self.options.capacity.max(1) {
            let oldest = self.held.iter().min_by_key(|(key, held)| (held.last_crash, **key));
            let Some((&fingerprint, _)) = oldest else { return };
            self.held.remove(&fingerprint);
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
