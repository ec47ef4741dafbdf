use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use gw_dispatch::ClaimId;
use gw_dispatch::ClaimRecord;
use gw_dispatch::ClaimResponse;
use gw_dispatch::RecordKey;
use gw_dispatch::RecordState;
use gw_profile::Profile;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::ServiceName;
use gw_types::Timestamp;

/// Memory counted for a record in addition to its stored answer.
const RECORD_OVERHEAD_BYTES: usize = 256;

/// Retention and number of the records of one service, set by its profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// How long a record is kept after the outcome of its request became known.
    pub ended_retention: Duration,
    /// How long a record without a known outcome is kept, measured from its last change.
    ///
    /// A request ends within its deadline after the claim and may be resent for the resend horizon
    /// after that. A second deadline is added because the dispatcher's clock may run slower than
    /// the holder's.
    pub claimed_retention: Duration,
    /// Maximum number of records that a host holds for the service.
    pub record_limit: usize,
}

impl ClaimLimits {
    /// Returns the limits that `profile` sets.
    pub fn from_profile(profile: &Profile) -> Self {
        let horizon = Duration::from_millis(u64::from(profile.refuse.resend_horizon_ms));
        let deadline = Duration::from_millis(u64::from(profile.refuse.deadline_ms));
        Self {
            ended_retention: horizon,
            claimed_retention: horizon + deadline * 2,
            record_limit: profile.refuse.record_limit as usize,
        }
    }
}

#[derive(Clone, Debug)]
struct StoredClaim {
    record: ClaimRecord,
    changed_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct ServiceClaims {
    by_key: HashMap<RecordKey, StoredClaim>,
    /// All records, ordered by their last change.
    by_change: BTreeSet<(Timestamp, RecordKey)>,
    /// Whether no record of the service can have been lost by a restart of this process.
    is_complete: bool,
}

/// Copies of idempotency records that one host holds.
///
/// Invariants:
///
/// - For each key only the first claim is granted, until it is released or its record expires.
/// - A host that may have lost records of a service grants no claim for that service.
/// - A full table rejects new claims; it never evicts a record before it expires.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    started: Timestamp,
    byte_limit: usize,
    bytes: usize,
    services: BTreeMap<ServiceName, ServiceClaims>,
    /// Latest known boot ID of each dispatcher.
    latest_boots: BTreeMap<HostId, BootId>,
}

impl ClaimTable {
    /// Creates the empty table of a process that started at `now`, for at most `byte_limit` bytes.
    pub fn new(now: Timestamp, byte_limit: usize) -> Self {
        let (services, latest_boots) = (BTreeMap::new(), BTreeMap::new());
        Self { started: now, byte_limit, bytes: 0, services, latest_boots }
    }

    /// Marks that no record of a service is missing: the service was registered after the start of
    /// this process, or all other holders have sent their records.
    pub fn set_complete(&mut self, service: &ServiceName) {
        self.services.entry(service.clone()).or_default().is_complete = true;
    }

    /// Whether every unexpired record that an earlier boot of this host held is known here.
    pub fn is_complete(&self, now: Timestamp, limits: &ClaimLimits, service: &ServiceName) -> bool {
        now.since(self.started) >= limits.claimed_retention
            || self.services.get(service).is_some_and(|claims| claims.is_complete)
    }

    /// Records the boot ID of a host that sent a message. Claims of its earlier boots are
    /// abandoned: their requests may have run, and no outcome will be reported.
    pub fn record_boot(&mut self, host: HostId, boot: BootId) {
        let known = self.latest_boots.entry(host).or_insert(boot);
        *known = boot.max(*known);
    }

    /// Responds to a claim, and stores a copy of the record if the claim is granted.
    ///
    /// A repeated claim is granted again. [`ClaimResponse::Conflict`] returns the record of the
    /// claim that was granted earlier.
    pub fn claim(
        &mut self,
        now: Timestamp,
        limits: &ClaimLimits,
        service: &ServiceName,
        record: &ClaimRecord,
    ) -> ClaimResponse {
        self.remove_expired(now, limits, service);
        if let Some(known) = self.find(service, record.key) {
            if known.claim == record.claim && known.fingerprint == record.fingerprint {
                return ClaimResponse::Granted;
            }
            return ClaimResponse::Conflict(self.reported_record(known));
        }
        if !self.is_complete(now, limits, service) {
            return ClaimResponse::Incomplete;
        }
        if !self.has_room(limits, service, 0) {
            return ClaimResponse::Full;
        }
        self.insert(now, service, record.clone());
        ClaimResponse::Granted
    }

    /// Removes the record of a claim whose request was not run. The record of another claim stays.
    pub fn release(&mut self, service: &ServiceName, key: RecordKey, claim: ClaimId) {
        let is_held = self.find(service, key).is_some_and(|known| known.claim == claim);
        if is_held {
            self.remove(service, key);
        }
    }

