//! Eight host processes in three and in four zones, with stand-in targets inside the test process.
//!
//! The time limits only detect a test that hangs; no test asserts how long anything takes.

use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use galenawheel::layout::Layout;
use galenawheel::layout::LayoutHost;
use galenawheel::layout::WrittenLayout;
use galenawheel::stand_in::StandInOptions;
use galenawheel::stand_in::StandInTarget;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Maximum wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(90);
/// Number of keys that are requested from each host.
const KEY_COUNT: usize = 20;

struct Case {
    layout: &'static str,
    base_port: u16,
    /// Name of the keyed service.
    keyed: &'static str,
    /// Name of the unkeyed service.
    unkeyed: &'static str,
}

/// Host processes, which are killed when this is dropped.
struct Processes {
    folder: PathBuf,
    written: WrittenLayout,
    children: Vec<Option<Child>>,
}

impl Processes {
    fn start(case: &Case) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(case.layout);
        std::fs::remove_dir_all(&folder).ok();
        let layout = Layout::named(case.layout, case.base_port).unwrap();
        let written = layout.write(&folder, |bytes| rand::fill(bytes)).unwrap();
        let children = written.hosts.iter().map(|host| Some(start_host(host))).collect();
        Self { folder, written, children }
    }

    fn hosts(&self) -> &[LayoutHost] {
        &self.written.hosts
    }

    /// Returns the hosts whose process runs.
    fn live(&self) -> Vec<&LayoutHost> {
        let live = self.hosts().iter().zip(&self.children);
        live.filter(|(_, child)| child.is_some()).map(|(host, _)| host).collect()
    }

    fn kill(&mut self, index: usize) {
        let mut child = self.children[index].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends SIGTERM, waits for the process and returns its exit code.
    fn terminate(&mut self, index: usize) -> Option<i32> {
        let mut child = self.children[index].take().unwrap();
        let pid = rustix::process::Pid::from_child(&child);
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
        child.wait().unwrap().code()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            child.kill().ok();
            child.wait().ok();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

fn start_host(host: &LayoutHost) -> Child {
    Command::new(env!("CARGO_BIN_EXE_galenawheel-entry"))
        .arg("--settings")
        .arg(&host.settings_path)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

async fn start_targets(case: &Case, processes: &Processes) {
    let mut zones: Vec<_> = processes.hosts().iter().map(|host| host.zone.clone()).collect();
    zones.dedup();
    for zone in zones {
        let hosts = processes.hosts().iter().filter(|host| host.zone == zone);
        let hosts: Vec<_> = hosts.map(|host| ([127, 0, 0, 1], host.target_port).into()).collect();
        for (service, keyed) in [(case.keyed, true), (case.unkeyed, false)] {
            for number in 1..=2 {
                let target = StandInTarget::start(StandInOptions {
                    target: format!("{service}-{zone}-{number}"),
                    service: service.into(),
                    path_prefix: format!("/{service}"),
                    keyed,
                    zone: zone.clone(),
                    token: processes.written.registration_token.clone(),
                    hosts: hosts.clone(),
                });
                target.await.unwrap();
            }
        }
    }
}

/// Sends a `GET` and returns the status and body of the response.
async fn get(port: u16, path: &str) -> Result<(u16, String), Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(("127.0.0.1", port)).await?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await?;
    tokio::spawn(connection);
    let request = Request::get(path).header("host", "localhost").body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await?.to_bytes();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Waits until every live host answers requests for all keys and for the unkeyed service, and all
/// hosts send requests for a key to the same target.
async fn wait_until_served(case: &Case, processes: &Processes) {
    let start = Instant::now();
    loop {
        match check_served(case, processes).await {
            Ok(()) => return,
            Err(error) => {
                assert!(start.elapsed() < WAIT_LIMIT, "{}: {error}", case.layout);
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
    }
}

async fn check_served(case: &Case, processes: &Processes) -> Result<(), String> {
    for number in 0..KEY_COUNT {
        let path = format!("/{}/key-{number}", case.keyed);
        let mut owner = None;
        for host in processes.live() {
            let response = get(host.caller_port, &path).await.map_err(|error| error.to_string())?;
            if response.0 != 200 {
                return Err(format!("{} answers {path} with {response:?}", host.name));
            }
            let known = owner.get_or_insert_with(|| response.1.clone());
            if *known != response.1 {
                return Err(format!("{path} has two owners: {known} and {}", response.1));
            }
        }
    }
    for host in processes.live() {
        let path = format!("/{}/any", case.unkeyed);
        match get(host.caller_port, &path).await {
            Ok((200, _)) => {}
            other => return Err(format!("{} answers {path} with {other:?}", host.name)),
        }
    }
    Ok(())
}

/// Guards against keys without an owner, or with two, after the loss of a host: each host in turn
/// is killed and restarted, and at the end one is shut down.
async fn check_host_losses(case: Case) {
    let mut processes = Processes::start(&case);
    start_targets(&case, &processes).await;
    wait_until_served(&case, &processes).await;
    for index in 0..processes.hosts().len() {
        processes.kill(index);
        wait_until_served(&case, &processes).await;
        processes.children[index] = Some(start_host(&processes.written.hosts[index]));
        wait_until_served(&case, &processes).await;
    }
    let last = processes.hosts().len() - 1;
    assert_eq!(processes.terminate(last), Some(0), "{}: exit code after SIGTERM", case.layout);
    wait_until_served(&case, &processes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_zones_survive_losses() {
    let case =
        Case { layout: "slipwerk", base_port: 21_400, keyed: "slipreader", unkeyed: "attestor" };
    check_host_losses(case).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn four_zones_survive_losses() {
    let case = Case { layout: "ullvav", base_port: 21_600, keyed: "matarlas", unkeyed: "abonnent" };
    check_host_losses(case).await;
}
