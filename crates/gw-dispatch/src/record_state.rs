use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// An answer kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields in their order, hop-by-hop fields left out.
    pub headers: Vec<(Arc<str>, Arc<[u8]>)>,
    /// The whole body.
    pub body: Arc<[u8]>,
}

impl StoredAnswer {
    /// Bytes of memory counted against the table's limit.
    pub fn size(&self) -> usize {
        let fields = self.headers.iter().map(|(name, value)| name.len() + value.len());
        self.body.len() + fields.sum::<usize>()
    }
}

/// State of one idempotency record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// Not sent to the target yet; waits for a copy or for a work slot.
    AboutToRun,
    /// A byte of it may have reached the target.
    Running,
    /// Answered; resends get the stored answer.
    Answered(Arc<StoredAnswer>),
    /// Answered, but the answer was too large to be stored.
    AnswerNotStored,
    /// Whether it was run is not known.
    Unknown,
}

impl RecordState {
    /// Whether the record changes no more and may be forgotten after the resend horizon.
    pub fn is_final(&self) -> bool {
        !matches!(self, RecordState::AboutToRun | RecordState::Running)
    }

    pub(crate) fn size(&self) -> usize {
        match self {
            RecordState::Answered(answer) => answer.size(),
            _ => 0,
        }
    }

    /// What a new owner makes of a record: one that its former owner had not ended may have been
    /// run, and is never run again.
    pub(crate) fn after_takeover(&self) -> RecordState {
        if self.is_final() { self.clone() } else { RecordState::Unknown }
    }
}

/// How a running request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The target's complete answer.
    Answered(StoredAnswer),
    /// The target answered with a body that is larger than what is kept.
    AnswerNotStored,
    /// The answer was lost or never came.
    Unknown,
}
