use std::time::Duration;

/// Outcome of sending a request to a target, as far as it says something about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target returned a complete response.
    Answered {
        /// Time from sending the request to the end of the response.
        elapsed: Duration,
        /// Whether the response reports a failure of the target.
        is_failure: bool,
    },
    /// The target refused the request without executing it.
    Refused,
    /// Another target responded at the address, so this target has ended.
    Replaced,
    /// No connection could be established.
    Unreachable,
    /// The connection broke before the response was complete, or the response was malformed or
    /// belonged to another request.
    Broken,
    /// The target did not respond in time.
    Unanswered,
    /// The caller disconnected; this says nothing about the target.
    Cancelled,
}
