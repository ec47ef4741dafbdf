//! Reading and writing of trace files, and properties of generated traces.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use gw_replay::RequestKind;
use gw_replay::Scenario;
use gw_replay::Trace;
use gw_replay::TraceError;
use gw_replay::TraceShape;
use gw_replay::generate;

/// A trace that is written and read again must be unchanged.
#[test]
fn traces_round_trip_through_csv() {
    let shape = TraceShape { seconds: 1, ..TraceShape::DAY };
    let trace = generate(&Scenario::slipwerk(), shape);
    let mut file = Vec::new();
    trace.write(&mut file).unwrap();
    assert_eq!(Trace::read(&file[..]).unwrap(), trace);
}

/// Malformed trace files must be rejected: unsorted rows, unknown kinds, missing columns and
/// invalid zone names.
#[test]
fn malformed_traces_are_rejected() {
    struct Case {
        name: &'static str,
        rows: &'static str,
        is_unsorted: bool,
    }
    let cases = [
        Case { name: "unsorted", rows: "2,a,s,1,lookup,5\n1,a,s,1,lookup,5\n", is_unsorted: true },
        Case { name: "kind", rows: "2,a,s,1,glance,5\n", is_unsorted: false },
        Case { name: "columns", rows: "2,a,s,1,lookup\n", is_unsorted: false },
        Case { name: "zone", rows: "2,a b,s,1,lookup,5\n", is_unsorted: false },
    ];
    for case in cases {
        let file = format!("time_us,zone,service,key,kind,cost_us\n{}", case.rows);
        let error = Trace::read(file.as_bytes()).expect_err(case.name);
        let is_unsorted = matches!(error, TraceError::Unsorted { row: 2, time_us: 1 });
        assert_eq!(is_unsorted, case.is_unsorted, "{}: {error}", case.name);
    }
}

/// Generated traces must have the stragglers, the load peak and the changing hot keys of the users'
/// traces.
#[test]
fn generated_traces_match_the_users_workload() {
    for scenario in [Scenario::slipwerk(), Scenario::ullvav()] {
        let trace = generate(&scenario, TraceShape::PEAK);
        let entries = trace.entries();
        let mean = entries.iter().map(|entry| entry.cost_us).sum::<u64>() / entries.len() as u64;
        let scans = entries.iter().filter(|entry| entry.kind == RequestKind::Scan);
        for scan in scans {
            assert!((20 * mean..=50 * mean).contains(&scan.cost_us), "{} us", scan.cost_us);
        }
        let in_second =
            |second| entries.iter().filter(|entry| entry.time_us / 1_000_000 == second).count();
        assert!(in_second(7) > 2 * in_second(3), "{}: no peak", scenario.name);
        let hot = |second: u64| -> BTreeSet<u64> {
            let window = second * 1_000_000..(second + 1) * 1_000_000;
            let entries = entries.iter().filter(|entry| window.contains(&entry.time_us));
            let mut counts = BTreeMap::new();
            entries.for_each(|entry| *counts.entry(entry.key).or_insert(0) += 1);
            counts.into_iter().filter(|&(_, count)| count >= 20).map(|(key, _)| key).collect()
        };
        assert!(!hot(11).is_empty(), "{}: no hot keys", scenario.name);
        assert!(hot(11).is_disjoint(&hot(12)), "{}: hot keys stay", scenario.name);
    }
}
