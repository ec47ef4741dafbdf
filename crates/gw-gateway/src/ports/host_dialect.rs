use bytes::Bytes;
use gw_ranges::OrderOutcome;
use gw_ranges::TargetOrder;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::request;
use http::response;

use crate::ports::CallError;
use crate::ports::CallerFacts;
use crate::ports::ControlCall;
use crate::ports::ControlReply;
use crate::ports::OrderCall;
use crate::ports::TargetAnswer;
use crate::ports::TargetStamp;

/// Translates between a platform's words and the product's.
pub trait HostDialect {
    /// Path of the readiness question.
    fn ready_path(&self) -> &str;

    /// Reads what a caller says of its request.
    fn read_caller(&self, head: &request::Parts) -> CallerFacts;

    /// Marks a request for a target.
    fn stamp_request(&self, headers: &mut HeaderMap, stamp: &TargetStamp);

    /// Reads what a target says with its answer.
    fn read_answer(&self, head: &response::Parts) -> TargetAnswer;

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
    fn write_order(&self, order: &TargetOrder) -> OrderCall;

    /// Reads a target's answer to an order.
    fn read_order_answer(
        &self,
        order: &TargetOrder,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> OrderOutcome;
}
