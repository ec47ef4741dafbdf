//! Routing, forwarding, handovers and drains over TCP sockets.

mod support;

use std::sync::Arc;
use std::time::Duration;

use gw_daemon::ShutdownPhase;
use gw_daemon::forward::ForwardSigner;
use gw_daemon::forward::ForwardTicket;
use gw_daemon::settings::LimitSettings;
use gw_node::DrainOrder;
use gw_node::DrainScope;
use gw_node::NodeEvent;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::KeySource;
use gw_types::ServiceName;
use gw_types::SlotIndex;
use gw_types::TargetName;
use support::Layout;
use support::RawCaller;
use support::Reply;
use support::StandInTarget;
use support::eventually;
use support::frame_keys;
use support::start_hosts;

const GET: &str = "GET /slips/k1 HTTP/1.1\r\nhost: x\r\n\r\n";

/// Guards against requests that do not reach a target or have wrong headers, through one and two
/// hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_reach_their_target_with_the_specified_headers() {
    struct Case {
        dispatcher: u16,
        is_keyed: bool,
        via: &'static str,
    }
    let cases = [
        Case { dispatcher: 1, is_keyed: true, via: "1.1 entry-1" },
        Case { dispatcher: 2, is_keyed: true, via: "1.1 entry-1,1.1 entry-2" },
        Case { dispatcher: 1, is_keyed: false, via: "1.1 entry-1" },
        Case { dispatcher: 2, is_keyed: false, via: "1.1 entry-1,1.1 entry-2" },
    ];
    for case in cases {
        let hosts = start_hosts(2, &LimitSettings::default());
        let target = StandInTarget::start(|_, request| {
            let via = request.head.split("\r\n").filter_map(|line| line.strip_prefix("via: "));
            Reply::ok(&via.collect::<Vec<_>>().join(","))
        })
        .await;
        let layout = if case.is_keyed {
            Layout::keyed(target.address, case.dispatcher)
        } else {
            Layout::unkeyed(vec![("t1", target.address, case.dispatcher)])
        };
        hosts.iter().for_each(|host| host.publish(&layout));
        let request = "POST /slips/k1?q=1 HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\
            connection: x-drop\r\nx-drop: 1\r\nx-keep: 1\r\ngalenawheel-token: 99\r\n\
            galenawheel-deadline-ms: 5\r\nkeep-alive: 5\r\n\r\nabc";
        let answer = RawCaller::ask(hosts[0].callers, request).await;
        assert_eq!((answer.status, answer.outcome()), (200, "answered"));
        assert_eq!(answer.text(), case.via);
        assert!(answer.header("via").is_some_and(|via| via.starts_with("1.1 entry-")));
        assert!(answer.header("proxy-status").is_some());
        let seen = &target.seen()[0];
        assert!(seen.head.starts_with("POST /slips/k1?q=1 HTTP/1.1\r\n"), "{}", seen.head);
        assert_eq!(seen.body, b"abc");
        assert_eq!(seen.header("x-keep").as_deref(), Some("1"));
        assert_eq!(seen.header("x-drop"), None);
        assert_eq!(seen.header("keep-alive"), None);
        assert_eq!(seen.header("galenawheel-forward"), None);
        assert!(seen.header("galenawheel-request-id").is_some());
        let left: u32 = seen.header("galenawheel-deadline-ms").unwrap().parse().unwrap();
        assert!(left > 5 && left <= 20_000, "the caller's forged deadline counts: {left}");
        let slot = KeyHash::of(b"k1").slot().to_string();
        assert_eq!(seen.header("galenawheel-slot"), case.is_keyed.then_some(slot));
        let token = ((1u64 << 32) + 7).to_string();
        assert_eq!(seen.header("galenawheel-token"), case.is_keyed.then_some(token));
    }
}

