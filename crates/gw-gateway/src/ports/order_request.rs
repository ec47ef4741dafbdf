use bytes::Bytes;
use http::HeaderMap;
use http::Method;

/// An HTTP call that carries an order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: &'static str,
    /// Header fields beside those that every call with a JSON body has.
    pub headers: HeaderMap,
    /// The body, as JSON.
    pub body: Bytes,
}
