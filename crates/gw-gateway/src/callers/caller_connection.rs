use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use gw_balance::ConnectionState;
use gw_balance::DemandAnswer;
use gw_pipeline::BodyFraming;
use gw_pipeline::ParseError;
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
use crate::memory::BODY_STEP_BYTES;
use crate::memory::ConnectionMemory;
use crate::memory::HeldBytes;
use crate::targets::reset_on_close;

/// Largest number of requests of a connection that are read and not answered yet.
const MAX_PIPELINE_DEPTH: usize = 16;
/// Bytes for which room is made before a read.
const READ_BYTES: usize = 2 * 1024;
/// Heads that are not complete are not counted up to this size, in bytes: the limit on connections
/// bounds their sum.
const SMALL_BYTES: usize = 4 * 1024;
/// Memory of a parsed head, as a multiple of its length.
const PARSED_HEAD_FACTOR: usize = 2;
/// Memory of a request that waits or runs beside its head, its body and the future of its handler, in
/// bytes: its task and its place in queues.
const REQUEST_BYTES: usize = 2 * 1024;
/// Memory of the head of a response, in bytes.
const RESPONSE_HEAD_BYTES: usize = 1024;
/// Memory of a response that is forwarded as it arrives: the buffer of the target's connection and one
/// piece.
const STREAM_BYTES: usize = 72 * 1024;
/// Largest body of a response, in bytes, that is copied to be sent in one piece with its head.
const MAX_COPIED_BYTES: usize = 16 * 1024;
/// Longest time for which a caller may accept no byte of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a connection may deliver a request that was on its way when the host closed: the
/// first one of a new connection, or one that has arrived in part.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Time for which bytes of the caller are read and dropped after the last response. Closing with
/// unread bytes resets the connection, and the caller could lose that response.
const LINGER_TIME: Duration = Duration::from_millis(100);
/// Bytes that are dropped at once then: a refused body may still be on its way.
const LINGER_READ_BYTES: usize = 16 * 1024;

/// A request that is read and not answered yet.
struct PendingResponse {
    method: Method,
    version: Version,
    /// Whether the caller expects further responses on the connection.
    keeps_alive: bool,
    task: JoinHandle<ReadyResponse>,
}

/// A response that can be sent.
struct ReadyResponse {
    response: Response<ResponseBody>,
    /// What it holds until it is sent.
    held: HeldBytes,
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
    Response(ReadyResponse),
    /// Number of bytes received; 0 at the end of the stream.
    Received(usize),
    /// The response could not be computed, or the connection has failed.
    Failed(String),
    TimedOut,
    Closing,
    /// Whether the memory for the body that is arriving was granted.
    Decided(bool),
    /// The memory or descriptor of the connection is needed.
    Shed,
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
    memory: ConnectionMemory,
    /// Bytes for which the body that is arriving waits; nothing is read meanwhile.
    awaited: Option<usize>,
}

