use gw_dispatch::RequestOutcome;
use gw_dispatch::RouteShape;
use gw_types::KeyHash;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::RequestKind;

/// State of one request of the trace.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub(crate) service: usize,
    pub(crate) zone: usize,
    pub(crate) host: usize,
    pub(crate) key: KeyHash,
    pub(crate) kind: RequestKind,
    pub(crate) cost_us: u64,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) attempts: u8,
    /// Targets that an earlier attempt failed on or that refused it; the next attempt uses another.
    pub(crate) excluded: Vec<TargetName>,
    /// Number of times that a target began to run the request.
    pub(crate) runs: u32,
    /// First outcome reported to the caller; later ones are not counted.
    pub(crate) outcome: Option<RequestOutcome>,
    /// Whether the caller has resent the request, which it does once.
    pub(crate) is_resent: bool,
}

impl RequestState {
    pub(crate) fn is_idempotent(&self) -> bool {
        self.kind != RequestKind::Write
    }

    pub(crate) fn shape(&self) -> RouteShape {
        RouteShape(self.kind as u64)
    }
}

/// Phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptPhase {
    /// On its way to the queue or waiting in it.
    Waiting,
    /// Sent to the target and not yet answered.
    Sent,
    /// Answered, failed or refused: the queue no longer counts it.
    Ended,
}

/// State of one attempt to run a request on a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptState {
    pub(crate) request: usize,
    pub(crate) target: usize,
    pub(crate) queue: usize,
    pub(crate) phase: AttemptPhase,
    /// Time at which the attempt was created, and then the time at which it left the queue.
    pub(crate) started: Timestamp,
    /// Whether the target has begun to run the request.
    pub(crate) has_run: bool,
    /// Network delay from the entry host to the target and back, in nanoseconds.
    pub(crate) network_ns: u64,
}
