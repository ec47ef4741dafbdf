use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde::Serialize;

use crate::http::ResponseBody;

/// Longest body of a call to the targets or operators listener.
const MAX_BODY_BYTES: usize = 256 * 1_024;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Why a call is refused, with the status and text of the answer.
pub(super) type ApiError = (StatusCode, String);

pub(super) fn json_reply(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::text(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

pub(super) fn json_error((status, error): ApiError) -> Response<ResponseBody> {
    // A string always has a JSON form.
    let body = serde_json::to_vec(&ErrorBody { error: &error }).unwrap_or_default();
    let mut response = json_reply(status, body);
    if status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Reads the whole body of a call.
pub(super) async fn read_body(request: Request<Incoming>) -> Result<Bytes, ApiError> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let too_large = format!("body is malformed or longer than {MAX_BODY_BYTES} bytes");
    body.map(|body| body.to_bytes()).map_err(|_| (StatusCode::PAYLOAD_TOO_LARGE, too_large))
}
