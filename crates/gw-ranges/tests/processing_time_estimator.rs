//! Estimation of a target's processing time while requests queue there.

use std::time::Duration;

use gw_ranges::ProcessingTimeEstimator;
use gw_types::Timestamp;

/// Interval between two reports of an entry host.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

struct EstimateCase {
    name: &'static str,
    /// Responses per second.
    rate: f64,
    /// Response time in milliseconds.
    response_ms: f64,
    /// Bounds of the estimated processing time, in milliseconds.
    processing_ms: (f64, f64),
}

/// Guards against a fast target that counts as slow because many requests queue there. Its keys
/// would move to slower targets.
#[test]
fn queueing_time_is_not_processing_time() {
    let cases = [
        EstimateCase { name: "idle", rate: 2.0, response_ms: 100.0, processing_ms: (98.0, 100.0) },
        // Two slots at 80% utilization: the response time is the processing time / (1 - 0.64).
        EstimateCase {
            name: "80% utilization",
            rate: 16.0,
            response_ms: 277.8,
            processing_ms: (98.0, 102.0),
        },
        // Eight hosts with one request each at a target with two slots.
        EstimateCase {
            name: "saturated",
            rate: 20.0,
            response_ms: 400.0,
            processing_ms: (70.0, 100.0),
        },
        EstimateCase { name: "slow", rate: 4.0, response_ms: 250.0, processing_ms: (200.0, 250.0) },
    ];
    for case in cases {
        let mut estimator = ProcessingTimeEstimator::default();
        let mut now = Timestamp::from_millis(1_000);
        let (mut due, mut reported) = (0.0, 0_u32);
        for _ in 0..60 {
            now = now + REPORT_INTERVAL;
            due += case.rate * REPORT_INTERVAL.as_secs_f64();
            let requests = due as u32 - reported;
            reported += requests;
            let total = Duration::from_secs_f64(case.response_ms * f64::from(requests) / 1_000.0);
            estimator.record(now, requests, total, 2);
        }
        let estimate = estimator.processing_time(now).expect("enough requests") * 1_000.0;
        let (min, max) = case.processing_ms;
        assert!((min..=max).contains(&estimate), "{}: {estimate:.1} ms", case.name);
    }
}

/// Guards against an estimate from two or three requests, and against one that outlives its data.
#[test]
fn an_estimate_needs_recent_requests() {
    let start = Timestamp::from_millis(1_000);
    let mut estimator = ProcessingTimeEstimator::default();
    assert_eq!(estimator.processing_time(start), None);
    estimator.record(start, 3, Duration::from_millis(900), 2);
    assert_eq!(estimator.processing_time(start), None);
    estimator.record(start, 20, Duration::from_millis(2_000), 2);
    assert!(estimator.processing_time(start).is_some());
    assert_eq!(estimator.processing_time(start + Duration::from_secs(60)), None);
}

/// Guards against a hot key that moves from target to target. When it arrives, response times rise
/// before the response rate shows that queueing is the cause.
#[test]
fn arrival_of_a_hot_key_does_not_raise_the_estimate() {
    let mut estimator = ProcessingTimeEstimator::default();
    let mut now = Timestamp::from_millis(1_000);
    let mut report = |estimator: &mut ProcessingTimeEstimator, requests: u32, response_ms: u64| {
        now = now + REPORT_INTERVAL;
        estimator.record(now, requests, Duration::from_millis(response_ms) * requests, 2);
        estimator.processing_time(now).expect("enough requests") * 1_000.0
    };
    estimator.record(Timestamp::from_millis(1_000), 10, Duration::from_secs(1), 2);
    let idle = (0..20).map(|_| report(&mut estimator, 2, 110)).last().expect("reports");
    // Saturated at once: eight requests in flight, two of them being processed.
    let max = (0..15).map(|_| report(&mut estimator, 6, 400)).fold(0.0, f64::max);
    assert!(max <= idle * 1.3, "{idle:.1} ms per request before, {max:.1} ms with the hot key");
}
