//! Measures the latency that idempotency records add to a request: three hosts of one zone in one
//! process on loopback, with one caller and one target.
//!
//! `cargo run --release -p galenawheel --example record_latency`

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use galenawheel::layout::Layout;
use galenawheel::stand_in::StandInOptions;
use galenawheel::stand_in::StandInTarget;
use gw_daemon::ShutdownHandle;
use gw_daemon::process::run_entry;
use gw_daemon::settings::HostSettings;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Number of requests of each kind per host.
const REQUEST_COUNT: usize = 3_000;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::temp_dir().join(format!("record-latency-{}", std::process::id()));
    let layout = Layout {
        zones: vec![("a".to_owned(), 3)],
        control: vec![0],
        base_port: 18_400,
        services: vec!["attestor".to_owned()],
    };
    let written = layout.write(&folder, |bytes| rand::fill(bytes))?;
    for host in &written.hosts {
        let settings =
            HostSettings::load(&host.settings_path).map_err(|errors| errors.to_string())?;
        tokio::spawn(run_entry(settings, ShutdownHandle::default()));
    }
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let options = StandInOptions {
        target: "t1".to_owned(),
        service: "attestor".to_owned(),
        path_prefix: "/attest".to_owned(),
        keyed: false,
        zone: "a".to_owned(),
        token: written.registration_token.clone(),
        hosts: written.hosts.iter().map(|host| address(host.target_port)).collect(),
    };
    let _target = StandInTarget::start(options).await?;
    for host in &written.hosts {
        let mut sender = connect(address(host.caller_port)).await?;
        while post(&mut sender, Some("ready".to_owned())).await? != 200 {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let (mut without_key, mut with_key) = (Vec::new(), Vec::new());
        for number in 0..REQUEST_COUNT {
            let started = Instant::now();
            post(&mut sender, None).await?;
            without_key.push(started.elapsed());
            let started = Instant::now();
            let key = format!("{}-{number}", host.name);
            let status = post(&mut sender, Some(key)).await?;
            with_key.push(started.elapsed());
            if status != 200 {
                return Err(format!("status {status}").into());
            }
        }
        print_percentiles(&format!("{} without key", host.name), without_key);
        print_percentiles(&format!("{} with key", host.name), with_key);
    }
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

fn print_percentiles(label: &str, mut times: Vec<Duration>) {
    times.sort();
    let percentile = |share: f64| times[(times.len() as f64 * share) as usize].as_micros();
    println!("{label}: p50 {} us, p99 {} us", percentile(0.5), percentile(0.99));
}

/// Connects to a host; retries until it listens.
async fn connect(to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, Box<dyn Error>> {
    loop {
        if let Ok(stream) = TcpStream::connect(to).await {
            stream.set_nodelay(true)?;
            let (sender, connection) =
                hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
            tokio::spawn(connection);
            return Ok(sender);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Sends a `POST`, with an idempotency key if given, and returns the status.
async fn post(
    sender: &mut SendRequest<Full<Bytes>>,
    key: Option<String>,
) -> Result<u16, Box<dyn Error>> {
    let mut request = Request::post("/attest/1").header("host", "localhost");
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    sender.ready().await?;
    let response = sender.send_request(request.body(Full::from("x"))?).await?;
    let status = response.status().as_u16();
    response.into_body().collect().await?;
    Ok(status)
}
