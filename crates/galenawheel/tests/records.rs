//! Idempotency records after the loss of hosts, and overrides of hot keys, with host processes on
//! loopback.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use galenawheel::layout::Layout;
use galenawheel::layout::LayoutHost;
use galenawheel::layout::WrittenLayout;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Maximum wait for a condition. Only a test that hangs reaches it.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Service time of a `GET`, long enough for the requests of one key to load a target.
const GET_TIME: Duration = Duration::from_millis(20);

struct Reply {
    status: u16,
    outcome: String,
    body: String,
}

/// Sends a request on a new connection. Returns `None` if the response fails or takes over 5 s.
async fn call(port: u16, method: Method, path: &str, fields: &[(&str, &str)]) -> Option<Reply> {
    let exchange = async {
        let stream = TcpStream::connect(("127.0.0.1", port)).await.ok()?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let mut request = Request::builder().method(method).uri(path).header("host", "localhost");
        for (name, value) in fields {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::<Bytes>::from("x")).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let outcome = response.headers().get("galenawheel-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(Reply { status, outcome, body: String::from_utf8_lossy(&body).into_owned() })
    };
    tokio::time::timeout(Duration::from_secs(5), exchange).await.ok().flatten()
}

/// Repeats the request until a reply satisfies `is_expected`, and returns that reply.
async fn call_until(
    what: &str,
    port: u16,
    (method, path): (Method, &str),
    fields: &[(&str, &str)],
    is_expected: impl Fn(&Reply) -> bool,
) -> Reply {
    let retries = async {
        loop {
            if let Some(reply) = call(port, method.clone(), path, fields).await
                && is_expected(&reply)
            {
                return reply;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let reply = tokio::time::timeout(WAIT_LIMIT, retries).await;
    reply.unwrap_or_else(|_| panic!("not met: {what}"))
}

/// Target that counts the `POST` requests that it runs.
#[derive(Clone)]
struct CountingTarget {
    name: &'static str,
    runs: Arc<AtomicUsize>,
}

impl CountingTarget {
    async fn start(
        name: &'static str,
        service: &str,
        keyed: bool,
        zone: &str,
        written: &WrittenLayout,
    ) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = Self { name, runs: Arc::default() };
        tokio::spawn(target.clone().serve(listener));
        let key = keyed.then(|| serde_json::json!({ "path_segment": 1 }));
        let body = serde_json::json!({
            "service": service,
            "route": { "path_prefix": format!("/{service}") },
            "key": key,
            "profile": "default",
            "target": name,
            "address": address,
            "zone": zone,
            "boot_id": 1,
        });
        let hosts: Vec<u16> = written.hosts.iter().map(|host| host.target_port).collect();
        tokio::spawn(announce(hosts, written.registration_token.clone(), body.to_string()));
        target
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let target = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| target.answer(request));
                let server = hyper::server::conn::http1::Builder::new();
                server.serve_connection(TokioIo::new(stream), service).await.ok();
            });
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let is_post = *request.method() == Method::POST;
        request.into_body().collect().await.ok();
        if !is_post {
            tokio::time::sleep(GET_TIME).await;
            return Ok(Response::new(Full::from(self.name)));
        }
        let run = self.runs.fetch_add(1, Ordering::SeqCst);
        Ok(Response::new(Full::from(format!("{} run {run}", self.name))))
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

/// Announces a target to all hosts in turn.
async fn announce(hosts: Vec<u16>, token: String, body: String) {
    for attempt in 0.. {
        let host = SocketAddr::from(([127, 0, 0, 1], hosts[attempt % hosts.len()]));
        let exchange = async {
            let stream = TcpStream::connect(host).await.ok()?;
            let (mut sender, connection) =
                hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            let request = Request::post("/v1/targets/announce")
                .header("host", host.to_string())
                .header("authorization", format!("Bearer {token}"))
                .body(Full::<Bytes>::from(body.clone()))
                .ok()?;
            sender.send_request(request).await.ok()
        };
        tokio::time::timeout(Duration::from_millis(300), exchange).await.ok();
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

/// Entry hosts, each in its own process. Dropping this kills them.
struct System {
    folder: PathBuf,
    written: WrittenLayout,
    processes: Vec<Option<Child>>,
    token: String,
}

impl System {
    fn start(name: &str, zones: &[(&str, usize)], control: &[usize], services: &[&str]) -> Self {
        let folder = std::env::temp_dir().join(format!("gw-{name}-{}", std::process::id()));
        let count: usize = zones.iter().map(|(_, hosts)| hosts).sum();
        let layout = Layout {
            zones: zones.iter().map(|(zone, hosts)| ((*zone).to_owned(), *hosts)).collect(),
            control: control.to_vec(),
            base_port: free_ports(count as u16 * 10),
            services: services.iter().map(|service| (*service).to_owned()).collect(),
        };
        let mut byte = 0;
        let random = |bytes: &mut [u8]| {
            byte += 1;
            bytes.fill(byte);
        };
        let written = layout.write(&folder, random).unwrap();
        let token =
            std::fs::read_to_string(&written.operators_token_path).unwrap().trim().to_owned();
        let processes = (0..count).map(|_| None).collect();
        let mut system = Self { folder, written, processes, token };
        (0..count).for_each(|position| system.start_host(position));
        system
    }

    fn start_host(&mut self, position: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_galenawheel-entry"));
        command.arg("--settings").arg(&self.written.hosts[position].settings_path);
        let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
        self.processes[position] = Some(child);
    }

    /// Kills a host with SIGKILL.
    fn kill(&mut self, position: usize) {
        if let Some(mut child) = self.processes[position].take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Returns the positions and hosts whose process runs.
    fn hosts(&self) -> impl Iterator<Item = (usize, &LayoutHost)> {
        let live = self.written.hosts.iter().enumerate();
        live.filter(|(position, _)| self.processes[*position].is_some())
    }

    /// Returns the entry of `target` in the status of `host`.
    async fn target_status(&self, host: &LayoutHost, target: &str) -> Option<serde_json::Value> {
        let authorization = format!("Bearer {}", self.token);
        let fields = [("authorization", authorization.as_str())];
        let reply = call(host.operator_port, Method::GET, "/v1/status", &fields).await?;
        let status: serde_json::Value = serde_json::from_str(&reply.body).ok()?;
        let zones = status["zones"].as_array()?.iter();
        let mut targets = zones.flat_map(|zone| zone["targets"].as_array().into_iter().flatten());
        targets.find(|entry| entry["target"] == target).cloned()
    }

    /// Returns the position of the host that dispatches to `target`.
    async fn dispatcher_of(&self, target: &str) -> usize {
        let (_, host) = self.hosts().next().unwrap();
        let entry = self.target_status(host, target).await.unwrap();
        let name = entry["dispatcher"].as_str().unwrap();
        self.written.hosts.iter().position(|host| host.name == name).unwrap()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        (0..self.processes.len()).for_each(|position| self.kill(position));
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Returns the first of `count` consecutive free ports that no other test of this process uses.
fn free_ports(count: u16) -> u16 {
    static NEXT: Mutex<u16> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    // Below the range of ephemeral ports, which outgoing connections use.
    let first = 20_000 + (std::process::id() % 100) as u16 * 100;
    let is_free = |port: u16| StdListener::bind(("127.0.0.1", port)).is_ok();
    let mut starts = (first.max(*next)..32_000).step_by(usize::from(count));
    let start = starts.find(|start| (*start..start + count).all(is_free)).expect("free ports");
    *next = start + count;
    start
}

/// Guards against a resent request that runs again after its dispatcher was killed, or after that
/// host was restarted, in a keyed and an unkeyed service. New requests must still run after the
/// loss.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn records_outlive_their_dispatcher() {
    for (service, keyed) in [("slipreader", true), ("attestor", false)] {
        let zones = [("a", 2), ("b", 1), ("c", 1)];
        let mut system = System::start(service, &zones, &[0, 2, 3], &[service]);
        let targets = [
            CountingTarget::start("t1", service, keyed, "a", &system.written).await,
            CountingTarget::start("t2", service, keyed, "a", &system.written).await,
        ];
        let runs = || targets.iter().map(CountingTarget::runs).sum::<usize>();
        let path = format!("/{service}/k1");
        let post = (Method::POST, path.as_str());
        let is_answered = |reply: &Reply| reply.outcome == "answered";
        let key = [("idempotency-key", "first")];
        let mut stored = String::new();
        for (_, host) in system.hosts() {
            let what = "the request is answered";
            let reply = call_until(what, host.caller_port, post.clone(), &key, is_answered).await;
            if stored.is_empty() {
                stored = reply.body.clone();
            }
            assert_eq!((reply.status, &reply.body), (200, &stored), "{service}");
        }
        assert_eq!(runs(), 1, "{service}");
        let target = stored.split(' ').next().unwrap().to_owned();
        let lost = system.dispatcher_of(&target).await;
        system.kill(lost);
        let next = [("idempotency-key", "second")];
        for (_, host) in system.hosts() {
            let what = "another request is answered";
            call_until(what, host.caller_port, post.clone(), &next, is_answered).await;
            let what = "the stored answer is given";
            let again = call_until(what, host.caller_port, post.clone(), &key, is_answered).await;
            assert_eq!(again.body, stored, "{service}");
        }
        assert_eq!(runs(), 2, "{service}");
        system.start_host(lost);
        let port = system.written.hosts[lost].caller_port;
        let what = "the restarted host gives the stored answer";
        let again = call_until(what, port, post.clone(), &key, is_answered).await;
        assert_eq!(again.body, stored, "{service}");
        assert_eq!(runs(), 2, "{service}");
    }
}

/// Guards against a resent request that runs again after all hosts lost their idempotency records
/// in a restart: services that a host replays from the control log at its start must not count as
/// new services, which have no earlier records.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_restart_of_all_hosts_refuses_resends() {
    let mut system = System::start("restart", &[("a", 2), ("b", 1)], &[0, 1, 2], &["attestor"]);
    let target = CountingTarget::start("t1", "attestor", false, "a", &system.written).await;
    let path = "/attestor/k1";
    let key = [("idempotency-key", "first")];
    let is_answered = |reply: &Reply| reply.outcome == "answered";
    let port = system.written.hosts[0].caller_port;
    let post = (Method::POST, path);
    call_until("the request is answered", port, post.clone(), &key, is_answered).await;
    (0..3).for_each(|position| system.kill(position));
    (0..3).for_each(|position| system.start_host(position));
    call_until("reads are answered", port, (Method::GET, path), &[], is_answered).await;
    for (_, host) in system.hosts() {
        let is_decided = |reply: &Reply| reply.body.contains("records") || is_answered(reply);
        let what = "the resend is refused";
        let again = call_until(what, host.caller_port, post.clone(), &key, is_decided).await;
        assert_eq!((again.status, again.outcome.as_str()), (503, "not-run"));
    }
    assert_eq!(target.runs(), 1);
}

/// Guards against load reports that do not reach the zone leader, so that hot keys get no override.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_hot_key_gets_an_override() {
    let system = System::start("hot-key", &[("a", 2)], &[0], &["slipreader"]);
    for name in ["t1", "t2"] {
        CountingTarget::start(name, "slipreader", true, "a", &system.written).await;
    }
    let callers: Vec<u16> = system.written.hosts.iter().map(|host| host.caller_port).collect();
    let is_served = |reply: &Reply| reply.status == 200;
    let mut owned = Vec::new();
    let mut number = 0;
    // Finds two keys of the same target, whose load halves when one of them moves.
    while owned.len() < 2 {
        let path = format!("/slipreader/key{number}");
        number += 1;
        let reply = call_until("serves", callers[0], (Method::GET, &path), &[], is_served).await;
        if reply.body == "t1" {
            owned.push(path);
        }
    }
    let loads = (0..4).map(|number| {
        let (port, path) = (callers[number % 2], owned[number / 2].clone());
        tokio::spawn(async move {
            loop {
                call(port, Method::GET, &path, &[]).await;
            }
        })
    });
    let loads: Vec<_> = loads.collect();
    let host = &system.written.hosts[1];
    let wait = async {
        loop {
            for target in ["t1", "t2"] {
                let entry = system.target_status(host, target).await;
                if entry.is_some_and(|entry| entry["keys"].as_u64() == Some(1)) {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, wait).await.expect("an override");
    loads.iter().for_each(|load| load.abort());
}