/// Guards against a key that is read from the wrong place or decoded incorrectly: all encodings of
/// a key must have the same slot, and a request without a valid key must not run.
#[tokio::test]
async fn keys_are_found_and_decoded() {
    struct Case {
        source: KeySource,
        request: &'static str,
        key: Option<&'static str>,
    }
    let query = || KeySource::QueryParameter("k".to_owned());
    let header = || KeySource::Header("x-key".to_owned());
    let cases = [
        Case { source: KeySource::PathSegment(1), request: "/slips/a%62c/z", key: Some("abc") },
        Case { source: KeySource::PathSegment(1), request: "/slips", key: None },
        Case { source: KeySource::PathSegment(1), request: "/slips/", key: None },
        Case { source: KeySource::PathSegment(1), request: "/slips/%zz", key: None },
        Case { source: query(), request: "/slips?a=1&%6b=x%20y&k=2", key: Some("x y") },
        Case { source: query(), request: "/slips?k=x+y", key: Some("x y") },
        Case { source: query(), request: "/slips?k=x%2By", key: Some("x y") },
        Case { source: query(), request: "/slips?k=", key: None },
        Case { source: query(), request: "/slips", key: None },
        Case { source: header(), request: "/slips HTTP/1.1\r\nx-key: v", key: Some("v") },
        Case { source: header(), request: "/slips HTTP/1.1\r\nx-key: v\r\nx-key: w", key: None },
        Case { source: header(), request: "/slips", key: None },
    ];
    for case in cases {
        let hosts = start_hosts(1, &LimitSettings::default());
        let target = StandInTarget::start(|_, _| Reply::ok("")).await;
        let layout = Layout { key: Some(case.source), ..Layout::keyed(target.address, 1) };
        hosts[0].publish(&layout);
        let version = if case.request.contains("HTTP") { "" } else { " HTTP/1.1" };
        let request = format!("GET {}{version}\r\nhost: x\r\n\r\n", case.request);
        let answer = RawCaller::ask(hosts[0].callers, request).await;
        let slot = target.seen().first().and_then(|seen| seen.header("galenawheel-slot"));
        let expected = case.key.map(|key| KeyHash::of(key.as_bytes()).slot().to_string());
        assert_eq!(slot, expected, "{}", case.request);
        assert_eq!(answer.status, if case.key.is_some() { 200 } else { 400 }, "{}", case.request);
    }
}

/// Guards against a request that fails although the handover of its key ends before its deadline.
/// The request first waits on the entry host, then while the dispatcher's routing table is
/// outdated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_waits_for_the_end_of_a_handover() {
    let hosts = start_hosts(2, &LimitSettings::default());
    let target = StandInTarget::start(|_, _| Reply::ok("done")).await;
    let owned = Layout::keyed(target.address, 2);
    let in_handover = Layout { owner: None, token: 6, ..owned.clone() };
    hosts.iter().for_each(|host| host.publish(&in_handover));
    let mut caller = RawCaller::connect(hosts[0].callers).await;
    caller.send(GET).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(target.bytes(), 0, "a request was sent during the handover");
    hosts[0].publish(&owned);
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert_eq!(target.bytes(), 0, "the dispatcher sent without owning the key");
    hosts[1].publish(&owned);
    let answer = caller.answer().await.unwrap();
    assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
}

/// Guards against a wrong or missing response when no target can take the request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_without_a_target_are_not_run() {
    struct Case {
        name: &'static str,
        change: fn(Layout) -> Layout,
        reason: &'static str,
    }
    let cases = [
        Case {
            name: "handover outlasts the deadline",
            change: |layout| Layout { owner: None, deadline_ms: 100, ..layout },
            reason: "no-owner",
        },
        Case {
            name: "lease has expired",
            change: |layout| Layout { lease: Duration::ZERO, ..layout },
            reason: "lease-lapsed",
        },
        Case {
            name: "dispatcher is unknown",
            change: |layout| Layout {
                targets: layout.targets.iter().map(|(name, at, _)| (*name, *at, 9)).collect(),
                ..layout
            },
            reason: "stale-route",
        },
    ];
    for case in cases {
        let hosts = start_hosts(1, &LimitSettings::default());
        let target = StandInTarget::start(|_, _| Reply::ok("")).await;
        hosts[0].publish(&(case.change)(Layout::keyed(target.address, 1)));
        let answer = RawCaller::ask(hosts[0].callers, GET).await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"), "{}", case.name);
        assert_eq!(answer.header("galenawheel-reason"), Some(case.reason), "{}", case.name);
        assert!(answer.header("retry-after").is_some() && answer.header("proxy-status").is_some());
        assert_eq!(target.bytes(), 0, "{}", case.name);
    }
}

/// Guards against a forwarding loop when two hosts disagree on the dispatcher.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn forwarded_request_is_never_forwarded_again() {
    let hosts = start_hosts(2, &LimitSettings::default());
    let target = StandInTarget::start(|_, _| Reply::ok("")).await;
    hosts[0].publish(&Layout::keyed(target.address, 2));
    hosts[1].publish(&Layout::keyed(target.address, 1));
    let answer = RawCaller::ask(hosts[0].callers, GET).await;
    assert_eq!(answer.header("galenawheel-reason"), Some("stale-route"));
    assert_eq!((answer.outcome(), target.bytes()), ("not-run", 0));
}

