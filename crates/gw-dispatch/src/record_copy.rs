use std::time::Duration;

use gw_types::SlotIndex;
use serde::Deserialize;
use serde::Serialize;

use crate::RecordKey;
use crate::RecordState;
use crate::RequestFingerprint;

/// A copy of an idempotency record, as its owner sends it to the hosts that hold copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordCopy {
    /// Identifies the record.
    pub key: RecordKey,
    /// Slot of the request's key.
    pub slot: SlotIndex,
    /// Identifies the request that the idempotency key was used for.
    pub fingerprint: RequestFingerprint,
    /// State of the record; absent when the owner dropped it because the request never started.
    pub state: Option<RecordState>,
    /// Increases with each change at the owner. A holder ignores a copy older than its own.
    pub version: u64,
    /// Time since the last change. Sent as a duration because hosts' clocks are not synchronized.
    pub age: Duration,
}

/// Acknowledges a [`RecordCopy`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyAck {
    /// Identifies the record.
    pub key: RecordKey,
    /// Version that the holder has, which may be newer than the one that was sent.
    pub version: u64,
}

/// States that the receiver holds copies of all records of the slots `first..=last`.
///
/// The owner sends it after the receiver has acknowledged all of [`RecordTable::records_of`].
///
/// A slot is covered on one host at a time. Before the owner covers it on another host, the
/// previous one must have confirmed [`RecordTable::drop_coverage`] or have restarted, which drops
/// its coverage too. Otherwise the previous host could take over the slot with copies that are out
/// of date.
///
/// [`RecordTable::records_of`]: crate::RecordTable::records_of
/// [`RecordTable::drop_coverage`]: crate::RecordTable::drop_coverage
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyCoverage {
    /// First slot of the range.
    pub first: SlotIndex,
    /// Last slot of the range, inclusive.
    pub last: SlotIndex,
    /// How much longer the owner's own records may be incomplete; the maximum over the slots.
    pub incomplete_for: Duration,
}
