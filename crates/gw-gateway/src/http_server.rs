use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gw_balance::ConnectionGroup;
use gw_balance::ConnectionState;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::memory::ConnectionMemory;
use crate::memory::MemoryGate;

/// Delay after a failed `accept`.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Largest request head, in bytes, when no limit is configured.
pub(crate) const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Longest time that a connection may be idle or take to deliver a request head, when no limit is
/// configured.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for which connections are accepted when a listener closes. No other task runs
/// meanwhile.
const LAST_ACCEPTS_TIME: Duration = Duration::from_millis(100);

/// Number of open connections of a server; clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    /// Returns the number of open connections.
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }
}

/// Counts a connection as open until dropped.
pub(crate) struct ConnectionGuard(ConnectionCount);

impl ConnectionGuard {
    pub(crate) fn new(count: ConnectionCount) -> Self {
        count.0.set(count.0.get() + 1);
        Self(count)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
    }
}

/// Closes a listener and returns the connections that waited to be accepted, which closing it would
/// reset.
///
/// Does not yield, so that callers whose connections end because the host stops cannot connect again
/// meanwhile.
pub(crate) fn take_waiting(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut accepted = Vec::new();
    let end = Instant::now() + LAST_ACCEPTS_TIME;
    let taken = listener.into_std().and_then(|listener| {
        while Instant::now() < end {
            let (stream, peer) = match listener.accept() {
                Ok(connection) => connection,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // The caller has left; others may wait behind it.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
                Err(error) => return Err(error),
            };
            stream.set_nonblocking(true)?;
            accepted.push((TcpStream::from_std(stream)?, peer));
        }
        Ok(())
    });
    if let Err(error) = taken {
        log::warn!("event=accept_failed cause=\"{error}\"");
    }
    accepted
}

/// Serves HTTP/1.1 connections. Once `closing` is true, stops accepting, closes idle connections,
/// and closes the others after their current response.
///
/// The handler's future is dropped when the client disconnects, and when its connection is told to
/// close because its memory or descriptor is needed.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    count: ConnectionCount,
    (memory, group): (Rc<MemoryGate>, ConnectionGroup),
    mut closing: watch::Receiver<bool>,
    handler: Rc<H>,
) where
    H: Fn(Request<Incoming>, Rc<ConnectionMemory>) -> F + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let shared = closing.clone();
    memory.bound_buffers(&listener);
    loop {
        tokio::select! {
            accepted = async {
                memory.connection_room(group).await;
                listener.accept().await
            } => match accepted {
                Ok((stream, peer)) => {
                    let open = ConnectionGuard::new(count.clone());
                    let (handler, closing) = (handler.clone(), shared.clone());
                    let memory = Rc::new(memory.open(group));
                    spawn_local(serve_connection(stream, peer, closing, handler, (open, memory)));
                }
                Err(error) => {
                    log::warn!("event=accept_failed cause=\"{error}\"");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            _ = closing.wait_for(|closing| *closing) => return,
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    mut closing: watch::Receiver<bool>,
    handler: Rc<H>,
    (_open, memory): (ConnectionGuard, Rc<ConnectionMemory>),
) where
    H: Fn(Request<Incoming>, Rc<ConnectionMemory>) -> F + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=socket_option_failed peer={peer} cause=\"{error}\"");
    }
    let shared = memory.clone();
    let service = service_fn(move |request| {
        shared.set_state(ConnectionState::Running);
        let response = handler(request, shared.clone());
        let shared = shared.clone();
        async move {
            let response = response.await;
            shared.set_state(ConnectionState::Idle);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
        .max_buf_size(DEFAULT_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let told_to_end = async {
        tokio::select! {
            _ = closing.wait_for(|closing| *closing) => {}
            () = memory.told_to_retire() => {}
        }
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = told_to_end => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                () = memory.told_to_close() => return,
            }
        }
        () = memory.told_to_close() => return,
    };
    if let Err(error) = ended {
        log::debug!("event=caller_connection_failed peer={peer} cause=\"{error}\"");
    }
}
