//! Minimal target for examples and tests. It announces itself, and its responses name the target
//! and the request.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Announcement of a stand-in target and the hosts that receive it.
#[derive(Clone, Debug)]
pub struct StandInOptions {
    /// Name of the target.
    pub target: String,
    /// Service that the target belongs to.
    pub service: String,
    /// Prefix of the request paths that belong to the service.
    pub path_prefix: String,
    /// Whether the service is keyed. The key is the second segment of the path.
    pub keyed: bool,
    /// Availability zone of the target.
    pub zone: String,
    /// Registration token of the service, which authorizes the announcement.
    pub token: String,
    /// Addresses at which hosts accept announcements. Each announcement goes to the next one.
    pub hosts: Vec<SocketAddr>,
}

/// A request that a stand-in target received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// Method and URI, separated by a space.
    pub line: String,
    /// Fencing token of the request; absent if it has none.
    pub token: Option<String>,
}

/// A running stand-in target.
#[derive(Clone, Debug)]
pub struct StandInTarget {
    options: Arc<StandInOptions>,
    address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl StandInTarget {
    /// Starts a target that listens on a free loopback port and announces itself every 500 ms.
    ///
    /// # Errors
    ///
    /// Returns an error if the target cannot listen.
    pub async fn start(options: StandInOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let target = Self { options: Arc::new(options), address, received: Arc::default() };
        tokio::spawn(target.clone().serve(listener));
        tokio::spawn(target.clone().announce());
        Ok(target)
    }

    /// Returns the requests that the target received, in order.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let target = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| target.answer(request));
                let server = hyper::server::conn::http1::Builder::new();
                // Ends when the dispatcher closes the connection. Errors are ignored.
                server.serve_connection(TokioIo::new(stream), service).await.ok();
            });
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let line = format!("{} {}", request.method(), request.uri());
        let token = request.headers().get("galenawheel-token");
        let token = token.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let body = request.into_body().collect().await.map(|body| body.to_bytes());
        let len = body.map_or(0, |body| body.len());
        let received = ReceivedRequest { line: line.clone(), token };
        self.received.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(received);
        let text = format!("{} answers {line} with a body of {len} bytes\n", self.options.target);
        Ok(Response::new(Full::from(text)))
    }

    async fn announce(self) {
        let body = announcement(&self.options, self.address);
        for attempt in 0.. {
            let host = self.options.hosts[attempt % self.options.hosts.len()];
            // Errors are ignored, because the next announcement goes to another host.
            let request = post(host, &self.options.token, body.clone());
            tokio::time::timeout(Duration::from_secs(1), request).await.ok();
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }
}

fn announcement(options: &StandInOptions, address: SocketAddr) -> String {
    let key = options.keyed.then(|| serde_json::json!({ "path_segment": 1 }));
    let body = serde_json::json!({
        "service": options.service,
        "route": { "path_prefix": options.path_prefix },
        "key": key,
        "profile": "default",
        "target": options.target,
        "address": address,
        "zone": options.zone,
        "boot_id": 1,
    });
    body.to_string()
}

async fn post(host: SocketAddr, token: &str, body: String) -> io::Result<()> {
    let stream = TcpStream::connect(host).await?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let request = Request::post("/v1/targets/announce")
        .header("host", host.to_string())
        .header("authorization", format!("Bearer {token}"))
        .header("content-type", "application/json")
        .body(Full::<Bytes>::from(body))
        .map_err(io::Error::other)?;
    let answer = sender.send_request(request).await.map_err(io::Error::other)?;
    answer.into_body().collect().await.map_err(io::Error::other)?;
    Ok(())
}
