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
use crate::record_map::RecordEntry;
use crate::record_map::RecordMap;

/// Limits of a [`RecordTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordOptions {
    /// How long a record is kept in its final state. Callers resend within this time only.
    pub resend_horizon: Duration,
    /// Maximum number of owned records, and of copies held for other hosts.
    pub record_limit: usize,
    /// Maximum size of the owned records in bytes, and of the copies held for other hosts.
    pub byte_limit: usize,
    /// Maximum size of a stored answer in bytes.
    pub answer_limit: usize,
}

impl RecordOptions {
    /// Returns the limits of a profile, with `byte_limit` bytes and answers of up to 64 KiB.
    pub fn from_rules(rules: &RefuseRules, byte_limit: usize) -> Self {
        Self {
            resend_horizon: Duration::from_millis(u64::from(rules.resend_horizon_ms)),
            record_limit: rules.record_limit as usize,
            byte_limit,
            answer_limit: 64 * 1024,
        }
    }
}

/// Idempotency records of one service on one host: the records that the host owns, and copies that
/// it holds for other owners.
///
/// Invariants:
///
/// - A record is started at most once, and only after another host has acknowledged a copy.
/// - The owner keeps a record until it reaches a final state, and for the resend horizon after
///   that.
/// - The number of records and their bytes stay within the limits; a full table refuses new
///   records.
#[derive(Clone, Debug)]
pub struct RecordTable {
    options: RecordOptions,
    owned: RecordMap,
    copies: CopyStore,
    /// Slots whose records may be incomplete, with the time until which they refuse new requests.
    incomplete_slots: BTreeMap<SlotIndex, Timestamp>,
    last_version: u64,
}

impl RecordTable {
    /// Creates an empty table.
    ///
    /// `first_version` must exceed every version that an earlier run of this host used, for example
    /// the boot id shifted left by 32 bits.
    pub fn new(options: RecordOptions, first_version: u64) -> Self {
        Self {
            options,
            owned: RecordMap::default(),
            copies: CopyStore::default(),
            incomplete_slots: BTreeMap::new(),
            last_version: first_version,
        }
    }

    /// Replaces the limits. Records beyond a lowered limit stay until they expire.
    pub fn set_options(&mut self, options: RecordOptions) {
        self.options = options;
    }

