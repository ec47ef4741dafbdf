use std::time::Duration;

use bytes::Bytes;
use http::response;

/// A complete response of a target.
#[derive(Debug)]
pub(crate) struct TargetReply {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
    /// Time from sending the request to the end of the response.
    pub(crate) elapsed: Duration,
}

/// Outcome of an exchange with a target. The variants state whether the target may have executed
/// the request.
#[derive(Debug)]
pub(crate) enum ExchangeOutcome {
    /// A complete response arrived.
    Replied(TargetReply),
    /// No byte of the request was handed to the connection, so it was not executed.
    NotSent(String),
    /// The connection broke or carried something that is not a response. The request may have been
    /// executed.
    Broken(String),
    /// No complete response arrived in time. The request may have been executed.
    TimedOut,
}
