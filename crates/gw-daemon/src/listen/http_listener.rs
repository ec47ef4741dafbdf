use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use super::CallerConnection;
use super::connection_driver::drive_connection;
use crate::ShutdownHandle;
use crate::ShutdownPhase;
use crate::http::ResponseBody;
use crate::metrics::TrafficMetrics;
use crate::settings::LimitSettings;

/// Delay after a failed `accept`. Without it, a persistent error such as too many open files would
/// cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

pub(crate) type ResponseFuture = Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>;

/// Handles the requests of a listener.
pub(crate) trait HttpService: Send + Sync {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: Arc<CallerConnection>,
    ) -> ResponseFuture;
}

/// Dependencies of an [`HttpListener`].
#[derive(Clone)]
pub(crate) struct ListenerParts {
    pub(crate) service: Arc<dyn HttpService>,
    pub(crate) limits: LimitSettings,
    pub(crate) metrics: Arc<TrafficMetrics>,
    pub(crate) shutdown: ShutdownHandle,
}

/// Accepts connections and serves HTTP/1.1 on them.
pub(crate) struct HttpListener {
    pub(crate) listener: TcpListener,
    pub(crate) parts: ListenerParts,
}

impl HttpListener {
    /// Accepts connections until a shutdown, then waits for the open connections to end. An
    /// immediate shutdown closes them.
    pub(crate) async fn run(self) {
        let Self { listener, parts } = self;
        let permits = Arc::new(Semaphore::new(parts.limits.connections));
        let mut tasks = JoinSet::new();
        let graceful = parts.shutdown.reached(ShutdownPhase::Graceful);
        tokio::pin!(graceful);
        loop {
            let permit = tokio::select! {
                permit = permits.clone().acquire_owned() => permit,
                () = &mut graceful => break,
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = &mut graceful => break,
                Some(_) = tasks.join_next() => continue,
            };
            let Some((stream, peer)) = check_accepted(accepted).await else { continue };
            let parts = parts.clone();
            tasks.spawn(async move {
                parts.metrics.connection_opened();
                drive_connection(stream, peer, &parts).await;
                parts.metrics.connection_closed();
                drop(permit);
            });
        }
        // Closing the listener makes the platform's load balancer use other hosts.
        drop(listener);
        let immediate = parts.shutdown.reached(ShutdownPhase::Immediate);
        let ended = async { while tasks.join_next().await.is_some() {} };
        tokio::select! {
            () = ended => {}
            () = immediate => {}
        }
    }
}

async fn check_accepted(
    accepted: io::Result<(TcpStream, SocketAddr)>,
) -> Option<(TcpStream, SocketAddr)> {
    match accepted {
        Ok(connection) => Some(connection),
        Err(error) => {
            log::warn!("event=accept_failed error={error:?}");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}
