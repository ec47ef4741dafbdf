//! Non-idempotent requests with an `Idempotency-Key`, sent through sockets to a stand-in target
//! that counts its runs.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use gw_daemon::ShutdownPhase;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::ServiceName;
use support::FakeNetwork;
use support::Layout;
use support::RawCaller;
use support::Reply;
use support::StandInTarget;
use support::TestHost;
use support::eventually;
use support::new_record_replicator;
use support::start_hosts_with_records;

fn post(key: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "POST /slips/k1 HTTP/1.1\r\nhost: x\r\nidempotency-key: {key}\r\n\
         content-length: {len}\r\n\r\n{body}"
    )
}

async fn counting_target() -> StandInTarget {
    StandInTarget::start(|number, _| Reply::ok(&format!("run {number}"))).await
}

fn publish(hosts: &[TestHost], layout: &Layout) {
    hosts.iter().for_each(|host| host.publish(layout));
}

fn layout(is_keyed: bool, address: SocketAddr, dispatcher: u16) -> Layout {
    let targets = vec![("t1", address, dispatcher)];
    if is_keyed { Layout::keyed(address, dispatcher) } else { Layout::unkeyed(targets) }
}

/// Guards against a second run when a request is resent through another host, before and after a
/// change of the dispatcher, for services with and without slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resends_get_the_stored_answer_everywhere() {
    for is_keyed in [true, false] {
        let hosts = start_hosts_with_records(3, &FakeNetwork::default());
        let target = counting_target().await;
        publish(&hosts, &layout(is_keyed, target.address, 2));
        let first = RawCaller::ask(hosts[0].callers, post("a", "x")).await;
        assert_eq!((first.status, first.text().as_str()), (200, "run 0"));
        for dispatcher in [2, 1, 3] {
            publish(&hosts, &layout(is_keyed, target.address, dispatcher));
            for host in &hosts {
                let again = RawCaller::ask(host.callers, post("a", "x")).await;
                assert_eq!((again.status, again.outcome()), (200, "answered"));
                assert_eq!(again.text(), "run 0");
            }
        }
        assert_eq!(target.seen().len(), 1, "keyed: {is_keyed}");
        let other = RawCaller::ask(hosts[2].callers, post("b", "x")).await;
        assert_eq!(other.text(), "run 1");
    }
}

/// Guards against a second run after the target closed the connection without an answer, also if
/// another target owns the key by the time of the resend.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_is_unknown_for_all_resends() {
    let hosts = start_hosts_with_records(3, &FakeNetwork::default());
    let closing = StandInTarget::start(|_, _| Reply::RawThenClose(Vec::new())).await;
    let next = counting_target().await;
    publish(&hosts, &Layout::keyed(closing.address, 2));
    let first = RawCaller::ask(hosts[0].callers, post("a", "x")).await;
    assert_eq!((first.status, first.outcome()), (502, "unknown"));
    let moved = Layout {
        targets: vec![("t1", closing.address, 2), ("t2", next.address, 3)],
        owner: Some("t2"),
        token: 8,
        ..Layout::keyed(closing.address, 2)
    };
    publish(&hosts, &moved);
    for host in &hosts {
        let again = RawCaller::ask(host.callers, post("a", "x")).await;
        assert_eq!((again.status, again.outcome()), (502, "unknown"));
    }
    assert_eq!((closing.seen().len(), next.seen().len()), (1, 0));
}

/// Guards against a second run after the caller disconnected while the target processed the
/// request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_disconnected_caller_causes_no_second_run() {
    let hosts = start_hosts_with_records(3, &FakeNetwork::default());
    let target = StandInTarget::start(|_, _| Reply::Silence).await;
    publish(&hosts, &Layout { deadline_ms: 2_000, ..Layout::keyed(target.address, 2) });
    let mut caller = RawCaller::connect(hosts[0].callers).await;
    caller.send(post("a", "x")).await;
    eventually("the target runs the request", || target.seen().len() == 1).await;
    drop(caller);
    let again = RawCaller::ask(hosts[2].callers, post("a", "x")).await;
    assert_eq!(again.outcome(), "unknown");
    assert_eq!(target.seen().len(), 1);
}

/// Guards against a second run after the dispatcher was lost while the target processed the
/// request, so that only the other holders have the record.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn records_survive_the_loss_of_the_dispatcher() {
    for is_keyed in [true, false] {
        let network = FakeNetwork::default();
        let hosts = start_hosts_with_records(3, &network);
        let target = StandInTarget::start(|_, _| Reply::Silence).await;
        let first = Layout { deadline_ms: 1_500, ..layout(is_keyed, target.address, 2) };
        publish(&hosts, &first);
        let mut caller = RawCaller::connect(hosts[0].callers).await;
        caller.send(post("a", "x")).await;
        eventually("the target runs the request", || target.seen().len() == 1).await;
        network.isolate(HostId(2));
        hosts[1].shutdown.advance(ShutdownPhase::Immediate);
        let lost = caller.answer().await.expect("an answer");
        assert_eq!(lost.outcome(), "unknown");
        let layout = Layout { deadline_ms: 1_500, ..layout(is_keyed, target.address, 3) };
        publish(&hosts, &layout);
        for host in [&hosts[0], &hosts[2]] {
            let again = RawCaller::ask(host.callers, post("a", "x")).await;
            assert_eq!(again.outcome(), "unknown", "keyed: {is_keyed}");
        }
        assert_eq!(target.seen().len(), 1, "keyed: {is_keyed}");
    }
}