    /// Stores the outcome of a claim's request, unless an outcome of that claim is known already.
    ///
    /// An answer that exceeds the memory limit is stored as [`RecordState::AnswerNotStored`].
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        limits: &ClaimLimits,
        service: &ServiceName,
        record: &ClaimRecord,
    ) {
        let known = self.find(service, record.key);
        if known.is_some_and(|known| known.claim == record.claim && known.state.is_final()) {
            return;
        }
        // Only the winning claim reports an outcome, so the record of any other claim is replaced.
        self.remove(service, record.key);
        let mut record = record.clone();
        if !self.has_room(limits, service, answer_bytes(&record.state)) {
            record.state = RecordState::AnswerNotStored;
        }
        if self.has_room(limits, service, 0) {
            self.insert(now, service, record);
        }
    }

    /// Returns all records of a service, sorted by key, as they are reported to other holders.
    pub fn records(&self, service: &ServiceName) -> Vec<ClaimRecord> {
        let held = self.services.get(service).into_iter().flat_map(|claims| claims.by_key.values());
        let mut records: Vec<_> = held.map(|held| self.reported_record(&held.record)).collect();
        records.sort_by_key(|record| record.key);
        records
    }

    /// Adds the records that another holder sent. A final state replaces one that is not final.
    /// Returns false if a record did not fit.
    pub fn merge(
        &mut self,
        now: Timestamp,
        limits: &ClaimLimits,
        service: &ServiceName,
        records: &[ClaimRecord],
    ) -> bool {
        records.iter().all(|record| {
            let known = self.find(service, record.key).map(|known| known.state.is_final());
            if known == Some(true) || (known == Some(false) && !record.state.is_final()) {
                return true;
            }
            if !self.has_room(limits, service, answer_bytes(&record.state)) {
                return false;
            }
            self.remove(service, record.key);
            self.insert(now, service, record.clone());
            true
        })
    }

    /// Removes the expired records of `service`.
    pub fn remove_expired(&mut self, now: Timestamp, limits: &ClaimLimits, service: &ServiceName) {
        let Some(claims) = self.services.get(service) else { return };
        let old =
            claims.by_change.iter().take_while(|(at, _)| now.since(*at) >= limits.ended_retention);
        let is_over = |at: Timestamp, key: &RecordKey| {
            let state = claims.by_key.get(key).map(|held| &held.record.state);
            // Without a known outcome the dispatcher may be unreachable with its request still
            // running, so the record is kept for the longer time.
            let is_ended = state.is_none_or(|s| s.is_final() && *s != RecordState::Unknown);
            is_ended || now.since(at) >= limits.claimed_retention
        };
        let over: Vec<_> = old.filter(|(at, key)| is_over(*at, key)).map(|&(_, key)| key).collect();
        for key in over {
            self.remove(service, key);
        }
    }

    /// Returns the number of records of all services.
    pub fn len(&self) -> usize {
        self.services.values().map(|claims| claims.by_key.len()).sum()
    }

    /// Returns whether the table holds no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn find(&self, service: &ServiceName, key: RecordKey) -> Option<&ClaimRecord> {
        Some(&self.services.get(service)?.by_key.get(&key)?.record)
    }

    /// Returns the record as it is reported to other hosts. If its dispatcher has restarted, the
    /// request may have run and no outcome will be reported, so its state is `Unknown`.
    fn reported_record(&self, record: &ClaimRecord) -> ClaimRecord {
        let mut reported_record = record.clone();
        let newer =
            self.latest_boots.get(&record.claim.host).is_some_and(|b| *b > record.claim.boot);
        if newer && !record.state.is_final() {
            reported_record.state = RecordState::Unknown;
        }
        reported_record
    }

    fn has_room(&self, limits: &ClaimLimits, service: &ServiceName, extra: usize) -> bool {
        let count = self.services.get(service).map_or(0, |claims| claims.by_key.len());
        count < limits.record_limit && self.bytes + RECORD_OVERHEAD_BYTES + extra <= self.byte_limit
    }

    fn insert(&mut self, now: Timestamp, service: &ServiceName, record: ClaimRecord) {
        self.bytes += RECORD_OVERHEAD_BYTES + answer_bytes(&record.state);
        let claims = self.services.entry(service.clone()).or_default();
        claims.by_change.insert((now, record.key));
        claims.by_key.insert(record.key, StoredClaim { record, changed_at: now });
    }

    fn remove(&mut self, service: &ServiceName, key: RecordKey) {
        let Some(claims) = self.services.get_mut(service) else { return };
        let Some(stored) = claims.by_key.remove(&key) else { return };
        claims.by_change.remove(&(stored.changed_at, key));
        self.bytes -= RECORD_OVERHEAD_BYTES + answer_bytes(&stored.record.state);
    }
}

fn answer_bytes(state: &RecordState) -> usize {
    match state {
        RecordState::Answered(answer) => answer.size(),
        _ => 0,
    }
}
