use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::CommandError;
use super::token_file::read_token;

/// Maximum size of a response body. The largest is a page of the audit trail, with about 300 KiB.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;
/// Minimum timeout of a call, also if less time remains for the command.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Client for the operators' listeners of one or more hosts.
pub(super) struct OperatorClient {
    /// Listeners, tried in this order.
    pub(super) hosts: Vec<SocketAddr>,
    /// Time by which the command must end.
    pub(super) deadline: Instant,
    /// The operators' token; `None` for hosts that ask for none.
    token: Option<String>,
}

/// HTTP response of a host.
#[derive(Clone, Debug)]
pub(super) struct HostResponse {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// Error of a call without a complete response.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallFailure {
    /// No part of the call was sent.
    #[error("{0}: cannot connect: {1}")]
    NotSent(SocketAddr, String),
    /// The host may have received the call.
    #[error("{0}: no answer: {1}")]
    Lost(SocketAddr, String),
}

/// Error of reading from the hosts.
#[derive(Debug, thiserror::Error)]
pub(super) enum ClientError {
    /// No host answered. Contains the error of each.
    #[error("no host answered: {0}")]
    NoAnswer(String),
    /// A host refused the call.
    #[error("{host} answered {status}: {reason}")]
    Refused { host: SocketAddr, status: u16, reason: String },
    /// The response of a host is not valid.
    #[error("{host} sent an answer that cannot be read: {reason}")]
    Malformed { host: SocketAddr, reason: String },
}

impl ClientError {
    /// Returns whether a host answered that the resource does not exist.
    pub(super) fn is_not_found(&self) -> bool {
        matches!(self, Self::Refused { status: 404, .. })
    }
}

impl OperatorClient {
    /// Creates the client from the arguments, and reads the token file.
    pub(super) fn from_matches(matches: &ArgMatches) -> Result<Self, CommandError> {
        let client = Self::with_optional_token(matches)?;
        if client.token.is_none() {
            let missing = "--token-file is required for this command";
            return Err(CommandError::Usage(missing.to_owned()));
        }
        Ok(client)
    }

    /// The same for calls to hosts that ask for no token; one that is given is sent.
    pub(super) fn with_optional_token(matches: &ArgMatches) -> Result<Self, CommandError> {
        let hosts: Vec<_> =
            matches.get_many::<SocketAddr>("host").into_iter().flatten().copied().collect();
        if hosts.is_empty() {
            return Err(CommandError::Usage("--host is required for this command".to_owned()));
        }
        let path = matches.get_one::<PathBuf>("token-file");
        let token = path.map(|path| read_token(path)).transpose()?;
        let seconds = matches.get_one::<u64>("timeout").copied().unwrap_or_default();
        let timeout = Duration::from_secs(seconds);
        Ok(Self { hosts, deadline: Instant::now() + timeout, token })
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Gets `path` from the first host that answers without a server error. The remaining time is
    /// divided evenly among the hosts that are left.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let mut failures = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let timeout = self.remaining() / (self.hosts.len() - index) as u32;
            match self.get_from(*host, path, timeout).await {
                Err(ClientError::NoAnswer(failure)) => failures.push(failure),
                Err(ClientError::Refused { host, status, reason }) if status >= 500 => {
                    failures.push(format!("{host} answered {status}: {reason}"));
                }
                response => return response,
            }
        }
        Err(ClientError::NoAnswer(failures.join("; ")))
    }

    /// Gets `path` from `host`.
    pub(super) async fn get_from<T: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T, ClientError> {
        let call = self.call(host, Method::GET, path, Bytes::new(), timeout);
        let response = call.await.map_err(|failure| ClientError::NoAnswer(failure.to_string()))?;
        if response.status != 200 {
            let (status, reason) = (response.status, response.reason());
            return Err(ClientError::Refused { host, status, reason });
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| ClientError::Malformed { host, reason: error.to_string() })
    }

    /// Sends a call to `host` and waits for the complete response.
    pub(super) async fn call(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<HostResponse, CallFailure> {
        let deadline = Instant::now() + timeout.max(MIN_CALL_TIMEOUT);
        let connected = tokio::time::timeout_at(deadline, TcpStream::connect(host)).await;
        let not_sent = |cause: &dyn fmt::Display| CallFailure::NotSent(host, cause.to_string());
        let stream = connected.map_err(|_| not_sent(&"timed out"))?.map_err(|e| not_sent(&e))?;
        let lost = |cause: &dyn fmt::Display| CallFailure::Lost(host, cause.to_string());
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", host.to_string())
            .header("content-type", "application/json");
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request.body(Full::new(body)).map_err(|error| not_sent(&error))?;
        let exchange = tokio::time::timeout_at(deadline, exchange(stream, request)).await;
        exchange.map_err(|_| lost(&"timed out"))?.map_err(|error| lost(&error))
    }
}

async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> Result<HostResponse, Box<dyn std::error::Error + Send + Sync>> {
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let response = async {
        let response = sender.send_request(request).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await?;
        Ok(HostResponse { status, body: body.to_bytes() })
    };
    tokio::pin!(response, connection);
    tokio::select! {
        response = &mut response => response,
        // The connection ends first if the response has arrived or can no longer arrive.
        _ = &mut connection => response.await,
    }
}

impl HostResponse {
    /// Returns the `error` field of the body, or the whole body if it has none.
    pub(super) fn reason(&self) -> String {
        let body = serde_json::from_slice::<serde_json::Value>(&self.body);
        let error = body.ok().and_then(|body| body["error"].as_str().map(str::to_owned));
        error.unwrap_or_else(|| String::from_utf8_lossy(&self.body).trim().to_owned())
    }
}
