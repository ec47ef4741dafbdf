//! Requests that crash targets are refused by all hosts; requests that ran beside them are served.

mod support;

use support::FakeNetwork;
use support::Layout;
use support::RawCaller;
use support::Reply;
use support::StandInTarget;
use support::TestHost;
use support::eventually;
use support::start_hosts_with_records;

fn get(key: &str) -> String {
    format!("GET /slips/{key} HTTP/1.1\r\nhost: x\r\n\r\n")
}

/// Starts a target that crashes on a request for `bad`.
async fn fragile_target() -> StandInTarget {
    StandInTarget::start(|_, request| match request.head.starts_with("GET /slips/bad") {
        true => Reply::RawThenClose(Vec::new()),
        false => Reply::ok("fine"),
    })
    .await
}

fn crashes(targets: &[StandInTarget]) -> usize {
    let bad = |target: &StandInTarget| {
        target.seen().iter().filter(|seen| seen.head.starts_with("GET /slips/bad")).count()
    };
    targets.iter().map(bad).sum()
}

/// Guards against a request that crashes more targets than its profile allows because it is sent
/// through several hosts, and against other requests that are refused with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_targets_is_refused_by_all_hosts() {
    let network = FakeNetwork::default();
    let hosts = start_hosts_with_records(3, &network);
    let targets = [
        fragile_target().await,
        fragile_target().await,
        fragile_target().await,
        fragile_target().await,
    ];
    let names = ["t1", "t2", "t3", "t4"];
    let dispatchers = [1, 2, 1, 2];
    let all = (0..4).map(|at| (names[at], targets[at].address, dispatchers[at])).collect();
    let layout = Layout::unkeyed(all);
    hosts.iter().for_each(|host| host.publish(&layout));
    let nothing = hosts[2].quarantine.digest();
    // Host 3 does not receive the crash reports and obtains them after a digest exchange.
    network.isolate(hosts[2].id);
    let limit = 2;
    let first = RawCaller::ask(hosts[0].callers, get("bad")).await;
    assert_eq!(first.outcome(), "unknown");
    eventually("hosts 1 and 2 know the same", || {
        hosts[0].quarantine.digest() == hosts[1].quarantine.digest()
    })
    .await;
    assert_eq!(hosts[2].quarantine.digest(), nothing);
    for host in &hosts[..2] {
        let refused = RawCaller::ask(host.callers, get("bad")).await;
        assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    }
    assert_eq!(crashes(&targets), limit);
    network.heal(hosts[2].id);
    eventually("all hosts know the same", || {
        hosts.iter().for_each(|host| host.quarantine.tick(host.state.now()));
        let digests = hosts.iter().map(|host| host.quarantine.digest());
        digests.min() == hosts.iter().map(|host| host.quarantine.digest()).max()
    })
    .await;
    for host in &hosts {
        let refused = RawCaller::ask(host.callers, get("bad")).await;
        assert_eq!(refused.header("galenawheel-reason"), Some("quarantined"));
        for key in ["good", "fine", "bat"] {
            assert_eq!(RawCaller::ask(host.callers, get(key)).await.status, 200);
        }
    }
    assert_eq!(crashes(&targets), limit);
}

/// Guards against a frequent request that is refused because it ran beside the request that caused
/// the crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_beside_the_cause_is_served() {
    let hosts = start_hosts_with_records(2, &FakeNetwork::default());
    for name in ["t1", "t2", "t3", "t4"] {
        // Two requests run at the same time until the target closes both connections, as in a
        // crash.
        let target = StandInTarget::start(|number, _| match number {
            0 | 1 => Reply::CloseWhenReleased,
            _ => Reply::ok("fine"),
        })
        .await;
        let targets = vec![(name, target.address, 1)];
        let keyed = Layout { deadline_ms: 800, ..Layout::keyed(target.address, 1) };
        let layout = Layout { targets, owner: Some(name), ..keyed };
        hosts.iter().for_each(|host| host.publish(&layout));
        let ask = |host: &TestHost, key| {
            let address = host.callers;
            tokio::spawn(async move { RawCaller::ask(address, get(key)).await })
        };
        let (popular, other) = (ask(&hosts[1], "popular"), ask(&hosts[0], name));
        eventually("both run", || target.seen().len() == 2).await;
        target.release();
        assert_eq!(popular.await.unwrap().outcome(), "unknown", "{name}");
        assert_eq!(other.await.unwrap().outcome(), "unknown", "{name}");
        let served = ask(&hosts[1], "popular").await.unwrap();
        assert_eq!((served.status, served.outcome()), (200, "answered"), "{name}");
    }
}