/// Guards against acceptance of forged, replayed and missing tickets by the forwards listener.
#[tokio::test]
async fn only_fresh_signed_tickets_are_accepted() {
    let hosts = start_hosts(2, &LimitSettings::default());
    let target = StandInTarget::start(|_, _| Reply::ok("")).await;
    hosts[1].publish(&Layout::keyed(target.address, 2));
    let signer = ForwardSigner::new(&frame_keys(), HostId(1), BootId(1));
    let stranger = ForwardSigner::new(&frame_keys(), HostId(8), BootId(1));
    let ticket = ForwardTicket {
        service: ServiceName::new("slips").unwrap(),
        target: TargetName::new("t1").unwrap(),
        boot: BootId(1),
        key: Some(KeyHash::of(b"k1")),
        deadline_ms: 10_000,
        request_id: "r1".into(),
        caller: 0,
        attempts: 0,
        crashed: Vec::new(),
    };
    let good = signer.sign(&ticket).unwrap();
    let other = signer.sign(&ticket).unwrap();
    let last = if other.ends_with('0') { '1' } else { '0' };
    let forged = format!("{}{last}", &other[..other.len() - 1]);
    let cases = [
        ("good", good.clone(), 200),
        ("replayed", good, 403),
        ("forged", forged, 403),
        ("unknown host", stranger.sign(&ticket).unwrap(), 403),
        ("no hexadecimal digits", "xyz".to_owned(), 403),
    ];
    for (name, ticket, status) in cases {
        let request =
            format!("GET /slips/k1 HTTP/1.1\r\nhost: x\r\ngalenawheel-forward: {ticket}\r\n\r\n");
        let answer = RawCaller::ask(hosts[1].forwards, request).await;
        assert_eq!(answer.status, status, "{name}");
    }
    let answer = RawCaller::ask(hosts[1].forwards, GET).await;
    assert_eq!((answer.status, target.seen().len()), (403, 1));
}

/// Guards against a drain that is reported as done while a request is in flight, one that never
/// ends, and one that waits for requests that it does not cover.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drains_wait_then_cancel() {
    let slot = KeyHash::of(b"k1").slot();
    let other = SlotIndex(slot.0 ^ 1);
    struct Case {
        scope: DrainScope,
        is_covered: bool,
        cancel_ms: u64,
    }
    let cases = [
        Case { scope: DrainScope::Target, is_covered: true, cancel_ms: 60_000 },
        Case { scope: DrainScope::Slots(slot, slot), is_covered: true, cancel_ms: 60_000 },
        Case { scope: DrainScope::Key(KeyHash::of(b"k1")), is_covered: true, cancel_ms: 60_000 },
        Case { scope: DrainScope::Slots(other, other), is_covered: false, cancel_ms: 60_000 },
        Case { scope: DrainScope::Target, is_covered: true, cancel_ms: 50 },
    ];
    for (drain_id, case) in cases.into_iter().enumerate() {
        let hosts = start_hosts(1, &LimitSettings::default());
        let body = Reply::ok("done");
        let Reply::Raw(bytes) = body else { unreachable!() };
        let target = StandInTarget::start(move |_, _| Reply::RawWhenReleased(bytes.clone())).await;
        hosts[0].publish(&Layout::keyed(target.address, 1));
        let mut caller = RawCaller::connect(hosts[0].callers).await;
        caller.send(GET).await;
        eventually("request at the target", || target.seen().len() == 1).await;
        let order = DrainOrder {
            drain_id: drain_id as u64,
            service: ServiceName::new("slips").unwrap(),
            target: TargetName::new("t1").unwrap(),
            scope: case.scope,
            cancel_at: hosts[0].state.now() + Duration::from_millis(case.cancel_ms),
        };
        hosts[0].state.start_drain(order, hosts[0].control.clone());
        let control = hosts[0].control.clone();
        let drained = move || {
            let is_it = |event: &NodeEvent| matches!(event, NodeEvent::Drained { drain_id: id } if *id == drain_id as u64);
            control.has(is_it)
        };
        let is_cancelled = case.cancel_ms < 1_000;
        if case.is_covered && !is_cancelled {
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(!drained(), "drained with a request in flight");
            target.release();
        }
        eventually("drained", &drained).await;
        target.release();
        let answer = caller.answer().await.unwrap();
        let expected = if is_cancelled { (502, "unknown") } else { (200, "answered") };
        assert_eq!((answer.status, answer.outcome()), expected);
    }
}

