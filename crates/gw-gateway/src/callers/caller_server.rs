use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_balance::ConnectionGroup;
use gw_pipeline::ParseError;
use gw_pipeline::ParserLimits;
use gw_pipeline::RequestBody;
use http::Request;
use http::Response;
use http::request;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::callers::RequestTurn;
use crate::callers::ResponseBody;
use crate::callers::caller_connection::CallerConnection;
use crate::http_server::ACCEPT_RETRY_DELAY;
use crate::http_server::ConnectionCount;
use crate::http_server::ConnectionGuard;
use crate::http_server::take_waiting;
use crate::memory::MemoryGate;

/// Limits of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerLimits {
    pub(crate) parser: ParserLimits,
    /// Longest time that a connection may be idle, or take to deliver a request head.
    pub(crate) idle_timeout: Duration,
}

/// Handles the requests of callers.
pub(crate) trait CallerHandler {
    /// Returns the limits of a new connection.
    fn limits(&self) -> CallerLimits;

    /// Whether no further requests are to be read: responses announce the end of the connection.
    fn is_stopping(&self) -> bool;

    /// Responds to a request.
    fn respond(
        self: Rc<Self>,
        request: Request<RequestBody>,
        turn: RequestTurn,
    ) -> impl Future<Output = Response<ResponseBody>> + 'static;

    /// Responds to bytes that are not a request.
    fn refuse(&self, error: ParseError) -> Response<ResponseBody>;

    /// Responds to a request for whose body no memory is left. It has not been executed.
    fn refuse_for_memory(&self) -> Response<ResponseBody>;

    /// Longest time for which the body of a request may wait before it is read.
    fn max_body_wait(&self, head: &request::Parts) -> Duration;

    /// Memory of the host, and the group of its connections.
    fn memory(&self) -> (Rc<MemoryGate>, ConnectionGroup);

    /// Counts a request that was read before an earlier one of its connection was answered.
    fn count_pipelined(&self);
}

/// Serves callers until `closing` becomes true. Connections that were established by then are still
/// served: each gets a response to the requests that it has sent. Later ones are refused.
pub(crate) async fn serve_callers<H: CallerHandler + 'static>(
    listener: TcpListener,
    count: ConnectionCount,
    mut closing: watch::Receiver<bool>,
    handler: Rc<H>,
) {
    let shared = closing.clone();
    let (memory, group) = handler.memory();
    memory.bound_buffers(&listener);
    let start = |(stream, peer): (TcpStream, SocketAddr)| {
        let guard = ConnectionGuard::new(count.clone());
        let connection =
            CallerConnection::new(handler.clone(), peer, shared.clone(), memory.open(group));
        spawn_local(async move {
            connection.serve(stream).await;
            drop(guard);
        });
    };
    loop {
        tokio::select! {
            accepted = async {
                memory.connection_room(group).await;
                listener.accept().await
            } => match accepted {
                Ok(accepted) => start(accepted),
                Err(error) => {
                    log::warn!("event=accept_failed cause=\"{error}\"");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            _ = closing.wait_for(|closing| *closing) => break,
        }
    }
    take_waiting(listener).into_iter().for_each(start);
}
