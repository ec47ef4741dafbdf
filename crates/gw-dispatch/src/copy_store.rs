use std::collections::BTreeMap;

use gw_types::SlotIndex;
use gw_types::Timestamp;

use crate::CopyAck;
use crate::CopyCoverage;
use crate::RecordCopy;
use crate::RecordOptions;
use crate::record_map::HeldRecord;
use crate::record_map::RecordMap;

/// Copies of other hosts' records.
///
/// Invariant: a slot is covered only while every record of its owner that may have been started is
/// held here. The owner covers a slot on one host at a time, so a covered slot is never out of date.
#[derive(Clone, Debug, Default)]
pub(crate) struct CopyStore {
    records: RecordMap,
    /// Covered slots, with the time until which their owner itself may miss records.
    covered: BTreeMap<SlotIndex, Timestamp>,
}

impl CopyStore {
    pub(crate) fn hold(
        &mut self,
        now: Timestamp,
        copy: &RecordCopy,
        options: &RecordOptions,
    ) -> Option<CopyAck> {
        let held = CopyAck { key: copy.key, version: copy.version };
        if let Some(known) = self.records.get(copy.key)
            && known.version >= copy.version
        {
            // The answer names the version that is held, so it never confirms an older one.
            return Some(CopyAck { key: copy.key, version: known.version });
        }
        let Some(state) = &copy.state else {
            self.records.remove(copy.key);
            return Some(held);
        };
        self.expire(now, options);
        let replaced = self.records.remove(copy.key);
        if !self.records.has_room(options, state.size()) {
            // The older copy is worth more than none.
            replaced.into_iter().for_each(|record| self.records.insert(copy.key, record));
            self.covered.remove(&copy.slot);
            return None;
        }
        let record = HeldRecord::from_copy(copy, state.clone(), now - copy.age);
        self.records.insert(copy.key, record);
        Some(held)
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

    /// Until when the slot's records may be incomplete; `None` if the slot is not covered.
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

    /// Removes copies that ended longer ago than the resend horizon. A run that has not ended may
    /// have started up to one horizon after the copy was made, and is resent for a further one;
    /// then its copy goes too, since its owner may be gone.
    pub(crate) fn expire(&mut self, now: Timestamp, options: &RecordOptions) {
        let horizon = options.resend_horizon;
        self.records.expire(now, horizon, |state| !state.is_final());
        self.records.expire(now, horizon * 2, |_| false);
    }

    pub(crate) fn bytes(&self) -> usize {
        self.records.bytes()
    }
}