/// Guards against an unbounded queue: a request beyond the limit must be refused immediately.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_queue_refuses() {
    let hosts = start_hosts(1, &LimitSettings::default());
    let Reply::Raw(bytes) = Reply::ok("done") else { unreachable!() };
    let target = StandInTarget::start(move |_, _| Reply::RawWhenReleased(bytes.clone())).await;
    hosts[0].publish(&Layout { queue_limit: 3, ..Layout::keyed(target.address, 1) });
    let mut answers = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let address = hosts[0].callers;
        answers.spawn(async move { RawCaller::ask(address, GET).await });
    }
    let mut refused = 0;
    while refused < 3 {
        let answer = answers.join_next().await.unwrap().unwrap();
        assert_eq!((answer.status, answer.outcome()), (429, "not-run"));
        refused += 1;
    }
    target.release();
    while let Some(answer) = answers.join_next().await {
        assert_eq!(answer.unwrap().status, 200);
    }
    assert_eq!(target.seen().len(), 5, "two run and three wait");
}

/// Guards against a queued request that is sent to the old owner after its key has moved: the
/// routing table must be read again after the request has left the queue.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_request_is_rerouted_when_its_key_moves() {
    for dispatcher in [1, 2] {
        let hosts = start_hosts(2, &LimitSettings::default());
        let Reply::Raw(bytes) = Reply::ok("old") else { unreachable!() };
        let old = StandInTarget::start(move |_, _| Reply::RawWhenReleased(bytes.clone())).await;
        let new = StandInTarget::start(|_, _| Reply::ok("new")).await;
        let targets = vec![("t1", old.address, dispatcher), ("t2", new.address, dispatcher)];
        let before = Layout { targets, ..Layout::keyed(old.address, dispatcher) };
        hosts.iter().for_each(|host| host.publish(&before));
        let mut callers = Vec::new();
        for _ in 0..4 {
            let mut caller = RawCaller::connect(hosts[0].callers).await;
            caller.send(GET).await;
            callers.push(caller);
        }
        let state = hosts[usize::from(dispatcher) - 1].state.clone();
        eventually("two run and two wait", || {
            old.seen().len() == 2 && state.waiting_requests() == 2
        })
        .await;
        let after = Layout { owner: Some("t2"), token: 8, ..before.clone() };
        hosts.iter().for_each(|host| host.publish(&after));
        old.release();
        let mut texts = Vec::new();
        for caller in &mut callers {
            texts.push(caller.answer().await.unwrap().text());
        }
        texts.sort();
        assert_eq!(texts, ["new", "new", "old", "old"]);
        let token = ((1u64 << 32) + 8).to_string();
        let tokens: Vec<_> =
            new.seen().iter().map(|seen| seen.header("galenawheel-token")).collect();
        assert_eq!(tokens, [Some(token.clone()), Some(token)]);
    }
}

/// Guards against a request that fails although the lost dispatcher of its target is replaced
/// before its deadline. Nothing was sent, so requests of every method may be routed again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_is_rerouted_when_its_dispatcher_is_lost() {
    let post = "POST /slips/k1 HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc";
    for request in [GET, post] {
        let mut hosts = start_hosts(2, &LimitSettings::default());
        let target = StandInTarget::start(|_, _| Reply::ok("done")).await;
        let layout = |dispatcher| Layout::keyed(target.address, dispatcher);
        hosts[1].shutdown.advance(ShutdownPhase::Immediate);
        (&mut hosts[1].running).await.unwrap().unwrap();
        hosts[0].publish(&layout(2));
        let mut caller = RawCaller::connect(hosts[0].callers).await;
        caller.send(request).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        hosts[0].publish(&layout(1));
        let answer = caller.answer().await.unwrap();
        assert_eq!((answer.status, answer.text().as_str()), (200, "done"), "{request}");
    }
}

/// Guards against writes to a target that is no longer in the dispatch plan, so that a request for
/// an old process of a target is not sent to the new one.
#[tokio::test]
async fn plan_without_the_target_ends_writing() {
    let hosts = start_hosts(1, &LimitSettings::default());
    let target = StandInTarget::start(|_, _| Reply::ok("")).await;
    let layout = Layout { deadline_ms: 200, ..Layout::keyed(target.address, 1) };
    hosts[0].publish(&layout);
    assert_eq!(RawCaller::ask(hosts[0].callers, GET).await.status, 200);
    hosts[0].state.publish_plan(Arc::default());
    let answer = RawCaller::ask(hosts[0].callers, GET).await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert_eq!(target.seen().len(), 1);
}
