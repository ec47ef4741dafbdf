use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use gw_dispatch::ClaimId;
use gw_dispatch::RecordOutcome;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::StoredAnswer;
use gw_types::FencingToken;
use gw_types::HostId;
use gw_types::ServiceName;
use gw_types::SlotIndex;
use tokio::time::Instant;

/// Claim on the idempotency record of a request, made before the request is written to its target.
/// Only non-idempotent requests with an `Idempotency-Key` need one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordClaim {
    /// Service of the request.
    pub service: ServiceName,
    /// Slot and fencing token of the key; `None` for an unkeyed service.
    pub grant: Option<(SlotIndex, FencingToken)>,
    /// Value of `Idempotency-Key`.
    pub idempotency_key: Vec<u8>,
    /// Fingerprint of the request. A record with another one belongs to a different request.
    pub fingerprint: RequestFingerprint,
    /// Latest time of the decision.
    pub deadline: Instant,
    /// Set by the store when the claim is won.
    pub id: Option<ClaimId>,
    /// Hosts that were asked to store copies; set by the store when the claim is won.
    pub holders: Vec<HostId>,
}

/// Decision on a claim: whether the request may be written to its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordDecision {
    /// The claim is won and stored by its record group. The request is to be written, and the
    /// outcome of the claim reported with [`RecordStore::end`].
    Run(RecordClaim),
    /// The request was answered before. Contains the stored response.
    Answered(Arc<StoredAnswer>),
    /// The request ran or may have run, and there is no stored response.
    MayHaveRun,
    /// The idempotency key was used for a different request.
    Mismatch,
    /// No further record fits into the limits.
    Full,
    /// The record cannot be read or replicated.
    Unavailable,
}

/// Outcome of a claim that was won.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// No byte of the request reached the target.
    NotRun,
    /// A byte of the request may have reached the target.
    Ended(RecordOutcome),
}

/// Future of the decision on a claim.
pub type RecordFuture = Pin<Box<dyn Future<Output = RecordDecision> + Send>>;

/// Store of idempotency records.
pub trait RecordStore: Send + Sync {
    /// Claims the record of a request. Called by the dispatcher before the first byte is written.
    /// Resolves before the claim's deadline; dropping the future releases the claim.
    fn begin(&self, claim: RecordClaim) -> RecordFuture;

    /// Stores the outcome of a claim that was won.
    fn end(&self, claim: &RecordClaim, outcome: ClaimOutcome);
}

/// Store for hosts that keep no records. Refuses every claim, since a repeated request could run
/// twice.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnavailableRecords;

impl RecordStore for UnavailableRecords {
    fn begin(&self, _claim: RecordClaim) -> RecordFuture {
        Box::pin(std::future::ready(RecordDecision::Unavailable))
    }

    fn end(&self, _claim: &RecordClaim, _outcome: ClaimOutcome) {}
}
