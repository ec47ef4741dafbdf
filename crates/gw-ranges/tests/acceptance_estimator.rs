//! Estimates of the fraction of requests that a target takes while it turns some away.

use std::time::Duration;

use gw_ranges::AcceptanceEstimator;
use gw_types::Timestamp;

/// Requests that a target has answered recently.
const ANSWERED: f64 = 16.0;
const HOSTS: usize = 8;
const REST: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + millis)
}

struct RefusalCase {
    name: &'static str,
    /// Times in milliseconds at which the target turns a request away, each of another host.
    refusals: &'static [u64],
    /// Time of the check in milliseconds.
    checked_at: u64,
    /// Bounds of the fraction.
    between: (f64, f64),
}

/// Guards against keys that stay at a target that turns all requests away, and against keys that
/// leave a target that turns away a few.
#[test]
fn the_fraction_follows_the_hosts_that_rest() {
    let cases = [
        RefusalCase { name: "none", refusals: &[], checked_at: 0, between: (1.0, 1.0) },
        RefusalCase { name: "one host", refusals: &[0], checked_at: 100, between: (0.7, 0.9) },
        RefusalCase {
            name: "half of the hosts",
            refusals: &[0, 100, 200, 300],
            checked_at: 400,
            between: (0.3, 0.5),
        },
        RefusalCase {
            name: "all hosts",
            refusals: &[0, 100, 200, 300, 400, 500, 600, 700],
            checked_at: 800,
            between: (0.0, 0.0),
        },
        RefusalCase {
            name: "one host after the other",
            refusals: &[0, 4_000, 8_000],
            checked_at: 8_100,
            between: (0.7, 0.9),
        },
        RefusalCase {
            name: "kept while the target gets no requests",
            refusals: &[0, 100, 200, 300],
            checked_at: 9_000,
            between: (0.3, 0.5),
        },
        RefusalCase {
            name: "tried again later",
            refusals: &[0, 100, 200, 300],
            checked_at: 10_300,
            between: (1.0, 1.0),
        },
    ];
    for case in cases {
        let mut estimator = AcceptanceEstimator::default();
        for millis in case.refusals {
            estimator.record_turned_away(at(*millis), 1, REST, HOSTS, ANSWERED);
        }
        let fraction = estimator.fraction(at(case.checked_at));
        let (least, most) = case.between;
        assert!(least <= fraction && fraction <= most, "{}: {fraction}", case.name);
    }
}
