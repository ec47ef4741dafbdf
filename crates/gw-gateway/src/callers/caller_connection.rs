use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use gw_pipeline::ParsedRequest;
use gw_pipeline::RequestParser;
use gw_pipeline::ResponseEncoder;
use http::Method;
use http::Response;
use http::Version;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::callers::ResponseBody;
use crate::callers::caller_server::CallerHandler;
use crate::callers::caller_server::CallerLimits;
use crate::callers::request_turn::TurnCounter;
use crate::targets::reset_on_close;

/// Largest number of requests of a connection that are read and not answered yet.
const MAX_PIPELINE_DEPTH: usize = 16;
/// Bytes for which room is made before a read.
const READ_BYTES: usize = 2 * 1024;
/// Longest time for which a caller may accept no byte of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a connection may deliver a request that was on its way when the host closed: the
/// first one of a new connection, or one that has arrived in part.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Time for which bytes of the caller are read and dropped after the last response. Closing with
/// unread bytes resets the connection, and the caller could lose that response.
const LINGER_TIME: Duration = Duration::from_millis(100);

/// A request that is read and not answered yet.
struct PendingResponse {
    method: Method,
    version: Version,
    /// Whether the caller expects further responses on the connection.
    keeps_alive: bool,
    task: JoinHandle<Response<ResponseBody>>,
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        // Cancels the request at its target if the caller has left.
        self.task.abort();
    }
}

/// How a connection ends.
enum ConnectionEnd {
    /// After a response that announced it.
    AfterResponse,
    /// While no request is under way.
    Idle,
}

/// What a connection waits for.
enum ConnectionEvent {
    Response(Response<ResponseBody>),
    /// Number of bytes received; 0 at the end of the stream.
    Received(usize),
    /// The response could not be computed, or the connection has failed.
    Failed(String),
    TimedOut,
    Closing,
}

/// One connection of a caller. Requests are read ahead and run at the same time; responses are sent
/// in the order of the requests.
pub(crate) struct CallerConnection<H> {
    handler: Rc<H>,
    peer: SocketAddr,
    limits: CallerLimits,
    closing: watch::Receiver<bool>,
    parser: RequestParser,
    /// At most [`MAX_PIPELINE_DEPTH`], in the order of the requests.
    pending: VecDeque<PendingResponse>,
    turns: TurnCounter,
    /// Number of requests read so far.
    read_count: u64,
    /// Whether requests are still read. Once false, it stays so.
    reads_requests: bool,
    /// Whether the host closes its connections.
    is_closing: bool,
    /// When the connection last made progress.
    active_at: Instant,
    output: BytesMut,
}

