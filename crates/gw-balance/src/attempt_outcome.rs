use std::time::Duration;

/// Outcome of sending a request to a target, as far as it says something about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target returned a complete answer.
    Answered {
        /// Time from sending the request to the end of the answer.
        elapsed: Duration,
        /// Whether the answer reports a failure of the target.
        is_failure: bool,
    },
    /// The target refused the request without processing it.
    Refused,
    /// Another target answered at the address, so this target has ended.
    Replaced,
    /// No connection could be established.
    Unreachable,
    /// The connection broke while the request was processed, or the answer was malformed.
    Broken,
    /// The target did not answer in time.
    Unanswered,
    /// The caller disconnected; this says nothing about the target.
    Cancelled,
}
