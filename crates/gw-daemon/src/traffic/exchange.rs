use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::Sleep;

use super::body_source::BodySource;
use crate::dispatch::CancelSignal;
use crate::dispatch::ConnectionPool;
use crate::dispatch::PooledConnection;
use crate::http::BodyProgress;
use crate::http::Failure;
use crate::http::FailureCause;
use crate::http::RequestBody;
use crate::http::is_final_status;

/// Largest number of attempts to send a request. Each attempt after the first uses a new
/// connection.
const MAX_CONNECTION_ATTEMPTS: usize = 2;

/// Head of a request as it is sent to the next hop.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
}

/// Limits of an exchange.
#[derive(Clone, Copy)]
pub(crate) struct ExchangeOptions<'a> {
    /// Deadline of the request, including the response body.
    pub(crate) deadline: Instant,
    pub(crate) connect_timeout: Duration,
    pub(crate) cancel: Option<&'a CancelSignal>,
    /// Whether the request may be written more than once.
    pub(crate) idempotent: bool,
}

/// An exchange after the response head has arrived, with the connection that carries the body.
pub(crate) struct OpenExchange {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: PooledConnection,
    pub(crate) progress: Arc<BodyProgress>,
    /// Expires at the deadline. Reused for the response body, so that each request needs only one
    /// timer.
    pub(crate) timer: Pin<Box<Sleep>>,
}

struct AttemptFailure {
    failure: Failure,
    body: Option<RequestBody>,
    /// Whether the connection had carried a request before, so that the peer may have closed it
    /// before this request was written.
    was_reused: bool,
}

/// Sends a request and waits for the head of its response.
///
/// The request is sent again on a new connection if no byte was written, or if an idempotent
/// request was sent on a reused connection that the peer closed (RFC 9112, section 9.3.1).
/// `Failure::written` is exact: it is set only if the socket accepted a byte of the request.
pub(crate) async fn exchange(
    pool: &ConnectionPool,
    head: &RequestHead,
    body: &mut BodySource,
    options: ExchangeOptions<'_>,
) -> Result<OpenExchange, Failure> {
    let mut has_written = false;
    let mut connection = connect(options, pool.checkout(options.idempotent)).await?;
    for _ in 0..MAX_CONNECTION_ATTEMPTS {
        let Some(next) = body.take() else { break };
        let failed = match attempt(connection, head.request(next), options).await {
            Ok(exchanged) => return Ok(exchanged),
            Err(failed) => failed,
        };
        has_written |= failed.failure.written;
        if let Some(unsent) = failed.body {
            body.restore(unsent);
        }
        let failure = Failure { written: has_written, ..failed.failure };
        if !may_resend(failure, failed.was_reused, options.idempotent) || !body.is_available() {
            return Err(failure);
        }
        let fresh = connect(options, pool.connect()).await;
        connection = fresh.map_err(|next| Failure { written: has_written, ..next })?;
    }
    Err(Failure { cause: FailureCause::ConnectionLost, written: has_written })
}

fn may_resend(failure: Failure, was_reused: bool, idempotent: bool) -> bool {
    match failure.cause {
        FailureCause::ConnectFailed => true,
        FailureCause::ConnectionLost => was_reused && (!failure.written || idempotent),
        _ => false,
    }
}

async fn connect<E>(
    options: ExchangeOptions<'_>,
    connecting: impl Future<Output = Result<PooledConnection, E>>,
) -> Result<PooledConnection, Failure> {
    let latest = options.deadline.min(Instant::now() + options.connect_timeout);
    match tokio::time::timeout_at(latest, connecting).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(_)) | Err(_) => Err(Failure::not_run(FailureCause::ConnectFailed)),
    }
}

async fn attempt(
    mut connection: PooledConnection,
    request: Request<RequestBody>,
    options: ExchangeOptions<'_>,
) -> Result<OpenExchange, AttemptFailure> {
    let progress = request.body().progress();
    let was_reused = connection.is_reused;
    let mut timer = Box::pin(tokio::time::sleep_until(options.deadline));
    connection.gate.open();
    let sending = connection.sender.try_send_request(request);
    let (cause, body) = tokio::select! {
        biased;
        result = sending => match result {
            Ok(response) if !is_final_status(response.status()) => {
                (FailureCause::InvalidResponse, None)
            }
            Ok(response) => return Ok(OpenExchange { response, connection, progress, timer }),
            Err(mut error) => {
                let body = error.take_message().map(Request::into_body);
                let is_parse_error = error.error().is_parse();
                let cause = if is_parse_error {
                    FailureCause::InvalidResponse
                } else {
                    FailureCause::ConnectionLost
                };
                (cause, body)
            }
        },
        () = timer.as_mut() => (FailureCause::ResponseTimeout, None),
        () = cancelled(options.cancel) => (FailureCause::Cancelled, None),
    };
    let summary = connection.gate.close();
    let cause = match progress.failure() {
        Some(failure) => failure.into(),
        None if summary.refused => FailureCause::LeaseLapsed,
        None if !summary.written && cause == FailureCause::ConnectionLost => {
            FailureCause::ConnectFailed
        }
        None => cause,
    };
    Err(AttemptFailure { failure: Failure { cause, written: summary.written }, body, was_reused })
}

async fn cancelled(signal: Option<&CancelSignal>) {
    match signal {
        Some(signal) => signal.cancelled().await,
        None => std::future::pending().await,
    }
}

impl RequestHead {
    fn request(&self, body: RequestBody) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}
