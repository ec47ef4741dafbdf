//! Simulated clusters of several sizes, and the regression line.

use std::time::Duration;

use gw_capacity::Cluster;
use gw_capacity::ClusterLayout;
use gw_capacity::HostCounters;
use gw_capacity::HostRole;
use gw_capacity::LineFit;
use gw_capacity::measure_steady;

/// Objective for the control traffic of one host at the target size (design page, section 1.4), in
/// bytes per second.
const MAX_BYTES_PER_S: f64 = 3_000.0;

/// Message counts must be the same in each run of a seed, so that measurements can be compared.
#[test]
fn counts_are_deterministic_for_a_seed() {
    let layouts = [ClusterLayout::deployed(3), ClusterLayout::proportional(8, 7)];
    for layout in layouts {
        let counts = |seed| {
            let mut cluster = Cluster::new(layout, seed);
            cluster.run(Duration::from_secs(6));
            cluster.counters().iter().map(HostCounters::without_times).collect::<Vec<_>>()
        };
        assert_eq!(counts(5), counts(5), "{}", layout.label());
    }
}

/// The traffic of a host without leading role must not grow with the system, as it does when each
/// host sends to the leaders of all zones or when the control log never becomes quiet.
#[test]
fn traffic_of_data_plane_hosts_stays_bounded_at_each_size() {
    for hosts in [8, 24, 72] {
        let mut cluster = Cluster::new(ClusterLayout::proportional(hosts, 3), 1);
        cluster.run(Duration::from_secs(60));
        let roles = measure_steady(&mut cluster, Duration::from_secs(4), 1);
        for rates in roles.iter().filter(|rates| rates.role >= HostRole::Dispatcher) {
            let sent = rates.sent_bytes;
            assert!(sent <= MAX_BYTES_PER_S, "{} of {hosts} hosts: {sent} B/s", rates.role);
        }
    }
}

/// Guards against zones that never elect a leader because most of their hosts receive no messages
/// from a control replica: in large zones, hosts send heartbeats to their neighbours only.
#[test]
fn large_zones_with_dedicated_replicas_serve_all_slots() {
    let layout = ClusterLayout { targets: 20, ..ClusterLayout::proportional(60, 2) };
    let mut cluster = Cluster::new(layout, 3);
    cluster.run(Duration::from_secs(20));
    for host in cluster.hosts() {
        let node = host.node.as_ref().expect("all hosts run");
        let name = &host.entry.name;
        assert!(node.is_ready(), "{name} is not ready");
        let routes = node.routes().service("keyed0").expect("the service is registered");
        let key = gw_types::KeyHash::of(b"key");
        assert!(routes.key_route(key).owner.is_some(), "{name} knows no owner");
    }
}

/// The fitted line must have the slope and intercept of the points: all extrapolations use them.
#[test]
fn line_fit_matches_points_on_a_line() {
    struct Case {
        points: &'static [(f64, f64)],
        expected: Option<(f64, f64)>,
    }
    let cases = [
        Case { points: &[(1.0, 5.0), (3.0, 9.0), (10.0, 23.0)], expected: Some((2.0, 3.0)) },
        Case { points: &[(1.0, 4.0), (2.0, 4.0)], expected: Some((0.0, 4.0)) },
        Case { points: &[(1.0, 4.0), (1.0, 6.0)], expected: None },
        Case { points: &[], expected: None },
    ];
    for case in cases {
        let found = LineFit::through(case.points);
        let found = found.map(|line| (line.slope, line.intercept));
        match (found, case.expected) {
            (Some(found), Some(expected)) => {
                assert!((found.0 - expected.0).abs() < 1e-9, "{:?}: {found:?}", case.points);
                assert!((found.1 - expected.1).abs() < 1e-9, "{:?}: {found:?}", case.points);
            }
            (found, expected) => assert_eq!(found, expected, "{:?}", case.points),
        }
    }
}