    /// Looks up the record of a request with an idempotency key, and creates one if there is none.
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
            RecordEntry { slot, fingerprint, state, version, is_copied: false, changed_at: now };
        let copy = record.copy(now, key);
        self.owned.insert(key, record);
        RecordDecision::Run(copy)
    }

    /// Takes the acknowledgement of a copy. Returns whether the request may start.
    pub fn confirm_copy(&mut self, ack: CopyAck) -> bool {
        let Some(record) = self.owned.get_mut(ack.key) else { return false };
        if record.version != ack.version {
            return false;
        }
        record.is_copied = true;
        matches!(record.state, RecordState::AboutToRun)
    }

    /// Marks a request as running. Must be called directly before its first byte is written to the
    /// target.
    ///
    /// A record that has waited for the resend horizon is not started: the holders of its copy
    /// count the horizon from its creation, and could remove the copy before the last resend.
    pub fn start(&mut self, now: Timestamp, key: RecordKey) -> Result<(), StartRefusal> {
        let horizon = self.options.resend_horizon;
        let record = self.owned.get_mut(key).ok_or(StartRefusal::NoRecord)?;
        if record.state != RecordState::AboutToRun {
            return Err(StartRefusal::Started);
        }
        if !record.is_copied {
            return Err(StartRefusal::NoCopy);
        }
        if now.since(record.changed_at) >= horizon {
            return Err(StartRefusal::TooOld);
        }
        record.state = RecordState::Running;
        Ok(())
    }

    /// Drops the record of a request that was never started.
    ///
    /// Returns the copy to send, with which the holders drop theirs; `None` if the request was
    /// started or the host does not own its record.
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

    /// Records how a running request ended. Returns the copy to send; `None` if the request is not
    /// running.
    ///
    /// An answer that exceeds the limits is not stored, and resends get `unknown`: a truncated
    /// answer must not be sent as if it were complete.
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
        record.state = self.final_state(end);
        record.version = self.next_version();
        record.changed_at = now;
        let copy = record.copy(now, key);
        self.owned.insert(key, record);
        Some(copy)
    }

    /// Stores a copy for another owner. Returns its acknowledgement, or `None` if there is no room.
    ///
    /// In the latter case the slot is no longer covered here, and the owner has to send the copy to
    /// another host.
    pub fn store_copy(&mut self, now: Timestamp, copy: &RecordCopy) -> Option<CopyAck> {
        self.copies.store(now, copy, &self.options)
    }

    /// Records that this host holds copies of all records of the slots.
    pub fn store_coverage(&mut self, now: Timestamp, coverage: &CopyCoverage) {
        self.copies.cover(now, coverage);
    }

    /// Removes the coverage of the slots, whose owner is about to send its copies to another host.
    pub fn drop_coverage(&mut self, first: SlotIndex, last: SlotIndex) {
        self.copies.uncover(first, last);
    }

    /// Returns the held copies of the records of `first..=last`, for the new owner of the slots.
    pub fn copies_of(&self, now: Timestamp, first: SlotIndex, last: SlotIndex) -> Vec<RecordCopy> {
        self.copies.copies(now, first, last)
    }

    /// Returns the coverage of `first..=last` by the held copies, for the new owner of the slots;
    /// `None` unless all of the slots are covered.
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

    /// Returns copies of the owned records of `first..=last`, for a new holder of copies, or for
    /// the new owner of the slots after a handover.
    pub fn records_of(&self, now: Timestamp, first: SlotIndex, last: SlotIndex) -> Vec<RecordCopy> {
        self.owned.copies(now, first, last)
    }

    /// Returns the coverage of `first..=last` by the owned records. To be sent after the receiver
    /// has acknowledged all of [`records_of`](Self::records_of).
    pub fn coverage(&self, now: Timestamp, first: SlotIndex, last: SlotIndex) -> CopyCoverage {
        let slots = (first.0..=last.0).map(SlotIndex);
        let until = slots.filter_map(|slot| self.incomplete_until(now, slot)).max();
        let incomplete_for = until.unwrap_or(now).since(now);
        CopyCoverage { first, last, incomplete_for }
    }

    /// Gives up the ownership of slots.
    ///
    /// The records stay as copies for the new owner as far as there is room. The outcome of a
    /// request that still runs is no longer recorded here.
    pub fn release_slots(&mut self, now: Timestamp, first: SlotIndex, last: SlotIndex) {
        let coverage = self.coverage(now, first, last);
        self.copies.cover(now, &coverage);
        for copy in self.records_of(now, first, last) {
            self.owned.remove(copy.key);
            self.store_copy(now, &copy);
        }
    }

    /// Takes over the ownership of `first..=last` with the copies that this host holds. Slots that
    /// are not covered refuse new non-idempotent requests for the resend horizon.
    pub fn take_over(&mut self, now: Timestamp, first: SlotIndex, last: SlotIndex) {
        for slot in (first.0..=last.0).map(SlotIndex) {
            let horizon = now + self.options.resend_horizon;
            let until = self.copies.coverage(slot).unwrap_or(horizon);
            self.incomplete_slots.insert(slot, until);
        }
        self.copies.uncover(first, last);
        for copy in self.copies_of(now, first, last) {
            if !self.adopt(now, &copy) {
                self.mark_incomplete(now, copy.slot, copy.slot);
            }
        }
    }

    /// Takes over a record of the previous owner. A request that had not ended becomes
    /// [`RecordState::Unknown`] and is never run again.
    ///
    /// Returns `false` if there is no room; the slot must then stay incomplete.
    pub fn adopt(&mut self, now: Timestamp, copy: &RecordCopy) -> bool {
        let Some(state) = &copy.state else { return true };
        self.last_version = self.last_version.max(copy.version);
        let current = self.owned.get(copy.key);
        if current.is_some_and(|record| !supersedes(record, copy, state)) {
            return true;
        }
        let state = state.after_takeover();
        let replaced = self.owned.remove(copy.key);
        if !self.owned.has_room(&self.options, state.size()) {
            replaced.into_iter().for_each(|record| self.owned.insert(copy.key, record));
            return false;
        }
        // A request whose outcome is unknown may have ended only now, so its horizon starts now.
        let changed_at = if state == RecordState::Unknown { now } else { now - copy.age };
        self.owned.insert(copy.key, RecordEntry::from_copy(copy, state, changed_at));
        true
    }

    /// Marks the records of `first..=last` as possibly incomplete after a takeover. The slots
    /// refuse new non-idempotent requests for the resend horizon.
    pub fn mark_incomplete(&mut self, now: Timestamp, first: SlotIndex, last: SlotIndex) {
        let until = now + self.options.resend_horizon;
        (first.0..=last.0).for_each(|slot| {
            self.incomplete_slots.insert(SlotIndex(slot), until);
        });
    }

    /// Shortens the refusal of the slots to what `coverage` states. To be called after all records
    /// that it covers were adopted.
    pub fn accept_coverage(&mut self, now: Timestamp, coverage: &CopyCoverage) {
        let until = now + coverage.incomplete_for;
        for slot in coverage.first.0..=coverage.last.0 {
            self.incomplete_slots.insert(SlotIndex(slot), until);
        }
    }

    /// Returns the time until which the slot refuses new non-idempotent requests, if it does.
    pub fn incomplete_until(&self, now: Timestamp, slot: SlotIndex) -> Option<Timestamp> {
        self.incomplete_slots.get(&slot).copied().filter(|&until| until > now)
    }

    /// Removes records that have been in a final state for the resend horizon, and held copies that
    /// are no longer needed.
    pub fn expire(&mut self, now: Timestamp) {
        let horizon = self.options.resend_horizon;
        self.owned.expire(now, horizon, |state| !state.is_final());
        self.copies.expire(now, &self.options);
        self.incomplete_slots.retain(|_, until| *until > now);
    }

    /// Returns the state of an owned record.
    pub fn state(&self, key: RecordKey) -> Option<&RecordState> {
        self.owned.get(key).map(|record| &record.state)
    }

    /// Returns the number of owned records.
    pub fn len(&self) -> usize {
        self.owned.len()
    }

    /// Whether no record is owned.
    pub fn is_empty(&self) -> bool {
        self.owned.len() == 0
    }

    /// Returns the size of owned records and held copies in bytes.
    pub fn bytes(&self) -> usize {
        self.owned.bytes() + self.copies.bytes()
    }

    fn next_version(&mut self) -> u64 {
        self.last_version += 1;
        self.last_version
    }

    fn final_state(&self, end: RecordOutcome) -> RecordState {
        match end {
            RecordOutcome::Unknown => RecordState::Unknown,
            RecordOutcome::AnswerNotStored => RecordState::AnswerNotStored,
            RecordOutcome::Answered(answer) => {
                let size = answer.size();
                let fits = size <= self.options.answer_limit;
                if fits && self.owned.has_room(&self.options, size) {
                    RecordState::Answered(Arc::new(answer))
                } else {
                    RecordState::AnswerNotStored
                }
            }
        }
    }
}

/// Whether `copy` replaces an owned record in a takeover: a known outcome replaces an unknown one.
/// A record that this host created itself is never replaced.
fn supersedes(record: &RecordEntry, copy: &RecordCopy, state: &RecordState) -> bool {
    let is_unknown = record.state == RecordState::Unknown;
    is_unknown && state.is_final() && copy.version >= record.version
}
