//! Calls of targets and operators through their listeners.

mod support;

use std::sync::atomic::Ordering;

use gw_daemon::ShutdownPhase;
use gw_daemon::settings::LimitSettings;
use gw_membership::TroubleKind;
use gw_node::NodeEvent;
use support::Layout;
use support::RawCaller;
use support::Reply;
use support::StandInTarget;
use support::start_hosts;

const ANNOUNCEMENT: &str = r#"{"service":"slips","route":{"path_prefix":"/slips"},
    "key":{"path_segment":1},"profile":"default","target":"t1","address":"127.0.0.1:9",
    "zone":"z","boot_id":1}"#;
const REPORT: &str = r#"{"target":"t1","boot_id":1,"trouble":"draining"}"#;
const LEAVE: &str = r#"{"target":"t1","boot_id":1}"#;

fn call(path: &str, token: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n\
            content-length: {length}\r\n\r\n{body}"
    )
}

/// Guards against calls of targets that are accepted with a wrong token or an invalid body, and
/// against refusals that do not name the reason.
#[tokio::test]
async fn calls_of_targets_are_checked() {
    struct Case {
        path: &'static str,
        token: &'static str,
        body: String,
        status: u16,
        expected_text: &'static str,
    }
    let good = "registration-token-1";
    let case = |path, token, body: &str, status, expected_text| Case {
        path,
        token,
        body: body.to_owned(),
        status,
        expected_text,
    };
    let changed = |from: &str, to: &str| ANNOUNCEMENT.replace(from, to);
    let announce = "/v1/targets/announce";
    let cases = [
        case(announce, good, ANNOUNCEMENT, 200, "\"renew_after_ms\":500"),
        case("/v1/targets/report", good, REPORT, 202, "accepted"),
        case("/v1/targets/leave", good, LEAVE, 202, "accepted"),
        case(announce, "registration-token-2", ANNOUNCEMENT, 403, "slips"),
        case(announce, "", ANNOUNCEMENT, 401, "token"),
        case(announce, good, &changed("slips\"", "other\""), 403, "other"),
        case(announce, good, &changed("\"z\"", "\"y\""), 400, "zone"),
        case(announce, good, &changed("\"boot_id\":1", "\"boot_id\":-1"), 400, "-1"),
        case(announce, good, &changed("\"zone\"", "\"zones\""), 400, "zones"),
        case(announce, good, &changed("127.0.0.1:9", "localhost"), 400, "address"),
        case(announce, good, "{", 400, "EOF"),
        case(announce, good, &"x".repeat(300_000), 413, "longer"),
        case("/v1/targets/report", good, &REPORT.replace("draining", "bored"), 400, "bored"),
        case("/v1/targets/report", good, &REPORT.replace("t1", "t9"), 404, "t9"),
        case("/v1/targets/report", "wrong-token-000000", REPORT, 403, "token"),
        case("/v1/targets/leave", good, REPORT, 400, "trouble"),
        case("/v1/targets/other", good, REPORT, 404, "/v1/targets/other"),
    ];
    let hosts = start_hosts(1, &LimitSettings::default());
    hosts[0].publish(&Layout::keyed(([127, 0, 0, 1], 9).into(), 1));
    for case in cases {
        let request = call(case.path, case.token, &case.body);
        let answer = RawCaller::ask(hosts[0].targets, request).await;
        let text = answer.text();
        assert_eq!(answer.status, case.status, "{} {text}", case.path);
        assert!(
            text.contains(case.expected_text),
            "{text:?} does not contain {:?}",
            case.expected_text
        );
        assert_eq!(answer.header("content-type"), Some("application/json"));
    }
    let control = &hosts[0].control;
    assert!(control.has(|event| matches!(event, NodeEvent::Announce { .. })));
    for trouble in [TroubleKind::Draining, TroubleKind::Leaving] {
        let is_report = |event: &NodeEvent| matches!(event, NodeEvent::Report { report, .. } if report.trouble == trouble);
        assert!(control.has(is_report), "{trouble:?}");
    }
    let plain = format!("POST {announce} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n");
    assert_eq!(RawCaller::ask(hosts[0].targets, plain).await.status, 401);
    control.is_down.store(true, Ordering::SeqCst);
    let answer = RawCaller::ask(hosts[0].targets, call(announce, good, ANNOUNCEMENT)).await;
    assert_eq!(answer.status, 503);
}

/// Guards against operators' calls that are accepted without the token, and against metrics and
/// readiness that do not reflect the state of the host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_see_health_and_metrics() {
    let hosts = start_hosts(1, &LimitSettings::default());
    let host = &hosts[0];
    let target = StandInTarget::start(|_, _| Reply::ok("")).await;
    host.publish(&Layout::keyed(target.address, 1));
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    let answer = RawCaller::ask(host.callers, get("/slips/k1")).await;
    assert_eq!(answer.status, 200);
    assert_eq!(RawCaller::ask(host.callers, get("/none")).await.status, 404);
    assert_eq!(RawCaller::ask(host.operators, get("/healthz")).await.status, 200);
    assert_eq!(RawCaller::ask(host.operators, get("/readyz")).await.status, 503);
    host.ready.set(true);
    assert_eq!(RawCaller::ask(host.operators, get("/readyz")).await.status, 200);
    let metrics = RawCaller::ask(host.operators, get("/metrics")).await.text();
    for line in [
        "galenawheel_requests_total{service=\"slips\",outcome=\"answered\"} 1",
        "galenawheel_requests_total{service=\"none\",outcome=\"not-run\"} 1",
        "galenawheel_request_duration_seconds_count{service=\"slips\"} 1",
        "galenawheel_requests_in_flight 0",
    ] {
        assert!(metrics.contains(line), "{line} is not in\n{metrics}");
    }
    assert_eq!(RawCaller::ask(host.operators, get("/v1/status")).await.status, 401);
    let wrong = call("/v1/status", "operators-token-2", "");
    assert_eq!(RawCaller::ask(host.operators, wrong).await.status, 403);
    let answer = RawCaller::ask(host.operators, call("/v1/status", "operators-token-1", "")).await;
    assert_eq!((answer.status, answer.text().as_str()), (200, "\"/v1/status\""));
    host.shutdown.advance(ShutdownPhase::Graceful);
}
