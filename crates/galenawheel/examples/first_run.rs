//! Runs one entry host with an embedded control replica and two stand-in targets in this process,
//! sends requests, and prints the owners of the slots and the responses.

use std::error::Error;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use galenawheel::layout::Layout;
use galenawheel::stand_in::StandInOptions;
use galenawheel::stand_in::StandInTarget;
use gw_daemon::ShutdownHandle;
use gw_daemon::ShutdownPhase;
use gw_daemon::process::run_entry;
use gw_daemon::settings::HostSettings;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Maximum time until the host answers the first request.
const START_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::temp_dir().join(format!("galenawheel-{}", std::process::id()));
    let result = run(&folder).await;
    std::fs::remove_dir_all(&folder).ok();
    result
}

async fn run(folder: &Path) -> Result<(), Box<dyn Error>> {
    let layout = Layout::named("single", 7400)?;
    let written = layout.write(folder, |bytes| rand::fill(bytes))?;
    let host = &written.hosts[0];
    let settings = HostSettings::load(&host.settings_path)?;
    let shutdown = ShutdownHandle::default();
    let process = tokio::spawn(run_entry(settings, shutdown.clone()));
    println!("entry host {} accepts requests on port {}", host.name, host.caller_port);
    for number in 1..=2 {
        let target = StandInTarget::start(StandInOptions {
            target: format!("reader-{number}"),
            service: "slipreader".into(),
            path_prefix: "/slips".into(),
            keyed: true,
            zone: host.zone.clone(),
            token: written.registration_token.clone(),
            hosts: vec![([127, 0, 0, 1], host.target_port).into()],
        });
        target.await?;
    }
    println!("two targets announce themselves; waiting until the slots have owners");
    tokio::time::timeout(START_TIMEOUT, wait_until_served(host.caller_port)).await??;
    print_owners(&written.operators_token_path, host.operator_port).await?;
    for key in ["apple", "boat", "cloud", "door", "elm", "field"] {
        let path = format!("/slips/{key}");
        let (status, outcome, body) = get(host.caller_port, &path, None).await?;
        println!("GET {path} -> {status} outcome={outcome} {}", body.trim_end());
    }
    shutdown.advance(ShutdownPhase::Graceful);
    process.await??;
    println!("the host has shut down");
    Ok(())
}

/// Waits until a request is answered. Before that, the host refuses requests as not run.
async fn wait_until_served(port: u16) -> Result<(), Box<dyn Error>> {
    loop {
        if let Ok((200, _, _)) = get(port, "/slips/first", None).await {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Prints the slot count and the dispatcher of each target.
async fn print_owners(token: &Path, port: u16) -> Result<(), Box<dyn Error>> {
    let token = std::fs::read_to_string(token)?;
    let (_, _, body) = get(port, "/v1/status", Some(token.trim())).await?;
    let status: serde_json::Value = serde_json::from_str(&body)?;
    for zone in status["zones"].as_array().into_iter().flatten() {
        for target in zone["targets"].as_array().into_iter().flatten() {
            println!(
                "zone {} target {} owns {} slots, dispatched by {}",
                zone["zone"], target["target"], target["slots"], target["dispatcher"],
            );
        }
    }
    Ok(())
}

/// Sends a `GET` and returns the status, the outcome header and the body of the response.
async fn get(
    port: u16,
    path: &str,
    token: Option<&str>,
) -> Result<(u16, String, String), Box<dyn Error>> {
    let stream = TcpStream::connect(("127.0.0.1", port)).await?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await?;
    tokio::spawn(connection);
    let mut request = Request::get(path).header("host", "localhost");
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let response = sender.send_request(request.body(Empty::<Bytes>::new())?).await?;
    let status = response.status().as_u16();
    let outcome = response.headers().get("galenawheel-outcome").cloned();
    let outcome = outcome.as_ref().and_then(|value| value.to_str().ok()).unwrap_or("-");
    let outcome = outcome.to_owned();
    let body = response.into_body().collect().await?.to_bytes();
    Ok((status, outcome, String::from_utf8_lossy(&body).into_owned()))
}
