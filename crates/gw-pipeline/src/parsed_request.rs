use http::Request;

use crate::RequestBody;

/// A complete request and what its connection needs to know.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request with its decoded body.
    pub request: Request<RequestBody>,
    /// Length of the head in bytes.
    pub head_bytes: usize,
    /// Whether the caller uses the connection for further requests.
    pub keeps_alive: bool,
}
