//! HTTP requests and responses between callers, hosts and targets.

mod caller_body;
mod caller_stream;
mod failure;
mod final_status;
mod head_scanner;
mod header_names;
mod hop_fields;
mod request_body;
mod response_body;
mod streamed_response;

pub(crate) use caller_body::BodyFailure;
pub(crate) use caller_body::CallerBody;
pub(crate) use caller_stream::CallerStream;
pub(crate) use failure::Failure;
pub(crate) use failure::FailureCause;
pub use final_status::is_final_status;
pub(crate) use head_scanner::HeadScanner;
pub(crate) use head_scanner::HeadVerdict;
pub(crate) use head_scanner::VerdictQueue;
pub(crate) use header_names::*;
pub use hop_fields::remove_hop_fields;
pub(crate) use hop_fields::remove_internal_fields;
pub(crate) use request_body::BodyProgress;
pub(crate) use request_body::RequestBody;
pub(crate) use response_body::ResponseBody;
pub(crate) use streamed_response::ResponseGuard;
pub(crate) use streamed_response::StreamedResponse;
