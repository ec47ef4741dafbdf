//! Compares throughput and latency of four paths to a target in one run: a direct connection, a
//! minimal hyper forwarder, one hop and two hops.
//!
//! Each role has a separate runtime with the same number of worker threads. Prints for each path
//! the requests per second and the 50th and 99th percentile of the request duration.

#[path = "../tests/support/mod.rs"]
mod support;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gw_daemon::settings::LimitSettings;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::client::conn::http1::SendRequest;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use support::Layout;
use support::TestHost;
use support::start_hosts;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

const WORKER_THREADS: usize = 2;
const CONNECTIONS: usize = 32;
const WARM_UP_TIME: Duration = Duration::from_millis(500);
const MEASURED_TIME: Duration = Duration::from_secs(3);
const ROUNDS: usize = 3;
const RESPONSE_BODY: &[u8] = &[b'x'; 200];

fn runtime(worker_threads: usize) -> Runtime {
    Builder::new_multi_thread().worker_threads(worker_threads).enable_all().build().unwrap()
}

async fn connect<B>(address: SocketAddr) -> SendRequest<B>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(async move { connection.await.ok() });
    sender
}

async fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            let respond = service_fn(|_: Request<Incoming>| async {
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(RESPONSE_BODY))))
            });
            tokio::spawn(server::Builder::new().serve_connection(TokioIo::new(stream), respond));
        }
    });
    address
}

type BarePool = Arc<Mutex<Vec<SendRequest<Incoming>>>>;

/// Starts the baseline forwarder, which only relays each request over a pooled connection.
async fn start_bare_forwarder(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = BarePool::default();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            let pool = pool.clone();
            let forward = service_fn(move |request| forward_bare(pool.clone(), target, request));
            tokio::spawn(server::Builder::new().serve_connection(TokioIo::new(stream), forward));
        }
    });
    address
}

async fn forward_bare(
    pool: BarePool,
    target: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<Incoming>, hyper::Error> {
    let idle = pool.lock().unwrap().pop();
    let mut sender = match idle {
        Some(sender) => sender,
        None => connect(target).await,
    };
    sender.ready().await?;
    let response = sender.send_request(request).await;
    pool.lock().unwrap().push(sender);
    response
}

async fn send_until(address: SocketAddr, end: Instant) -> Histogram<u64> {
    let mut sender = connect::<Empty<Bytes>>(address).await;
    let mut times = Histogram::new(3).unwrap();
    while Instant::now() < end {
        let request = Request::get("/slips/slip-12345678").header("host", "bench");
        let started = Instant::now();
        sender.ready().await.unwrap();
        let response = sender.send_request(request.body(Empty::new()).unwrap()).await.unwrap();
        assert_eq!(response.status(), 200);
        let body = response.into_body().collect().await.unwrap().to_bytes();
        assert_eq!(body.len(), RESPONSE_BODY.len());
        times.record(started.elapsed().as_micros() as u64).unwrap();
    }
    times
}

fn measure(callers: &Runtime, address: SocketAddr, length: Duration) -> Histogram<u64> {
    let end = Instant::now() + length;
    let tasks: Vec<_> = (0..CONNECTIONS).map(|_| callers.spawn(send_until(address, end))).collect();
    let mut total = Histogram::new(3).unwrap();
    for task in tasks {
        total.add(callers.block_on(task).unwrap()).unwrap();
    }
    total
}

/// Starts `count` hosts, of which the last one is the dispatcher of the target.
fn start_path(runtime: &Runtime, count: u16, target: SocketAddr) -> Vec<TestHost> {
    let _guard = runtime.enter();
    let hosts = start_hosts(count, &LimitSettings::default());
    let layout = Layout { work_slots: 64, ..Layout::keyed(target, count) };
    hosts.iter().for_each(|host| host.publish(&layout));
    hosts
}

fn main() {
    let (callers, targets) = (runtime(WORKER_THREADS), runtime(WORKER_THREADS));
    let target = targets.block_on(start_target());
    let bare = runtime(WORKER_THREADS);
    let forwarder = bare.block_on(start_bare_forwarder(target));
    // The two hosts of the longer path share a runtime with twice the number of threads.
    let (one, two) = (runtime(WORKER_THREADS), runtime(2 * WORKER_THREADS));
    let (one_hop, two_hops) = (start_path(&one, 1, target), start_path(&two, 2, target));
    let paths = [
        ("direct", target),
        ("bare forwarder", forwarder),
        ("one hop", one_hop[0].callers),
        ("two hops", two_hops[0].callers),
    ];
    println!("{WORKER_THREADS} worker threads a role, {CONNECTIONS} connections, GET, 200 bytes");
    for round in 1..=ROUNDS {
        for (name, address) in paths {
            measure(&callers, address, WARM_UP_TIME);
            let times = measure(&callers, address, MEASURED_TIME);
            let rate = times.len() as f64 / MEASURED_TIME.as_secs_f64();
            let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
            println!("round {round} {name:15} {rate:9.0} requests/s p50 {p50:5} us p99 {p99:5} us");
        }
    }
}
