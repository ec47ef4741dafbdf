use std::time::Duration;

use http::HeaderValue;

/// Metadata of a caller's request beyond method, host, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id that the caller chose for this attempt; absent if the caller sent none.
    pub request_id: Option<HeaderValue>,
    /// Key of the request, for services that are partitioned by key; `None` if it is absent or out
    /// of range.
    pub key: Option<u16>,
    /// How long the caller waits for the response, counted from the arrival of the request.
    pub timeout: Option<Duration>,
}
