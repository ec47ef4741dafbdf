use std::time::Duration;

/// How a request to a target ended, as far as it tells something of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered in full.
    Answered {
        /// Time from sending to the end of the answer.
        elapsed: Duration,
        /// Whether the answer says that the target failed.
        is_failure: bool,
    },
    /// It refused without running the request.
    Refused,
    /// Another target has its address: it has ended.
    Replaced,
    /// No connection could be made.
    Unreachable,
    /// The connection broke during the run, or carried something that is no answer.
    Broken,
    /// It did not answer in time.
    Unanswered,
    /// The caller left; the run says nothing of the target.
    Cancelled,
}
