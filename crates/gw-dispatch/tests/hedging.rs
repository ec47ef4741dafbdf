//! Second attempts for slow requests: when they start, and how many.

use std::time::Duration;

use gw_dispatch::HedgePlanner;
use gw_dispatch::HedgeVerdict;
use gw_types::ServiceName;
use gw_types::Timestamp;

fn service() -> ServiceName {
    ServiceName::new("notes").expect("a valid name")
}

/// Returns a planner that knows response times of 1 to `count` ms, at `at`.
fn planner(max_share: f64, count: u64, at: Timestamp) -> HedgePlanner {
    let mut planner = HedgePlanner::new(max_share);
    for millis in 1..=count {
        planner.record_response(at, &service(), Duration::from_millis(millis));
    }
    planner
}

struct DelayCase {
    name: &'static str,
    max_share: f64,
    /// Number of response times, which are 1 ms, 2 ms and so on.
    responses: u64,
    age: Duration,
    /// Range of the delay in milliseconds.
    expected: Option<(u64, u64)>,
}

/// Guards against second attempts for requests that are not slow, and against delays taken from a
/// few responses or from those of another load.
#[test]
fn second_attempts_start_after_nearly_all_responses() {
    let case = |name, max_share, responses, seconds, expected| DelayCase {
        name,
        max_share,
        responses,
        age: Duration::from_secs(seconds),
        expected,
    };
    let cases = [
        case("no responses", 0.02, 0, 0, None),
        case("few responses", 0.02, 20, 0, None),
        case("a share of 2 %", 0.02, 200, 0, Some((195, 198))),
        case("a share of 5 %", 0.05, 200, 0, Some((189, 192))),
        case("a large share", 0.8, 200, 0, Some((179, 182))),
        case("a tiny share", 0.000_1, 200, 0, Some((195, 198))),
        case("old responses", 0.02, 200, 61, None),
        // The last 256 of 1,000 are kept.
        case("bounded memory", 0.1, 1_000, 0, Some((970, 976))),
    ];
    for case in cases {
        let started = Timestamp::from_millis(1_000);
        let mut planner = planner(case.max_share, case.responses, started);
        let delay = planner.delay(started + case.age, &service());
        let millis = delay.map(|delay| u64::try_from(delay.as_millis()).expect("a short delay"));
        let is_expected = match (millis, case.expected) {
            (Some(millis), Some((from, until))) => from <= millis && millis <= until,
            (found, expected) => found.is_none() && expected.is_none(),
        };
        assert!(is_expected, "{}: {millis:?}", case.name);
    }
}

struct VerdictCase {
    name: &'static str,
    requests: u64,
    remaining: Duration,
    expected_time: Option<Duration>,
    verdict: HedgeVerdict,
}

/// Guards against second attempts that cannot end within the objective, or beyond the share.
#[test]
fn second_attempts_are_denied() {
    let case = |name, requests, remaining, expected, verdict| VerdictCase {
        name,
        requests,
        remaining: Duration::from_millis(remaining),
        expected_time: (expected > 0).then_some(Duration::from_millis(expected)),
        verdict,
    };
    // The median is 100 ms.
    let cases = [
        case("enough time", 50, 150, 0, HedgeVerdict::Allowed),
        case("half of the responses take longer", 50, 90, 0, HedgeVerdict::TooLate),
        case("the second target is slow", 50, 150, 160, HedgeVerdict::TooLate),
        case("the second target is fast", 50, 90, 10, HedgeVerdict::TooLate),
        case("the objective has passed", 50, 0, 0, HedgeVerdict::TooLate),
        case("too few requests", 49, 150, 0, HedgeVerdict::OverShare),
        case("no request", 0, 150, 0, HedgeVerdict::OverShare),
    ];
    for case in cases {
        let now = Timestamp::from_millis(1_000);
        let mut planner = planner(0.02, 200, now);
        (0..case.requests).for_each(|_| planner.record_request(&service()));
        let verdict = planner.verdict(now, &service(), case.remaining, case.expected_time);
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
    let mut unknown = HedgePlanner::new(1.0);
    unknown.record_request(&service());
    let verdict = unknown.verdict(Timestamp::ZERO, &service(), Duration::MAX, None);
    assert_eq!(verdict, HedgeVerdict::TooLate, "no response is known");
}

struct ShareCase {
    name: &'static str,
    max_share: f64,
    requests: u64,
    /// Requests of which every one is slow, after all others.
    slow_from: u64,
    /// Range of the number of second attempts.
    attempts: (u64, u64),
}

/// Guards against a load of second attempts beyond the operator's share, above all when all targets
/// of a service are slow at once.
#[test]
fn second_attempts_stay_within_the_share() {
    let case = |name, max_share, requests, slow_from, attempts| ShareCase {
        name,
        max_share,
        requests,
        slow_from,
        attempts,
    };
    let cases = [
        case("all are slow", 0.02, 10_000, 0, (190, 200)),
        case("all are slow after a quiet time", 0.02, 10_000, 9_000, (20, 24)),
        case("the limit is off", 0.0, 10_000, 0, (0, 0)),
        case("few requests", 0.02, 40, 0, (0, 0)),
        case("each may get one", 1.0, 1_000, 0, (1_000, 1_000)),
    ];
    for case in cases {
        let now = Timestamp::from_millis(1_000);
        let mut planner = planner(case.max_share, 200, now);
        let mut attempts = 0;
        for number in 0..case.requests {
            planner.record_request(&service());
            let verdict = planner.verdict(now, &service(), Duration::from_secs(1), None);
            if number >= case.slow_from && verdict == HedgeVerdict::Allowed {
                planner.record_start(&service());
                attempts += 1;
            }
        }
        let (from, until) = case.attempts;
        assert!(from <= attempts && attempts <= until, "{}: {attempts}", case.name);
    }
}
