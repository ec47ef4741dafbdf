use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::targets::TargetConnections;
use crate::targets::target_connections::TargetConnection;

/// Largest body of a response without a stated length, in bytes. A target in trouble may send
/// without end.
const MAX_UNSTATED_BYTES: u64 = 1024 * 1024 * 1024;

/// Body of a response that is read as fast as it is forwarded.
///
/// Data that was received and not forwarded yet is bounded by the receive buffer of the connection.
/// Dropping the stream before its end closes the connection, so that the target can cancel.
pub(crate) struct TargetStream {
    /// Data that arrived before the response was known to be large.
    first: Option<Bytes>,
    rest: Incoming,
    /// Whether the target stated the length of the body.
    has_length: bool,
    bytes: u64,
    deadline: Instant,
    /// The connection, and how long it may be idle if it can be used again.
    connection: Option<(TargetConnection, Option<Duration>)>,
    address: SocketAddr,
    pool: TargetConnections,
}

impl std::fmt::Debug for TargetStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TargetStream").field("address", &self.address).finish_non_exhaustive()
    }
}

impl TargetStream {
    pub(super) fn new(
        pool: TargetConnections,
        address: SocketAddr,
        connection: (TargetConnection, Option<Duration>),
        body: (Bytes, Incoming, bool),
        deadline: Instant,
    ) -> Self {
        let (first, rest, has_length) = body;
        let first = Some(first).filter(|first| !first.is_empty());
        let connection = Some(connection);
        Self { first, rest, has_length, bytes: 0, deadline, connection, address, pool }
    }

    /// Number of bytes forwarded so far.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the next piece; `None` at the end of a complete response.
    pub(crate) async fn next_piece(&mut self) -> Result<Option<Bytes>, String> {
        if let Some(first) = self.first.take() {
            self.bytes += first.len() as u64;
            return Ok(Some(first));
        }
        loop {
            let frame = match timeout_at(self.deadline, self.rest.frame()).await {
                Err(_) => return Err("not complete until the deadline".to_owned()),
                Ok(Some(Err(error))) => return Err(error.to_string()),
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
            };
            // Trailers are not forwarded.
            let Ok(piece) = frame.into_data() else { continue };
            self.bytes += piece.len() as u64;
            if !self.has_length && self.bytes > MAX_UNSTATED_BYTES {
                return Err("response without end".to_owned());
            }
            return Ok(Some(piece));
        }
    }

    fn finish(&mut self) {
        if let Some((connection, Some(idle_time))) = self.connection.take() {
            self.pool.keep(self.address, connection, idle_time);
        }
    }
}
