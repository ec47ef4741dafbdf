//! Profile changes through the command line and the operators' HTTP calls, with hosts that run
//! inside the test process.

mod support;

use serde_json::Value;
use serde_json::json;
use support::TestSystem;
use support::dropping_proxy::DroppingProxy;

const FIRST: &str = "name = \"archive\"\n[refuse]\nqueue_limit = 10\n";
const SECOND: &str = "name = \"archive\"\n[refuse]\nqueue_limit = 20\n";

async fn apply(system: &TestSystem, file: &str, more_arguments: &[&str]) -> support::CliRun {
    let mut arguments = vec!["profile", "apply", file, "--operator", "alva"];
    arguments.extend(more_arguments);
    system.cli(&[0], &arguments).await
}

/// Guards against accepted changes that are missing from the output of the profile commands or
/// shown there with other values.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_applied_and_shown() {
    let system = TestSystem::start("shown", &["a"], &[0]).await;
    let first = system.write_profile("first.toml", FIRST);
    let second = system.write_profile("second.toml", SECOND);
    for (file, revision) in [(&first, 1), (&second, 2)] {
        let run = apply(&system, file, &[]).await;
        assert_eq!(run.code, 0, "{run:?}");
        assert!(run.out.contains(&format!("revision {revision} accepted")), "{run:?}");
        assert!(run.out.contains("zone a: in force"), "{run:?}");
    }
    let cases: &[(&[&str], &str)] = &[
        (&["show", "archive"], "queue_limit = 20"),
        (&["show", "archive", "--revision", "1"], "queue_limit = 10"),
        (&["show", "ullvav"], "# revision 0, as shipped"),
        (&["list"], "archive: revision 2, by alva at "),
        (&["list"], "default: revision 0, as shipped; used by no service"),
        (&["history", "archive"], "  refuse.queue_limit: 10 -> 20"),
        (&["history", "default"], "profile default is as shipped"),
        (&["diff", "archive@1", "archive"], "refuse.queue_limit: 10 -> 20"),
        (&["diff", &first], "refuse.queue_limit: 20 -> 10"),
        (&["diff", &second], "no differences"),
        (&["diff", &first, &second], "refuse.queue_limit: 10 -> 20"),
    ];
    for (arguments, expected) in cases {
        let run = system.cli(&[0], &[&["profile"], *arguments].concat()).await;
        assert_eq!(run.code, 0, "{arguments:?}: {run:?}");
        assert!(run.out.contains(expected), "{arguments:?}: {run:?}");
    }
    let run = system.cli(&[0], &["profile", "show", "archive", "--revision", "9"]).await;
    assert_eq!(run.code, 1);
    assert!(run.err.contains("profile archive has no revision 9"), "{run:?}");
}

/// Guards against a lost update: two operators change the same revision, and both changes are
/// accepted.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_operators_wins() {
    let system = TestSystem::start("conflict", &["a"], &[0]).await;
    let first = system.write_profile("first.toml", FIRST);
    let second = system.write_profile("second.toml", SECOND);
    let alva = ["profile", "apply", &first, "--base", "0", "--operator", "alva"];
    let bodil = ["profile", "apply", &second, "--base", "0", "--operator", "bodil"];
    let (alva, bodil) = tokio::join!(system.cli(&[0], &alva), system.cli(&[0], &bodil));
    let (winner, loser) = if alva.code == 0 { ("alva", bodil) } else { ("bodil", alva.clone()) };
    assert_eq!(loser.code, 4, "{loser:?}");
    assert!(loser.out.contains(&format!("because {winner} made revision 1 at 20")), "{loser:?}");
    let (_, history) = system.call(0, "GET", "/v1/profiles/archive/history", "").await;
    assert_eq!(history.as_array().unwrap().len(), 1, "{history:#}");
    assert_eq!(history[0]["change"]["operator"], winner);
}

/// Guards against a resent change that is applied again or conflicts with itself, also after a
/// later change, and against an outcome that is returned for a different change with the same id.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_gets_the_first_outcome() {
    let system = TestSystem::start("resend", &["a"], &[0]).await;
    let first = system.write_profile("first.toml", FIRST);
    let second = system.write_profile("second.toml", SECOND);
    let resend = ["--base", "0", "--change-id", "change-1"];
    assert_eq!(apply(&system, &first, &resend).await.code, 0);
    assert_eq!(apply(&system, &second, &["--base", "1"]).await.code, 0);
    let again = apply(&system, &first, &resend).await;
    assert_eq!(again.code, 0, "{again:?}");
    assert!(again.out.contains("revision 1 accepted, change change-1"), "{again:?}");
    let other = apply(&system, &second, &resend).await;
    assert_eq!(other.code, 4, "{other:?}");
    assert!(other.out.contains("the change id was used for another change"), "{other:?}");
    let (_, current) = system.call(0, "GET", "/v1/profiles/archive", "").await;
    assert_eq!(current["revision"], 2);
}

