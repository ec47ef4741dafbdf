use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use super::BodyFailure;
use super::OUTCOME;
use super::PROXY_STATUS;
use super::REASON;
use super::ResponseBody;

/// Value of `Retry-After` in seconds. The keys of a lost target are served again within 3 s, and
/// most other reasons for a refusal end sooner.
const RETRY_AFTER_S: &str = "1";

/// Reason why a request has no response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureCause {
    BadRequest,
    MissingKey,
    NoRoute,
    MethodNotAllowed,
    UriTooLong,
    HeadTooLarge,
    BodyTooLarge,
    BodyTooSlow,
    /// The key is in handover, or no target can take the request.
    NoOwner,
    /// Too many requests wait for the end of a handover.
    HandoverFull,
    QueueFull,
    DeadlineBeforeStart,
    /// The routing table of this host or of the sender is outdated.
    StaleRoute,
    /// The target refused an outdated fencing token.
    StaleToken,
    /// The dispatcher lease of the target has expired.
    LeaseLapsed,
    /// No connection to the target was established, or no byte was written to it.
    ConnectFailed,
    /// The connection to the target was lost after a byte was written to it.
    ConnectionLost,
    /// No connection to the dispatcher of the target was established.
    HostUnreachable,
    /// The connection to the dispatcher was lost after a byte was written to it.
    HostLost,
    ResponseTimeout,
    Cancelled,
    InvalidResponse,
    RecordsUnavailable,
    /// The idempotency key belongs to a request that ran or may have run, and its response is not
    /// stored.
    DuplicateRequest,
    /// No further idempotency record fits into the limits.
    RecordsFull,
    /// The idempotency key was used for a different request.
    IdempotencyKeyReused,
    /// The request has crashed as many targets as its profile allows.
    Quarantined,
    /// A forwarded request has no valid ticket, or a ticket could not be encoded.
    InvalidTicket,
}

/// Outcome of a request without a response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) cause: FailureCause,
    /// Whether any byte of the request may have reached a target.
    pub(crate) written: bool,
}

impl From<BodyFailure> for FailureCause {
    fn from(failure: BodyFailure) -> Self {
        match failure {
            BodyFailure::TooLarge => FailureCause::BodyTooLarge,
            BodyFailure::TooSlow => FailureCause::BodyTooSlow,
            BodyFailure::Malformed => FailureCause::BadRequest,
        }
    }
}

impl FailureCause {
    const ALL: [FailureCause; 28] = [
        FailureCause::BadRequest,
        FailureCause::MissingKey,
        FailureCause::NoRoute,
        FailureCause::MethodNotAllowed,
        FailureCause::UriTooLong,
        FailureCause::HeadTooLarge,
        FailureCause::BodyTooLarge,
        FailureCause::BodyTooSlow,
        FailureCause::NoOwner,
        FailureCause::HandoverFull,
        FailureCause::QueueFull,
        FailureCause::DeadlineBeforeStart,
        FailureCause::StaleRoute,
        FailureCause::StaleToken,
        FailureCause::LeaseLapsed,
        FailureCause::ConnectFailed,
        FailureCause::ConnectionLost,
        FailureCause::HostUnreachable,
        FailureCause::HostLost,
        FailureCause::ResponseTimeout,
        FailureCause::Cancelled,
        FailureCause::InvalidResponse,
        FailureCause::RecordsUnavailable,
        FailureCause::DuplicateRequest,
        FailureCause::RecordsFull,
        FailureCause::IdempotencyKeyReused,
        FailureCause::Quarantined,
        FailureCause::InvalidTicket,
    ];

