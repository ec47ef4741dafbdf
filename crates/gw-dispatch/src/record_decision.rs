use std::sync::Arc;

use gw_types::Timestamp;

use crate::NotRunReason;
use crate::RecordCopy;
use crate::StoredAnswer;

/// Decision on a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum RecordDecision {
    /// The key is new: send the copy, and start the request once another host has acknowledged it.
    Run(RecordCopy),
    /// The same request waits or runs: wait until it ends, or answer `unknown`.
    InProgress,
    /// The same request was answered before: send the stored answer.
    Answered(Arc<StoredAnswer>),
    /// The same request was answered before, but the answer was not stored: answer `unknown`.
    AnswerNotStored,
    /// The same request may have been run before: answer `unknown`.
    Unknown,
    /// The request is refused: answer `not-run`.
    Refused(RecordRefusal),
}

/// Why a request with an idempotency key is refused. A refused request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordRefusal {
    /// The table is at its limit of records or bytes.
    #[error("the table of idempotency records is full")]
    Full,
    /// The key was used before for a request with another fingerprint.
    #[error("the idempotency key was used for a different request")]
    Mismatch,
    /// The slot was taken over and records of its previous owner may be missing.
    #[error("records of the slot may be missing until {until}")]
    Incomplete {
        /// Time from which new requests of the slot are accepted.
        until: Timestamp,
    },
}

impl From<RecordRefusal> for NotRunReason {
    fn from(refusal: RecordRefusal) -> Self {
        match refusal {
            RecordRefusal::Full => NotRunReason::RecordsFull,
            RecordRefusal::Mismatch => NotRunReason::RecordMismatch,
            RecordRefusal::Incomplete { .. } => NotRunReason::RecordUnavailable,
        }
    }
}

/// Why a recorded request may not be sent to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartRefusal {
    /// The host does not own a record of the request, or no longer does.
    #[error("no record is held for the request")]
    NoRecord,
    /// No other host has acknowledged a copy.
    #[error("no other host holds a copy of the record")]
    NoCopy,
    /// The request was started before, and has perhaps ended.
    #[error("the request was started before")]
    Started,
    /// The record has waited for the resend horizon or longer.
    #[error("the record is older than the resend horizon")]
    TooOld,
}
