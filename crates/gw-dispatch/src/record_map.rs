use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use gw_types::SlotIndex;
use gw_types::Timestamp;

use crate::RecordCopy;
use crate::RecordDecision;
use crate::RecordKey;
use crate::RecordOptions;
use crate::RecordRefusal;
use crate::RecordState;
use crate::RequestFingerprint;

/// Bytes counted for a record in addition to its stored answer.
const RECORD_OVERHEAD: usize = 256;

/// An idempotency record, either owned or held as a copy.
#[derive(Clone, Debug)]
pub(crate) struct RecordEntry {
    pub(crate) slot: SlotIndex,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) state: RecordState,
    pub(crate) version: u64,
    /// Whether another host has acknowledged a copy.
    pub(crate) is_copied: bool,
    pub(crate) changed_at: Timestamp,
}

impl RecordEntry {
    /// Returns the copy that is sent to other hosts.
    pub(crate) fn copy(&self, now: Timestamp, key: RecordKey) -> RecordCopy {
        RecordCopy {
            key,
            slot: self.slot,
            fingerprint: self.fingerprint,
            state: Some(self.state.clone()),
            version: self.version,
            age: now.since(self.changed_at),
        }
    }

    /// Creates the record that `copy` describes, but in `state`.
    pub(crate) fn from_copy(copy: &RecordCopy, state: RecordState, changed_at: Timestamp) -> Self {
        Self {
            slot: copy.slot,
            fingerprint: copy.fingerprint,
            state,
            version: copy.version,
            is_copied: true,
            changed_at,
        }
    }

    /// Decides on a further request with the record's key.
    pub(crate) fn decide_resend(&self, fingerprint: RequestFingerprint) -> RecordDecision {
        if self.fingerprint != fingerprint {
            return RecordDecision::Refused(RecordRefusal::Mismatch);
        }
        match &self.state {
            RecordState::AboutToRun | RecordState::Running => RecordDecision::InProgress,
            RecordState::Answered(answer) => RecordDecision::Answered(answer.clone()),
            RecordState::AnswerNotStored => RecordDecision::AnswerNotStored,
            RecordState::Unknown => RecordDecision::Unknown,
        }
    }
}

/// Records by key, with an index by age and their total size.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordMap {
    records: HashMap<RecordKey, RecordEntry>,
    /// All records, ordered by their last change.
    expiry: BTreeSet<(Timestamp, RecordKey)>,
    bytes: usize,
}

impl RecordMap {
    pub(crate) fn get(&self, key: RecordKey) -> Option<&RecordEntry> {
        self.records.get(&key)
    }

    /// Returns a record for changes in place.
    ///
    /// The size of the state and `changed_at` must stay the same: the map indexes them.
    pub(crate) fn get_mut(&mut self, key: RecordKey) -> Option<&mut RecordEntry> {
        self.records.get_mut(&key)
    }

    pub(crate) fn insert(&mut self, key: RecordKey, record: RecordEntry) {
        self.remove(key);
        self.bytes += RECORD_OVERHEAD + record.state.size();
        self.expiry.insert((record.changed_at, key));
        self.records.insert(key, record);
    }

    pub(crate) fn remove(&mut self, key: RecordKey) -> Option<RecordEntry> {
        let record = self.records.remove(&key)?;
        self.bytes -= RECORD_OVERHEAD + record.state.size();
        self.expiry.remove(&(record.changed_at, key));
        Some(record)
    }

    pub(crate) fn has_room(&self, options: &RecordOptions, extra: usize) -> bool {
        let is_below_count = self.records.len() < options.record_limit;
        is_below_count && self.bytes + RECORD_OVERHEAD + extra <= options.byte_limit
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns copies of the records of the slots `first..=last`, sorted by key.
    pub(crate) fn copies(
        &self,
        now: Timestamp,
        first: SlotIndex,
        last: SlotIndex,
    ) -> Vec<RecordCopy> {
        let slots = first..=last;
        let records = self.records.iter().filter(|(_, record)| slots.contains(&record.slot));
        let mut copies: Vec<_> = records.map(|(&key, record)| record.copy(now, key)).collect();
        copies.sort_by_key(|copy| copy.key);
        copies
    }

    /// Removes records that have not changed for `horizon`, except those for which `is_retained`
    /// holds.
    pub(crate) fn expire(
        &mut self,
        now: Timestamp,
        horizon: Duration,
        is_retained: impl Fn(&RecordState) -> bool,
    ) {
        let unchanged =
            self.expiry.iter().take_while(|(changed_at, _)| now.since(*changed_at) >= horizon);
        let keys: Vec<_> = unchanged.map(|&(_, key)| key).collect();
        for key in keys {
            if self.get(key).is_some_and(|record| !is_retained(&record.state)) {
                self.remove(key);
            }
        }
    }
}
