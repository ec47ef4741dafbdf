use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;

/// An answer of the host itself, in place of a target's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LocalReply {
    pub(crate) status: StatusCode,
    /// For logs, metrics and the caller.
    pub(crate) reason: &'static str,
    /// When the caller may try again.
    pub(crate) retry_after: Option<Duration>,
}

impl LocalReply {
    /// The request has not run and will not.
    pub(crate) fn not_executed(reason: &'static str, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, retry_after: Some(retry_after) }
    }

    /// The request may have run.
    pub(crate) fn outcome_unknown(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// The caller's fault.
    pub(crate) fn client_error(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// As an HTTP answer.
    pub(crate) fn response(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from_static(self.reason.as_bytes())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let seconds = self.retry_after.map(|time| format!("{:.3}", time.as_secs_f64()));
        if let Some(value) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert(header::RETRY_AFTER, value);
        }
        response
    }
}