    /// Returns the cause with the given [`name`](Self::name), as sent by another host.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|cause| cause.name() == name)
    }

    /// Returns the fixed name that is used in `galenawheel-reason` and in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            FailureCause::BadRequest => "bad-request",
            FailureCause::MissingKey => "missing-key",
            FailureCause::NoRoute => "no-route",
            FailureCause::MethodNotAllowed => "method",
            FailureCause::UriTooLong => "uri-too-long",
            FailureCause::HeadTooLarge => "head-too-large",
            FailureCause::BodyTooLarge => "body-too-large",
            FailureCause::BodyTooSlow => "body-too-slow",
            FailureCause::NoOwner => "no-owner",
            FailureCause::HandoverFull => "handover-full",
            FailureCause::QueueFull => "queue-full",
            FailureCause::DeadlineBeforeStart => "deadline",
            FailureCause::StaleRoute => "stale-route",
            FailureCause::StaleToken => "stale-token",
            FailureCause::LeaseLapsed => "lease-lapsed",
            FailureCause::ConnectFailed => "connect-failed",
            FailureCause::ConnectionLost => "connection-lost",
            FailureCause::HostUnreachable => "host-unreachable",
            FailureCause::HostLost => "host-lost",
            FailureCause::ResponseTimeout => "answer-timeout",
            FailureCause::Cancelled => "cancelled",
            FailureCause::InvalidResponse => "bad-answer",
            FailureCause::RecordsUnavailable => "records-unavailable",
            FailureCause::DuplicateRequest => "resend",
            FailureCause::RecordsFull => "records-full",
            FailureCause::IdempotencyKeyReused => "idempotency-key-reused",
            FailureCause::Quarantined => "quarantined",
            FailureCause::InvalidTicket => "forward",
        }
    }

    /// Returns the error type for `Proxy-Status` (RFC 9209, section 2.3).
    fn proxy_error(self) -> &'static str {
        match self {
            FailureCause::BadRequest
            | FailureCause::MissingKey
            | FailureCause::MethodNotAllowed
            | FailureCause::UriTooLong
            | FailureCause::HeadTooLarge
            | FailureCause::BodyTooLarge
            | FailureCause::BodyTooSlow => "http_request_error",
            FailureCause::NoRoute => "destination_not_found",
            FailureCause::QueueFull | FailureCause::HandoverFull => "connection_limit_reached",
            FailureCause::ConnectFailed | FailureCause::HostUnreachable => "connection_refused",
            FailureCause::ConnectionLost | FailureCause::HostLost | FailureCause::Cancelled => {
                "connection_terminated"
            }
            FailureCause::ResponseTimeout => "http_response_timeout",
            FailureCause::InvalidResponse => "http_protocol_error",
            FailureCause::DuplicateRequest
            | FailureCause::IdempotencyKeyReused
            | FailureCause::Quarantined
            | FailureCause::InvalidTicket => "http_request_denied",
            FailureCause::NoOwner
            | FailureCause::DeadlineBeforeStart
            | FailureCause::StaleRoute
            | FailureCause::StaleToken
            | FailureCause::LeaseLapsed
            | FailureCause::RecordsUnavailable
            | FailureCause::RecordsFull => "destination_unavailable",
        }
    }

    /// Returns the status of causes whose status does not depend on the outcome.
    fn fixed_status(self) -> Option<StatusCode> {
        match self {
            FailureCause::BadRequest | FailureCause::MissingKey => Some(StatusCode::BAD_REQUEST),
            FailureCause::NoRoute => Some(StatusCode::NOT_FOUND),
            FailureCause::MethodNotAllowed => Some(StatusCode::METHOD_NOT_ALLOWED),
            FailureCause::UriTooLong => Some(StatusCode::URI_TOO_LONG),
            FailureCause::HeadTooLarge => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            FailureCause::BodyTooLarge => Some(StatusCode::PAYLOAD_TOO_LARGE),
            FailureCause::BodyTooSlow => Some(StatusCode::REQUEST_TIMEOUT),
            FailureCause::QueueFull => Some(StatusCode::TOO_MANY_REQUESTS),
            // draft-ietf-httpapi-idempotency-key-header, section 2.7.
            FailureCause::IdempotencyKeyReused => Some(StatusCode::UNPROCESSABLE_ENTITY),
            FailureCause::InvalidTicket => Some(StatusCode::FORBIDDEN),
            _ => None,
        }
    }

    /// Returns whether the caller's connection has to be closed, because the next bytes on it may
    /// not be the start of a request.
    fn closes_connection(self) -> bool {
        matches!(
            self,
            FailureCause::BadRequest
                | FailureCause::MethodNotAllowed
                | FailureCause::UriTooLong
                | FailureCause::HeadTooLarge
                | FailureCause::BodyTooLarge
                | FailureCause::BodyTooSlow
        )
    }

    /// Returns whether the failure is reported as a failed request of the target.
    pub(crate) fn counts_against_target(self) -> bool {
        matches!(
            self,
            FailureCause::ConnectFailed
                | FailureCause::ConnectionLost
                | FailureCause::ResponseTimeout
                | FailureCause::InvalidResponse
        )
    }

    /// Returns whether the request may succeed with a newer routing table.
    pub(crate) fn needs_newer_table(self) -> bool {
        matches!(
            self,
            FailureCause::StaleRoute | FailureCause::StaleToken | FailureCause::LeaseLapsed
        )
    }
}

impl Failure {
    /// Creates a failure of a request of which no byte was written to a target.
    pub(crate) fn not_run(cause: FailureCause) -> Self {
        Self { cause, written: false }
    }

    pub(crate) fn status(self) -> StatusCode {
        match self.cause.fixed_status() {
            Some(status) => status,
            None if !self.written => StatusCode::SERVICE_UNAVAILABLE,
            None if self.cause == FailureCause::ResponseTimeout => StatusCode::GATEWAY_TIMEOUT,
            None => StatusCode::BAD_GATEWAY,
        }
    }

    pub(crate) fn outcome(self) -> &'static str {
        if self.written { "unknown" } else { "not-run" }
    }

    /// Creates the response to the caller. `host` names this host in `Proxy-Status`.
    pub(crate) fn into_response(self, host: &str) -> Response<ResponseBody> {
        let (name, outcome) = (self.cause.name(), self.outcome());
        let mut response = Response::new(ResponseBody::text(format!("{outcome}: {name}\n")));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(outcome));
        headers.insert(REASON, HeaderValue::from_static(name));
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.cause.closes_connection() {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let proxy_status = format!("{host}; error={}", self.cause.proxy_error());
        if let Ok(value) = HeaderValue::try_from(proxy_status) {
            headers.insert(PROXY_STATUS, value);
        }
        if matches!(self.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
        {
            headers.insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
        }
        response
    }
}
