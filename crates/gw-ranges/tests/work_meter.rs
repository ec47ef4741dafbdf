//! How fast a target works, worked out from times to answer while requests wait there.

use std::time::Duration;

use gw_ranges::ProcessingTimeEstimator;
use gw_types::Timestamp;

/// Time between two reports.
const REPORT: Duration = Duration::from_millis(300);

struct MeterCase {
    name: &'static str,
    /// Answers a second, and time to answer in milliseconds.
    rate: f64,
    answer_ms: f64,
    /// Time of one run in milliseconds, between two bounds.
    work_ms: (f64, f64),
}

/// Guards against a fast target that counts as slow because many requests wait there: its keys
/// would go to targets that are slower.
#[test]
fn waiting_is_not_work() {
    let cases = [
        MeterCase { name: "idle", rate: 2.0, answer_ms: 100.0, work_ms: (98.0, 100.0) },
        // Two slots at work for 80% of the time: answers take 1 / (1 - 0.64) times the work.
        MeterCase { name: "busy", rate: 16.0, answer_ms: 277.8, work_ms: (98.0, 102.0) },
        // Eight requests of eight hosts at a target with two slots.
        MeterCase { name: "full", rate: 20.0, answer_ms: 400.0, work_ms: (70.0, 100.0) },
        MeterCase { name: "slow", rate: 4.0, answer_ms: 250.0, work_ms: (200.0, 250.0) },
    ];
    for case in cases {
        let mut meter = ProcessingTimeEstimator::default();
        let mut now = Timestamp::from_millis(1_000);
        let (mut owed, mut noted) = (0.0, 0_u32);
        for _ in 0..60 {
            now = now + REPORT;
            owed += case.rate * REPORT.as_secs_f64();
            let runs = owed as u32 - noted;
            noted += runs;
            let total = Duration::from_secs_f64(case.answer_ms * f64::from(runs) / 1_000.0);
            meter.record(now, runs, total, 2);
        }
        let work = meter.processing_time(now).expect("enough runs") * 1_000.0;
        let (least, most) = case.work_ms;
        assert!((least..=most).contains(&work), "{}: {work:.1} ms", case.name);
    }
}

/// Guards against a speed that is made of two or three runs, and against one that outlives its runs.
#[test]
fn few_runs_say_nothing() {
    let start = Timestamp::from_millis(1_000);
    let mut meter = ProcessingTimeEstimator::default();
    assert_eq!(meter.processing_time(start), None);
    meter.record(start, 3, Duration::from_millis(900), 2);
    assert_eq!(meter.processing_time(start), None);
    meter.record(start, 20, Duration::from_millis(2_000), 2);
    assert!(meter.processing_time(start).is_some());
    assert_eq!(meter.processing_time(start + Duration::from_secs(60)), None);
}

/// Guards against a hot key that is passed on from target to target: when it arrives, answers take
/// longer before the rate of answers shows that it is the queue.
#[test]
fn a_target_that_gets_a_hot_key_stays_fast() {
    let mut meter = ProcessingTimeEstimator::default();
    let mut now = Timestamp::from_millis(1_000);
    let mut report = |meter: &mut ProcessingTimeEstimator, runs: u32, answer_ms: u64| {
        now = now + REPORT;
        meter.record(now, runs, Duration::from_millis(answer_ms) * runs, 2);
        meter.processing_time(now).expect("enough runs") * 1_000.0
    };
    meter.record(Timestamp::from_millis(1_000), 10, Duration::from_secs(1), 2);
    let calm = (0..20).map(|_| report(&mut meter, 2, 110)).last().expect("reports");
    // Full from one moment to the next: eight requests at a time, two of them at work.
    let most = (0..15).map(|_| report(&mut meter, 6, 400)).fold(0.0, f64::max);
    assert!(most <= calm * 1.3, "{calm:.1} ms a run when calm, {most:.1} ms with the hot key");
}
