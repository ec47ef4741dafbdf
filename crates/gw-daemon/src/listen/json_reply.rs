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

/// Largest request body in bytes on the targets and operators listeners.
const MAX_BODY_BYTES: usize = 256 * 1_024;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Status and error text of a failed API request.
pub(super) type ApiError = (StatusCode, String);

pub(super) fn json_reply(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::text(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

pub(super) fn json_error((status, error): ApiError) -> Response<ResponseBody> {
    // Serializing a string does not fail.
    let body = serde_json::to_vec(&ErrorBody { error: &error }).unwrap_or_default();
    let mut response = json_reply(status, body);
    if status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Reads the whole body of an API request.
pub(super) async fn read_body(request: Request<Incoming>) -> Result<Bytes, ApiError> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let too_large = format!("body is malformed or longer than {MAX_BODY_BYTES} bytes");
    body.map(|body| body.to_bytes()).map_err(|_| (StatusCode::PAYLOAD_TOO_LARGE, too_large))
}
