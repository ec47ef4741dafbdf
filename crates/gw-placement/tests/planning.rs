//! Plans of assignments, delegations and moves.

use std::time::Duration;

use gw_placement::KeyCounter;
use gw_placement::MAX_SLOTS_PER_MINUTE;
use gw_placement::MovePlanner;
use gw_placement::OwnedRange;
use gw_placement::PlannedMove;
use gw_placement::ServiceView;
use gw_placement::WeightedTarget;
use gw_placement::WeightedZone;
use gw_placement::plan_assignment;
use gw_placement::plan_delegation;
use gw_profile::MoveRules;
use gw_types::FencingToken;
use gw_types::KeyHash;
use gw_types::SLOT_COUNT;
use gw_types::ServiceName;
use gw_types::ServiceTable;
use gw_types::SlotIndex;
use gw_types::SlotRange;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

fn targets(weights: &[u32]) -> Vec<WeightedTarget> {
    let to_target = |(index, weight): (usize, &u32)| WeightedTarget {
        name: TargetName::new(format!("t{index:03}")).unwrap(),
        weight: *weight,
    };
    weights.iter().enumerate().map(to_target).collect()
}

fn owned_by(plan: &[OwnedRange], name: &TargetName) -> usize {
    let owned = plan.iter().filter(|range| range.owner.as_ref() == Some(name));
    owned.map(|range| usize::from(range.last - range.first) + 1).sum()
}

fn owners(plan: &[OwnedRange]) -> Vec<Option<TargetName>> {
    let slots =
        |range: &OwnedRange| vec![range.owner.clone(); usize::from(range.last - range.first) + 1];
    plan.iter().flat_map(slots).collect()
}

/// Fails if a plan is unbalanced, moves more slots than necessary, depends on the order of targets
/// or fragments ranges.
#[test]
fn assignment_is_balanced_with_least_churn() {
    struct Case {
        before: &'static [u32],
        after: &'static [u32],
    }
    let cases = [
        Case { before: &[2; 13], after: &[2; 14] },
        Case { before: &[2; 14], after: &[2; 13] },
        Case { before: &[2, 2, 2, 2], after: &[2, 2, 4, 2] },
        Case { before: &[2, 2, 2], after: &[2, 0, 2] },
        Case { before: &[1], after: &[1, 1] },
        Case { before: &[2; 80], after: &[2; 79] },
    ];
    let all = [OwnedRange { first: 0, last: SLOT_COUNT - 1, owner: None }];
    for Case { before, after } in cases {
        let first = plan_assignment(&targets(before), &all);
        let mut wanted = targets(after);
        let second = plan_assignment(&wanted, &first);
        let total: u32 = after.iter().sum();
        let mut least = 0;
        for target in &wanted {
            let (had, has) = (owned_by(&first, &target.name), owned_by(&second, &target.name));
            let share = usize::from(SLOT_COUNT) * target.weight as usize / total as usize;
            assert!(has == share || has == share + 1, "{} has {has} of {share}", target.name);
            least += has.saturating_sub(had);
        }
        let moved = owners(&first).iter().zip(owners(&second)).filter(|(a, b)| **a != *b).count();
        assert_eq!(moved, least, "{before:?} to {after:?}");
        let bound = first.len() + before.len() + after.len();
        assert!(second.len() <= bound, "{} ranges from {}", second.len(), first.len());
        wanted.reverse();
        assert_eq!(plan_assignment(&wanted, &first), second);
        assert_eq!(plan_assignment(&wanted, &second), second, "a second plan moves nothing");
    }
}

/// Fails if slots stay with a target that was removed when no other target exists.
#[test]
fn slots_without_targets_have_no_owner() {
    let all = [OwnedRange { first: 0, last: 99, owner: Some(targets(&[1])[0].name.clone()) }];
    let plan = plan_assignment(&[], &all);
    assert_eq!(plan, [OwnedRange { owner: None, ..all[0].clone() }]);
}

