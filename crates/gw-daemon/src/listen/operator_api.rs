use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;

/// Request of an operator, with its token already verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiRequest {
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Path of the URI, such as `/v1/profiles/default`.
    pub path: String,
    /// Query of the URI without `?`; empty if there is none.
    pub query: String,
    /// Whole request body, of at most 256 KiB.
    pub body: Bytes,
}

/// Response to an [`ApiRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiReply {
    /// HTTP status code.
    pub status: u16,
    /// JSON document.
    pub body: Bytes,
}

/// Future of the response to an [`ApiRequest`].
pub type ApiFuture = Pin<Box<dyn Future<Output = ApiReply> + Send>>;

/// Handles the requests of operators, except metrics and health checks.
pub trait OperatorApi: Send + Sync {
    /// Handles a request.
    fn handle(&self, request: ApiRequest) -> ApiFuture;
}
