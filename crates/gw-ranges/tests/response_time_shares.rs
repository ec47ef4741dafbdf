//! Load pattern: targets of different speeds at moderate utilization.

use gw_ranges::HolderStatus;
use gw_ranges::RangeCandidate;
use gw_ranges::RangeHolder;
use gw_ranges::share_by_response_time;
use gw_types::TargetName;
use gw_types::ZoneName;

struct ShareCase {
    name: &'static str,
    speeds: &'static [f64],
    utilization: f64,
    /// Largest mean response time, relative to that of shares in proportion to speed.
    max_response_time: f64,
    /// Bounds of the slowest target's share relative to its share in proportion to speed.
    slowest: (f64, f64),
}

fn candidates(speeds: &[f64]) -> Vec<RangeCandidate> {
    let candidate = |(index, speed): (usize, &f64)| {
        let target = TargetName::new(format!("t{index:02}")).expect("a valid name");
        RangeCandidate {
            holder: RangeHolder { target, run: 1 },
            zone: ZoneName::new("a").expect("a valid name"),
            status: HolderStatus::Serving,
            speed: *speed,
        }
    };
    speeds.iter().enumerate().map(candidate).collect()
}

/// Mean response time of queues with the capacities `speeds` if requests are divided by `shares`.
fn mean_response_time(speeds: &[f64], shares: &[f64], utilization: f64) -> f64 {
    let total: f64 = speeds.iter().sum();
    let share_total: f64 = shares.iter().sum();
    let rate = |share: f64| share / share_total * total * utilization;
    let weighted = speeds.iter().zip(shares).map(|(speed, share)| {
        let rate = rate(*share);
        assert!(rate < *speed, "a target gets more than it can process");
        rate / (speed - rate)
    });
    weighted.sum::<f64>() / (total * utilization)
}

/// Guards against keys that stay with slow targets while faster ones have room, and against targets
/// that get so few requests that their speed is no longer known.
#[test]
fn faster_targets_get_more_than_in_proportion() {
    let cases = [
        ShareCase {
            name: "equal targets",
            speeds: &[1.0, 1.0, 1.0],
            utilization: 0.5,
            max_response_time: 1.0001,
            slowest: (0.999, 1.001),
        },
        ShareCase {
            name: "speeds that differ by a factor of three",
            speeds: &[0.5, 1.0, 1.0, 1.5],
            utilization: 0.5,
            max_response_time: 0.98,
            slowest: (0.3, 0.7),
        },
        ShareCase {
            name: "little load",
            speeds: &[0.2, 1.0, 1.6],
            utilization: 0.05,
            max_response_time: 0.9,
            slowest: (0.25, 0.6),
        },
        ShareCase {
            name: "nearly full",
            speeds: &[0.6, 1.0, 1.4],
            utilization: 0.94,
            max_response_time: 1.0,
            slowest: (0.95, 1.0),
        },
        ShareCase {
            name: "more requests than capacity",
            speeds: &[0.6, 1.0, 1.4],
            utilization: 3.0,
            max_response_time: 1.0,
            slowest: (0.95, 1.0),
        },
    ];
    for case in cases {
        let mut shared = candidates(case.speeds);
        share_by_response_time(&mut shared, case.utilization);
        let shares: Vec<f64> = shared.iter().map(|candidate| candidate.speed).collect();
        let sum: f64 = shares.iter().sum();
        assert!((sum - case.speeds.iter().sum::<f64>()).abs() < 1e-9, "{}: {shares:?}", case.name);
        let utilization = case.utilization.min(0.94);
        let before = mean_response_time(case.speeds, case.speeds, utilization);
        let after = mean_response_time(case.speeds, &shares, utilization);
        assert!(after <= before * case.max_response_time, "{}: {before} {after}", case.name);
        let slowest = shares[0] / case.speeds[0];
        let (least, most) = case.slowest;
        assert!((least..=most).contains(&slowest), "{}: {slowest}", case.name);
    }
}

/// Guards against candidates that get no keys taking part in the shares of those that do.
#[test]
fn only_serving_targets_share() {
    let mut shared = candidates(&[0.5, 1.0, 2.0]);
    shared[2].status = HolderStatus::Draining;
    share_by_response_time(&mut shared, 0.5);
    assert_eq!(shared[2].speed, 2.0);
    assert!((shared[0].speed + shared[1].speed - 1.5).abs() < 1e-9);
}
