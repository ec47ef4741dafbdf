use http::Request;

use crate::RequestBody;

/// A complete request and what its connection needs to know.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request with its decoded body.
    pub request: Request<RequestBody>,
    /// Whether the caller uses the connection for further requests.
    pub keeps_alive: bool,
}