/// Guards against a change that is applied twice or reported as refused because its response is
/// lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_resent_after_a_lost_response() {
    let system = TestSystem::start("lost", &["a"], &[0]).await;
    let first = system.write_profile("first.toml", FIRST);
    let proxy = DroppingProxy::start(system.operators(0), 1).await;
    let hosts = [proxy.address.to_string(), system.operators(0)];
    let arguments = ["profile", "apply", &first, "--operator", "alva"];
    let run = system.cli_at(&hosts, &arguments).await;
    assert_eq!((run.code, proxy.drops_left()), (0, 0), "{run:?}");
    assert!(run.out.contains("revision 1 accepted"), "{run:?}");
    assert!(run.err.contains("no answer"), "{run:?}");
    let second = system.write_profile("second.toml", SECOND);
    let proxy = DroppingProxy::start(system.operators(0), usize::MAX).await;
    let hosts = [proxy.address.to_string()];
    let lossy = ["profile", "apply", &second, "--change-id", "change-2", "--base", "1"];
    let lossy = [&lossy[..], &["--operator", "alva", "--timeout", "1"]].concat();
    let run = system.cli_at(&hosts, &lossy).await;
    assert_eq!(run.code, 5, "{run:?}");
    assert!(run.out.contains("--change-id change-2"), "{run:?}");
    let run = apply(&system, &second, &["--change-id", "change-2", "--base", "1"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let (_, history) = system.call(0, "GET", "/v1/profiles/archive/history", "").await;
    assert_eq!(history.as_array().unwrap().len(), 2, "{history:#}");
}

/// Guards against a change that is reported as refused while the control group has no majority. Its
/// outcome is unknown, and the change is accepted once the majority is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_without_majority_is_unknown_and_accepted_later() {
    let mut system = TestSystem::start("unknown", &["a", "b"], &[0, 1]).await;
    let first = system.write_profile("first.toml", FIRST);
    system.stop_host(1).await;
    let body = json!({ "text": FIRST, "base": 0, "change_id": "change-1", "operator": "alva" });
    let call = system.call(0, "POST", "/v1/profiles/archive", &body.to_string()).await;
    assert_eq!((call.0, &call.1["outcome"]), (504, &json!("unknown")), "{call:?}");
    assert_eq!(call.1["change_id"], "change-1");
    let same = ["--base", "0", "--change-id", "change-1"];
    let run = apply(&system, &first, &[&same[..], &["--timeout", "2"]].concat()).await;
    assert_eq!(run.code, 5, "{run:?}");
    system.start_host(1);
    system.wait_ready().await;
    let arguments = ["profile", "apply", &first, "--operator", "alva", "--timeout", "30"];
    let run = system.cli(&[0, 1], &[&arguments[..], &same].concat()).await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("revision 1 accepted"), "{run:?}");
}

/// Guards against a change that is reported as in force in a zone whose host has not confirmed it.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_zone_has_not_confirmed() {
    let mut system = TestSystem::start("unconfirmed", &["a", "b", "c"], &[0, 1, 2]).await;
    let file = system.write_profile("first.toml", FIRST);
    let arguments = ["profile", "apply", &file, "--operator", "alva"];
    let run = system.cli(&[0, 1, 2], &arguments).await;
    assert_eq!(run.code, 0, "{run:?}");
    for zone in ["a", "b", "c"] {
        assert!(run.out.contains(&format!("zone {zone}: in force")), "{run:?}");
    }
    system.stop_host(2).await;
    let file = system.write_profile("second.toml", SECOND);
    let arguments = ["profile", "apply", &file, "--operator", "alva", "--timeout", "3"];
    let run = system.cli(&[0, 1, 2], &arguments).await;
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.out.contains("revision 2 accepted"), "{run:?}");
    assert!(run.out.contains("zone a: in force"), "{run:?}");
    assert!(run.out.contains("zone c: not confirmed by c-1"), "{run:?}");
    assert!(run.err.contains("accepted; not confirmed in c"), "{run:?}");
    let json = [&arguments[..], &["--format", "json", "--base", "2"]].concat();
    let run = system.cli(&[0], &json).await;
    let result: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!((run.code, &result["in_force_everywhere"]), (3, &json!(false)));
    assert_eq!(result["zones"][2]["unconfirmed"][0]["host"], "c-1");
}

struct InvalidCase {
    text: &'static str,
    /// Expected error, without the name of the file.
    message: &'static str,
}

/// Guards against invalid profiles that are accepted, or refused without the file, the line and the
/// allowed values.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_profiles_are_refused() {
    let system = TestSystem::start("invalid", &["a"], &[0]).await;
    let cases = [
        InvalidCase {
            text: "name = \"archive\"\n[refuse]\nqueue_limit = 0\n",
            message: ":3: refuse.queue_limit is 0; allowed is a whole number from 1 to 10000",
        },
        InvalidCase {
            text: "name = \"archive\"\n[move]\nzone_hold = 2\n",
            message: ":3: unknown field move.zone_hold with value 2; allowed are hot_key_share, \
                      smallest_gain, moves_per_minute, zone_hold_ms",
        },
        InvalidCase {
            text: "[spread]\n",
            message: ": field name is missing; allowed is a name of 1 to 64 characters of a-z, \
                      A-Z, 0-9, '-', '_' and '.'",
        },
    ];
    for case in cases {
        let file = system.write_profile("invalid.toml", case.text);
        let run = apply(&system, &file, &[]).await;
        assert_eq!(run.code, 4, "{run:?}");
        assert_eq!(run.err, format!("error: {file}{}\n", case.message));
        let body = json!({ "text": case.text, "base": 0, "change_id": "c", "operator": "alva" });
        let (status, response) =
            system.call(0, "POST", "/v1/profiles/archive", &body.to_string()).await;
        let expected = format!("profile{}", case.message);
        assert_eq!((status, &response["error"]), (422, &json!(expected)));
    }
}
