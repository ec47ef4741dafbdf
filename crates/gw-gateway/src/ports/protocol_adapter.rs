use bytes::Bytes;
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

/// Translates between a platform's words and the product's.
pub trait ProtocolAdapter {
    /// Path of the readiness question.
    fn ready_path(&self) -> &str;

    /// Reads what a caller says of its request.
    fn read_request_metadata(&self, head: &request::Parts) -> RequestMetadata;

    /// Marks a request for a target.
    fn write_attempt_metadata(&self, headers: &mut HeaderMap, stamp: &AttemptMetadata);

    /// Reads what a target says with its answer.
    fn read_response_metadata(&self, head: &response::Parts) -> ResponseMetadata;

    /// Reads a call to a control host.
    fn read_call(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<ControlCall, CallError>;

    /// Writes the answer to a call.
    fn write_reply(&self, reply: &ControlReply) -> Response<Bytes>;

    /// Writes the refusal of a call that cannot be read or is invalid.
    fn write_error(&self, error: &CallError) -> Response<Bytes>;

    /// Writes an order to a target.
    fn write_order(&self, order: &TargetOrder) -> OrderRequest;

    /// Reads a target's answer to an order.
    fn read_order_response(
        &self,
        order: &TargetOrder,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> OrderOutcome;
}
