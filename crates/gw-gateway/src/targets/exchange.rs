use std::time::Duration;

use bytes::Bytes;
use http::response;
use tokio::time::Instant;

use crate::targets::TargetStream;

/// Which connection an exchange uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    /// A pooled connection that was idle for less than this, or a new one, which is pooled
    /// afterwards.
    Shared {
        /// Longest idle time of a pooled connection.
        max_idle: Duration,
    },
    /// A new connection that carries nothing else and is closed afterwards. Whatever arrives on it
    /// answers this exchange.
    Exclusive,
}

/// Limits of an exchange with a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeOptions {
    /// Until when a response is waited for.
    pub(crate) deadline: Instant,
    pub(crate) connection: ConnectionUse,
    /// Largest body, in bytes, that is read completely before the response is returned.
    pub(crate) max_whole_bytes: usize,
}

/// A complete response of a target.
#[derive(Debug)]
pub(crate) struct TargetReply {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
    /// Time from sending the request to the end of the response.
    pub(crate) elapsed: Duration,
    /// Whether the connection had carried earlier requests.
    pub(crate) was_pooled: bool,
}

/// The beginning of a response of a target that is forwarded as it arrives.
#[derive(Debug)]
pub(crate) struct StreamedReply {
    pub(crate) head: response::Parts,
    /// Length of the body, if the target states it.
    pub(crate) len: Option<u64>,
    pub(crate) stream: TargetStream,
    /// Time from sending the request to the decision to stream.
    pub(crate) elapsed: Duration,
    /// Whether the connection had carried earlier requests.
    pub(crate) was_pooled: bool,
}

/// Outcome of an exchange with a target. The variants state whether the target may have executed
/// the request.
#[derive(Debug)]
pub(crate) enum ExchangeOutcome {
    /// A complete response arrived.
    Replied(TargetReply),
    /// A large response has begun to arrive.
    Streaming(Box<StreamedReply>),
    /// No byte of the request was handed to the connection, so it was not executed.
    NotSent(String),
    /// Something that is not a valid response arrived, as is one with a status that is not final or that
    /// HTTP does not define (RFC 9110, section 15). The target runs, and may have executed the request.
    Malformed {
        cause: String,
        /// Whether the connection had carried earlier requests, to one of which the bytes may belong.
        was_pooled: bool,
    },
    /// The connection broke. The request may have been executed.
    Broken {
        cause: String,
        /// Whether the connection had carried earlier requests. The target may have closed it while it
        /// was idle.
        was_pooled: bool,
    },
    /// No complete response arrived in time. The request may have been executed.
    TimedOut,
}
