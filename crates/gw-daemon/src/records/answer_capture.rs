use std::sync::Arc;

use gw_dispatch::RecordOutcome;
use gw_dispatch::StoredAnswer;
use http::HeaderMap;
use http::StatusCode;

use crate::ClaimOutcome;
use crate::RecordClaim;
use crate::RecordStore;

/// Longest body of an answer that is stored.
const MAX_STORED_BODY: usize = 64 * 1_024;

/// A claim that was won. Dropped without an end, it ends by what may have happened: not run before
/// [`set_written`](Self::set_written), unknown after it.
pub(crate) struct RecordGuard {
    pub(crate) store: Arc<dyn RecordStore>,
    pub(crate) claim: Option<RecordClaim>,
    is_written: bool,
}

impl RecordGuard {
    pub(crate) fn new(store: Arc<dyn RecordStore>, claim: RecordClaim) -> Self {
        Self { store, claim: Some(claim), is_written: false }
    }

    /// From now on a byte of the request may have reached the target.
    pub(crate) fn set_written(&mut self) {
        self.is_written = true;
    }

    /// No byte of the request has reached the target.
    pub(crate) fn set_not_run(&mut self) {
        self.is_written = false;
    }

    fn end(&mut self, end: ClaimOutcome) {
        if let Some(claim) = self.claim.take() {
            self.store.end(&claim, end);
        }
    }
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        let end = if self.is_written {
            ClaimOutcome::Ended(RecordOutcome::Unknown)
        } else {
            ClaimOutcome::NotRun
        };
        self.end(end);
    }
}

/// Keeps a copy of an answer while it is passed on, for resends.
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
        if self.body.len() + bytes.len() > MAX_STORED_BODY {
            self.is_too_large = true;
            self.body = Vec::new();
        }
        if !self.is_too_large {
            self.body.extend_from_slice(bytes);
        }
    }

    /// The answer is complete.
    pub(crate) fn complete(mut self) {
        let end = if self.is_too_large {
            RecordOutcome::AnswerNotStored
        } else {
            RecordOutcome::Answered(StoredAnswer {
                status: self.status.as_u16(),
                headers: std::mem::take(&mut self.headers),
                body: std::mem::take(&mut self.body).into(),
            })
        };
        self.guard.end(ClaimOutcome::Ended(end));
    }
}
