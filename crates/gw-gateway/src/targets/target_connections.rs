use std::cell::Cell;
use std::cell::RefCell;
use std::cell::RefMut;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use gw_balance::PathMonitor;
use gw_balance::RelayLimit;
use gw_daemon::BootClock;
use gw_daemon::is_final_status;
use gw_types::Clock;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::ports::TargetDialer;
use crate::targets::ConnectionUse;
use crate::targets::ExchangeOptions;
use crate::targets::ExchangeOutcome;
use crate::targets::OutgoingBody;
use crate::targets::StreamedReply;
use crate::targets::TargetReply;
use crate::targets::TargetStream;
use crate::targets::set_buffer_sizes;
use crate::targets::set_socket_options;
use crate::targets::socket_options::allow_slow_reading;
use crate::targets::socket_options::reset_on_close;

/// Longest time to establish a connection; a healthy target takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait until a pooled connection takes a request. One that is idle takes it at once; one on
/// which the body of an earlier request is still being sent may stay busy for ever.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// Idle time of a pooled connection when the target states none.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(5);
/// Longest idle time that a target can state, since one near 2^64 seconds exceeds the clock's range.
/// Far longer than connections stay idle in a pool that is in use.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3_600);
/// Fraction of the idle time stated by the target for which a connection is used.
const IDLE_TIME_SHARE: f64 = 0.6;
/// Largest number of idle connections per target.
const MAX_IDLE_PER_TARGET: usize = 3;
/// Size of the kernel's buffers of a connection, in bytes: a target that reads slowly and a caller
/// that does are waited for with no more than this in memory.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;

/// Time for which a connection that was opened ahead is used. Longer than the time between two
/// renewals; targets close idle connections after several seconds.
const AHEAD_TIME: Duration = Duration::from_secs(3);
/// Largest number of connections that are opened ahead for one target.
const MAX_AHEAD_PER_TARGET: usize = 3;

/// A connection that is closed when dropped.
#[derive(Debug)]
pub(super) struct TargetConnection {
    sender: SendRequest<OutgoingBody>,
    driver: JoinHandle<()>,
    /// Whether the connection is for one request with a body that the buffers of the kernel do not hold.
    /// Such a connection is not pooled: after a response to a part of the request, it would hold the
    /// rest of the body, which nothing counts any more.
    is_for_large_body: bool,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        // Closing the socket lets the target cancel the request that it is still executing.
        self.driver.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    address: SocketAddr,
    connection: TargetConnection,
    idle_since: Instant,
    usable_until: Instant,
}

impl IdleConnection {
    fn is_open(&self, now: Instant) -> bool {
        self.usable_until > now && !self.connection.sender.is_closed()
    }
}

/// Takes the newest connection to `address` from a pool that is open and has been idle for less than
/// `max_idle`.
fn take_newest(
    pool: &RefCell<Vec<IdleConnection>>,
    address: SocketAddr,
    max_idle: Duration,
) -> Option<TargetConnection> {
    let now = Instant::now();
    let mut pool = pool.borrow_mut();
    pool.retain(|pooled| pooled.is_open(now));
    let is_usable = |pooled: &IdleConnection| {
        pooled.address == address && now.duration_since(pooled.idle_since) < max_idle
    };
    let newest = pool.iter().rposition(is_usable)?;
    Some(pool.remove(newest).connection)
}

/// A response of which the head has arrived.
struct ReceivedHead {
    response: Response<Incoming>,
    /// When the request was sent.
    started: Instant,
    was_pooled: bool,
}

/// Pool of connections to targets. Each connection carries one request at a time.
#[derive(Clone)]
pub(crate) struct TargetConnections {
    dialer: Rc<dyn TargetDialer>,
    idle: Rc<RefCell<Vec<IdleConnection>>>,
    /// Connections that have carried nothing yet.
    ahead: Rc<RefCell<Vec<IdleConnection>>>,
    opened: Rc<Cell<u64>>,
    path: Rc<RefCell<PathMonitor>>,
    relay_limit: Rc<RefCell<RelayLimit>>,
}

impl TargetConnections {
    pub(crate) fn new(dialer: Rc<dyn TargetDialer>) -> Self {
        let (idle, ahead) = (Rc::default(), Rc::default());
        let (opened, path, relay_limit) = (Rc::default(), Rc::default(), Rc::default());
        Self { dialer, idle, ahead, opened, path, relay_limit }
    }

