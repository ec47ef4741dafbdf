use std::time::Duration;

use bytes::Bytes;
use http::response;

/// A whole answer.
#[derive(Debug)]
pub(crate) struct TargetReply {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
    /// Time from sending to the end of the answer.
    pub(crate) elapsed: Duration,
}

/// How an exchange with a target ended. The variants say whether the target may have run the
/// request.
#[derive(Debug)]
pub(crate) enum ExchangeOutcome {
    /// A whole answer came.
    Replied(TargetReply),
    /// No byte of the request was handed to the connection: it has not run.
    NotSent(String),
    /// The connection broke, or carried something that is no answer: it may have run.
    Broken(String),
    /// No whole answer came in time: it may have run.
    TimedOut,
}
