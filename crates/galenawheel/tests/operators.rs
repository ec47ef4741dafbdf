//! Commands `status`, `audit`, `settings`, `completions` and `replay`, and the operators' HTTP
//! calls, with hosts that run inside the test process.

mod support;

use std::fs;
use std::os::unix::fs::PermissionsExt;

use serde_json::Value;
use serde_json::json;
use support::TestSystem;
use support::new_folder;
use support::run_cli;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

struct EvacuationsCase {
    name: &'static str,
    /// Status and body of the control host.
    answer: (u16, &'static str),
    arguments: &'static [&'static str],
    code: u8,
    /// Parts of the output and of the error output.
    out: &'static str,
    err: &'static str,
}

/// Answers one call of the command line with a status and a body.
async fn answer_once(listener: TcpListener, (status, body): (u16, &str)) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = [0; 4096];
    let len = stream.read(&mut head).await.unwrap();
    let head = String::from_utf8_lossy(&head[..len]).into_owned();
    assert!(head.starts_with("GET /evacuations HTTP/1.1"), "{head}");
    assert!(!head.contains("authorization"), "{head}");
    let head = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
}

/// Guards against a list of evacuated zones that scripts cannot read, and against exit codes that
/// report a failed call as an empty list.
#[tokio::test]
async fn evacuations_are_listed() {
    const LIST: &str = r#"{"evacuations":[{"since_unix_ms":1700000000000,"zone":"spinneri"}]}"#;
    let case = |name, answer, arguments, code, out, err| EvacuationsCase {
        name,
        answer,
        arguments,
        code,
        out,
        err,
    };
    let text = "zone spinneri: evacuated since 2023-11-14T22:13:20";
    let json = "\"since_unix_ms\": 1700000000000";
    let cases = [
        case("text", (200, LIST), &[][..], 0, text, ""),
        case("json", (200, LIST), &["--format", "json"][..], 0, json, ""),
        case("empty", (200, r#"{"evacuations":[]}"#), &[][..], 0, "no zone is evacuated", ""),
        case(
            "no leader",
            (503, r#"{"error":"no leader known"}"#),
            &[][..],
            1,
            "",
            "no leader known",
        ),
        case("another host", (404, r#"{"error":"no call"}"#), &[][..], 1, "", "answered 404"),
        case("not JSON", (200, "ok"), &[][..], 1, "", "cannot be read"),
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let host = listener.local_addr().unwrap().to_string();
        let arguments = [&["evacuations", "--host", &host][..], case.arguments].concat();
        let (run, ()) = tokio::join!(run_cli(&arguments), answer_once(listener, case.answer));
        assert_eq!(run.code, case.code, "{}: {run:?}", case.name);
        assert!(run.out.contains(case.out), "{}: {run:?}", case.name);
        assert!(run.err.contains(case.err), "{}: {run:?}", case.name);
    }
    assert_eq!(run_cli(&["evacuations"]).await.code, 2);
}

/// Guards against a zone that never becomes ready because none of its hosts runs a control replica.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_without_control_host_becomes_ready() {
    TestSystem::start("no_control", &["a", "b"], &[0]).await;
}

/// Guards against a status that omits a lost zone, or the slots that have no reachable owner
/// because of the loss.
#[tokio::test(flavor = "multi_thread")]
async fn status_names_a_lost_zone() {
    let mut system = TestSystem::start("status", &["a", "b", "c"], &[0, 1, 2]).await;
    for (position, name) in ["reader-a", "reader-b", "reader-c"].iter().enumerate() {
        system.start_target(name, position).await;
    }
    let is_served = |status: &Value| {
        let zones = status["zones"].as_array().unwrap();
        let owns =
            |zone: &Value| zone["targets"][0]["slots"].as_u64().is_some_and(|slots| slots > 0);
        status["keys"][0]["unreachable_slots"] == 0
            && zones.len() == 3
            && zones.iter().all(|zone| owns(zone) && zone["unreachable_ms"].is_null())
    };
    let status = system.wait_status(0, "every slot is served in three zones", is_served).await;
    let run = system.cli(&[0], &["status"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    for expected in [
        "seen by host a-1 (ready)",
        "zone c: leader c-1",
        "  host c-1: ready",
        "  target reader-c of slipreader: ",
        "service slipreader: all 16384 slots have a reachable owner",
    ] {
        assert!(run.out.contains(expected), "{expected}: {run:?}");
    }
    let slots_of_c = status["zones"][2]["targets"][0]["slots"].as_u64().unwrap();
    system.stop_host(2).await;
    let is_lost = |status: &Value| {
        let host = &status["hosts"][2]["unreachable_ms"];
        !host.is_null() && !status["zones"][2]["unreachable_ms"].is_null()
    };
    let status = system.wait_status(0, "zone c is lost", is_lost).await;
    assert_eq!(status["keys"][0]["unreachable_slots"], slots_of_c, "{status:#}");
    let run = system.cli(&[2, 0], &["status"]).await;
    let expected =
        format!("service slipreader: {slots_of_c} of 16384 slots have no reachable owner");
    assert!(run.out.contains(&expected), "{run:?}");
    assert!(run.out.contains("  host c-1: cannot be reached for "), "{run:?}");
    assert!(run.out.contains("after its zone_hold of 30.0 s"), "{run:?}");
}

struct AuditCase {
    filters: &'static [&'static str],
    /// Whether the filters select the expected records.
    is_found: bool,
}

/// Guards against filters that are ignored or exclude matching records, and pages that skip or
/// repeat records.
#[tokio::test(flavor = "multi_thread")]
async fn profile_changes_are_filtered() {
    let system = TestSystem::start("changes", &["a"], &[0]).await;
    let file = system.write_profile("archive.toml", "name = \"archive\"\n");
    let arguments = ["profile", "apply", &file, "--operator", "alva", "--change-id", "change-1"];
    assert_eq!(system.cli(&[0], &arguments).await.code, 0);
    let late = ["profile", "apply", &file, "--operator", "bodil", "--base", "0"];
    assert_eq!(system.cli(&[0], &late).await.code, 4);
    let cases = [
        AuditCase { filters: &[], is_found: true },
        AuditCase { filters: &["--profile", "archive"], is_found: true },
        AuditCase { filters: &["--profile", "other"], is_found: false },
        AuditCase { filters: &["--service", "slipreader"], is_found: false },
        AuditCase { filters: &["--from", "2020-02-29T12:00:00Z"], is_found: true },
        AuditCase { filters: &["--until", "2020-02-29"], is_found: false },
    ];
    let records = [
        "profile archive: alva, base 0, change change-1: accepted as revision 1",
        ": conflict with revision 1 of alva",
    ];
    for case in cases {
        check_audit(&system, &case, &records).await;
    }
    check_pages(&system).await;
    let run = system.cli(&[0], &["audit", "--from", "2023-02-29"]).await;
    assert_eq!(run.code, 2, "{run:?}");
}

/// Guards against moves that are not recorded, and filters that are ignored or exclude matching
/// moves.
#[tokio::test(flavor = "multi_thread")]
async fn moves_are_recorded_and_filtered() {
    let system = TestSystem::start("moves", &["a"], &[0]).await;
    system.start_target("reader-1", 0).await;
    let is_served = |status: &Value| status["keys"][0]["unreachable_slots"] == 0;
    system.wait_status(0, "every slot is served", is_served).await;
    let wait = async {
        while all_records(&system).await.is_empty() {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(support::WAIT_LIMIT, wait).await.expect("the move is recorded");
    let cases = [
        AuditCase { filters: &[], is_found: true },
        AuditCase { filters: &["--profile", "archive"], is_found: false },
        AuditCase { filters: &["--service", "slipreader"], is_found: true },
        AuditCase { filters: &["--service", "attestor"], is_found: false },
        AuditCase { filters: &["--target", "reader-1"], is_found: true },
        AuditCase { filters: &["--target", "reader-2"], is_found: false },
        AuditCase { filters: &["--slot", "16383"], is_found: true },
        AuditCase { filters: &["--key", "älv & co"], is_found: true },
    ];
    for case in cases {
        check_audit(&system, &case, &["nobody -> reader-1, token "]).await;
    }
    check_pages(&system).await;
}

async fn check_audit(system: &TestSystem, case: &AuditCase, records: &[&str]) {
    let run = system.cli(&[0], &[&["audit"], case.filters].concat()).await;
    assert_eq!(run.code, 0, "{run:?}");
    for record in records {
        assert_eq!(run.out.contains(record), case.is_found, "{:?}: {run:?}", case.filters);
    }
}

async fn all_records(system: &TestSystem) -> Vec<Value> {
    let run = system.cli(&[0], &["audit", "--format", "json"]).await;
    serde_json::from_str::<Value>(&run.out).unwrap()["records"].as_array().unwrap().clone()
}

/// Checks that pages of one record contain the same records in the same order as one large page.
async fn check_pages(system: &TestSystem) {
    let all = all_records(system).await;
    let mut paged = Vec::new();
    let mut path = "/v1/audit?limit=1".to_owned();
    let mut last = u64::MAX;
    loop {
        let (_, page) = system.call(0, "GET", &path, "").await;
        paged.extend(page["records"].as_array().unwrap().clone());
        let Some(next) = page["next"].as_u64() else { break };
        assert!(next < last, "page {next} follows page {last}");
        last = next;
        path = format!("/v1/audit?limit=1&before={next}");
    }
    assert!(paged.ends_with(&all), "{paged:?} does not end with {all:?}");
}

struct CallCase {
    method: &'static str,
    path: &'static str,
    body: &'static str,
    status: u16,
    error: &'static str,
}

/// Guards against malformed calls that are accepted, cause a server error, or are refused without a
/// reason.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_calls_are_refused() {
    let system = TestSystem::start("malformed", &["a"], &[0]).await;
    let case = |method, path, body, status, error| CallCase { method, path, body, status, error };
    let valid = r#"{"text":"name = \"b\"","base":0,"change_id":"c","operator":"alva"}"#;
    let no_id = r#"{"text":"","base":0,"change_id":"","operator":"alva"}"#;
    let no_base = r#"{"text":"name = \"a\"","base":7,"change_id":"c","operator":"alva"}"#;
    let cases = [
        case("GET", "/v1/other", "", 404, "no such call"),
        case("GET", "/v2/status", "", 404, "no such call"),
        case("DELETE", "/v1/profiles/a", "", 405, "method DELETE is not allowed here"),
        case("POST", "/v1/status", "", 405, "allowed is GET"),
        case("GET", "/v1/profiles/none", "", 404, "there is no profile none"),
        case("GET", "/v1/profiles/none/history", "", 404, "there is no profile none"),
        case("GET", "/v1/profiles/default?revision=3", "", 404, "has no revision 3"),
        case("GET", "/v1/profiles/a%20b", "", 400, "a%20b"),
        case("GET", "/v1/in-force", "", 400, "query field \"index\" is missing"),
        case("GET", "/v1/in-force?index=x", "", 400, "has value \"x\": invalid digit"),
        case("GET", "/v1/audit?slot=16384", "", 400, "must be a number from 0 to 16383"),
        case("GET", "/v1/audit?limit=0", "", 400, "must be at least 1"),
        case("GET", "/v1/audit?colour=red", "", 400, "unknown query field \"colour\""),
        case("GET", "/v1/audit?slot=1&slot=2", "", 400, "more than once"),
        case("GET", "/v1/audit?key=%zz", "", 400, "percent encoding"),
        case("POST", "/v1/profiles/a", "{", 400, "body: EOF"),
        case("POST", "/v1/profiles/a", no_id, 400, "a change id must not be empty"),
        case("POST", "/v1/profiles/a", valid, 422, "field name is \"b\", not \"a\""),
        case("POST", "/v1/profiles/a", no_base, 422, "there is no profile of this name"),
    ];
    for CallCase { method, path, body, status, error } in cases {
        let (found, response) = system.call(0, method, path, body).await;
        assert_eq!(found, status, "{method} {path}: {response}");
        let text = response["error"].as_str().unwrap_or_default();
        assert!(text.contains(error), "{method} {path}: {response}");
    }
    let file = system.folder.join("wrong.token");
    fs::write(&file, "not-the-token-of-the-host").unwrap();
    for (mode, code, error) in [(0o600, 1, "403: the token is not valid"), (0o644, 2, "mode 0644")]
    {
        fs::set_permissions(&file, fs::Permissions::from_mode(mode)).unwrap();
        let token = file.display().to_string();
        let host = system.operators(0);
        let run = run_cli(&["status", "--host", &host, "--token-file", &token]).await;
        assert_eq!(run.code, code, "{run:?}");
        assert!(run.err.contains(error) && !run.err.contains("not-the-token"), "{run:?}");
    }
}

struct SettingsCase {
    /// Part of valid settings that is replaced by `to`.
    from: &'static str,
    to: &'static str,
    /// Expected error, without the name of the file.
    error: &'static str,
}

/// Guards against errors in settings that are found only when a host starts, or that do not name
/// the field.
#[tokio::test]
async fn settings_are_generated_and_checked() {
    let folder = new_folder("settings").join("hosts");
    let path = folder.display().to_string();
    let generate = ["settings", "generate", "ullvav", &path, "--base-port", "7800"];
    let run = run_cli(&generate).await;
    assert_eq!((run.code, run.out.lines().count()), (0, 8), "{run:?}");
    assert_eq!(run_cli(&generate).await.code, 2, "keys in use must not be replaced");
    let file = folder.join("spinneri-1.toml");
    let name = file.display().to_string();
    let run = run_cli(&["settings", "check", &name]).await;
    assert_eq!((run.code, run.err.as_str()), (0, ""), "{run:?}");
    let good = fs::read_to_string(&file).unwrap();
    let case = |from, to, error| SettingsCase { from, to, error };
    let cases = [
        case("id = 1\n", "id = 0\n", "hosts[1].id: id 0 is already used by hosts[0]"),
        case(
            "name = \"spinneri-1\"\n\n",
            "name = \"x\"\n\n",
            "name: \"x\" is not in the list of hosts",
        ),
        case(
            "127.0.0.1:7803",
            "localhost:7803",
            "hosts[0].peers: \"localhost:7803\" is not an IP address with a port",
        ),
        case(
            "embedded = true",
            "embedded = false",
            "control.embedded: host spinneri-1 is listed with control",
        ),
        case("operators.token", "none.token", "keys.operators: cannot read "),
        case("[control]", "[kontrol]", "line 72: unknown field `kontrol`"),
        case("127.0.0.1:7801", "127.0.0.1:7800", "is already used by listeners.callers"),
    ];
    for SettingsCase { from, to, error } in cases {
        assert!(good.contains(from), "{from}");
        fs::write(&file, good.replacen(from, to, 1)).unwrap();
        let run = run_cli(&["settings", "check", &name]).await;
        assert_eq!(run.code, 2, "{to}: {run:?}");
        let is_expected =
            |line: &str| line.starts_with(&format!("{name}: ")) && line.contains(error);
        assert!(run.out.lines().any(is_expected), "{to}: {run:?}");
    }
}

/// Guards against shells without completions, commands without examples, and invalid arguments that
/// end with another exit code than 2.
#[tokio::test]
async fn usage_is_explained() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let run = run_cli(&["completions", shell]).await;
        assert_eq!(run.code, 0);
        assert!(run.out.contains("galenawheel") && run.out.contains("history"), "{shell}");
    }
    let commands = [
        "",
        "profile",
        "profile apply",
        "profile show",
        "profile list",
        "profile diff",
        "profile history",
        "status",
        "audit",
        "settings",
        "settings check",
        "settings generate",
        "replay",
        "completions",
    ];
    for command in commands {
        let arguments: Vec<_> = command.split_whitespace().chain(["--help"]).collect();
        let run = run_cli(&arguments).await;
        assert!(run.code == 0 && run.out.contains("Examples:\n"), "{command}: {run:?}");
    }
    let wrong: [&[&str]; 6] = [
        &[],
        &["profile", "apply"],
        &["status"],
        &["status", "--host", "localhost:1"],
        &["audit", "--slot", "16384"],
        &["settings", "generate", "other", "folder"],
    ];
    for arguments in wrong {
        let run = run_cli(arguments).await;
        assert_eq!(run.code, 2, "{arguments:?}: {run:?}");
        assert!(!run.err.is_empty() && run.out.is_empty(), "{arguments:?}: {run:?}");
    }
}

/// Guards against a replay that runs only the profile or only a baseline, or that skips requests.
#[tokio::test]
async fn a_trace_is_replayed() {
    let folder = new_folder("replay");
    let file = folder.join("trace.csv");
    let shape = gw_replay::TraceShape { seconds: 2, ..gw_replay::TraceShape::DAY };
    let trace = gw_replay::generate(&gw_replay::Scenario::slipwerk(), shape);
    trace.write(fs::File::create(&file).unwrap()).unwrap();
    let path = file.display().to_string();
    let arguments = ["replay", &path, "--layout", "slipwerk", "--format", "json"];
    let run = run_cli(&arguments).await;
    assert_eq!(run.code, 0, "{run:?}");
    let outcomes: Value = serde_json::from_str(&run.out).unwrap();
    assert!(outcomes.as_array().unwrap().len() > 1, "{outcomes:#}");
    for outcome in outcomes.as_array().unwrap() {
        assert_eq!(outcome["requests"], json!(trace.entries().len()));
    }
    assert_eq!(run_cli(&["replay", "none.csv", "--layout", "slipwerk"]).await.code, 2);
}
