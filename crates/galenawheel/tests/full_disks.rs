//! Control hosts as real processes whose disks are full for some time. A limit on the size of files
//! lets their writes fail, while reads, renames and removals go on.

mod support;

use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use galenawheel::layout::Layout;
use galenawheel::layout::WrittenLayout;
use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::prlimit;
use support::new_folder;
use support::run_cli;

/// First port of the hosts, which no other test uses.
const BASE_PORT: u16 = 19_300;
/// Time for which a disk is full, and after which the next one is.
const FULL_TIME: Duration = Duration::from_secs(3);
const FREE_TIME: Duration = Duration::from_secs(3);
/// Longest time after which a change is accepted.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Host processes, which are killed when this is dropped.
struct Processes {
    written: WrittenLayout,
    children: Vec<Child>,
}

impl Processes {
    fn start() -> Self {
        let layout = Layout {
            zones: ["a", "b", "c"].map(|zone| (zone.to_owned(), 1)).to_vec(),
            control: vec![0, 1, 2],
            base_port: BASE_PORT,
            services: vec!["slipreader".to_owned()],
        };
        let folder = new_folder("full_disks");
        let written = layout.write(&folder, |bytes| rand::fill(bytes)).unwrap();
        let start = |settings: &std::path::Path| {
            // Writes beyond the limit fail instead of ending the process.
            Command::new("sh")
                .args(["-c", r#"trap "" XFSZ; exec "$0" "$@""#])
                .arg(env!("CARGO_BIN_EXE_galenawheel-entry"))
                .arg("--settings")
                .arg(settings)
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .unwrap()
        };
        let children = written.hosts.iter().map(|host| start(&host.settings_path)).collect();
        Self { written, children }
    }

    /// Makes all writes of a host beyond `bytes` of a file fail, or none if `None`.
    fn limit_files(&self, position: usize, bytes: Option<u64>) {
        let limit = Rlimit { current: bytes, maximum: None };
        let process = Pid::from_child(&self.children[position]);
        prlimit(Some(process), Resource::Fsize, limit).unwrap();
    }

    /// Changes a profile until the change is accepted, and returns the time that it took.
    async fn change(&self, queue_limit: usize) -> Duration {
        let started = Instant::now();
        let file = new_folder("full_disks_profile").join("archive.toml");
        let text = format!("name = \"archive\"\n[refuse]\nqueue_limit = {queue_limit}\n");
        std::fs::write(&file, text).unwrap();
        let token = self.written.operators_token_path.display().to_string();
        let (file, change) = (file.display().to_string(), format!("change-{queue_limit}"));
        let mut arguments = vec!["profile", "apply", &file, "--operator", "alva"];
        arguments.extend(["--change-id", &change, "--timeout", "2", "--token-file", &token]);
        let hosts = self.written.hosts.iter();
        let hosts: Vec<_> = hosts.map(|host| format!("127.0.0.1:{}", host.operator_port)).collect();
        arguments.extend(hosts.iter().flat_map(|host| ["--host", host.as_str()]));
        loop {
            let run = run_cli(&arguments).await;
            if run.code == 0 || run.code == 3 {
                return started.elapsed();
            }
            assert!(started.elapsed() < WAIT_LIMIT, "not accepted: {run:?}");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.children {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

/// Guards against control hosts that take no part again after their disks were full, so that changes are
/// refused for good once that has happened to a majority, one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_accepted_after_full_disks() {
    let mut processes = Processes::start();
    processes.change(10).await;
    for position in 0..3 {
        processes.limit_files(position, Some(0));
        let took = processes.change(20 + position).await;
        println!("disk {position} is full: {took:?}");
        tokio::time::sleep(FULL_TIME).await;
        processes.limit_files(position, None);
        tokio::time::sleep(FREE_TIME).await;
    }
    let took = processes.change(30).await;
    println!("all disks have room: {took:?}");
    for child in &mut processes.children {
        assert!(child.try_wait().unwrap().is_none(), "a process has ended");
    }
}
