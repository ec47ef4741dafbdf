//! Snapshots, determinism, catch-up of learners, and the zone hold that applies to isolated zones.

mod support;

use gw_control::ControlCommand;
use gw_control::ControlLearner;
use gw_control::ControlOutcome;
use gw_control::ControlState;
use gw_control::EntryBatch;
use gw_control::LearnError;
use gw_control::SNAPSHOT_VERSION;
use gw_control::SnapshotError;
use gw_control::TableOutcome;
use gw_profile::Revision;
use gw_types::SLOT_COUNT;
use quickcheck::QuickCheck;
use support::Log;
use support::RandomCommand;
use support::change;
use support::definition;
use support::fragmented_table;
use support::generator;
use support::grant;
use support::moved;
use support::moves;
use support::register;
use support::store;

/// Memory limit of the control state on each host (design page, section 1.4).
const MEMORY_BUDGET_BYTES: usize = 32 * 1024 * 1024;

fn replay(steps: &[RandomCommand]) -> ControlState {
    let mut state = ControlState::new();
    for (step, index) in steps.iter().zip(1..) {
        state.apply(index, &step.0);
    }
    state
}

fn batch(steps: &[RandomCommand], after: usize, through: usize) -> EntryBatch {
    let entries = (after..through).map(|position| (position as u64 + 1, steps[position].0.clone()));
    EntryBatch { after: after as u64, through: through as u64, entries: entries.collect() }
}

/// Guards against a state that depends on anything but the commands, and against a snapshot that
/// does not contain the whole state.
#[test]
fn equal_logs_give_equal_snapshots_that_restore_to_equal_states() {
    fn holds(steps: Vec<RandomCommand>) -> bool {
        let (first, second) = (replay(&steps), replay(&steps));
        let bytes = first.snapshot();
        let restored = ControlState::restore(&bytes).unwrap();
        bytes == second.snapshot() && restored == first && restored.snapshot() == bytes
    }
    let mut check = QuickCheck::new().rng(generator(3)).tests(200);
    check.quickcheck(holds as fn(Vec<RandomCommand>) -> bool);
}

/// Guards against an entry that is applied twice when the log is replayed.
#[test]
fn applied_entries_change_nothing_again() {
    let mut state = ControlState::new();
    state.apply(5, &grant("a", 1));
    let before = state.clone();
    assert_eq!(state.apply(5, &grant("a", 2)), ControlOutcome::AlreadyApplied);
    assert_eq!(state.apply(4, &grant("b", 2)), ControlOutcome::AlreadyApplied);
    assert_eq!(state, before);
}

/// Guards against restoring a state from bytes of another format version or from damaged bytes.
#[test]
fn foreign_snapshots_are_refused() {
    let good = Log::default().state.snapshot();
    assert_eq!(good[0], SNAPSHOT_VERSION);
    let cases = [
        (Vec::new(), SnapshotError::Empty),
        (vec![SNAPSHOT_VERSION + 1], SnapshotError::Version { found: SNAPSHOT_VERSION + 1 }),
        (vec![SNAPSHOT_VERSION], SnapshotError::Malformed { bytes: 1 }),
        ([&good[..], &[0]].concat(), SnapshotError::Malformed { bytes: good.len() + 1 }),
    ];
    for (bytes, error) in cases {
        assert_eq!(ControlState::restore(&bytes), Err(error));
    }
}

/// Guards against a learner that skips an entry, returns to an earlier index, or ends with another
/// state than the replicas, for any order and number of deliveries.
#[test]
fn learners_reach_the_same_state_from_any_deliveries() {
    fn holds(steps: Vec<RandomCommand>, deliveries: Vec<(u16, u16, bool)>) -> bool {
        let mut learner = ControlLearner::new();
        let mut highest = 0;
        for (from, length, is_snapshot) in deliveries {
            let after = usize::from(from) % (steps.len() + 1);
            let through = (after + usize::from(length) % 8).min(steps.len());
            let applied = learner.applied();
            if is_snapshot && length % 4 == 0 {
                let snapshot = replay(&steps[..through]).snapshot();
                let is_later = learner.install_snapshot(&snapshot).unwrap();
                assert_eq!(is_later, through as u64 > applied);
            } else {
                let result = learner.apply_entries(&batch(&steps, after, through));
                let gap = LearnError::Gap { applied, after: after as u64 };
                let is_gap = after as u64 > applied;
                assert_eq!(result.err(), is_gap.then_some(gap));
            }
            assert!(learner.applied() >= highest);
            highest = learner.applied();
            let reference = replay(&steps[..highest as usize]);
            assert_eq!(learner.state().snapshot(), reference.snapshot());
        }
        learner.apply_entries(&batch(&steps, 0, steps.len())).unwrap();
        learner.state().snapshot() == replay(&steps).snapshot()
    }
    let mut check = QuickCheck::new().rng(generator(5)).tests(60);
    check.quickcheck(holds as fn(Vec<RandomCommand>, Vec<(u16, u16, bool)>) -> bool);
}

