//! Requests with ambiguous framing or beyond the limits are refused with 4xx and not forwarded.

mod support;

use gw_daemon::settings::LimitSettings;
use support::Layout;
use support::RawCaller;
use support::Reply;
use support::StandInTarget;
use support::start_hosts;

/// Guards against request smuggling: two recipients that disagree on where a request ends
/// (RFC 9112, sections 5.2, 6.3 and 7.1). A second request hidden in the body must never run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ambiguous_requests_are_refused() {
    let hidden = "GET /slips/hidden HTTP/1.1\r\nhost: x\r\n\r\n";
    let cases: &[(&str, String)] = &[
        (
            "length, then coding",
            format!("content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"),
        ),
        (
            "coding, then length",
            format!("transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n{hidden}"),
        ),
        ("two lengths", format!("content-length: 0\r\ncontent-length: 44\r\n\r\n{hidden}")),
        ("list of lengths", format!("content-length: 0, 44\r\n\r\n{hidden}")),
        ("equal lengths", format!("content-length: 1\r\ncontent-length: 1\r\n\r\nx{hidden}")),
        ("signed length", format!("content-length: +0\r\n\r\n{hidden}")),
        ("negative length", format!("content-length: -1\r\n\r\n{hidden}")),
        ("hexadecimal length", format!("content-length: 0x1\r\n\r\nx{hidden}")),
        ("empty length", format!("content-length:\r\n\r\n{hidden}")),
        ("huge length", format!("content-length: 18446744073709551616\r\n\r\n{hidden}")),
        ("two codings", format!("transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n{hidden}")),
        (
            "repeated coding",
            format!(
                "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"
            ),
        ),
        ("hidden coding", format!("transfer-encoding: xchunked\r\n\r\n0\r\n\r\n{hidden}")),
        ("identity", format!("transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n{hidden}")),
        ("space before colon", format!("content-length : 5\r\n\r\n{hidden}")),
        ("coding before space", format!("transfer-encoding : chunked\r\n\r\n0\r\n\r\n{hidden}")),
        ("folded line", format!("x: a\r\n b\r\n\r\n{hidden}")),
        ("folded coding", format!("transfer-encoding:\r\n chunked\r\n\r\n0\r\n\r\n{hidden}")),
        ("CR alone", format!("x: a\rcontent-length: 5\r\n\r\n{hidden}")),
        ("no colon", format!("x\r\n\r\n{hidden}")),
        ("NUL", format!("x: a\0b\r\n\r\n{hidden}")),
        ("two hosts", format!("host: y\r\n\r\n{hidden}")),
        ("bad chunk size", format!("transfer-encoding: chunked\r\n\r\nzz\r\n\r\n{hidden}")),
        ("signed chunk size", format!("transfer-encoding: chunked\r\n\r\n-1\r\n\r\n{hidden}")),
        (
            "huge chunk size",
            format!("transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n\r\n{hidden}"),
        ),
        (
            "chunk without end",
            format!("transfer-encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n{hidden}"),
        ),
    ];
    for (name, rest) in cases {
        let hosts = start_hosts(1, &LimitSettings::default());
        let target = StandInTarget::start(|_, _| Reply::ok("ran")).await;
        hosts[0].publish(&Layout::keyed(target.address, 1));
        let request = format!("POST /slips/k1 HTTP/1.1\r\nhost: x\r\n{rest}");
        let mut caller = RawCaller::connect(hosts[0].callers).await;
        caller.send(request).await;
        let answer = caller.answer().await.expect(name);
        assert!((400..500).contains(&answer.status), "{name}: {}", answer.status);
        assert!(caller.answer().await.is_none(), "{name}: the hidden request was answered");
        if *name == "chunk without end" {
            // The first chunk is valid and was forwarded before the malformed part arrived.
            assert!(target.seen().is_empty(), "{name}: a complete request reached the target");
        } else {
            assert_eq!(target.bytes(), 0, "{name}: bytes reached the target");
        }
    }
}

