//! Time that steps of the granters leave for other work.

use std::time::Duration;

use gw_ranges::StepPacer;
use gw_types::Timestamp;

struct PaceCase {
    name: &'static str,
    /// Length of each step.
    step: Duration,
    /// Most steps within 10 s of ticks every 25 ms.
    most: u32,
    least: u32,
}

/// Guards against a leader of thousands of targets that has no time left for its heartbeats: each tick
/// took a step, and a step took as long as a tick.
#[test]
fn long_steps_leave_time_for_other_work() {
    let cases = [
        PaceCase { name: "short", step: Duration::from_millis(2), most: 400, least: 400 },
        PaceCase { name: "a tick", step: Duration::from_millis(25), most: 100, least: 90 },
        PaceCase { name: "very long", step: Duration::from_secs(1), most: 9, least: 7 },
    ];
    for PaceCase { name, step, most, least } in cases {
        let (mut pacer, mut steps) = (StepPacer::default(), 0);
        let start = Timestamp::from_millis(1_000_000);
        let (mut now, end) = (start, start + Duration::from_secs(10));
        while now < end {
            let started_at = now;
            if pacer.is_due(now) {
                now = now + step;
                pacer.record(started_at, now);
                steps += 1;
            }
            now = now.max(started_at + Duration::from_millis(25));
        }
        assert!((least..=most).contains(&steps), "{name}: {steps} steps");
    }
}
