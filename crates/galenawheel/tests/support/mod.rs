//! Hosts on loopback ports and the command line, both inside the test process.
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub(crate) mod dropping_proxy;

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use galenawheel::cli;
use galenawheel::layout::Layout;
use galenawheel::layout::LayoutHost;
use galenawheel::layout::WrittenLayout;
use galenawheel::stand_in::StandInOptions;
use galenawheel::stand_in::StandInTarget;
use gw_daemon::ShutdownHandle;
use gw_daemon::ShutdownPhase;
use gw_daemon::process::run_entry;
use gw_daemon::settings::HostSettings;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Maximum wait for a condition.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Number of ports that are reserved for each test system.
const PORT_STEP: u16 = 100;
static NEXT_PORTS: AtomicU16 = AtomicU16::new(0);

/// Exit code and output of a run of the command line.
#[derive(Clone, Debug)]
pub(crate) struct CliRun {
    pub(crate) code: u8,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs the command line inside the test process.
pub(crate) async fn run_cli(arguments: &[&str]) -> CliRun {
    let arguments = std::iter::once("galenawheel").chain(arguments.iter().copied());
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let status = cli::run(arguments.map(OsString::from), &mut out, &mut err).await;
    let text = |bytes| String::from_utf8(bytes).unwrap();
    CliRun { code: status.code(), out: text(out), err: text(err) }
}

/// Returns a new, empty folder for a test.
pub(crate) fn new_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("operators").join(name);
    fs::remove_dir_all(&folder).ok();
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// Hosts of a layout that run inside the test process.
pub(crate) struct TestSystem {
    pub(crate) folder: PathBuf,
    pub(crate) written: WrittenLayout,
    running: Vec<Option<(ShutdownHandle, JoinHandle<()>)>>,
}

impl TestSystem {
    /// Starts one host in each zone and waits until all are ready. `control` contains the positions
    /// of the hosts with a control replica.
    pub(crate) async fn start(name: &str, zones: &[&str], control: &[usize]) -> Self {
        let folder = new_folder(name);
        let layout = Layout {
            zones: zones.iter().map(|zone| ((*zone).to_owned(), 1)).collect(),
            control: control.to_vec(),
            base_port: free_ports(),
            services: vec!["slipreader".to_owned()],
        };
        let written = layout.write(&folder.join("hosts"), |bytes| rand::fill(bytes)).unwrap();
        let running = zones.iter().map(|_| None).collect();
        let mut system = Self { folder, written, running };
        for position in 0..zones.len() {
            system.start_host(position);
        }
        system.wait_ready().await;
        system
    }

    pub(crate) fn start_host(&mut self, position: usize) {
        let settings = HostSettings::load(&self.written.hosts[position].settings_path).unwrap();
        let shutdown = ShutdownHandle::default();
        let process = run_entry(settings, shutdown.clone());
        let task = tokio::spawn(async move { process.await.unwrap() });
        self.running[position] = Some((shutdown, task));
    }

    /// Stops a host without waiting for its connections.
    pub(crate) async fn stop_host(&mut self, position: usize) {
        let (shutdown, task) = self.running[position].take().unwrap();
        shutdown.advance(ShutdownPhase::Graceful);
        shutdown.advance(ShutdownPhase::Immediate);
        tokio::time::timeout(WAIT_LIMIT, task).await.unwrap().unwrap();
    }

    pub(crate) async fn wait_ready(&self) {
        for position in 0..self.written.hosts.len() {
            let is_ready =
                |status: &Value| status["is_ready"] == true && !status["control_leader"].is_null();
            self.wait_status(position, "every host is ready", is_ready).await;
        }
    }

    /// Waits until the status of a host satisfies `is_met`, and returns it. `what` describes the
    /// condition in the failure message.
    pub(crate) async fn wait_status(
        &self,
        position: usize,
        what: &str,
        is_met: impl Fn(&Value) -> bool,
    ) -> Value {
        let mut last = Value::Null;
        let wait = async {
            loop {
                if let Some((200, status)) = self.try_call(position, "GET", "/v1/status", "").await
                {
                    last = status;
                    if is_met(&last) {
                        return;
                    }
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let met = tokio::time::timeout(WAIT_LIMIT, wait).await;
        assert!(met.is_ok(), "{what}: {last:#}");
        last
    }

    pub(crate) fn host(&self, position: usize) -> &LayoutHost {
        &self.written.hosts[position]
    }

    pub(crate) fn operators(&self, position: usize) -> String {
        format!("127.0.0.1:{}", self.host(position).operator_port)
    }

    pub(crate) fn token(&self) -> String {
        fs::read_to_string(&self.written.operators_token_path).unwrap().trim().to_owned()
    }

    /// Writes a profile file into the folder of the test and returns its path.
    pub(crate) fn write_profile(&self, file: &str, text: &str) -> String {
        let path = self.folder.join(file);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the command line with the hosts at these positions.
    pub(crate) async fn cli(&self, positions: &[usize], arguments: &[&str]) -> CliRun {
        let hosts: Vec<_> = positions.iter().map(|position| self.operators(*position)).collect();
        self.cli_at(&hosts, arguments).await
    }

    /// Runs the command line with the hosts at these addresses, and checks that the output does not
    /// contain the operators' token.
    pub(crate) async fn cli_at(&self, hosts: &[String], arguments: &[&str]) -> CliRun {
        let token_file = self.written.operators_token_path.display().to_string();
        let mut all = arguments.to_vec();
        all.extend(["--token-file", &token_file]);
        all.extend(hosts.iter().flat_map(|host| ["--host", host.as_str()]));
        let run = run_cli(&all).await;
        let token = self.token();
        assert!(!run.out.contains(&token) && !run.err.contains(&token), "the token was printed");
        run
    }

    /// Sends an operators' call directly to a host and returns the status and body of the response.
    pub(crate) async fn call(
        &self,
        position: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, Value) {
        self.try_call(position, method, path, body).await.unwrap()
    }

    async fn try_call(
        &self,
        position: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, Value)> {
        let host = self.operators(position);
        let stream = TcpStream::connect(&host).await.ok()?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.ok()?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", host)
            .header("authorization", format!("Bearer {}", self.token()))
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }

    /// Starts a target that is in the zone of a host and announces itself to that host.
    pub(crate) async fn start_target(&self, name: &str, position: usize) -> StandInTarget {
        let host = self.host(position);
        let options = StandInOptions {
            target: name.to_owned(),
            service: "slipreader".to_owned(),
            path_prefix: "/slips".to_owned(),
            keyed: true,
            zone: host.zone.clone(),
            token: self.written.registration_token.clone(),
            hosts: vec![SocketAddr::from(([127, 0, 0, 1], host.target_port))],
        };
        StandInTarget::start(options).await.unwrap()
    }
}

/// Returns the first of 40 consecutive free loopback ports, below the range of ephemeral ports. The
/// search starts at a port that depends on the process id, so that concurrent tests rarely collide.
fn free_ports() -> u16 {
    const FIRST_PORT: u16 = 20_000;
    const STEPS: u16 = 120;
    let start = (std::process::id() % u32::from(STEPS)) as u16;
    loop {
        let step = start + NEXT_PORTS.fetch_add(1, Ordering::Relaxed);
        let base = FIRST_PORT + step % STEPS * PORT_STEP;
        let is_free = |port| {
            TcpListener::bind(("127.0.0.1", port)).is_ok()
                && UdpSocket::bind(("127.0.0.1", port)).is_ok()
        };
        if (base..base + 40).all(is_free) {
            return base;
        }
    }
}