/// Guards against a scanner that mistakes the boundaries of valid requests on one connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn regular_requests_on_one_connection_are_answered() {
    let hosts = start_hosts(1, &LimitSettings::default());
    let target = StandInTarget::start(|number, _| Reply::ok(&number.to_string())).await;
    hosts[0].publish(&Layout::keyed(target.address, 1));
    let requests = [
        "GET /slips/k1 HTTP/1.1\r\nhost: x\r\n\r\n",
        "\r\nPOST /slips/k1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
        "POST /slips/k1 HTTP/1.1\r\nhost: x\r\nTransfer-Encoding: Chunked\r\n\r\n\
            3;ext=1\r\nabc\r\n0000\r\nx-trailer: 1\r\n\r\n",
        "POST /slips/k1 HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n",
        "GET http://other.example/slips/k1 HTTP/1.1\r\nhost: x\r\n\r\n",
        "HEAD /slips/k1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    ];
    for piece in [1_000, 7, 1] {
        let mut caller = RawCaller::connect(hosts[0].callers).await;
        for part in requests[..5].concat().as_bytes().chunks(piece) {
            caller.send(part).await;
        }
        for _ in 0..5 {
            assert_eq!(caller.answer().await.expect("an answer").status, 200);
        }
    }
    let host = target.seen()[4].header("host");
    assert_eq!(host.as_deref(), Some("other.example"), "an absolute URI overrides Host");
}

/// Guards against limits that are not enforced, and against a refused request that reaches its
/// target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_are_enforced() {
    let limits = LimitSettings {
        head_bytes: 16_384,
        request_line_bytes: 4_096,
        body_bytes: 100_000,
        header_count: 20,
        head_timeout_ms: 300,
        body_timeout_ms: 300,
        ..LimitSettings::default()
    };
    let head = |line: &str, fields: &str| format!("{line} HTTP/1.1\r\nhost: x\r\n{fields}\r\n");
    let many: String = (0..30).map(|n| format!("x{n}: 1\r\n")).collect();
    let chunk = format!("186a1\r\n{}\r\n0\r\n\r\n", "x".repeat(100_001));
    let cases = [
        ("long URI", head(&format!("GET /slips/{}", "k".repeat(5_000)), ""), 414),
        ("very long URI", head(&format!("GET /slips/{}", "k".repeat(66_000)), ""), 414),
        ("long head", head("GET /slips/k1", &format!("x: {}\r\n", "v".repeat(17_000))), 431),
        ("very long head", head("GET /slips/k1", &format!("x: {}\r\n", "v".repeat(200_000))), 431),
        ("many fields", head("GET /slips/k1", &many), 431),
        ("announced body", head("POST /slips/k1", "content-length: 100001\r\n"), 413),
        ("slow body", head("POST /slips/k1", "content-length: 10\r\n"), 408),
        ("slow head", "GET /slips/k1 HTTP/1.1\r\nhos".to_owned(), 408),
        ("CONNECT", "CONNECT x:1 HTTP/1.1\r\nhost: x:1\r\n\r\n".to_owned(), 405),
        ("no host", "GET /slips/k1 HTTP/1.1\r\n\r\n".to_owned(), 400),
        ("other service", head("GET /slipsz/k1", ""), 404),
    ];
    for (name, request, status) in cases {
        let hosts = start_hosts(1, &limits);
        let target = StandInTarget::start(|_, _| Reply::ok("")).await;
        hosts[0].publish(&Layout::keyed(target.address, 1));
        let answer = RawCaller::ask(hosts[0].callers, request).await;
        assert_eq!(answer.status, status, "{name}");
        assert_eq!(target.bytes(), 0, "{name}: bytes reached the target");
    }
    // A body without an announced length exceeds the limit while it is being forwarded.
    let hosts = start_hosts(1, &limits);
    let target = StandInTarget::start(|_, _| Reply::ok("")).await;
    hosts[0].publish(&Layout::keyed(target.address, 1));
    let request = head("POST /slips/k1", "transfer-encoding: chunked\r\n") + &chunk;
    let answer = RawCaller::ask(hosts[0].callers, request).await;
    assert_eq!((answer.status, answer.outcome()), (413, "unknown"));
    assert!(target.seen().is_empty(), "a complete request reached the target");
}

/// Guards against a caller that never receives `100 Continue`, or receives it for a request that is
/// refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn expect_100_continue_is_handled() {
    let hosts = start_hosts(1, &LimitSettings::default());
    let target = StandInTarget::start(|_, _| Reply::ok("done")).await;
    hosts[0].publish(&Layout::keyed(target.address, 1));
    let fields = "host: x\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    let mut caller = RawCaller::connect(hosts[0].callers).await;
    caller.send(format!("POST /slips/k1 HTTP/1.1\r\n{fields}")).await;
    assert_eq!(caller.answer().await.unwrap().status, 100);
    assert_eq!(target.bytes(), 0, "the request was sent before its body was there");
    caller.send("abc").await;
    assert_eq!(caller.answer().await.unwrap().text(), "done");
    assert_eq!(target.seen()[0].header("expect"), None);
    let refused = format!("POST /nowhere HTTP/1.1\r\n{fields}");
    assert_eq!(RawCaller::ask(hosts[0].callers, refused).await.status, 404);
}
