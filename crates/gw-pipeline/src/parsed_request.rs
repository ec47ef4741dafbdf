use bytes::Bytes;
use http::Request;

/// A complete request and what its connection needs to know.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request with its decoded body.
    pub request: Request<Bytes>,
    /// Whether the caller uses the connection for further requests.
    pub keeps_alive: bool,
}