/// Fails if a slot has no zone, or if slots change zone although the shares do not require it.
#[test]
fn delegation_follows_work_slots() {
    let zone =
        |name: &str, work_slots| WeightedZone { zone: ZoneName::new(name).unwrap(), work_slots };
    let first = plan_delegation(&[zone("a", 10), zone("b", 10), zone("c", 8)], &[]);
    let count = |plan: &[gw_placement::ZoneRange], name: &str| -> usize {
        let held = plan.iter().filter(|range| range.zone.as_str() == name);
        held.map(|range| usize::from(range.last - range.first) + 1).sum()
    };
    assert_eq!(count(&first, "a") + count(&first, "b") + count(&first, "c"), 16_384);
    assert!(count(&first, "c").abs_diff(16_384 * 8 / 28) <= 1);
    let second = plan_delegation(&[zone("a", 10), zone("b", 10)], &first);
    assert!(count(&second, "a").abs_diff(8_192) <= 1);
    assert_eq!(plan_delegation(&[zone("b", 10), zone("a", 10)], &second), second);
    assert!(plan_delegation(&[zone("a", 0)], &first).is_empty());
}

/// Fails if the counter misses a heavy key or if its bounds do not contain the load.
#[test]
fn key_counter_bounds_loads() {
    let mut counter = KeyCounter::new(64);
    for round in 0..10_000u64 {
        counter.add(KeyHash(round + 100), 1);
        counter.add(KeyHash(round % 10), 1);
    }
    for key in (0..10).map(KeyHash) {
        let load = counter.load(key);
        assert!(load.lower <= 1_000 && 1_000 <= load.upper, "{load:?}");
        assert!(counter.heaviest().take(10).any(|heavy| heavy.key == key));
    }
}

/// Fails if a hot key gets no override, if an override is never removed, if a move has no gain, or
/// if more than 1% of the slots move in a minute.
#[test]
fn planner_moves_hot_keys_within_the_churn_bound() {
    let targets = targets(&[2; 4]);
    let all = [OwnedRange { first: 0, last: SLOT_COUNT - 1, owner: None }];
    let to_range = |range: OwnedRange| SlotRange {
        first: range.first,
        last: range.last,
        owner: range.owner,
        token: FencingToken::from_u64(1),
    };
    let ranges = plan_assignment(&targets, &all).into_iter().map(to_range).collect();
    let service = ServiceName::new("slipreader").unwrap();
    let mut table = ServiceTable { service, ranges, overrides: Vec::new() };
    let rules = MoveRules { moves_per_minute: 10_000, ..MoveRules::default() };
    let mut planner = MovePlanner::new(rules, Timestamp::ZERO);
    let hot = KeyHash(7);
    let mut history = Vec::new();
    let window = Duration::from_secs(5);
    for step in 1..=40u64 {
        let now = Timestamp::ZERO + window * step as u32;
        // The first quarter of the slots has most of the load; one key is hot for 12 windows.
        for slot in 0..SLOT_COUNT {
            planner.observe_slot(SlotIndex(slot), if slot < 4_096 { 1_000_000 } else { 100_000 });
        }
        if step <= 12 {
            planner.observe_key(hot, 3_000_000_000);
        }
        let moves = planner.plan(now, ServiceView { targets: &targets, table: &table });
        for planned in &moves {
            match planned {
                PlannedMove::Override(key, to) => {
                    let (key, owner, token) = (*key, Some(to.clone()), FencingToken::from_u64(2));
                    table.overrides = vec![gw_types::KeyOverride { key, owner, token }];
                }
                PlannedMove::MergeKey(_) => table.overrides.clear(),
                PlannedMove::Slot(..) => {}
            }
        }
        history.push(moves);
    }
    let all_moves: Vec<_> = history.iter().flatten().collect();
    let overridden =
        all_moves.iter().filter(|m| matches!(m, PlannedMove::Override(key, _) if *key == hot));
    assert_eq!(overridden.count(), 1);
    let merged =
        all_moves.iter().filter(|m| matches!(m, PlannedMove::MergeKey(key) if *key == hot));
    assert_eq!(merged.count(), 1);
    assert!(all_moves.iter().any(|m| matches!(m, PlannedMove::Slot(..))));
    for minute in history.windows(12) {
        let moves: usize = minute.iter().map(Vec::len).sum();
        assert!(moves <= MAX_SLOTS_PER_MINUTE as usize, "{moves} moves in a minute");
    }
    let mut planner = MovePlanner::new(MoveRules::default(), Timestamp::ZERO);
    for slot in 0..SLOT_COUNT {
        planner.observe_slot(SlotIndex(slot), 1_000 + u64::from(slot % 10));
    }
    let even =
        planner.plan(Timestamp::ZERO + window, ServiceView { targets: &targets, table: &table });
    assert!(even.is_empty(), "even load causes moves: {even:?}");
}
