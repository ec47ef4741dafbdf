//! How key ranges follow hot keys: the load patterns that the plan answers.

use std::time::Duration;

use gw_ranges::HeatMap;
use gw_ranges::HolderStatus;
use gw_ranges::KeyRange;
use gw_ranges::RangeCandidate;
use gw_ranges::RangeHolder;
use gw_ranges::RangeTable;
use gw_ranges::RangeTransfer;
use gw_ranges::plan_moves;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

const TARGETS: usize = 13;
/// Plans that are made in two seconds.
const PLANS: usize = 8;

fn candidate(index: usize, speed: f64) -> RangeCandidate {
    let target = TargetName::new(format!("t{index:02}")).expect("a valid name");
    RangeCandidate {
        holder: RangeHolder { target, run: 1 },
        zone: ZoneName::new("a").expect("a valid name"),
        status: HolderStatus::Serving,
        speed,
    }
}

struct LoadCase {
    name: &'static str,
    /// Share of the requests for the keys of `hot`, evenly; the rest is spread over all keys.
    hot_share: f64,
    hot: KeyRange,
    speeds: &'static [f64],
    /// Most load on one target after two seconds, in averages. Where one key has more than that,
    /// its own load is added: it cannot be divided.
    most: f64,
}

fn heat_of(case: &LoadCase) -> HeatMap {
    let mut heat = HeatMap::new(Timestamp::from_millis(1_000));
    let total = 600.0;
    let even = (total * (1.0 - case.hot_share)) as u32;
    (0..even).for_each(|number| heat.add((number * 65_536 / even) as u16, 1));
    let hot = (total * case.hot_share) as u32;
    let count = case.hot.key_count();
    (0..hot).for_each(|number| heat.add(case.hot.first + (number % count) as u16, 1));
    heat
}

/// Load of each target in averages.
fn loads(table: &RangeTable, candidates: &[RangeCandidate], heat: &HeatMap) -> Vec<f64> {
    let total_speed: f64 = candidates.iter().map(|candidate| candidate.speed).sum();
    let average = heat.heat_of(KeyRange::ALL) / total_speed;
    let load = |candidate: &RangeCandidate| {
        let own = table
            .assignments()
            .iter()
            .filter(|held| held.holder.as_ref() == Some(&candidate.holder));
        own.map(|held| heat.heat_of(held.range)).sum::<f64>() / candidate.speed / average
    };
    candidates.iter().map(load).collect()
}

fn apply(table: &mut RangeTable, moves: &[RangeTransfer], fence: &mut u64) {
    *fence += 1;
    moves.iter().for_each(|transfer| {
        table.assign(transfer, *fence);
    });
}

/// All keys divided over the candidates before any request was seen, and the last fencing token.
fn first_table(candidates: &[RangeCandidate]) -> (RangeTable, u64) {
    let mut table = RangeTable::default();
    let mut fence = 0;
    let cold = HeatMap::new(Timestamp::from_millis(1_000));
    let moves = plan_moves(&table, candidates, &cold, |_| true);
    apply(&mut table, &moves, &mut fence);
    (table, fence)
}

/// Guards against targets that stay overloaded while others are idle: hot neighbouring keys, one
/// very hot key, targets of different speed.
#[test]
fn load_is_spread_within_two_seconds() {
    let even = &[1.0; TARGETS];
    let mixed = &[0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7];
    let range = |first, last| KeyRange { first, last };
    let cases = [
        LoadCase { name: "no hot keys", hot_share: 0.0, hot: range(0, 0), speeds: even, most: 1.5 },
        LoadCase {
            name: "two fifths of the requests for 200 neighbouring keys",
            hot_share: 0.4,
            hot: range(53_000, 53_199),
            speeds: even,
            most: 1.5,
        },
        LoadCase {
            name: "two fifths of the requests for 60 neighbouring keys, targets of mixed speed",
            hot_share: 0.4,
            hot: range(100, 159),
            speeds: mixed,
            most: 1.6,
        },
        LoadCase {
            name: "a fifth of the requests for one key",
            hot_share: 0.2,
            hot: range(40_000, 40_000),
            speeds: even,
            most: 2.8,
        },
        LoadCase {
            name: "hot keys at the end of the keys",
            hot_share: 0.4,
            hot: range(65_500, 65_535),
            speeds: even,
            most: 1.5,
        },
    ];
    for case in cases {
        let speeds = case.speeds.iter().enumerate();
        let candidates: Vec<_> = speeds.map(|(index, speed)| candidate(index, *speed)).collect();
        let (mut table, mut fence) = first_table(&candidates);
        let heat = heat_of(&case);
        for _ in 0..PLANS {
            let moves = plan_moves(&table, &candidates, &heat, |_| true);
            apply(&mut table, &moves, &mut fence);
        }
        let loads = loads(&table, &candidates, &heat);
        let most = loads.iter().copied().fold(0.0, f64::max);
        assert!(most <= case.most, "{}: {most:.2} averages, {loads:.2?}", case.name);
    }
}