    /// Returns what the exchanges say about this host's path to targets.
    pub(crate) fn path(&self) -> RefMut<'_, PathMonitor> {
        self.path.borrow_mut()
    }

    /// Returns the limit on requests in flight while this host relays, which follows from the time that
    /// connections take.
    pub(crate) fn relay_limit(&self) -> RefMut<'_, RelayLimit> {
        self.relay_limit.borrow_mut()
    }

    /// Whether a connection to `address` can be opened. The connection is kept for requests.
    pub(crate) async fn probe(&self, address: SocketAddr) -> bool {
        match self.connect(address, Instant::now() + CONNECT_TIMEOUT, false).await {
            Ok(connection) => {
                self.keep(address, connection, DEFAULT_IDLE_TIME);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns the number of connections opened since the start.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Opens a connection for a later exclusive exchange with `address`, in the background.
    ///
    /// A target may accept a connection only when one of its slots is free, which takes as long as a
    /// request does. An order that waited for it would run into its timeout at a busy target.
    pub(crate) fn open_ahead(&self, address: SocketAddr) {
        let of_target = |unused: &&IdleConnection| unused.address == address;
        if self.ahead.borrow().iter().filter(of_target).count() >= MAX_AHEAD_PER_TARGET {
            return;
        }
        let connections = self.clone();
        spawn_local(async move {
            // A target that cannot be reached is noticed by the next order.
            let connected =
                connections.connect(address, Instant::now() + CONNECT_TIMEOUT, false).await;
            let Ok(connection) = connected else { return };
            let idle_since = Instant::now();
            let usable_until = idle_since + AHEAD_TIME;
            let unused = IdleConnection { address, connection, idle_since, usable_until };
            connections.ahead.borrow_mut().push(unused);
        });
    }

    /// Puts a connection into the pool, unless it was for a large body.
    pub(super) fn keep(
        &self,
        address: SocketAddr,
        connection: TargetConnection,
        idle_time: Duration,
    ) {
        if connection.is_for_large_body {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let of_target = idle.iter().filter(|pooled| pooled.address == address).count();
        if of_target < MAX_IDLE_PER_TARGET {
            let idle_since = Instant::now();
            let usable_until = idle_since + idle_time;
            idle.push(IdleConnection { address, connection, idle_since, usable_until });
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
        is_for_large_body: bool,
    ) -> Result<TargetConnection, String> {
        let started = Instant::now();
        let until = deadline.min(started + CONNECT_TIMEOUT);
        let connected = match timeout_at(until, self.dialer.dial(address)).await {
            Ok(connected) => connected.map_err(|error| error.to_string()),
            Err(_) => Err("no connection in time".to_owned()),
        };
        let stream = connected.inspect_err(|_| {
            self.path.borrow_mut().record_unreachable(BootClock.now(), address);
        })?;
        self.path.borrow_mut().record_connected();
        self.record_connect_time(started.elapsed());
        let configured = set_socket_options(&stream)
            .and_then(|()| set_buffer_sizes(&stream, SOCKET_BUFFER_BYTES))
            .and_then(|()| reset_on_close(&stream))
            .and_then(|()| if is_for_large_body { allow_slow_reading(&stream) } else { Ok(()) });
        configured.map_err(|error| error.to_string())?;
        self.opened.set(self.opened.get() + 1);
        let handshake =
            http1::Builder::new().max_buf_size(64 * 1024).handshake(TokioIo::new(stream));
        let (sender, driver) = handshake.await.map_err(|error| error.to_string())?;
        let driver = spawn_local(async move {
            // Errors reach the waiting request through the sender.
            driver.await.ok();
        });
        Ok(TargetConnection { sender, driver, is_for_large_body })
    }

    fn record_connect_time(&self, elapsed: Duration) {
        let mut relay_limit = self.relay_limit.borrow_mut();
        if relay_limit.record_connect(BootClock.now(), elapsed) {
            let (limit, millis) = (relay_limit.limit(), elapsed.as_millis());
            log::info!("event=relays_limited limit={limit} connect_ms={millis}");
        }
    }

    /// Sends a request and waits for the response; a large response may still be arriving then.
    /// `may_send` is evaluated right before the request is handed to the connection; if it returns
    /// `false`, nothing is sent.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<OutgoingBody>,
        options: &ExchangeOptions,
        may_send: impl Fn() -> bool,
    ) -> ExchangeOutcome {
        let deadline = options.deadline;
        let mut request = request;
        let is_large = request.body().size_hint().lower() > SOCKET_BUFFER_BYTES as u64;
        loop {
            let pooled = match options.connection {
                _ if is_large => None,
                ConnectionUse::Shared { max_idle } => take_newest(&self.idle, address, max_idle),
                ConnectionUse::Exclusive => take_newest(&self.ahead, address, AHEAD_TIME),
            };
            let is_pooled = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                // Only probes open connections while the path is lost.
                None if self.path.borrow().is_lost() => {
                    return ExchangeOutcome::NotSent("no open connection".to_owned());
                }
                None => match self.connect(address, deadline, is_large).await {
                    Ok(connection) => connection,
                    Err(cause) => return ExchangeOutcome::NotSent(cause),
                },
            };
            let ready_until = if is_pooled { Instant::now() + READY_TIMEOUT } else { deadline };
            let is_ready = timeout_at(ready_until.min(deadline), connection.sender.ready()).await;
            match is_ready {
                Ok(Ok(())) => {}
                _ if is_pooled && Instant::now() < deadline => continue,
                Ok(Err(error)) => return ExchangeOutcome::NotSent(error.to_string()),
                Err(_) => return ExchangeOutcome::NotSent("no connection was ready".to_owned()),
            }
            if !may_send() {
                return ExchangeOutcome::NotSent("sending is no longer allowed".to_owned());
            }
            let started = Instant::now();
            if started >= deadline {
                // The response could not arrive in time, and the outcome would be unknown.
                return ExchangeOutcome::NotSent("connected after the deadline".to_owned());
            }
            self.path.borrow_mut().record_sent(BootClock.now());
            let sent = timeout_at(deadline, connection.sender.try_send_request(request)).await;
            if sent.is_ok() {
                self.path.borrow_mut().record_response();
            }
            match sent {
                Err(_) => return ExchangeOutcome::TimedOut,
                Ok(Ok(response)) if !is_final_status(response.status()) => {
                    let cause = format!("status {} is no answer", response.status().as_u16());
                    return ExchangeOutcome::Malformed { cause, was_pooled: is_pooled };
                }
                Ok(Ok(response)) => {
                    let received = ReceivedHead { response, started, was_pooled: is_pooled };
                    let reply = self.read_reply(address, connection, received, options);
                    return reply.await.unwrap_or_else(|cause| broken(cause, is_pooled));
                }
                Ok(Err(mut failed)) => match failed.take_message() {
                    Some(unsent) if is_pooled => request = unsent,
                    Some(_) => return ExchangeOutcome::NotSent(failed.into_error().to_string()),
                    None => {
                        let error = failed.into_error();
                        let cause = error.to_string();
                        return match error.is_parse() {
                            true => ExchangeOutcome::Malformed { cause, was_pooled: is_pooled },
                            false => broken(cause, is_pooled),
                        };
                    }
                },
            }
        }
    }

    /// Reads a response, a large one only in part. Fails if it breaks off.
    async fn read_reply(
        &self,
        address: SocketAddr,
        connection: TargetConnection,
        received: ReceivedHead,
        options: &ExchangeOptions,
    ) -> Result<ExchangeOutcome, String> {
        let ReceivedHead { response, started, was_pooled } = received;
        let ExchangeOptions { deadline, max_whole_bytes, .. } = *options;
        let (head, mut body) = response.into_parts();
        let len = body.size_hint().exact();
        let mut received = BytesMut::new();
        let is_large = loop {
            if len.is_some_and(|len| len > max_whole_bytes as u64) {
                break true;
            }
            let frame = match timeout_at(deadline, body.frame()).await {
                Err(_) => return Ok(ExchangeOutcome::TimedOut),
                Ok(Some(Err(error))) => return Err(error.to_string()),
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break false,
            };
            // Trailers are not forwarded.
            if let Ok(data) = frame.into_data() {
                received.extend_from_slice(&data);
            }
            if received.len() > max_whole_bytes {
                break true;
            }
        };
        let closes = head.headers.get(header::CONNECTION).is_some_and(|value| {
            value.to_str().is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
        });
        let is_framed = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        let is_shared = options.connection != ConnectionUse::Exclusive;
        let may_keep = is_shared && !closes && is_framed;
        let idle_time = may_keep.then(|| idle_time(&head.headers));
        let (received, elapsed) = (received.freeze(), started.elapsed());
        if is_large {
            let (connection, body) = ((connection, idle_time), (received, body, len.is_some()));
            let stream = TargetStream::new(self.clone(), address, connection, body, deadline);
            let reply = StreamedReply { head, len, stream, elapsed, was_pooled };
            return Ok(ExchangeOutcome::Streaming(Box::new(reply)));
        }
        if let Some(idle_time) = idle_time {
            self.keep(address, connection, idle_time);
        }
        Ok(ExchangeOutcome::Replied(TargetReply { head, body: received, elapsed, was_pooled }))
    }

    /// Whether a connection to `address` is open and idle.
    pub(crate) fn has_idle(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        idle.iter().any(|pooled| pooled.address == address && pooled.is_open(now))
    }

    /// Closes all idle connections.
    pub(crate) fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections to `address`. Called after a response that belonged to another
    /// request.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().retain(|pooled| pooled.address != address);
    }
}

fn broken(cause: String, was_pooled: bool) -> ExchangeOutcome {
    ExchangeOutcome::Broken { cause, was_pooled }
}

/// Returns how long a connection may stay idle, from the `Keep-Alive` header.
fn idle_time(headers: &http::HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let parts = value.into_iter().flat_map(|value| value.split(','));
    let mut seconds = parts.filter_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok());
    seconds.next().map_or(DEFAULT_IDLE_TIME, |seconds: u64| {
        Duration::from_secs(seconds).min(MAX_IDLE_TIME).mul_f64(IDLE_TIME_SHARE)
    })
}
