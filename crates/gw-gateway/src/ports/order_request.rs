use bytes::Bytes;
use http::HeaderMap;
use http::Method;

/// An HTTP request that delivers an order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRequest {
    /// Method of the request.
    pub method: Method,
    /// Path of the request.
    pub path: &'static str,
    /// Headers in addition to `Host` and `Content-Type`, which the sender sets.
    pub headers: HeaderMap,
    /// JSON body.
    pub body: Bytes,
}
