use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// A target's answer, stored to be sent again when the caller resends the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields in their order, without hop-by-hop fields.
    pub headers: Vec<(Arc<str>, Arc<[u8]>)>,
    /// The complete body.
    pub body: Arc<[u8]>,
}

impl StoredAnswer {
    /// Returns the number of bytes that count against the limit of the table.
    pub fn size(&self) -> usize {
        let fields = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() + fields.sum::<usize>()
    }
}

/// State of an idempotency record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// Not sent to the target yet: waits for the acknowledgement of a copy or for a work slot.
    AboutToRun,
    /// Being sent or run: a byte of the request may have reached the target.
    Running,
    /// Answered by the target; a resend gets the stored answer.
    Answered(Arc<StoredAnswer>),
    /// Answered by the target, but the answer was too large to be stored.
    AnswerNotStored,
    /// The request may have been run; how it ended is not known.
    Unknown,
}

impl RecordState {
    /// Whether the state no longer changes, so that the record may be removed after the resend
    /// horizon.
    pub fn is_final(&self) -> bool {
        !matches!(self, RecordState::AboutToRun | RecordState::Running)
    }

    pub(crate) fn size(&self) -> usize {
        match self {
            RecordState::Answered(answer) => answer.size(),
            _ => 0,
        }
    }

    /// Returns the state that a record has at a new owner. A request that had not ended at the
    /// previous owner may have been run, and is never run again.
    pub(crate) fn after_takeover(&self) -> RecordState {
        if self.is_final() { self.clone() } else { RecordState::Unknown }
    }
}

/// How a started request with an idempotency key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The target sent this complete answer.
    Answered(StoredAnswer),
    /// The target sent an answer that is too large to be stored.
    AnswerNotStored,
    /// No complete answer arrived.
    Unknown,
}