impl<H: CallerHandler + 'static> CallerConnection<H> {
    pub(crate) fn new(handler: Rc<H>, peer: SocketAddr, closing: watch::Receiver<bool>) -> Self {
        let limits = handler.limits();
        Self {
            handler,
            peer,
            limits,
            closing,
            parser: RequestParser::new(limits.parser),
            pending: VecDeque::new(),
            turns: TurnCounter::default(),
            read_count: 0,
            reads_requests: true,
            is_closing: false,
            active_at: Instant::now(),
            output: BytesMut::new(),
        }
    }

    /// Serves the connection until it ends. Requests that are not answered by then are cancelled.
    pub(crate) async fn serve(mut self, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=socket_option_failed peer={} cause=\"{error}\"", self.peer);
        }
        let (mut reader, mut writer) = stream.into_split();
        match self.run(&mut reader, &mut writer).await {
            Ok(ConnectionEnd::AfterResponse) => linger(&mut reader, &mut writer).await,
            // Bytes that arrive now are not read, so that the caller can tell that its request was
            // not either.
            Ok(ConnectionEnd::Idle) => {}
            Err(cause) => {
                log::debug!("event=caller_connection_failed peer={} cause=\"{cause}\"", self.peer);
                // A response without a length would look complete if the connection just ended.
                if let Err(error) = reset_on_close(writer.as_ref()) {
                    log::debug!("event=socket_option_failed peer={} cause=\"{error}\"", self.peer);
                }
                // Dropping it would end the stream in order before the reset.
                writer.forget();
            }
        }
    }

    /// Returns when the connection is to be closed, with an error if a response could not be sent
    /// completely or the caller has left.
    async fn run(
        &mut self,
        reader: &mut OwnedReadHalf,
        writer: &mut OwnedWriteHalf,
    ) -> Result<ConnectionEnd, String> {
        loop {
            self.start_requests();
            if self.pending.is_empty() {
                if !self.reads_requests {
                    return Ok(ConnectionEnd::AfterResponse);
                }
                if self.parser.awaits_continue() {
                    ResponseEncoder::put_continue(&mut self.output);
                    self.flush(writer).await?;
                    self.parser.set_continued();
                }
            }
            match self.next_event(reader).await {
                ConnectionEvent::Response(response) => {
                    self.send_response(writer, response).await?;
                }
                ConnectionEvent::Received(0) => return Err("closed by the caller".to_owned()),
                ConnectionEvent::Received(_) => {}
                ConnectionEvent::Failed(cause) => return Err(cause),
                ConnectionEvent::TimedOut => return Ok(ConnectionEnd::Idle),
                ConnectionEvent::Closing if self.expects_request(reader) => {
                    self.is_closing = true;
                    self.active_at = Instant::now();
                }
                ConnectionEvent::Closing if self.pending.is_empty() => {
                    return Ok(ConnectionEnd::Idle);
                }
                ConnectionEvent::Closing => {
                    self.is_closing = true;
                    self.reads_requests = false;
                }
            }
        }
    }

    /// Whether a request is on its way on this connection when the host closes: the first one of a
    /// new connection, or one of which a part has arrived.
    fn expects_request(&mut self, reader: &OwnedReadHalf) -> bool {
        if !self.reads_requests {
            return false;
        }
        let buffer = self.parser.buffer();
        buffer.reserve(READ_BYTES);
        let has_arrived = matches!(reader.try_read_buf(buffer), Ok(count) if count > 0);
        has_arrived || self.read_count == 0 || self.parser.is_within_request()
    }

    /// Starts the handlers of complete requests.
    fn start_requests(&mut self) {
        while self.reads_requests && self.pending.len() < MAX_PIPELINE_DEPTH {
            match self.parser.next_request() {
                Ok(Some(parsed)) => self.start_request(parsed),
                Ok(None) => return,
                Err(error) => {
                    let response = self.handler.refuse(error);
                    self.push(Method::GET, Version::HTTP_11, false, async move { response });
                }
            }
        }
    }

    fn start_request(&mut self, parsed: ParsedRequest) {
        let ParsedRequest { request, keeps_alive } = parsed;
        let (method, version) = (request.method().clone(), request.version());
        let turn = self.turns.turn(self.read_count);
        if !self.pending.is_empty() {
            self.handler.count_pipelined();
        }
        let response = self.handler.clone().respond(request, turn);
        // A host that shuts down takes no further request from the connection, so that the response
        // to the last one it has read can announce the end.
        let is_last = self.handler.is_stopping() || self.is_closing;
        self.push(method, version, keeps_alive && !is_last, response);
    }

    fn push(
        &mut self,
        method: Method,
        version: Version,
        keeps_alive: bool,
        response: impl Future<Output = Response<ResponseBody>> + 'static,
    ) {
        self.reads_requests &= keeps_alive;
        self.read_count += 1;
        self.active_at = Instant::now();
        let task = spawn_local(response);
        self.pending.push_back(PendingResponse { method, version, keeps_alive, task });
    }

    async fn next_event(&mut self, reader: &mut OwnedReadHalf) -> ConnectionEvent {
        let is_idle = self.pending.is_empty();
        let idle_end = self.idle_end();
        // Reading goes on while requests run, since it shows that the caller has left.
        let has_room = self.parser.buffered() <= self.limits.parser.head_bytes;
        let buffer = self.parser.buffer();
        if has_room {
            buffer.reserve(READ_BYTES);
        }
        let front = self.pending.front_mut().map(|pending| &mut pending.task);
        let response = async {
            match front {
                Some(task) => task.await.map_err(|error| error.to_string()),
                None => std::future::pending().await,
            }
        };
        let event = tokio::select! {
            biased;
            response = response => match response {
                Ok(response) => ConnectionEvent::Response(response),
                Err(cause) => ConnectionEvent::Failed(cause),
            },
            received = reader.read_buf(buffer), if has_room => match received {
                Ok(count) => ConnectionEvent::Received(count),
                Err(error) => ConnectionEvent::Failed(error.to_string()),
            },
            () = tokio::time::sleep_until(idle_end), if is_idle => ConnectionEvent::TimedOut,
            _ = self.closing.wait_for(|closing| *closing), if !self.is_closing => {
                ConnectionEvent::Closing
            }
        };
        if matches!(event, ConnectionEvent::Received(_)) && self.parser.is_within_body() {
            self.active_at = Instant::now();
        }
        event
    }

    /// When an idle connection is closed.
    fn idle_end(&self) -> Instant {
        let limit = if self.is_closing { LAST_REQUEST_TIME } else { self.limits.idle_timeout };
        self.active_at + limit
    }

    async fn send_response(
        &mut self,
        writer: &mut OwnedWriteHalf,
        response: Response<ResponseBody>,
    ) -> Result<(), String> {
        let Some(pending) = self.pending.pop_front() else { return Ok(()) };
        let is_last = !pending.keeps_alive || (!self.reads_requests && self.pending.is_empty());
        // A host that shuts down announces the end with the last response that it will send.
        let stops = self.pending.is_empty() && self.handler.is_stopping();
        let closes = is_last || stops;
        self.reads_requests &= !closes;
        let encoder = ResponseEncoder::new(&pending.method, pending.version, closes);
        let framing = encoder.put_head(&response, response.body().len(), &mut self.output);
        match response.into_body() {
            ResponseBody::Whole(body) => {
                ResponseEncoder::put_piece(framing, &body, &mut self.output);
            }
            ResponseBody::Streamed { mut pieces, deadline, .. } => {
                while let Some(piece) = pieces.next_piece().await? {
                    ResponseEncoder::put_piece(framing, &piece, &mut self.output);
                    let flushed = timeout_at(deadline, self.flush(writer)).await;
                    flushed.unwrap_or_else(|_| Err("the caller reads too slowly".to_owned()))?;
                }
            }
        }
        ResponseEncoder::put_end(framing, &mut self.output);
        self.flush(writer).await?;
        self.turns.advance();
        self.active_at = Instant::now();
        Ok(())
    }

    async fn flush(&mut self, writer: &mut OwnedWriteHalf) -> Result<(), String> {
        while self.output.has_remaining() {
            match timeout(WRITE_TIMEOUT, writer.write_buf(&mut self.output)).await {
                Ok(Ok(0)) => return Err("the connection takes no data".to_owned()),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(error.to_string()),
                Err(_) => return Err("the caller does not read".to_owned()),
            }
        }
        Ok(())
    }
}

/// Ends a connection after its last response.
async fn linger(reader: &mut OwnedReadHalf, writer: &mut OwnedWriteHalf) {
    let end = Instant::now() + LINGER_TIME;
    if writer.shutdown().await.is_err() {
        return;
    }
    let mut dropped = [0; 1024];
    while let Ok(Ok(count)) = timeout_at(end, reader.read(&mut dropped)).await {
        if count == 0 {
            return;
        }
    }
}
