//! Bodies that are relayed while they arrive, and exchanges that end early.

mod support;

use std::convert::Infallible;
use std::net::SocketAddr;

use gw_daemon::settings::LimitSettings;
use gw_types::KeyHash;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use support::Layout;
use support::RawCaller;
use support::Reply;
use support::StandInTarget;
use support::eventually;
use support::start_hosts;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const GET: &str = "GET /slips/k1 HTTP/1.1\r\nhost: x\r\n\r\n";

/// Starts a target that sends the body of each request back while it arrives.
async fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let echo = service_fn(|request: Request<Incoming>| async {
                Ok::<_, Infallible>(Response::new(request.into_body()))
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), echo));
        }
    });
    address
}

/// Returns pseudorandom bytes, so that repeated or reordered buffers are detected.
fn pattern(len: usize) -> Vec<u8> {
    (0..len as u64).map(|n| KeyHash::of(&n.to_le_bytes()).0 as u8).collect()
}

/// Guards against lost, repeated or reordered bytes in large bodies with and without a
/// `Content-Length`, through one and two hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_pass_byte_for_byte_in_both_directions() {
    struct Case {
        dispatcher: u16,
        chunk: Option<usize>,
    }
    let cases = [
        Case { dispatcher: 1, chunk: None },
        Case { dispatcher: 1, chunk: Some(70_001) },
        Case { dispatcher: 2, chunk: None },
        Case { dispatcher: 2, chunk: Some(999) },
    ];
    let body = pattern(3 * 1_024 * 1_024);
    for case in cases {
        let hosts = start_hosts(2, &LimitSettings::default());
        let layout = Layout::keyed(start_echo().await, case.dispatcher);
        hosts.iter().for_each(|host| host.publish(&layout));
        let mut caller = RawCaller::connect(hosts[0].callers).await;
        let (head, bytes) = match case.chunk {
            None => (format!("content-length: {}", body.len()), body.clone()),
            Some(size) => ("transfer-encoding: chunked".to_owned(), chunked(&body, size)),
        };
        let head = format!("POST /slips/k1 HTTP/1.1\r\nhost: x\r\n{head}\r\n\r\n");
        let (mut reader, mut writer) = split(&mut caller).await;
        let sending = tokio::spawn(async move {
            writer.write_all(head.as_bytes()).await.unwrap();
            writer.write_all(&bytes).await.unwrap();
            writer
        });
        let answer = reader.answer().await.unwrap();
        sending.await.unwrap();
        assert!(answer.status == 200 && answer.is_complete, "chunk {:?}", case.chunk);
        assert!(answer.body == body, "body differs, chunk {:?}", case.chunk);
    }
}

fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(size) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Splits a connection into two handles, for reading and writing at the same time.
async fn split(caller: &mut RawCaller) -> (RawCaller, tokio::net::TcpStream) {
    let other = RawCaller::connect(caller.stream.peer_addr().unwrap()).await;
    let stream = std::mem::replace(&mut caller.stream, other.stream).into_std().unwrap();
    let writer = tokio::net::TcpStream::from_std(stream.try_clone().unwrap()).unwrap();
    let reader = tokio::net::TcpStream::from_std(stream).unwrap();
    (RawCaller::from_stream(reader), writer)
}

/// Guards against a body that is buffered until it is complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_is_relayed_while_the_request_is_incomplete() {
    let hosts = start_hosts(2, &LimitSettings::default());
    let layout = Layout::keyed(start_echo().await, 2);
    hosts.iter().for_each(|host| host.publish(&layout));
    let mut caller = RawCaller::connect(hosts[0].callers).await;
    let head = "POST /slips/k1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    caller.send(head).await;
    caller.send("5\r\nfirst\r\n").await;
    let seen = caller.read_until(b"first").await;
    assert!(seen, "the first part did not come back before the end of the request");
    caller.send("0\r\n\r\n").await;
    assert!(caller.read_until(b"\r\n0\r\n\r\n").await);
}

/// Guards against a truncated response that looks complete to the caller, through one and two hosts
/// and with each kind of framing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_responses_reset_the_connection() {
    struct Case {
        head: &'static str,
        version: &'static str,
    }
    let cases = [
        Case { head: "content-length: 100\r\n\r\npart", version: "1.1" },
        Case { head: "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n", version: "1.1" },
        Case { head: "transfer-encoding: chunked\r\n\r\n9\r\npart", version: "1.1" },
        Case { head: "content-length: 100\r\n\r\npart", version: "1.0" },
        // For an HTTP/1.0 caller, closing the connection marks the end of the body.
        Case { head: "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n", version: "1.0" },
    ];
    for dispatcher in [1, 2] {
        for case in &cases {
            for is_reset in [false, true] {
                let hosts = start_hosts(2, &LimitSettings::default());
                let bytes = format!("HTTP/1.1 200 OK\r\n{}", case.head).into_bytes();
                let target = StandInTarget::start(move |_, _| match is_reset {
                    false => Reply::RawThenClose(bytes.clone()),
                    true => Reply::RawThenReset(bytes.clone()),
                })
                .await;
                let layout = Layout::keyed(target.address, dispatcher);
                hosts.iter().for_each(|host| host.publish(&layout));
                let mut caller = RawCaller::connect(hosts[0].callers).await;
                let version = case.version;
                caller.send(format!("GET /slips/k1 HTTP/{version}\r\nhost: x\r\n\r\n")).await;
                let end = caller.read_to_end().await;
                let context = format!("{dispatcher} {version} {} {is_reset}", case.head);
                assert!(end.is_err(), "the connection ended as if complete: {context}");
                let control = hosts[usize::from(dispatcher) - 1].state.clone();
                assert_eq!(target.seen().len(), 1, "{context}");
                drop(control);
            }
        }
    }
}

/// Guards against a request that continues to run after its caller has disconnected, and against a
/// work slot that is not released.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disconnected_caller_cancels_its_request() {
    for dispatcher in [1, 2] {
        let hosts = start_hosts(2, &LimitSettings::default());
        let target = StandInTarget::start(|number, _| match number {
            0..4 => Reply::Silence,
            _ => Reply::ok("done"),
        })
        .await;
        let layout = Layout::keyed(target.address, dispatcher);
        hosts.iter().for_each(|host| host.publish(&layout));
        for count in 1..=4 {
            let mut caller = RawCaller::connect(hosts[0].callers).await;
            caller.send(GET).await;
            eventually("request at the target", || target.seen().len() == count).await;
            drop(caller);
            eventually("connection to the target closed", || target.open() == 0).await;
        }
        // The target has two work slots, so the earlier requests must have released theirs.
        let answer = RawCaller::ask(hosts[0].callers, GET).await;
        assert_eq!(answer.text(), "done");
    }
}

/// Guards against a work slot or connection that leaks when a caller disconnects during a large
/// response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_disconnects_during_the_response_frees_the_target() {
    let hosts = start_hosts(1, &LimitSettings::default());
    let mut bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 100000000\r\n\r\n".to_vec();
    bytes.resize(20_000_000, b'x');
    let target = StandInTarget::start(move |number, _| match number {
        0..4 => Reply::Raw(bytes.clone()),
        _ => Reply::ok("done"),
    })
    .await;
    hosts[0].publish(&Layout::keyed(target.address, 1));
    for _ in 0..4 {
        let mut caller = RawCaller::connect(hosts[0].callers).await;
        caller.send(GET).await;
        assert!(caller.read_until(b"xxxx").await);
        drop(caller);
        eventually("connection to the target closed", || target.open() == 0).await;
    }
    assert_eq!(RawCaller::ask(hosts[0].callers, GET).await.text(), "done");
}
