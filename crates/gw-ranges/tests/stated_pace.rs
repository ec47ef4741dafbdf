//! Processing times that targets state, as limits on the speed by which keys are planned.

use gw_ranges::StatedPace;
use gw_types::Timestamp;

struct PaceCase {
    name: &'static str,
    /// Milliseconds and stated multiples of the usual processing time.
    reports: &'static [(u64, f64)],
    measured: f64,
    /// Largest and smallest speed at 1,000 ms.
    speed: (f64, f64),
}

/// Guards against a holder that has become slow and keeps its keys until its responses show it, and
/// against a slow phase that is counted for longer than it is stated. The load: a target takes three
/// times as long from one moment to the next.
#[test]
fn a_holder_counts_as_slow_while_it_states_so() {
    let case = |name, reports, measured, speed| PaceCase { name, reports, measured, speed };
    let cases = [
        case("nothing stated", &[], 0.9, (0.9, 0.9)),
        case("usual", &[(900, 1.0)], 0.9, (0.9, 0.9)),
        case("slow", &[(900, 3.0)], 1.0, (0.34, 0.33)),
        case("fast, measured as average", &[(900, 0.5)], 1.0, (1.0, 1.0)),
        case("slow, measured as slower", &[(900, 2.0)], 0.25, (0.25, 0.25)),
        case(
            "one high value among usual ones",
            &[(700, 1.0), (800, 1.0), (900, 3.0)],
            1.0,
            (0.7, 0.6),
        ),
        case(
            "usual again",
            &[(100, 3.0), (700, 1.0), (800, 1.0), (850, 1.0), (900, 1.0)],
            1.0,
            (0.8, 0.6),
        ),
    ];
    for case in cases {
        let mut pace = StatedPace::default();
        for (millis, value) in case.reports {
            pace.record(Timestamp::from_millis(*millis), *value);
        }
        let speed = pace.limit(Timestamp::from_millis(1_000), case.measured);
        assert!(case.speed.1 <= speed && speed <= case.speed.0, "{}: {speed}", case.name);
        let later = pace.limit(Timestamp::from_millis(2_900), case.measured);
        assert_eq!(later, case.measured, "{}: outdated", case.name);
    }
}
