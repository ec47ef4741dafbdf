use std::sync::Arc;

use gw_dispatch::RecordOutcome;
use gw_dispatch::StoredAnswer;
use http::HeaderMap;
use http::StatusCode;

use crate::ClaimOutcome;
use crate::RecordClaim;
use crate::RecordStore;

/// Longest answer body that is stored. A longer one is recorded as answered but not stored.
const MAX_STORED_BODY_BYTES: usize = 64 * 1_024;

/// Ends a granted claim when dropped.
///
/// Without a reported outcome, the claim ends as not run before
/// [`set_written`](Self::set_written) and as unknown after it.
pub(crate) struct RecordGuard {
    pub(crate) store: Arc<dyn RecordStore>,
    pub(crate) claim: Option<RecordClaim>,
    is_written: bool,
}

impl RecordGuard {
    pub(crate) fn new(store: Arc<dyn RecordStore>, claim: RecordClaim) -> Self {
        Self { store, claim: Some(claim), is_written: false }
    }

    /// Marks that a byte of the request may have reached the target.
    pub(crate) fn set_written(&mut self) {
        self.is_written = true;
    }

    /// Marks that no byte of the request has reached the target.
    pub(crate) fn set_not_run(&mut self) {
        self.is_written = false;
    }

    fn finish(&mut self, outcome: ClaimOutcome) {
        if let Some(claim) = self.claim.take() {
            self.store.end(&claim, outcome);
        }
    }
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        let outcome = if self.is_written {
            ClaimOutcome::Ended(RecordOutcome::Unknown)
        } else {
            ClaimOutcome::NotRun
        };
        self.finish(outcome);
    }
}

/// Copies an answer while it is streamed to the caller, so that resends get the same answer.
pub(crate) struct AnswerCapture {
    guard: RecordGuard,
    status: StatusCode,
    headers: Vec<(Arc<str>, Arc<[u8]>)>,
    body: Vec<u8>,
    is_too_large: bool,
}

impl AnswerCapture {
    pub(crate) fn new(guard: RecordGuard, status: StatusCode, headers: &HeaderMap) -> Self {
        let field = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
            (Arc::from(name.as_str()), Arc::from(value.as_bytes()))
        };
        let headers = headers.iter().map(field).collect();
        Self { guard, status, headers, body: Vec::new(), is_too_large: false }
    }

    pub(crate) fn add(&mut self, bytes: &[u8]) {
        if self.body.len() + bytes.len() > MAX_STORED_BODY_BYTES {
            self.is_too_large = true;
            self.body = Vec::new();
        }
        if !self.is_too_large {
            self.body.extend_from_slice(bytes);
        }
    }

    /// Ends the claim with the complete answer, or as not stored if the body was too long.
    pub(crate) fn complete(mut self) {
        let outcome = if self.is_too_large {
            RecordOutcome::AnswerNotStored
        } else {
            RecordOutcome::Answered(StoredAnswer {
                status: self.status.as_u16(),
                headers: std::mem::take(&mut self.headers),
                body: std::mem::take(&mut self.body).into(),
            })
        };
        self.guard.finish(ClaimOutcome::Ended(outcome));
    }
}
