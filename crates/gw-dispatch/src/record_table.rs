use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gw_profile::RefuseRules;
use gw_types::SlotIndex;
use gw_types::Timestamp;

use crate::CopyAck;
use crate::CopyCoverage;
use crate::RecordCopy;
use crate::RecordDecision;
use crate::RecordKey;
use crate::RecordOutcome;
use crate::RecordRefusal;
use crate::RecordState;
use crate::RequestFingerprint;
use crate::StartRefusal;
use crate::copy_store::CopyStore;
use crate::record_map::HeldRecord;
use crate::record_map::RecordMap;

/// Settings of a [`RecordTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordOptions {
    /// How long a record is kept after its end.
    pub resend_horizon: Duration,
    /// Most records owned, and most copies held for other hosts.
    pub record_limit: usize,
    /// Most bytes of owned records, and of copies held for other hosts.
    pub byte_limit: usize,
    /// Largest answer that is stored.
    pub answer_limit: usize,
}

impl RecordOptions {
    /// The profile's limits, with `byte_limit` bytes and answers of up to 64 KiB.
    pub fn from_rules(rules: &RefuseRules, byte_limit: usize) -> Self {
        Self {
            resend_horizon: Duration::from_millis(u64::from(rules.resend_horizon_ms)),
            record_limit: rules.record_limit as usize,
            byte_limit,
            answer_limit: 64 * 1024,
        }
    }
}

/// Idempotency records of one service on one host: those that it owns, and copies that it holds
/// for other owners.
///
/// Invariants: a record is started at most once, and only after another host confirmed a copy; a
/// record that has not ended is never forgotten by its owner, and one that has ended is kept for
/// the resend horizon; records and bytes stay within their limits, and a full table refuses.
#[derive(Clone, Debug)]
pub struct RecordTable {
    options: RecordOptions,
    owned: RecordMap,
    copies: CopyStore,
    /// Slots whose records may be missing, with the time until which they refuse.
    incomplete: BTreeMap<SlotIndex, Timestamp>,
    last_version: u64,
}

impl RecordTable {
    /// An empty table. `first_version` is larger than any version that an earlier run of this host
    /// used; the boot id shifted left by 32 bits serves.
    pub fn new(options: RecordOptions, first_version: u64) -> Self {
        Self {
            options,
            owned: RecordMap::default(),
            copies: CopyStore::default(),
            incomplete: BTreeMap::new(),
            last_version: first_version,
        }
    }

    /// Puts changed limits in force. Records past a lowered limit stay for their horizon.
    pub fn set_options(&mut self, options: RecordOptions) {
        self.options = options;
    }

    /// Looks up a request with an idempotency key and, if it is new, makes its record.
    pub fn begin(
        &mut self,
        now: Timestamp,
        key: RecordKey,
        slot: SlotIndex,
        fingerprint: RequestFingerprint,
    ) -> RecordDecision {
        if let Some(record) = self.owned.get(key) {
            return record.decide_resend(fingerprint);
        }
        if let Some(until) = self.incomplete_until(now, slot) {
            return RecordDecision::Refused(RecordRefusal::Incomplete { until });
        }
        self.expire(now);
        if !self.owned.has_room(&self.options, 0) {
            return RecordDecision::Refused(RecordRefusal::Full);
        }
        let state = RecordState::AboutToRun;
        let version = self.next_version();
        let record =
            HeldRecord { slot, fingerprint, state, version, is_copied: false, changed: now };
        let copy = record.copy(now, key);
        self.owned.insert(key, record);
        RecordDecision::Run(copy)
    }

    /// Notes that another host holds a copy. Returns whether the request may start.
    pub fn confirm_copy(&mut self, held: CopyAck) -> bool {
        let Some(record) = self.owned.get_mut(held.key) else { return false };
        if record.version != held.version {
            return false;
        }
        record.is_copied = true;
        matches!(record.state, RecordState::AboutToRun)
    }

    /// Marks a request as running. To be called directly before its first byte is written.
    ///
    /// A record that waited for the resend horizon is not started: holders of its copy count their
    /// time from its beginning and could forget it before the last resend.
    pub fn start(&mut self, now: Timestamp, key: RecordKey) -> Result<(), StartRefusal> {
        let horizon = self.options.resend_horizon;
        let record = self.owned.get_mut(key).ok_or(StartRefusal::NoRecord)?;
        if record.state != RecordState::AboutToRun {
            return Err(StartRefusal::Started);
        }
        if !record.is_copied {
            return Err(StartRefusal::NoCopy);
        }
        if now.since(record.changed) >= horizon {
            return Err(StartRefusal::TooOld);
        }
        record.state = RecordState::Running;
        Ok(())
    }