/// Pattern: hundreds of targets, and requests that are ten times as frequent for a tenth of the keys,
/// in neighbouring stretches. Guards against a fleet that is balanced only after minutes.
#[test]
fn hundreds_of_targets_are_balanced_within_seconds() {
    const MANY: usize = 270;
    const SECONDS: usize = 3;
    let candidates: Vec<_> = (0..MANY).map(|index| candidate(index, 1.0)).collect();
    let (mut table, mut fence) = first_table(&candidates);
    let mut heat = HeatMap::new(Timestamp::from_millis(1_000));
    for key in (0..u16::MAX).step_by(8) {
        let is_hot = (key / 656) % 10 == 3;
        heat.add(key, if is_hot { 10 } else { 1 });
    }
    for _ in 0..SECONDS * 4 {
        let moves = plan_moves(&table, &candidates, &heat, |_| true);
        apply(&mut table, &moves, &mut fence);
    }
    let loads = loads(&table, &candidates, &heat);
    let busy = loads.iter().filter(|load| **load > 1.5).count();
    assert!(busy <= MANY / 20, "{busy} targets have more than 1.5 averages after {SECONDS} s");
}

struct HotKeyCase {
    name: &'static str,
    /// Share of the requests for the key; the rest is spread over all keys.
    hot_share: f64,
    speeds: &'static [f64],
    /// Least speed of the target that has the key in the end.
    least_speed: f64,
    /// Whether the key stays with its first holder.
    stays: bool,
}

/// Guards against a key with more requests than its holder can run that stays on a slow target: the
/// key cannot be divided, so the fastest target has to take it, and nothing else.
#[test]
fn a_hot_key_goes_to_a_fast_target() {
    let mixed = &[0.6, 0.6, 0.6, 0.6, 1.4, 1.4, 1.4, 1.4, 1.4, 1.4, 1.4, 1.4, 1.4];
    let even = &[1.0; TARGETS];
    let cases = [
        HotKeyCase {
            name: "two fifths of the requests for a key of a slow target",
            hot_share: 0.4,
            speeds: mixed,
            least_speed: 1.4,
            stays: false,
        },
        HotKeyCase {
            name: "targets of the same speed",
            hot_share: 0.4,
            speeds: even,
            least_speed: 1.0,
            stays: true,
        },
    ];
    for case in cases {
        let speeds = case.speeds.iter().enumerate();
        let candidates: Vec<_> = speeds.map(|(index, speed)| candidate(index, *speed)).collect();
        let (mut table, mut fence) = first_table(&candidates);
        let slow = &candidates[2].holder;
        let held = table.assignments().iter().find(|held| held.holder.as_ref() == Some(slow));
        let hot = held.expect("a range of the target").range.first + 100;
        let hot = KeyRange { first: hot, last: hot };
        let load =
            LoadCase { name: "", hot_share: case.hot_share, hot, speeds: case.speeds, most: 0.0 };
        let heat = heat_of(&load);
        for _ in 0..PLANS {
            let moves = plan_moves(&table, &candidates, &heat, |_| true);
            apply(&mut table, &moves, &mut fence);
        }
        let holder = table.find(hot.first).holder.clone();
        let taker = candidates.iter().find(|candidate| Some(&candidate.holder) == holder.as_ref());
        let taker = taker.expect("a holder");
        assert!(taker.speed >= case.least_speed, "{}: {taker:?}", case.name);
        assert_eq!(taker.holder == *slow, case.stays, "{}: {taker:?}", case.name);
        let own = table.assignments().iter().filter(|held| held.holder == holder);
        let rest: f64 = own.map(|held| heat.heat_of(held.range)).sum::<f64>() - heat.heat_of(hot);
        assert!(rest <= 0.1 * heat.heat_of(hot), "{}: {rest} beside the key", case.name);
    }
}

/// Guards against heat that stays when the hot keys change.
#[test]
fn old_heat_fades() {
    let start = Timestamp::from_millis(1_000);
    let mut heat = HeatMap::new(start);
    heat.add(7, 100);
    let key = KeyRange { first: 7, last: 7 };
    let ages = [(0, 90.0, 101.0), (2, 45.0, 55.0), (10, 2.0, 4.0), (600, 0.0, 0.1)];
    for (seconds, least, most) in ages {
        heat.advance(start + Duration::from_secs(seconds));
        let left = heat.heat_of(key);
        assert!((least..=most).contains(&left), "{left} after {seconds} s");
    }
}
