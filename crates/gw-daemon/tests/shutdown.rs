//! Graceful and immediate shutdown.

mod support;

use gw_daemon::ShutdownPhase;
use gw_daemon::settings::LimitSettings;
use gw_node::NodeEvent;
use support::Layout;
use support::RawCaller;
use support::Reply;
use support::StandInTarget;
use support::WAIT_LIMIT;
use support::eventually;
use support::start_hosts;
use tokio::net::TcpStream;

const GET: &str = "GET /slips/k1 HTTP/1.1\r\nhost: x\r\n\r\n";

/// Guards against a graceful shutdown that aborts requests in flight: requests of callers, requests
/// forwarded to this host, queued requests and partly sent responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn graceful_shutdown_finishes_requests_in_flight() {
    let mut hosts = start_hosts(2, &LimitSettings::default());
    let Reply::Raw(bytes) = Reply::ok("done") else { unreachable!() };
    let target = StandInTarget::start(move |_, _| Reply::RawWhenReleased(bytes.clone())).await;
    let layout = Layout::keyed(target.address, 2);
    hosts.iter().for_each(|host| host.publish(&layout));
    let mut callers = Vec::new();
    for host in [0, 1, 0, 1, 0, 1] {
        let mut caller = RawCaller::connect(hosts[host].callers).await;
        caller.send(GET).await;
        callers.push(caller);
    }
    let mut idle = RawCaller::connect(hosts[1].callers).await;
    eventually("both work slots are used", || target.seen().len() == 2).await;
    let state = hosts[1].state.clone();
    eventually("the others wait", || state.waiting_requests() == 4).await;
    hosts[1].shutdown.advance(ShutdownPhase::Graceful);
    let control = hosts[1].control.clone();
    let is_told = || control.has(|event| matches!(event, NodeEvent::Shutdown));
    eventually("the control thread is told", is_told).await;
    assert!(idle.answer().await.is_none(), "an idle connection is closed");
    let address = hosts[1].callers;
    let refused = async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, refused).await.expect("no new connections");
    target.release();
    for (index, caller) in callers.iter_mut().enumerate() {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!((answer.status, answer.text().as_str()), (200, "done"), "caller {index}");
        if index % 2 == 1 {
            assert_eq!(answer.header("connection"), Some("close"), "caller {index}");
        }
    }
    let ended = tokio::time::timeout(WAIT_LIMIT, &mut hosts[1].running).await;
    assert!(ended.expect("the host ends").unwrap().is_ok());
}

/// Guards against an immediate shutdown that waits for requests that never end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_signal_ends_immediately() {
    let mut hosts = start_hosts(1, &LimitSettings::default());
    let target = StandInTarget::start(|_, _| Reply::Silence).await;
    let layout = Layout { deadline_ms: 600_000, ..Layout::keyed(target.address, 1) };
    hosts[0].publish(&layout);
    let mut caller = RawCaller::connect(hosts[0].callers).await;
    caller.send(GET).await;
    eventually("request at the target", || target.seen().len() == 1).await;
    hosts[0].shutdown.advance(ShutdownPhase::Graceful);
    hosts[0].shutdown.advance(ShutdownPhase::Immediate);
    let ended = tokio::time::timeout(WAIT_LIMIT, &mut hosts[0].running).await;
    assert!(ended.expect("the host ends").unwrap().is_ok());
    assert!(caller.answer().await.is_none());
}