    /// Drops the record of a request that was never started. Returns the copy to send, which lets
    /// the holders drop theirs; `None` if the request was started or is not owned.
    pub fn abandon(&mut self, now: Timestamp, key: RecordKey) -> Option<RecordCopy> {
        let record = self.owned.get(key)?;
        if record.state != RecordState::AboutToRun {
            return None;
        }
        let record = self.owned.remove(key)?;
        let mut copy = record.copy(now, key);
        copy.version = self.next_version();
        copy.state = None;
        Some(copy)
    }

    /// Ends a running request. Returns the copy to send; `None` if the request is not running.
    ///
    /// An answer that is over the limits is not stored, and resends get `unknown`: an incomplete
    /// answer must not be passed on as complete.
    pub fn finish(
        &mut self,
        now: Timestamp,
        key: RecordKey,
        end: RecordOutcome,
    ) -> Option<RecordCopy> {
        let is_running = self.owned.get(key)?.state == RecordState::Running;
        if !is_running {
            return None;
        }
        let mut record = self.owned.remove(key)?;
        record.state = self.end_state(end);
        record.version = self.next_version();
        record.changed = now;
        let copy = record.copy(now, key);
        self.owned.insert(key, record);
        Some(copy)
    }

    /// Keeps a copy for another owner. `None` when there is no room, so that the owner asks
    /// another host; the slot is then no longer covered here.
    pub fn store_copy(&mut self, now: Timestamp, copy: &RecordCopy) -> Option<CopyAck> {
        self.copies.hold(now, copy, &self.options)
    }

    /// Notes that this host holds copies of all records of the slots.
    pub fn store_coverage(&mut self, now: Timestamp, coverage: &CopyCoverage) {
        self.copies.cover(now, coverage);
    }

    /// Notes that the slots' owner turns to another host for its copies.
    pub fn drop_coverage(&mut self, first: SlotIndex, last: SlotIndex) {
        self.copies.uncover(first, last);
    }

    /// Copies held here of the records of `first..=last`, for the slots' new owner.
    pub fn copies_of(&self, now: Timestamp, first: SlotIndex, last: SlotIndex) -> Vec<RecordCopy> {
        self.copies.copies(now, first, last)
    }

    /// What the copies held here cover of `first..=last`, for the slots' new owner. `None` unless
    /// all of the slots are covered.
    pub fn copy_coverage(
        &self,
        now: Timestamp,
        first: SlotIndex,
        last: SlotIndex,
    ) -> Option<CopyCoverage> {
        let slots = (first.0..=last.0).map(SlotIndex);
        let untils: Option<Vec<_>> = slots.map(|slot| self.copies.coverage(slot)).collect();
        let until = untils?.into_iter().max()?;
        Some(CopyCoverage { first, last, incomplete_for: until.since(now) })
    }

    /// Own records of `first..=last`, for a new holder of copies, or for the slots' new owner after
    /// a handover.
    pub fn records_of(&self, now: Timestamp, first: SlotIndex, last: SlotIndex) -> Vec<RecordCopy> {
        self.owned.copies(now, first, last)
    }

    /// What the own records cover of `first..=last`. To be sent after a host confirmed all of
    /// [`records_of`](Self::records_of).
    pub fn coverage(&self, now: Timestamp, first: SlotIndex, last: SlotIndex) -> CopyCoverage {
        let slots = (first.0..=last.0).map(SlotIndex);
        let until = slots.filter_map(|slot| self.incomplete_until(now, slot)).max();
        let incomplete_for = until.unwrap_or(now).since(now);
        CopyCoverage { first, last, incomplete_for }
    }

    /// Gives up the ownership of slots. The records stay as copies for the new owner as far as
    /// there is room; a running request's end is then no longer recorded here.
    pub fn release_slots(&mut self, now: Timestamp, first: SlotIndex, last: SlotIndex) {
        let coverage = self.coverage(now, first, last);
        self.copies.cover(now, &coverage);
        for copy in self.records_of(now, first, last) {
            self.owned.remove(copy.key);
            self.store_copy(now, &copy);
        }
    }

