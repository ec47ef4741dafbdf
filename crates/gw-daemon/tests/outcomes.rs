//! Outcomes reported to callers: `not-run` only if no byte of the request reached a target.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use gw_daemon::settings::LimitSettings;
use gw_node::NodeEvent;
use support::Layout;
use support::RawCaller;
use support::Reply;
use support::StandInTarget;
use support::start_hosts;
use tokio::net::TcpSocket;

const GET: &str = "GET /slips/k1 HTTP/1.1\r\nhost: x\r\n\r\n";
const POST: &str = "POST /slips/k1 HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc";

/// Returns a socket with an address on which nothing listens as long as the socket exists.
fn closed_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// Guards against wrong outcomes for each way in which a single target can fail, through one and
/// two hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_are_correct() {
    struct Case {
        name: &'static str,
        request: &'static str,
        reply: Option<Reply>,
        expected: (u16, &'static str),
        runs: usize,
    }
    let close = || Some(Reply::RawThenClose(Vec::new()));
    let cases = [
        Case {
            name: "connection refused",
            request: POST,
            reply: None,
            expected: (503, "not-run"),
            runs: 0,
        },
        Case {
            name: "closed after a non-idempotent request",
            request: POST,
            reply: close(),
            expected: (502, "unknown"),
            runs: 1,
        },
        Case {
            name: "closed after an idempotent request to the only target",
            request: GET,
            reply: close(),
            expected: (502, "unknown"),
            runs: 1,
        },
        Case {
            name: "reset after a non-idempotent request",
            request: POST,
            reply: Some(Reply::RawThenReset(Vec::new())),
            expected: (502, "unknown"),
            runs: 1,
        },
        Case {
            name: "no answer in time",
            request: POST,
            reply: Some(Reply::Silence),
            expected: (504, "unknown"),
            runs: 1,
        },
        Case {
            name: "answer that is not HTTP",
            request: POST,
            reply: Some(Reply::RawThenClose(b"SSH-2.0-x\r\n\r\n".to_vec())),
            expected: (502, "unknown"),
            runs: 1,
        },
        Case {
            name: "part of a head",
            request: POST,
            reply: Some(Reply::RawThenClose(b"HTTP/1.1 200 OK\r\ncontent-".to_vec())),
            expected: (502, "unknown"),
            runs: 1,
        },
        Case {
            name: "server error of the target",
            request: POST,
            reply: Some(Reply::Raw(b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n".to_vec())),
            expected: (500, "answered"),
            runs: 1,
        },
        Case {
            name: "outcome forged by the target",
            request: POST,
            reply: Some(Reply::Raw(
                b"HTTP/1.1 200 OK\r\ngalenawheel-outcome: not-run\r\ncontent-length: 0\r\n\r\n"
                    .to_vec(),
            )),
            expected: (200, "answered"),
            runs: 1,
        },
        Case {
            name: "switching protocols without being asked",
            request: POST,
            reply: Some(Reply::Raw(b"HTTP/1.1 101 X\r\nupgrade: x\r\n\r\n".to_vec())),
            expected: (502, "unknown"),
            runs: 1,
        },
        Case {
            name: "status that HTTP does not define",
            request: POST,
            reply: Some(Reply::Raw(b"HTTP/1.1 600 X\r\ncontent-length: 0\r\n\r\n".to_vec())),
            expected: (502, "unknown"),
            runs: 1,
        },
    ];
    for dispatcher in [1, 2] {
        for case in &cases {
            let hosts = start_hosts(2, &LimitSettings::default());
            let reply = case.reply.clone();
            let target = match reply {
                Some(reply) => Some(StandInTarget::start(move |_, _| reply.clone()).await),
                None => None,
            };
            let (_closed, closed_address) = closed_address();
            let address = target.as_ref().map_or(closed_address, |target| target.address);
            let layout = Layout { deadline_ms: 600, ..Layout::keyed(address, dispatcher) };
            hosts.iter().for_each(|host| host.publish(&layout));
            let answer = RawCaller::ask(hosts[0].callers, case.request).await;
            let name = case.name;
            assert_eq!((answer.status, answer.outcome()), case.expected, "{name} {dispatcher}");
            let runs = target.map_or(0, |target| target.seen().len());
            assert_eq!(runs, case.runs, "{name} {dispatcher}");
        }
    }
}

/// Guards against a non-idempotent request that runs twice because its target closes the pooled
/// connection while the request is being sent, and against `not-run` for one that ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pooled_connection_closed_during_a_post() {
    for (dispatcher, pause_ms) in [(1, 0), (1, 30), (2, 0), (2, 30)] {
        let hosts = start_hosts(2, &LimitSettings::default());
        let target = StandInTarget::start(|number, _| match number % 2 {
            // The response announces a persistent connection, which is then closed.
            0 => Reply::RawThenClose(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec()),
            _ => Reply::ok("ok"),
        })
        .await;
        let layout = Layout::keyed(target.address, dispatcher);
        hosts.iter().for_each(|host| host.publish(&layout));
        let (mut answered, mut unknown, mut not_run) = (0, 0, 0);
        for _ in 0..60 {
            let answer = RawCaller::ask(hosts[0].callers, POST).await;
            match (answer.status, answer.outcome()) {
                (200, "answered") => answered += 1,
                (502, "unknown") => unknown += 1,
                (503, "not-run") => not_run += 1,
                other => panic!("{other:?}"),
            }
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        let runs = target.seen().len();
        let range = answered..=answered + unknown;
        assert!(range.contains(&runs), "{runs} runs: {answered} {unknown} {not_run}");
    }
}

/// Guards against a non-idempotent request that is sent again after the target received it on a
/// pooled connection and closed the connection without a response. An idempotent request is sent
/// again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_lost_on_a_pooled_connection() {
    struct Case {
        dispatcher: u16,
        request: &'static str,
        status: u16,
        runs: usize,
    }
    let cases = [
        Case { dispatcher: 1, request: POST, status: 502, runs: 2 },
        Case { dispatcher: 2, request: POST, status: 502, runs: 2 },
        Case { dispatcher: 1, request: GET, status: 200, runs: 3 },
        Case { dispatcher: 2, request: GET, status: 200, runs: 3 },
    ];
    for case in cases {
        let hosts = start_hosts(2, &LimitSettings::default());
        let target = StandInTarget::start(|number, _| match number {
            1 => Reply::RawThenClose(Vec::new()),
            _ => Reply::ok("ok"),
        })
        .await;
        let layout = Layout::keyed(target.address, case.dispatcher);
        hosts.iter().for_each(|host| host.publish(&layout));
        assert_eq!(RawCaller::ask(hosts[0].callers, case.request).await.status, 200);
        let answer = RawCaller::ask(hosts[0].callers, case.request).await;
        assert_eq!((answer.status, target.seen().len()), (case.status, case.runs));
        let connections = if case.runs == 3 { 2 } else { 1 };
        assert_eq!(target.connections(), connections, "the second request used the pool");
    }
}

/// Guards against an idempotent request that fails because the target closes the pooled connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn get_succeeds_after_a_closed_pooled_connection() {
    let hosts = start_hosts(1, &LimitSettings::default());
    let target = StandInTarget::start(|_, _| {
        Reply::RawThenClose(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec())
    })
    .await;
    hosts[0].publish(&Layout::keyed(target.address, 1));
    for _ in 0..40 {
        assert_eq!(RawCaller::ask(hosts[0].callers, GET).await.status, 200);
    }
}