/// Guards against two runs of a request that several hosts receive at the same time, and against
/// resends that get another answer than that of the run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_resends_run_once() {
    for is_keyed in [true, false] {
        let hosts = start_hosts_with_records(3, &FakeNetwork::default());
        let target = counting_target().await;
        let t2 = counting_target().await;
        let mut layout = layout(is_keyed, target.address, 2);
        if !is_keyed {
            // Each host may choose another target, and each target has its own dispatcher.
            layout.targets = vec![("t1", target.address, 2), ("t2", t2.address, 3)];
        }
        publish(&hosts, &layout);
        let asks = (0..12).map(|number| {
            let address = hosts[number % 3].callers;
            tokio::spawn(async move { RawCaller::ask(address, post("a", "x")).await })
        });
        for ask in asks.collect::<Vec<_>>() {
            let answer = ask.await.unwrap();
            assert_eq!((answer.status, answer.text().as_str()), (200, "run 0"));
        }
        assert_eq!(target.seen().len() + t2.seen().len(), 1, "keyed: {is_keyed}");
    }
}

/// Guards against records that are evicted early, keys that are used for two requests, and requests
/// that run although no majority of the holders has a copy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_cannot_be_recorded_are_refused() {
    let network = FakeNetwork::default();
    let hosts = start_hosts_with_records(3, &network);
    let target = counting_target().await;
    publish(&hosts, &Layout { record_limit: 2, ..Layout::keyed(target.address, 2) });
    for key in ["a", "b"] {
        assert_eq!(RawCaller::ask(hosts[0].callers, post(key, "x")).await.status, 200);
    }
    let refused = |answer: &support::Answer| {
        let reason = answer.header("galenawheel-reason").unwrap_or("").to_owned();
        (answer.status, answer.outcome().to_owned(), reason)
    };
    let expected = |status, reason: &str| (status, "not-run".to_owned(), reason.to_owned());
    let full = RawCaller::ask(hosts[0].callers, post("c", "x")).await;
    assert_eq!(refused(&full), expected(503, "records-full"));
    let other = RawCaller::ask(hosts[2].callers, post("a", "y")).await;
    assert_eq!(refused(&other), expected(422, "idempotency-key-reused"));
    let known = RawCaller::ask(hosts[2].callers, post("a", "x")).await;
    assert_eq!(known.text(), "run 0");
    publish(&hosts, &Layout::keyed(target.address, 2));
    network.isolate(HostId(1));
    network.isolate(HostId(3));
    let alone = RawCaller::ask(hosts[0].callers, post("d", "x")).await;
    assert_eq!(refused(&alone), expected(503, "records-unavailable"));
    network.heal(HostId(3));
    let one_peer = RawCaller::ask(hosts[0].callers, post("e", "x")).await;
    assert_eq!(one_peer.status, 200);
    assert_eq!(target.seen().len(), 3);
}

/// Guards against a restarted host that grants claims before it has fetched the lost records, and
/// against one that never recovers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_holders_fetch_from_other_holders() {
    let network = FakeNetwork::default();
    let hosts = start_hosts_with_records(3, &network);
    let target = counting_target().await;
    let layout = Layout::keyed(target.address, 2);
    publish(&hosts, &layout);
    assert_eq!(RawCaller::ask(hosts[0].callers, post("a", "x")).await.text(), "run 0");
    let all = &[&hosts[0], &hosts[1], &hosts[2]];
    eventually("all hold the end", || {
        all.iter().all(|host| host.records.as_ref().is_some_and(|held| held.record_count() == 1))
    })
    .await;
    let entries: Vec<_> = hosts.iter().map(support::host_entry).collect();
    let restart = |host: u16| {
        let state = &hosts[usize::from(host) - 1].state;
        let replicator = new_record_replicator(HostId(host), BootId(2), &entries, state);
        replicator.publish_scopes(layout.scopes(state.now()));
        network.add(HostId(host), BootId(2), vec![replicator.clone()]);
        replicator
    };
    let (one, three) = (restart(1), restart(3));
    let refused = RawCaller::ask(hosts[0].callers, post("b", "x")).await;
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    // Two holders that lost their records cannot complete each other. Once one of them counts as
    // complete, the other can fetch from two complete holders.
    three.set_complete(&ServiceName::new("slips").unwrap());
    tokio::spawn(gw_daemon::records::RecordReplicator::run(Arc::downgrade(&one)));
    eventually("the holder has recovered", || one.record_count() == 1).await;
    let answer = RawCaller::ask(hosts[0].callers, post("b", "x")).await;
    assert_eq!(answer.text(), "run 1");
}

/// Guards against a system of one host that never runs requests with an `Idempotency-Key`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_host_keeps_its_own_records() {
    let hosts = start_hosts_with_records(1, &FakeNetwork::default());
    let target = counting_target().await;
    publish(&hosts, &Layout::keyed(target.address, 1));
    for _ in 0..2 {
        assert_eq!(RawCaller::ask(hosts[0].callers, post("a", "x")).await.text(), "run 0");
    }
    assert_eq!(target.seen().len(), 1);
}