/// Guards against a restarted host that is hundreds of entries behind and cannot catch up by
/// entries after a gap or by a snapshot.
#[test]
fn learners_catch_up_after_hundreds_of_entries() {
    let steps: Vec<_> = (0..700)
        .map(|number| RandomCommand(change("p", number, &format!("c{number}"), "anna", 1)))
        .collect();
    let mut by_entries = ControlLearner::new();
    by_entries.apply_entries(&batch(&steps, 0, 10)).unwrap();
    let gap = LearnError::Gap { applied: 10, after: 600 };
    assert_eq!(by_entries.apply_entries(&batch(&steps, 600, 700)), Err(gap));
    assert_eq!(by_entries.applied(), 10);
    let outcomes = by_entries.apply_entries(&batch(&steps, 5, 700)).unwrap();
    assert_eq!(outcomes.len(), 690);

    let mut by_snapshot = ControlLearner::new();
    assert!(by_snapshot.install_snapshot(&replay(&steps[..650]).snapshot()).unwrap());
    by_snapshot.apply_entries(&batch(&steps, 640, 700)).unwrap();
    assert_eq!(by_snapshot, by_entries);
    assert!(!by_snapshot.install_snapshot(&replay(&steps[..650]).snapshot()).unwrap());
    let latest = by_snapshot.state().view().profile("p").unwrap().revision;
    assert_eq!(latest, Revision(700));
}

/// Guards against installing a snapshot of another log that has a later index but an earlier
/// revision of a profile.
#[test]
fn snapshots_with_an_older_revision_are_refused() {
    let steps = [
        RandomCommand(change("p", 0, "a", "anna", 1)),
        RandomCommand(change("p", 1, "b", "anna", 2)),
    ];
    let mut learner = ControlLearner::new();
    learner.apply_entries(&batch(&steps, 0, 2)).unwrap();
    let mut other = replay(&steps[..1]);
    other.advance(9);
    let error = learner.install_snapshot(&other.snapshot()).unwrap_err();
    let expected = "the snapshot has revision 1 of profile p; in force is 2";
    assert_eq!(error.to_string(), expected);
    assert_eq!(learner.applied(), 2);
}

/// Guards against applying a batch of a faulty sender whose entries are out of order or outside the
/// bounds of the batch.
#[test]
fn disordered_batches_are_refused() {
    let entry = |index| (index, grant("a", 1));
    for (entries, index) in
        [(vec![entry(2), entry(1)], 1), (vec![entry(1), entry(1)], 1), (vec![entry(4)], 4)]
    {
        let batch = EntryBatch { after: 0, through: 3, entries };
        let mut learner = ControlLearner::new();
        assert_eq!(learner.apply_entries(&batch), Err(LearnError::Order { index }));
        assert_eq!(learner, ControlLearner::new());
    }
}

/// Guards against a control state that exceeds its memory limit at the intended system size, with
/// one range per slot and a full audit trail.
#[test]
fn snapshots_fit_the_memory_budget() {
    for (zones, targets) in [(3, 27), (7, 600)] {
        let mut log = Log::default();
        log.apply(register(definition("matarlas", "/matarlas", "ullvav")));
        let share = SLOT_COUNT / zones;
        for number in 0..zones {
            let zone = format!("zone-{number}");
            log.apply(grant(&zone, number));
            let end = if number + 1 == zones { SLOT_COUNT } else { (number + 1) * share };
            let term = u32::from(number) + 1;
            let slots = number * share..end;
            let outcome = log.apply(store(fragmented_table(&zone, term, targets, slots)));
            assert!(matches!(outcome, ControlOutcome::Table(TableOutcome::Stored { .. })));
        }
        let tables = log.state.snapshot().len();
        for number in 1..=100 {
            let record = moved(1, "zone-0-target-0001", "zone-0-target-0002");
            log.apply(moves("zone-0", number, 1, number, vec![record; 100]));
        }
        for number in 0..1_000 {
            log.apply(change("p", number, &format!("change-{number}"), "anna", 1));
        }
        let full = log.state.snapshot().len();
        println!("zones={zones} targets={targets} tables_bytes={tables} full_bytes={full}");
        assert!(full <= MEMORY_BUDGET_BYTES);
        assert_eq!(ControlState::restore(&log.state.snapshot()), Ok(log.state));
    }
}

fn hold(base: u64, zone_hold_ms: u32) -> ControlCommand {
    let id = format!("hold-{base}");
    let mut command = change("p", base, &id, "anna", 1);
    if let ControlCommand::ApplyProfile(change) = &mut command {
        change.profile.moves.zone_hold_ms = zone_hold_ms;
    }
    command
}

/// Guards against two owners of a key. A zone that was isolated before its `zone_hold` was
/// shortened does not know of the change and keeps its keys for the longer time.
#[test]
fn shortened_holds_do_not_count_for_zones_that_do_not_know_them() {
    let mut log = Log::default();
    log.apply(register(definition("s", "/x", "p")));
    log.apply(hold(0, 60_000));
    log.apply(hold(1, 2_000));
    log.apply(hold(2, 5_000));
    for (since, expected) in [(0, 60_000), (1, 60_000), (2, 60_000), (3, 5_000), (4, 5_000)] {
        let longest = log.state.view().longest_zone_hold_ms("s", since);
        assert_eq!(longest, expected, "since {since}");
    }
    for base in 3..100 {
        log.apply(hold(base, 2_000));
    }
    assert_eq!(log.state.view().longest_zone_hold_ms("s", 4), 3_600_000);
    assert_eq!(log.state.view().longest_zone_hold_ms("s", log.index), 2_000);
    assert_eq!(log.state.view().longest_zone_hold_ms("unknown", 0), 3_600_000);
}
