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

/// Memory counted for a record besides its stored answer.
const RECORD_OVERHEAD: usize = 256;

/// Bounds of the records of one service, from its profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRules {
    /// How long a record is kept after its end.
    pub keep_ended: Duration,
    /// How long a record of unknown end is kept. A request begins within its deadline after the
    /// claim and ends within it, and is resent for the horizon after that; the second deadline
    /// covers a clock that runs slower on the dispatcher.
    pub keep_claimed: Duration,
    /// Most records.
    pub record_limit: usize,
}

impl ClaimRules {
    /// The bounds that `profile` sets.
    pub fn from_profile(profile: &Profile) -> Self {
        let horizon = Duration::from_millis(u64::from(profile.refuse.resend_horizon_ms));
        let deadline = Duration::from_millis(u64::from(profile.refuse.deadline_ms));
        Self {
            keep_ended: horizon,
            keep_claimed: horizon + deadline * 2,
            record_limit: profile.refuse.record_limit as usize,
        }
    }
}

#[derive(Clone, Debug)]
struct HeldClaim {
    record: ClaimRecord,
    changed: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct ServiceClaims {
    held: HashMap<RecordKey, HeldClaim>,
    /// All records by their last change.
    by_age: BTreeSet<(Timestamp, RecordKey)>,
    /// Whether this run can have forgotten no record of the service.
    is_complete: bool,
}

/// Copies of idempotency records that one host holds.
///
/// Invariants: of the claims for one key the first is granted and no other, until it is released or
/// its time is over; a host that may have forgotten records of a service grants nothing for it; a
/// full book refuses rather than forgets.
#[derive(Clone, Debug)]
pub struct ClaimBook {
    started: Timestamp,
    byte_limit: usize,
    bytes: usize,
    services: BTreeMap<ServiceName, ServiceClaims>,
    /// Latest run of each dispatcher that was heard of.
    boots: BTreeMap<HostId, BootId>,
}

impl ClaimBook {
    /// The empty book of a process that started at `now`, for at most `byte_limit` bytes.
    pub fn new(now: Timestamp, byte_limit: usize) -> Self {
        let (services, boots) = (BTreeMap::new(), BTreeMap::new());
        Self { started: now, byte_limit, bytes: 0, services, boots }
    }

    /// Notes that this run has forgotten nothing of a service: the service was registered after the
    /// start, or all other holders have told what they know.
    pub fn set_complete(&mut self, service: &ServiceName) {
        self.services.entry(service.clone()).or_default().is_complete = true;
    }

    /// Whether no record that an earlier run of this process held still counts.
    pub fn is_complete(&self, now: Timestamp, rules: &ClaimRules, service: &ServiceName) -> bool {
        now.since(self.started) >= rules.keep_claimed
            || self.services.get(service).is_some_and(|claims| claims.is_complete)
    }

    /// Notes the run of a host that sent a message: claims of its earlier runs will not go on.
    pub fn hear(&mut self, host: HostId, boot: BootId) {
        let known = self.boots.entry(host).or_insert(boot);
        *known = boot.max(*known);
    }

    /// Answers a claim and keeps a copy if it is granted.
    pub fn claim(
        &mut self,
        now: Timestamp,
        rules: &ClaimRules,
        service: &ServiceName,
        record: &ClaimRecord,
    ) -> ClaimResponse {
        self.expire(now, rules, service);
        if let Some(known) = self.find(service, record.key) {
            if known.claim == record.claim && known.fingerprint == record.fingerprint {
                return ClaimResponse::Granted;
            }
            return ClaimResponse::Conflict(self.shown(known));
        }
        if !self.is_complete(now, rules, service) {
            return ClaimResponse::Incomplete;
        }
        if !self.has_room(rules, service, 0) {
            return ClaimResponse::Full;
        }
        self.insert(now, service, record.clone());
        ClaimResponse::Granted
    }

    /// Forgets a claim that was not run. Another claim's record stays.
    pub fn release(&mut self, service: &ServiceName, key: RecordKey, claim: ClaimId) {
        let is_held = self.find(service, key).is_some_and(|known| known.claim == claim);
        if is_held {
            self.remove(service, key);
        }
    }