/// Guards against retries of non-idempotent requests, retries on the target whose connection was
/// lost, and idempotent requests that are not retried although another target is available.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_idempotent_requests_are_retried_elsewhere() {
    struct Case {
        request: &'static str,
        status: u16,
        runs: usize,
    }
    let put = "PUT /slips/k1 HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc";
    let cases = [
        Case { request: GET, status: 200, runs: 2 },
        Case { request: put, status: 200, runs: 2 },
        Case { request: POST, status: 502, runs: 1 },
    ];
    for case in cases {
        let hosts = start_hosts(1, &LimitSettings::default());
        let runs = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let mut targets = Vec::new();
        for _ in 0..2 {
            let runs = runs.clone();
            // The target that is picked first closes the connection.
            let script = move |_, _: &support::SeenRequest| match runs
                .fetch_add(1, std::sync::atomic::Ordering::SeqCst)
            {
                0 => Reply::RawThenClose(Vec::new()),
                _ => Reply::ok("done"),
            };
            targets.push(StandInTarget::start(script).await);
        }
        let (first, second) = (targets[0].address, targets[1].address);
        hosts[0].publish(&Layout::unkeyed(vec![("t1", first, 1), ("t2", second, 1)]));
        let answer = RawCaller::ask(hosts[0].callers, case.request).await;
        assert_eq!(answer.status, case.status, "{}", case.request);
        let seen: Vec<_> = targets.iter().map(|target| target.seen().len()).collect();
        assert_eq!(seen.iter().sum::<usize>(), case.runs, "{}", case.request);
        assert!(seen.iter().all(|&count| count <= 1), "tried again where it was lost: {seen:?}");
        let is_failure = |event: &NodeEvent| matches!(event, NodeEvent::RequestEnded(result) if !result.answered);
        assert!(hosts[0].control.has(is_failure), "the loss was not reported");
    }
}