impl<H: CallerHandler + 'static> CallerConnection<H> {
    pub(crate) fn new(
        handler: Rc<H>,
        peer: SocketAddr,
        closing: watch::Receiver<bool>,
        memory: ConnectionMemory,
    ) -> Self {
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
            memory,
            awaited: None,
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
            self.demand_memory();
            if self.pending.is_empty() {
                if !self.reads_requests {
                    return Ok(ConnectionEnd::AfterResponse);
                }
                if self.awaited.is_none() && self.parser.awaits_continue() {
                    ResponseEncoder::put_continue(&mut self.output);
                    self.flush(writer).await?;
                    self.parser.set_continued();
                }
            }
            self.record_state();
            match self.next_event(reader).await {
                ConnectionEvent::Response(ready) => {
                    self.send_response(writer, ready).await?;
                }
                ConnectionEvent::Decided(is_granted) => self.take_decision(is_granted),
                // The caller may have sent something in the meantime.
                ConnectionEvent::Shed if self.pending.is_empty() && !self.has_arrived(reader) => {
                    return Ok(ConnectionEnd::Idle);
                }
                ConnectionEvent::Shed => self.memory.keep_open(),
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
        self.has_arrived(reader) || self.read_count == 0 || self.parser.is_within_request()
    }

    /// Reads what has arrived, if anything has.
    fn has_arrived(&mut self, reader: &OwnedReadHalf) -> bool {
        match reader.try_read_buf(&mut self.parser.read_buffer(READ_BYTES)) {
            Ok(count) => {
                self.parser.record_read(count);
                count > 0
            }
            Err(_) => false,
        }
    }

    /// Records what the connection does and what has arrived.
    fn record_state(&mut self) {
        let state = if !self.pending.is_empty() {
            ConnectionState::Running
        } else if self.parser.is_within_body() {
            ConnectionState::Body
        } else if self.parser.is_within_request() {
            ConnectionState::Head
        } else {
            ConnectionState::Idle
        };
        self.memory.set_state(state);
        let buffered = self.parser.buffered();
        self.memory.set_head_bytes(if buffered > SMALL_BYTES { buffered } else { 0 });
    }

    /// Acts on the decision about the memory for which the body that is arriving has waited.
    fn take_decision(&mut self, is_granted: bool) {
        let Some(bytes) = self.awaited.take() else { return };
        self.active_at = Instant::now();
        match is_granted {
            true => self.memory.set_granted(bytes),
            false => self.refuse_body(DemandAnswer::Refused),
        }
    }

    /// Makes sure that the body which is arriving has the memory for its next part, or waits for it.
    fn demand_memory(&mut self) {
        let Some((len, length)) = self.parser.body_len() else { return };
        let most = self.limits.parser.body_bytes;
        let needed = length.unwrap_or((len + BODY_STEP_BYTES).min(most));
        if self.awaited.is_some() || needed <= self.memory.granted() {
            return;
        }
        let bytes = length.unwrap_or_else(|| self.memory.next_size(needed, most));
        let head = self.parser.started_head();
        let max_wait = head.map_or(Duration::ZERO, |head| self.handler.max_body_wait(head));
        match self.memory.demand(bytes, max_wait) {
            DemandAnswer::Granted => {}
            DemandAnswer::Waiting => self.awaited = Some(bytes),
            answer => self.refuse_body(answer),
        }
    }

    /// Refuses the request whose body is arriving, of which nothing has been sent on.
    fn refuse_body(&mut self, answer: DemandAnswer) {
        self.drop_body();
        let response = match answer {
            DemandAnswer::TooLarge => self.handler.refuse(ParseError::BodyTooLarge),
            _ => self.handler.refuse_for_memory(),
        };
        self.push(Method::GET, Version::HTTP_11, false, async move { response });
    }

    fn drop_body(&mut self) {
        self.parser.clear();
        self.memory.drop_body();
    }

    /// Starts the handlers of complete requests.
    fn start_requests(&mut self) {
        while self.reads_requests && self.pending.len() < self.pipeline_depth() {
            match self.parser.next_request() {
                Ok(Some(parsed)) => self.start_request(parsed),
                Ok(None) => return,
                Err(error) => {
                    self.drop_body();
                    let response = self.handler.refuse(error);
                    self.push(Method::GET, Version::HTTP_11, false, async move { response });
                }
            }
        }
    }

    /// Number of requests that may be read and not answered now. What is read ahead waits while
    /// memory is short.
    fn pipeline_depth(&self) -> usize {
        let has_room = self.pending.is_empty() || !self.memory.gate().is_short();
        if has_room { MAX_PIPELINE_DEPTH } else { 1 }
    }

    fn start_request(&mut self, parsed: ParsedRequest) {
        let ParsedRequest { request, head_bytes, keeps_alive } = parsed;
        let (method, version) = (request.method().clone(), request.version());
        let turn = self.turns.turn(self.read_count);
        if !self.pending.is_empty() {
            self.handler.count_pipelined();
        }
        if self.memory.gate().is_exceeded() {
            self.memory.gate().count_refusal("memory_full");
            self.drop_body();
            let response = self.handler.refuse_for_memory();
            return self.push(method, version, false, async move { response });
        }
        let parsed_bytes = request.body().len() + head_bytes * PARSED_HEAD_FACTOR;
        // Each future that contains this one would otherwise have twice its size.
        let responding = Box::pin(self.handler.clone().respond(request, turn));
        let held =
            self.memory.finish_body(parsed_bytes + size_of_val(&*responding) + REQUEST_BYTES);
        let response = async move {
            let response = responding.await;
            drop(held);
            response
        };
        // A host that shuts down takes no further request from the connection, so that the response
        // to the last one it has read can announce the end.
        let is_last = self.is_ending() || self.is_closing;
        self.push(method, version, keeps_alive && !is_last, response);
    }

    /// Whether the connection is to end with its next response.
    fn is_ending(&self) -> bool {
        self.handler.is_stopping() || self.memory.is_retired()
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
        let hold = self.memory.response_holder();
        let task = spawn_local(async move {
            let response = response.await;
            let len = match response.body() {
                ResponseBody::Whole(body) => body.len(),
                ResponseBody::Streamed { .. } => STREAM_BYTES,
            };
            ReadyResponse { response, held: hold(len + RESPONSE_HEAD_BYTES) }
        });
        self.pending.push_back(PendingResponse { method, version, keeps_alive, task });
    }

    async fn next_event(&mut self, reader: &mut OwnedReadHalf) -> ConnectionEvent {
        let is_idle = self.pending.is_empty();
        let idle_end = self.idle_end();
        // Reading goes on while requests run, since it shows that the caller has left.
        let has_room =
            self.awaited.is_none() && self.parser.buffered() <= self.limits.parser.head_bytes;
        let mut buffer = self.parser.read_buffer(if has_room { READ_BYTES } else { 0 });
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
            received = reader.read_buf(&mut buffer), if has_room => match received {
                Ok(count) => ConnectionEvent::Received(count),
                Err(error) => ConnectionEvent::Failed(error.to_string()),
            },
            is_granted = self.memory.decision(), if self.awaited.is_some() => {
                ConnectionEvent::Decided(is_granted)
            }
            () = self.memory.told_to_close() => ConnectionEvent::Shed,
            () = tokio::time::sleep_until(idle_end), if is_idle => ConnectionEvent::TimedOut,
            _ = self.closing.wait_for(|closing| *closing), if !self.is_closing => {
                ConnectionEvent::Closing
            }
        };
        if let ConnectionEvent::Received(count) = event {
            self.parser.record_read(count);
            if self.parser.is_within_body() {
                self.active_at = Instant::now();
                self.memory.record_progress(count);
            }
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
        ready: ReadyResponse,
    ) -> Result<(), String> {
        let ReadyResponse { response, held } = ready;
        let Some(pending) = self.pending.pop_front() else { return Ok(()) };
        let is_last = !pending.keeps_alive || (!self.reads_requests && self.pending.is_empty());
        // A host that shuts down announces the end with the last response that it will send.
        let stops = self.pending.is_empty() && self.is_ending();
        let closes = is_last || stops;
        self.reads_requests &= !closes;
        let encoder = ResponseEncoder::new(&pending.method, pending.version, closes);
        let framing = encoder.put_head(&response, response.body().len(), &mut self.output);
        self.memory.set_state(ConnectionState::Sending);
        match response.into_body() {
            ResponseBody::Whole(mut body) if body.len() > MAX_COPIED_BYTES => {
                self.flush(writer).await?;
                if framing != BodyFraming::Empty {
                    self.write(writer, &mut body).await?;
                }
            }
            ResponseBody::Whole(body) => {
                ResponseEncoder::put_piece(framing, &body, &mut self.output);
            }
            ResponseBody::Streamed { mut pieces, deadline, .. } => {
                // While the target is waited for, the caller is not at fault.
                self.memory.set_state(ConnectionState::Running);
                while let Some(piece) = pieces.next_piece().await? {
                    self.memory.set_state(ConnectionState::Sending);
                    ResponseEncoder::put_piece(framing, &piece, &mut self.output);
                    let flushed = timeout_at(deadline, self.flush(writer)).await;
                    flushed.unwrap_or_else(|_| Err("the caller reads too slowly".to_owned()))?;
                    self.memory.set_state(ConnectionState::Running);
                }
            }
        }
        ResponseEncoder::put_end(framing, &mut self.output);
        self.flush(writer).await?;
        drop(held);
        self.turns.advance();
        self.active_at = Instant::now();
        Ok(())
    }

    async fn flush(&mut self, writer: &mut OwnedWriteHalf) -> Result<(), String> {
        let mut output = std::mem::take(&mut self.output);
        let written = self.write(writer, &mut output).await;
        // An idle connection keeps no large buffer.
        if output.capacity() <= MAX_COPIED_BYTES {
            self.output = output;
        }
        written
    }

    async fn write(&self, writer: &mut OwnedWriteHalf, bytes: &mut impl Buf) -> Result<(), String> {
        while bytes.has_remaining() {
            let written = tokio::select! {
                biased;
                written = timeout(WRITE_TIMEOUT, writer.write_buf(bytes)) => written,
                () = self.memory.told_to_close() => return Err("does not read".to_owned()),
            };
            match written {
                Ok(Ok(0)) => return Err("the connection takes no data".to_owned()),
                Ok(Ok(count)) if bytes.has_remaining() => self.memory.record_progress(count),
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
    while let Ok(Ok(())) = timeout_at(end, reader.readable()).await {
        match drop_arrived(reader) {
            Ok(count) if count > 0 => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

/// Reads what has arrived and drops it. The buffer is on the stack: hundreds of connections may linger
/// at the same time.
fn drop_arrived(reader: &OwnedReadHalf) -> io::Result<usize> {
    reader.try_read(&mut [0; LINGER_READ_BYTES])
}
