use std::collections::BTreeMap;

use gw_types::SlotIndex;
use gw_types::Timestamp;

use crate::CopyAck;
use crate::CopyCoverage;
use crate::RecordCopy;
use crate::RecordOptions;
use crate::record_map::RecordEntry;
use crate::record_map::RecordMap;

/// Copies of idempotency records that other hosts own.
///
/// Invariant: a slot is covered only while this store holds a copy of every record of the slot that
/// its owner may have started. The owner covers a slot on one host at a time, so the copies of a
/// covered slot are never out of date.
#[derive(Clone, Debug, Default)]
pub(crate) struct CopyStore {
    records: RecordMap,
    /// Covered slots, with the time until which their owner's own records may be incomplete.
    covered: BTreeMap<SlotIndex, Timestamp>,
}

impl CopyStore {
    pub(crate) fn store(
        &mut self,
        now: Timestamp,
        copy: &RecordCopy,
        options: &RecordOptions,
    ) -> Option<CopyAck> {
        let ack = CopyAck { key: copy.key, version: copy.version };
        if let Some(current) = self.records.get(copy.key)
            && current.version >= copy.version
        {
            // Acknowledges the version that is held, so that it never confirms an older one.
            return Some(CopyAck { key: copy.key, version: current.version });
        }
        let Some(state) = &copy.state else {
            self.records.remove(copy.key);
            return Some(ack);
        };
        self.expire(now, options);
        let replaced = self.records.remove(copy.key);
        if !self.records.has_room(options, state.size()) {
            // Keeps the older copy, since an out-of-date copy is better than none.
            replaced.into_iter().for_each(|record| self.records.insert(copy.key, record));
            self.covered.remove(&copy.slot);
            return None;
        }
        let record = RecordEntry::from_copy(copy, state.clone(), now - copy.age);
        self.records.insert(copy.key, record);
        Some(ack)
    }

    pub(crate) fn cover(&mut self, now: Timestamp, coverage: &CopyCoverage) {
        let until = now + coverage.incomplete_for;
        for slot in coverage.first.0..=coverage.last.0 {
            self.covered.insert(SlotIndex(slot), until);
        }
    }

    pub(crate) fn uncover(&mut self, first: SlotIndex, last: SlotIndex) {
        self.covered.retain(|slot, _| !(first..=last).contains(slot));
    }

    /// Returns the time until which the slot's records may be incomplete; `None` if the slot is not
    /// covered.
    pub(crate) fn coverage(&self, slot: SlotIndex) -> Option<Timestamp> {
        self.covered.get(&slot).copied()
    }

    pub(crate) fn copies(
        &self,
        now: Timestamp,
        first: SlotIndex,
        last: SlotIndex,
    ) -> Vec<RecordCopy> {
        self.records.copies(now, first, last)
    }

    /// Removes copies in a final state after the resend horizon, and all others after twice the
    /// horizon.
    ///
    /// A request may start up to one horizon after the copy was made and be resent for one more.
    /// After that the copy is removed even without a final state, since its owner may be gone.
    pub(crate) fn expire(&mut self, now: Timestamp, options: &RecordOptions) {
        let horizon = options.resend_horizon;
        self.records.expire(now, horizon, |state| !state.is_final());
        self.records.expire(now, horizon * 2, |_| false);
    }

    pub(crate) fn bytes(&self) -> usize {
        self.records.bytes()
    }
}
