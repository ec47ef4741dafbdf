use std::time::Duration;

use crate::RequestTicket;

/// Why a queue refused a request. No byte of a refused request was sent to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue was full, and the request came first in the profile's shed order.
    Shed,
    /// The requests ahead would take too long for this one to meet its deadline.
    DeadlineUnreachable,
    /// The deadline passed before the request could start.
    DeadlinePassed,
    /// A [`DrainScope`](crate::DrainScope) in force covers the request.
    Draining,
}

/// A request that was refused before it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedTicket {
    /// The attempt that ends with the refusal.
    pub ticket: RequestTicket,
    /// Why the queue refused it.
    pub reason: RefusalReason,
}

/// Result of submitting a request to a [`TargetQueue`](crate::TargetQueue).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Admission {
    /// The request holds a work slot and must be sent to the target now.
    Start,
    /// The request waits for a work slot.
    Queued {
        /// A waiting request that was shed to keep the queue within its limit.
        evicted: Option<RefusedTicket>,
    },
    /// The request was not queued.
    Refused {
        /// Why the queue refused it.
        reason: RefusalReason,
        /// Time that the outstanding work is expected to take, for `Retry-After`.
        retry_after: Duration,
    },
}

/// Actions that the caller carries out after a queue has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct QueueActions {
    /// Requests to send to the target now, in this order.
    pub start: Vec<RequestTicket>,
    /// Requests to answer with a refusal; they were never started.
    pub refuse: Vec<RefusedTicket>,
}

impl QueueActions {
    pub(crate) fn refuse(&mut self, ticket: RequestTicket, reason: RefusalReason) {
        self.refuse.push(RefusedTicket { ticket, reason });
    }
}

/// How an attempt that was sent to the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered; the value is the service time.
    Answered(Duration),
    /// The target crashed, closed the connection or did not answer in time.
    Failed,
    /// The caller left, and the target confirmed the cancellation or its connection is closed.
    Cancelled,
}

/// Result of [`TargetQueue::drain`](crate::TargetQueue::drain).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct DrainActions {
    /// Requests refused by the drain, and others that start in their place.
    pub actions: QueueActions,
    /// Number of running requests that the drain covers and has to wait for.
    pub in_flight: usize,
}