    /// Keeps the end of a claim's request. An answer without room is replaced by the note that
    /// there was one. An end that is known is not replaced.
    pub fn end(
        &mut self,
        now: Timestamp,
        rules: &ClaimRules,
        service: &ServiceName,
        record: &ClaimRecord,
    ) {
        let known = self.find(service, record.key);
        if known.is_some_and(|known| known.claim == record.claim && known.state.is_final()) {
            return;
        }
        // Only the claim that won has an end, so a losing claim's record is replaced.
        self.remove(service, record.key);
        let mut record = record.clone();
        if !self.has_room(rules, service, size_of(&record.state)) {
            record.state = RecordState::AnswerNotStored;
        }
        if self.has_room(rules, service, 0) {
            self.insert(now, service, record);
        }
    }

    /// All records of a service, sorted by key.
    pub fn records(&self, service: &ServiceName) -> Vec<ClaimRecord> {
        let held = self.services.get(service).into_iter().flat_map(|claims| claims.held.values());
        let mut records: Vec<_> = held.map(|held| self.shown(&held.record)).collect();
        records.sort_by_key(|record| record.key);
        records
    }

    /// Takes what another holder told. Returns whether there was room for all of it.
    pub fn merge(
        &mut self,
        now: Timestamp,
        rules: &ClaimRules,
        service: &ServiceName,
        records: &[ClaimRecord],
    ) -> bool {
        records.iter().all(|record| {
            let known = self.find(service, record.key).map(|known| known.state.is_final());
            if known == Some(true) || (known == Some(false) && !record.state.is_final()) {
                return true;
            }
            if !self.has_room(rules, service, size_of(&record.state)) {
                return false;
            }
            self.remove(service, record.key);
            self.insert(now, service, record.clone());
            true
        })
    }

    /// Forgets the records of `service` whose time is over.
    pub fn expire(&mut self, now: Timestamp, rules: &ClaimRules, service: &ServiceName) {
        let Some(claims) = self.services.get(service) else { return };
        let old = claims.by_age.iter().take_while(|(at, _)| now.since(*at) >= rules.keep_ended);
        let is_over = |at: Timestamp, key: &RecordKey| {
            let state = claims.held.get(key).map(|held| &held.record.state);
            // The dispatcher of an unknown end may be cut off and its request may still run.
            let is_ended = state.is_none_or(|s| s.is_final() && *s != RecordState::Unknown);
            is_ended || now.since(at) >= rules.keep_claimed
        };
        let over: Vec<_> = old.filter(|(at, key)| is_over(*at, key)).map(|&(_, key)| key).collect();
        for key in over {
            self.remove(service, key);
        }
    }

    /// Number of records held.
    pub fn len(&self) -> usize {
        self.services.values().map(|claims| claims.held.len()).sum()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn find(&self, service: &ServiceName, key: RecordKey) -> Option<&ClaimRecord> {
        Some(&self.services.get(service)?.held.get(&key)?.record)
    }

    /// The record as it is told to others: what a dead run of a dispatcher was about to run may
    /// have been run, and nobody else will tell.
    fn shown(&self, record: &ClaimRecord) -> ClaimRecord {
        let mut shown = record.clone();
        let newer = self.boots.get(&record.claim.host).is_some_and(|b| *b > record.claim.boot);
        if newer && !record.state.is_final() {
            shown.state = RecordState::Unknown;
        }
        shown
    }

    fn has_room(&self, rules: &ClaimRules, service: &ServiceName, extra: usize) -> bool {
        let count = self.services.get(service).map_or(0, |claims| claims.held.len());
        count < rules.record_limit && self.bytes + RECORD_OVERHEAD + extra <= self.byte_limit
    }

    fn insert(&mut self, now: Timestamp, service: &ServiceName, record: ClaimRecord) {
        self.bytes += RECORD_OVERHEAD + size_of(&record.state);
        let claims = self.services.entry(service.clone()).or_default();
        claims.by_age.insert((now, record.key));
        claims.held.insert(record.key, HeldClaim { record, changed: now });
    }

    fn remove(&mut self, service: &ServiceName, key: RecordKey) {
        let Some(claims) = self.services.get_mut(service) else { return };
        let Some(held) = claims.held.remove(&key) else { return };
        claims.by_age.remove(&(held.changed, key));
        self.bytes -= RECORD_OVERHEAD + size_of(&held.record.state);
    }
}

fn size_of(state: &RecordState) -> usize {
    match state {
        RecordState::Answered(answer) => answer.size(),
        _ => 0,
    }
}
