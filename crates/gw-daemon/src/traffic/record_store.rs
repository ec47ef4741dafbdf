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

/// A non-idempotent request that carries an `Idempotency-Key`, about to be written to its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordClaim {
    /// The service.
    pub service: ServiceName,
    /// The slot and its token; absent for a service not divided by key.
    pub grant: Option<(SlotIndex, FencingToken)>,
    /// The value of `Idempotency-Key`.
    pub idempotency_key: Vec<u8>,
    /// What the key was used for.
    pub fingerprint: RequestFingerprint,
    /// Latest time for a decision.
    pub deadline: Instant,
    /// Set by the gate when the claim is won.
    pub id: Option<ClaimId>,
    /// Hosts that were asked for copies; set by the gate when the claim is won.
    pub holders: Vec<HostId>,
}

/// Whether the request may be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordDecision {
    /// The record "about to run" is held by the group: write the request, then report the end of
    /// this claim.
    Run(RecordClaim),
    /// The request was answered before.
    Answered(Arc<StoredAnswer>),
    /// The request ran or may have run.
    MayHaveRun,
    /// The key was used for a different request.
    Mismatch,
    /// There is no room for a further record.
    Full,
    /// The record cannot be consulted or copied.
    Unavailable,
}

/// How a claim that was won ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// No byte of the request reached the target.
    NotRun,
    /// A byte may have reached it.
    Ended(RecordOutcome),
}

/// The decision on a claim, in the future.
pub type RecordFuture = Pin<Box<dyn Future<Output = RecordDecision> + Send>>;

/// Border to the idempotency records.
pub trait RecordStore: Send + Sync {
    /// Asked on the dispatcher before the first byte is written. Decides by the claim's deadline; a
    /// dropped future gives the claim up.
    fn begin(&self, claim: RecordClaim) -> RecordFuture;

    /// The request of a claim that was won has ended.
    fn end(&self, claim: &RecordClaim, end: ClaimOutcome);
}

/// Stands in while no records are kept: every claim is refused, since a resend could run twice.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnavailableRecords;

impl RecordStore for UnavailableRecords {
    fn begin(&self, _claim: RecordClaim) -> RecordFuture {
        Box::pin(std::future::ready(RecordDecision::Unavailable))
    }

    fn end(&self, _claim: &RecordClaim, _end: ClaimOutcome) {}
}
