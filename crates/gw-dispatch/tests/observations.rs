//! Service times, load of targets, choice of a target, connection limits and outcomes.

use std::time::Duration;

use gw_dispatch::ConnectionBudget;
use gw_dispatch::ConnectionChoice;
use gw_dispatch::LeastWaitChooser;
use gw_dispatch::LoadView;
use gw_dispatch::MAX_CONNECTIONS;
use gw_dispatch::NotRunReason;
use gw_dispatch::RequestOutcome;
use gw_dispatch::RouteShape;
use gw_dispatch::ServiceTimes;
use gw_dispatch::SplitMix;
use gw_dispatch::TargetCandidate;
use gw_dispatch::TargetChooser;
use gw_dispatch::TargetLoad;
use gw_dispatch::UnknownReason;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;

fn target(number: usize) -> TargetName {
    TargetName::new(format!("target-{number}")).unwrap()
}

/// Guards against classifying routes of similar service time as long, and against single stragglers
/// that make a short route long.
#[test]
fn long_shapes_are_told_from_short_ones() {
    let service = ServiceName::new("slipreader").unwrap();
    let mut times = ServiceTimes::new(16);
    let (lookup, list, scan) = (RouteShape(1), RouteShape(2), RouteShape(3));
    for number in 0..1_000 {
        let straggles = number % 50 == 0;
        times.observe(&service, lookup, Duration::from_millis(if straggles { 120 } else { 4 }));
        times.observe(&service, list, Duration::from_millis(8));
        if number % 20 == 0 {
            times.observe(&service, scan, Duration::from_millis(120));
        }
    }
    assert!(!times.estimate(&service, lookup).is_long);
    assert!(!times.estimate(&service, list).is_long);
    assert!(times.estimate(&service, scan).is_long);
    assert!(!times.estimate(&service, RouteShape(9)).is_long, "unknown shapes are short");
}

/// Guards against memory use that grows with the number of route shapes.
#[test]
fn service_times_are_bounded() {
    let service = ServiceName::new("slipreader").unwrap();
    let mut times = ServiceTimes::new(16);
    for shape in 0..10_000 {
        times.observe(&service, RouteShape(shape), Duration::from_millis(4));
        assert!(times.len() <= 16);
    }
}

/// Guards against load reports that override a host's own observations, and against old reports
/// that still count.
#[test]
fn own_observations_count_more_than_reports() {
    let mut view = LoadView::new();
    let now = Timestamp::from_millis(1_000);
    (0..4).for_each(|_| view.record_sent(Timestamp::ZERO, &target(0)));
    view.record_report(now, &target(0), TargetLoad::default());
    assert_eq!(view.expected_outstanding(now, &target(0)), 4.0);
    let load = TargetLoad { outstanding: 10, work: Duration::ZERO };
    view.record_report(now, &target(0), load);
    assert_eq!(view.expected_outstanding(now, &target(0)), 9.0, "4 own, 6 others less 1 ordinary");
    let later = now + Duration::from_secs(10);
    assert!(view.expected_outstanding(later, &target(0)) < 4.1);
}

/// Guards against sending requests to another availability zone for a gain below the penalty, and
/// against never leaving the own zone when it is overloaded.
#[test]
fn other_zone_is_chosen_only_when_better_by_the_penalty() {
    struct Case {
        own_outstanding: usize,
        chosen: usize,
    }
    let cases = [Case { own_outstanding: 2, chosen: 0 }, Case { own_outstanding: 20, chosen: 1 }];
    for case in cases {
        let mut view = LoadView::new();
        (0..case.own_outstanding).for_each(|_| view.record_sent(Timestamp::ZERO, &target(0)));
        let candidates = [0, 1].map(|number| TargetCandidate {
            target: target(number),
            is_own_zone: number == 0,
            work_slots: 2,
            share: 1.0,
        });
        let mut chooser = LeastWaitChooser::new(Duration::from_millis(10), None);
        let chosen = chooser.choose(Timestamp::ZERO, &view, &candidates, &mut SplitMix::new(1));
        assert_eq!(chosen, Some(case.chosen));
    }
}

/// Guards against opening more connections than a target accepts.
#[test]
fn connections_stay_within_the_limit() {
    let mut budget = ConnectionBudget::new(u16::MAX);
    for _ in 0..MAX_CONNECTIONS {
        assert_eq!(budget.acquire(), ConnectionChoice::Open);
    }
    assert_eq!(budget.acquire(), ConnectionChoice::AtLimit);
    budget.release(true);
    assert_eq!(budget.acquire(), ConnectionChoice::Reuse);
    budget.release(false);
    assert_eq!(budget.acquire(), ConnectionChoice::Open);
    assert_eq!(budget.open(), MAX_CONNECTIONS);
}

/// Guards against answers whose status or header fields contradict the outcome.
#[test]
fn outcomes_map_to_status_and_fields() {
    struct Case {
        outcome: RequestOutcome,
        status: u16,
        proxy_error: &'static str,
        retry_after_s: Option<u32>,
    }
    let not_run = RequestOutcome::NotRun;
    let unknown = RequestOutcome::Unknown;
    let cases = [
        Case {
            outcome: not_run(NotRunReason::Shed),
            status: 429,
            proxy_error: "http_request_denied",
            retry_after_s: Some(1),
        },
        Case {
            outcome: not_run(NotRunReason::StaleRoute),
            status: 503,
            proxy_error: "destination_unavailable",
            retry_after_s: Some(1),
        },
        Case {
            outcome: not_run(NotRunReason::RecordMismatch),
            status: 422,
            proxy_error: "http_request_error",
            retry_after_s: None,
        },
        Case {
            outcome: unknown(UnknownReason::ConnectionLost),
            status: 502,
            proxy_error: "connection_terminated",
            retry_after_s: None,
        },
        Case {
            outcome: unknown(UnknownReason::AnswerTimeout),
            status: 504,
            proxy_error: "http_response_timeout",
            retry_after_s: None,
        },
    ];
    for case in cases {
        let fields = case.outcome.fields(0).unwrap();
        assert_eq!(fields.status, case.status, "{:?}", case.outcome);
        assert_eq!(fields.proxy_error, case.proxy_error, "{:?}", case.outcome);
        assert_eq!(fields.retry_after_s, case.retry_after_s, "{:?}", case.outcome);
    }
    assert_eq!(RequestOutcome::Answered.fields(0), None);
}
