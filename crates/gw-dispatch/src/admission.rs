use std::time::Duration;

use crate::RequestTicket;

/// Why a queue refuses a request. Nothing of it was sent to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is full and the request is the first to shed by the profile's order.
    Shed,
    /// The deadline cannot be met with the work that goes first.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The request's slot, its key or the whole target is being drained.
    Draining,
}

/// A request that ended without being started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedTicket {
    /// The request.
    pub ticket: RequestTicket,
    /// Why it was refused.
    pub reason: RefusalReason,
}

/// What becomes of a submitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Admission {
    /// Send it to the target now.
    Start,
    /// It waits. A waiting request may have been refused to make room.
    Queued {
        /// The request that made room.
        evicted: Option<RefusedTicket>,
    },
    /// It ends here.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Estimated time until the queue has room again, for `Retry-After`.
        retry_after: Duration,
    },
}

/// What to do after a change of a queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct QueueActions {
    /// Requests to send to the target now, in this order.
    pub start: Vec<RequestTicket>,
    /// Requests that ended without being started.
    pub refuse: Vec<RefusedTicket>,
}

impl QueueActions {
    pub(crate) fn refuse(&mut self, ticket: RequestTicket, reason: RefusalReason) {
        self.refuse.push(RefusedTicket { ticket, reason });
    }
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered after this service time.
    Answered(Duration),
    /// The target failed, closed the connection or did not answer in time.
    Failed,
    /// The caller left and the target confirmed, or its connection is closed.
    Cancelled,
}

/// What a drain leaves to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct DrainActions {
    /// Requests refused because of the drain, and others that may start in their place.
    pub actions: QueueActions,
    /// Outstanding requests that the drain covers.
    pub in_flight: usize,
}
