use std::time::Duration;

use http::HeaderValue;

/// What a caller says of its request beside method, host, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's id of this attempt.
    pub request_id: Option<HeaderValue>,
    /// The key, for services divided by key.
    pub key: Option<u16>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
}