/// Guards against a target's refusal of a stale token that is relayed to the caller as a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_token_is_not_run() {
    let hosts = start_hosts(1, &LimitSettings::default());
    let target = StandInTarget::start(|_, _| {
        let head = "HTTP/1.1 409 Conflict\r\ngalenawheel-refused: stale-token\r\n";
        Reply::Raw(format!("{head}content-length: 0\r\n\r\n").into())
    })
    .await;
    hosts[0].publish(&Layout::keyed(target.address, 1));
    let answer = RawCaller::ask(hosts[0].callers, POST).await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
}

/// Guards against a repeated request that runs twice on a host without idempotency records.
#[tokio::test]
async fn idempotency_key_without_records_is_not_run() {
    let hosts = start_hosts(1, &LimitSettings::default());
    let target = StandInTarget::start(|_, _| Reply::ok("")).await;
    hosts[0].publish(&Layout::keyed(target.address, 1));
    let request = POST.replace("host: x", "host: x\r\nidempotency-key: 1");
    let answer = RawCaller::ask(hosts[0].callers, request).await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert_eq!(target.bytes(), 0);
}

/// Guards against a caller's time limit that is ignored, extends the deadline or is malformed.
#[tokio::test]
async fn request_timeout_only_shortens_the_deadline() {
    struct Case {
        value: &'static str,
        status: u16,
        most_ms: u32,
    }
    let cases = [
        Case { value: "3", status: 200, most_ms: 3_000 },
        Case { value: "2.5", status: 200, most_ms: 2_500 },
        Case { value: "9999", status: 200, most_ms: 20_000 },
        Case { value: "soon", status: 400, most_ms: 0 },
        Case { value: "-1", status: 400, most_ms: 0 },
    ];
    for case in cases {
        let hosts = start_hosts(1, &LimitSettings::default());
        let target = StandInTarget::start(|_, _| Reply::ok("")).await;
        hosts[0].publish(&Layout::keyed(target.address, 1));
        let request =
            GET.replace("host: x", &format!("host: x\r\nrequest-timeout: {}", case.value));
        assert_eq!(RawCaller::ask(hosts[0].callers, request).await.status, case.status);
        let left = target.seen().first().and_then(|seen| seen.header("galenawheel-deadline-ms"));
        let left: u32 = left.map_or(0, |left| left.parse().unwrap());
        assert!(left <= case.most_ms, "{} gives {left} ms", case.value);
    }
}
