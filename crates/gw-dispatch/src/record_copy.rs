use std::time::Duration;

use gw_types::SlotIndex;
use serde::Deserialize;
use serde::Serialize;

use crate::RecordKey;
use crate::RecordState;
use crate::RequestFingerprint;

/// A record as the owner sends it to the hosts that keep copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordCopy {
    /// Identifies the record.
    pub key: RecordKey,
    /// The slot that the record belongs to.
    pub slot: SlotIndex,
    /// The request that the key was used for.
    pub fingerprint: RequestFingerprint,
    /// The state; absent when the owner dropped a request that was never started.
    pub state: Option<RecordState>,
    /// Grows with each change at the owner. A holder ignores a copy older than its own.
    pub version: u64,
    /// Time since the last change. A duration, since hosts' clocks are not compared.
    pub age: Duration,
}

/// Confirms that a host keeps a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyAck {
    /// Identifies the record.
    pub key: RecordKey,
    /// The version that is held.
    pub version: u64,
}

/// States that a host holds copies of all records of `first..=last`.
///
/// The owner sends it after the host confirmed all of [`RecordTable::records_of`], and covers a
/// slot on one host at a time: before it turns to another host, the former one must have confirmed
/// [`RecordTable::drop_coverage`] or have restarted, which loses the coverage too. Otherwise a
/// former holder could take the slot over with copies that are out of date.
///
/// [`RecordTable::records_of`]: crate::RecordTable::records_of
/// [`RecordTable::drop_coverage`]: crate::RecordTable::drop_coverage
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyCoverage {
    /// First slot.
    pub first: SlotIndex,
    /// Last slot, inclusive.
    pub last: SlotIndex,
    /// How much longer the sender itself may miss records; the longest of the slots.
    pub incomplete_for: Duration,
}
