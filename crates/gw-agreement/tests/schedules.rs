//! Checks the Raft invariants under randomly generated fault schedules. `GW_SEED` sets the first
//! seed and `GW_SCHEDULES` the number of schedules per group.

mod harness;

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use gw_agreement::InjectedFault;

use harness::checks::Coverage;
use harness::checks::CoveredEvent;
use harness::checks::Violation;
use harness::schedule::Group;
use harness::schedule::run_schedule;

const DEFAULT_SEED: u64 = 20_261_204;
const DEFAULT_SCHEDULES: u64 = 2000;
/// Number of seeds within which an injected fault must be detected.
const MAX_FAULT_SCHEDULES: u64 = 4000;
const THREADS: u64 = 2;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn check_group(group: Group) -> Coverage {
    let first = setting("GW_SEED", DEFAULT_SEED);
    let count = setting("GW_SCHEDULES", DEFAULT_SCHEDULES);
    let next = AtomicU64::new(first);
    let total = Mutex::new(Coverage::default());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let seed = next.fetch_add(1, Ordering::Relaxed)
                    && seed < first + count
                {
                    match run_schedule(group, seed) {
                        Ok(coverage) => add(&mut total.lock().expect("total"), coverage),
                        Err(v) => panic!("{group:?}: {v:?}; GW_SEED={seed} GW_SCHEDULES=1"),
                    }
                }
            });
        }
    });
    let coverage = total.into_inner().expect("total");
    println!("{group:?}, {count} schedules: {coverage:?}");
    assert_covered(&coverage, CoveredEvent::Acknowledgement, count);
    assert_covered(&coverage, CoveredEvent::Leader, count);
    for event in [
        CoveredEvent::Conflict,
        CoveredEvent::FailedWrite,
        CoveredEvent::InstalledSnapshot,
        CoveredEvent::Restart,
    ] {
        assert_covered(&coverage, event, count / 10);
    }
    coverage
}

fn add(total: &mut Coverage, coverage: Coverage) {
    coverage.into_iter().for_each(|(event, count)| *total.entry(event).or_default() += count);
}

/// Asserts that the schedules have exercised the event often enough. Skipped for runs of fewer than
/// 100 schedules, which need not cover every event.
fn assert_covered(coverage: &Coverage, event: CoveredEvent, at_least: u64) {
    let count = coverage.get(&event).copied().unwrap_or(0);
    let is_short_run = setting("GW_SCHEDULES", DEFAULT_SCHEDULES) < 100;
    assert!(is_short_run || count >= at_least, "{event:?} in {coverage:?}");
}

/// Guards against violations of the invariants after a lost majority, a split vote or a lost entry
/// in the smallest group.
#[test]
fn three_replicas_keep_the_invariants() {
    check_group(Group { voters: 3, spares: 0, fault: None, overlaps_syncs: false });
}

/// Guards against violations of the invariants that require two replicas to fail at the same time.
#[test]
fn five_replicas_keep_the_invariants() {
    check_group(Group { voters: 5, spares: 0, fault: None, overlaps_syncs: false });
}

/// Guards against majorities that do not intersect while members are added and removed.
#[test]
fn changing_members_keep_the_invariants() {
    let coverage = check_group(Group { voters: 3, spares: 2, fault: None, overlaps_syncs: false });
    let schedules = setting("GW_SCHEDULES", DEFAULT_SCHEDULES);
    assert_covered(&coverage, CoveredEvent::MembershipApplied, schedules);
}

/// Guards against votes, acknowledgements and applied entries that rely on batches that wait for a
/// disk, in replicas that go on meanwhile.
#[test]
fn replicas_that_go_on_while_disks_hang_keep_the_invariants() {
    for (voters, spares) in [(3, 0), (5, 0), (3, 2)] {
        check_group(Group { voters, spares, fault: None, overlaps_syncs: true });
    }
}

/// Guards against invariant checks that do not detect a faulty replica.
#[test]
fn injected_faults_are_detected() {
    let faults = [
        InjectedFault::AcknowledgeBeforeSync,
        InjectedFault::VoteTwice,
        InjectedFault::CommitEarlierTerm,
        InjectedFault::IgnoreLogInVote,
        InjectedFault::IgnoreLiveLeader,
    ];
    for (fault, overlaps_syncs) in faults.into_iter().flat_map(|f| [(f, false), (f, true)]) {
        let group = Group { voters: 3, spares: 0, fault: Some(fault), overlaps_syncs };
        let found = (0..MAX_FAULT_SCHEDULES).find_map(|seed| match run_schedule(group, seed) {
            Err(Violation::Safety(message)) => Some((seed, message)),
            _ => None,
        });
        let (seed, message) = found.unwrap_or_else(|| panic!("{fault:?} is not found"));
        println!("{fault:?} is found by seed {seed}: {message}");
        let without = run_schedule(Group { fault: None, ..group }, seed);
        assert!(without.is_ok(), "seed {seed} fails without {fault:?} too: {without:?}");
    }
}
