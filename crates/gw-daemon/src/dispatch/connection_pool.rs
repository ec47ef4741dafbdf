use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::AcquireError;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use super::GatedStream;
use super::WriteCheck;
use super::WriteGate;
use crate::http::RequestBody;

/// Longest idle time after which a connection is reused. Targets often close idle connections after
/// 30 s or more.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// Longest idle time after which a connection is reused for a non-idempotent request, which must
/// not be written twice. A short time makes it unlikely that the target closes the connection while
/// the request is being sent; opening a new connection takes about 1 ms.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(1);

/// Largest size of a response head in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1_024;

/// Pool of HTTP/1.1 connections to one address.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    check: Arc<dyn WriteCheck>,
    /// Limits the number of open connections, idle and in use.
    permits: Arc<Semaphore>,
    /// A stack: the most recently used connection is reused first, so that surplus connections
    /// reach the idle limit.
    idle: Mutex<Vec<PooledConnection>>,
    /// Notifies one waiting request that a connection was put back.
    returned: Notify,
}

/// A connection that is checked out of its pool.
pub(crate) struct PooledConnection {
    pub(crate) sender: SendRequest<RequestBody>,
    pub(crate) gate: Arc<WriteGate>,
    /// Whether the connection has carried a request before. The peer may close such a connection at
    /// any time.
    pub(crate) is_reused: bool,
    idle_since: Instant,
}

impl Drop for PooledConnection {
    /// Blocks further writes of an abandoned request.
    fn drop(&mut self) {
        self.gate.close();
    }
}

/// Reason why no connection is available. No byte of the request was written.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CheckoutError {
    #[error("connection failed: {0}")]
    Connect(io::Error),
    #[error("HTTP handshake failed: {0}")]
    Handshake(hyper::Error),
}

impl ConnectionPool {
    pub(crate) fn new(address: SocketAddr, limit: usize, check: Arc<dyn WriteCheck>) -> Self {
        let permits = Arc::new(Semaphore::new(limit));
        Self { address, check, permits, idle: Mutex::default(), returned: Notify::new() }
    }

    /// Returns an idle connection or a new one. Waits without a time limit while the pool is at its
    /// connection limit.
    pub(crate) async fn checkout(
        &self,
        idempotent: bool,
    ) -> Result<PooledConnection, CheckoutError> {
        let max_idle = if idempotent { MAX_IDLE } else { MAX_IDLE_NON_IDEMPOTENT };
        loop {
            if let Some(connection) = self.take_idle(max_idle).await {
                return Ok(connection);
            }
            tokio::select! {
                biased;
                permit = self.permits.clone().acquire_owned() => return self.open(permit).await,
                () = self.returned.notified() => {}
            }
        }
    }

    async fn take_idle(&self, max_idle: Duration) -> Option<PooledConnection> {
        while let Some(mut connection) = self.pop_idle() {
            let is_fresh = connection.idle_since.elapsed() < max_idle;
            if is_fresh && connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a new connection. Waits without a time limit while the pool is at its connection
    /// limit.
    pub(crate) async fn connect(&self) -> Result<PooledConnection, CheckoutError> {
        let permit = self.permits.clone().acquire_owned().await;
        self.open(permit).await
    }

    async fn open(
        &self,
        permit: Result<OwnedSemaphorePermit, AcquireError>,
    ) -> Result<PooledConnection, CheckoutError> {
        let permit = permit.map_err(|error| CheckoutError::Connect(io::Error::other(error)))?;
        let stream = TcpStream::connect(self.address).await.map_err(CheckoutError::Connect)?;
        stream.set_nodelay(true).map_err(CheckoutError::Connect)?;
        self.handshake(stream, permit).await
    }

    async fn handshake(
        &self,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
    ) -> Result<PooledConnection, CheckoutError> {
        let gate = Arc::new(WriteGate::default());
        let (check, _permit) = (self.check.clone(), permit);
        let stream = GatedStream { stream, gate: gate.clone(), check, _permit };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(CheckoutError::Handshake)?;
        // Connection errors are reported to the request by its sender.
        tokio::spawn(async move { connection.await.ok() });
        Ok(PooledConnection { sender, gate, is_reused: false, idle_since: Instant::now() })
    }

    /// Returns a connection to the pool. Its request and response must be complete.
    pub(crate) fn put_back(&self, mut connection: PooledConnection) {
        connection.gate.close();
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        connection.idle_since = Instant::now();
        self.lock_idle().push(connection);
        self.returned.notify_one();
    }

    fn pop_idle(&self) -> Option<PooledConnection> {
        self.lock_idle().pop()
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<PooledConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
