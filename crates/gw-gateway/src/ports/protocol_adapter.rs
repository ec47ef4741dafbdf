use bytes::Bytes;
use gw_balance::WarmUpLimit;
use gw_ranges::OrderOutcome;
use gw_ranges::TargetOrder;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::request;
use http::response;

use crate::ports::AttemptMetadata;
use crate::ports::CallError;
use crate::ports::ControlCall;
use crate::ports::ControlReply;
use crate::ports::OrderRequest;
use crate::ports::RequestMetadata;
use crate::ports::ResponseMetadata;

/// Translates between a platform's HTTP conventions and this crate's types.
pub trait ProtocolAdapter {
    /// Path of the readiness check on an entry host.
    fn ready_path(&self) -> &str;

    /// Reads the metadata of a caller's request. Fields that are missing or invalid are `None`.
    fn read_request_metadata(&self, head: &request::Parts) -> RequestMetadata;

    /// Sets the headers that a target expects on a forwarded request; replaces headers of the same
    /// names that came from the caller.
    fn write_attempt_metadata(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata);

    /// Reads the metadata of a target's response.
    fn read_response_metadata(&self, head: &response::Parts) -> ResponseMetadata;

    /// Parses a call to a control host.
    fn read_call(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<ControlCall, CallError>;

    /// Reads from the document of a configuration what cold targets sustain, sorted by service. Empty
    /// if the document cannot be read.
    fn read_warm_up_limits(&self, document: &[u8]) -> Vec<WarmUpLimit>;

    /// Builds the response to a call.
    fn write_reply(&self, reply: &ControlReply) -> Response<Bytes>;

    /// Builds the error response to a call that cannot be parsed or is invalid.
    fn write_error(&self, error: &CallError) -> Response<Bytes>;

    /// Builds the HTTP request that delivers an order to a target.
    fn write_order(&self, order: &TargetOrder) -> OrderRequest;

    /// Interprets a target's response to an order.
    fn read_order_response(
        &self,
        order: &TargetOrder,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> OrderOutcome;
}