    /// Takes over `first..=last` with the copies that this host holds. Slots that are not covered
    /// refuse new non-idempotent requests for the resend horizon.
    pub fn take_over(&mut self, now: Timestamp, first: SlotIndex, last: SlotIndex) {
        for slot in (first.0..=last.0).map(SlotIndex) {
            let horizon = now + self.options.resend_horizon;
            let until = self.copies.coverage(slot).unwrap_or(horizon);
            self.incomplete.insert(slot, until);
        }
        self.copies.uncover(first, last);
        for copy in self.copies_of(now, first, last) {
            if !self.adopt(now, &copy) {
                self.mark_incomplete(now, copy.slot, copy.slot);
            }
        }
    }

    /// Takes over a record of a former owner. A record that had not ended becomes unknown and is
    /// never run again. Returns `false` when there is no room; the slot must then stay incomplete.
    pub fn adopt(&mut self, now: Timestamp, copy: &RecordCopy) -> bool {
        let Some(state) = &copy.state else { return true };
        self.last_version = self.last_version.max(copy.version);
        let known = self.owned.get(copy.key);
        if known.is_some_and(|record| !is_better(record, copy, state)) {
            return true;
        }
        let state = state.after_takeover();
        let replaced = self.owned.remove(copy.key);
        if !self.owned.has_room(&self.options, state.size()) {
            replaced.into_iter().for_each(|record| self.owned.insert(copy.key, record));
            return false;
        }
        // A run of unknown end may have ended at any time up to now, so its horizon starts now.
        let changed = if state == RecordState::Unknown { now } else { now - copy.age };
        self.owned.insert(copy.key, HeldRecord::from_copy(copy, state, changed));
        true
    }

    /// Refuses new non-idempotent requests of `first..=last` for the resend horizon: the slots were
    /// taken over and records may be missing.
    pub fn mark_incomplete(&mut self, now: Timestamp, first: SlotIndex, last: SlotIndex) {
        let until = now + self.options.resend_horizon;
        (first.0..=last.0).for_each(|slot| {
            self.incomplete.insert(SlotIndex(slot), until);
        });
    }

    /// Shortens the refusal of slots after all records that another host covers were adopted.
    pub fn accept_coverage(&mut self, now: Timestamp, coverage: &CopyCoverage) {
        let until = now + coverage.incomplete_for;
        for slot in coverage.first.0..=coverage.last.0 {
            self.incomplete.insert(SlotIndex(slot), until);
        }
    }

    /// Until when the slot refuses new non-idempotent requests.
    pub fn incomplete_until(&self, now: Timestamp, slot: SlotIndex) -> Option<Timestamp> {
        self.incomplete.get(&slot).copied().filter(|&until| until > now)
    }

    /// Forgets records that ended longer ago than the resend horizon, and copies that did not
    /// change for as long.
    pub fn expire(&mut self, now: Timestamp) {
        let horizon = self.options.resend_horizon;
        self.owned.expire(now, horizon, |state| !state.is_final());
        self.copies.expire(now, &self.options);
        self.incomplete.retain(|_, until| *until > now);
    }

    /// State of an owned record.
    pub fn state(&self, key: RecordKey) -> Option<&RecordState> {
        self.owned.get(key).map(|record| &record.state)
    }

    /// Number of owned records.
    pub fn len(&self) -> usize {
        self.owned.len()
    }

    /// Whether no record is owned.
    pub fn is_empty(&self) -> bool {
        self.owned.len() == 0
    }

    /// Bytes counted for owned records and held copies.
    pub fn bytes(&self) -> usize {
        self.owned.bytes() + self.copies.bytes()
    }

    fn next_version(&mut self) -> u64 {
        self.last_version += 1;
        self.last_version
    }

    fn end_state(&self, end: RecordOutcome) -> RecordState {
        match end {
            RecordOutcome::Unknown => RecordState::Unknown,
            RecordOutcome::AnswerNotStored => RecordState::AnswerNotStored,
            RecordOutcome::Answered(answer) => {
                let size = answer.size();
                let is_small = size <= self.options.answer_limit;
                if is_small && self.owned.has_room(&self.options, size) {
                    RecordState::Answered(Arc::new(answer))
                } else {
                    RecordState::AnswerNotStored
                }
            }
        }
    }
}

/// Whether a copy says more than an owned record: an end is worth more than unknown, and a record
/// that this host began itself is never replaced.
fn is_better(record: &HeldRecord, copy: &RecordCopy, state: &RecordState) -> bool {
    let is_unknown = record.state == RecordState::Unknown;
    is_unknown && state.is_final() && copy.version >= record.version
}
