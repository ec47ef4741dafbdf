//! Compare-and-set, resends, conflicts and limits of profile changes.

mod support;

use std::collections::BTreeMap;

use gw_control::CHANGE_CACHE_LIMIT;
use gw_control::ControlCommand;
use gw_control::ControlOutcome;
use gw_control::ControlState;
use gw_control::HISTORY_LIMIT;
use gw_control::OperatorName;
use gw_control::ProfileOutcome;
use gw_control::ProfileRefusal;
use gw_control::WallTime;
use gw_profile::Revision;
use quickcheck::QuickCheck;
use support::Log;
use support::RandomCommand;
use support::change;
use support::generator;

fn accepted(revision: u64) -> ControlOutcome {
    ControlOutcome::Profile(ProfileOutcome::Accepted { revision: Revision(revision) })
}

fn conflict(winner: u64, operator: &str, at: u64) -> ControlOutcome {
    ControlOutcome::Profile(ProfileOutcome::Conflict {
        winner: Revision(winner),
        operator: OperatorName::new(operator).unwrap(),
        at: WallTime(at),
    })
}

fn refused(refusal: ProfileRefusal) -> ControlOutcome {
    ControlOutcome::Profile(ProfileOutcome::Refused(refusal))
}

struct ChangeCase {
    name: &'static str,
    commands: Vec<ControlCommand>,
    last: ControlOutcome,
}

/// Guards against two changes with the same base that are both accepted, against a resend that is
/// applied twice or gets another outcome than the first change, and against a conflict that does
/// not name the latest revision.
#[test]
fn changes_get_the_outcome_of_compare_and_set() {
    let first = || change("p", 0, "c1", "anna", 10);
    let cases = [
        ChangeCase { name: "new profile", commands: vec![first()], last: accepted(1) },
        ChangeCase {
            name: "next revision",
            commands: vec![first(), change("p", 1, "c2", "bo", 20)],
            last: accepted(2),
        },
        ChangeCase {
            name: "two operators race",
            commands: vec![first(), change("p", 0, "c2", "bo", 20)],
            last: conflict(1, "anna", 10),
        },
        ChangeCase {
            name: "two operators race with the same id and base",
            commands: vec![first(), change("p", 0, "c1", "bo", 20)],
            last: refused(ProfileRefusal::ChangeIdTaken),
        },
        ChangeCase {
            name: "resend after a later revision",
            commands: vec![first(), change("p", 1, "c2", "bo", 20), first()],
            last: accepted(1),
        },
        ChangeCase {
            name: "resend of the loser gets the winner of its time",
            commands: vec![
                first(),
                change("p", 0, "c2", "bo", 20),
                change("p", 1, "c3", "anna", 30),
                change("p", 0, "c2", "bo", 20),
            ],
            last: conflict(1, "anna", 10),
        },
        ChangeCase {
            name: "base ahead of the profile",
            commands: vec![first(), change("p", 7, "c2", "bo", 20)],
            last: conflict(1, "anna", 10),
        },
        ChangeCase {
            name: "base of a profile that does not exist",
            commands: vec![change("p", 3, "c1", "anna", 10)],
            last: refused(ProfileRefusal::NoSuchProfile),
        },
        ChangeCase {
            name: "value out of range",
            commands: vec![change("p", 0, "c1", "anna", 0)],
            last: refused(ProfileRefusal::Invalid {
                field: "refuse.queue_limit".to_owned(),
                value: "0".to_owned(),
                allowed: "a whole number from 1 to 10000".to_owned(),
            }),
        },
    ];
    for case in cases {
        let mut log = Log::default();
        let outcomes: Vec<_> =
            case.commands.into_iter().map(|command| log.apply(command)).collect();
        assert_eq!(outcomes.last(), Some(&case.last), "{}", case.name);
    }
}

/// Guards against a resend that is not recognized although its outcome should still be cached, and
/// against one that is applied a second time after its outcome has left the cache.
#[test]
fn resends_are_remembered_up_to_the_bound_and_never_applied_twice() {
    let mut log = Log::default();
    log.apply(change("busy", 0, "first", "anna", 1));
    log.apply(change("quiet", 0, "kept-by-history", "anna", 1));
    log.apply(change("busy", 0, "loser", "bo", 2));
    for number in 1..CHANGE_CACHE_LIMIT as u64 {
        let command = change("busy", number, &format!("n-{number}"), "anna", 1);
        assert_eq!(log.apply(command), accepted(number + 1));
    }
    // `CHANGE_CACHE_LIMIT` outcomes are newer than "kept-by-history", which is only found in the
    // revisions of its profile. "loser" is the oldest outcome in the cache.
    assert_eq!(log.apply(change("busy", 0, "loser", "bo", 2)), conflict(1, "anna", 1));
    assert_eq!(log.apply(change("quiet", 0, "kept-by-history", "anna", 1)), accepted(1));
    let latest = CHANGE_CACHE_LIMIT as u64;
    assert_eq!(log.apply(change("busy", 0, "first", "anna", 1)), conflict(latest, "anna", 1));
    let view = log.state.view();
    assert_eq!(view.profile("busy").unwrap().revision, Revision(latest));
    assert_eq!(view.history("busy").count(), HISTORY_LIMIT);
}

/// Applies `command`. If `compares` is false, replaces the base of its change with the latest
/// revision first, which simulates a state that does not compare revisions.
fn apply(
    state: &mut ControlState,
    index: u64,
    command: &ControlCommand,
    compares: bool,
) -> ControlOutcome {
    let mut command = command.clone();
    if let ControlCommand::ApplyProfile(change) = &mut command
        && !compares
    {
        change.base = revision(state, change.profile.name.as_str());
    }
    state.apply(index, &command)
}

fn revision(state: &ControlState, name: &str) -> Revision {
    state.view().profile(name).map_or(Revision::NONE, |latest| latest.revision)
}

/// Whether each accepted change had the latest revision as its base, each id was accepted at most
/// once, and no revision decreased.
fn is_compare_and_set(steps: &[RandomCommand], compares: bool) -> bool {
    let mut state = ControlState::new();
    let mut ids = BTreeMap::new();
    steps.iter().zip(1..).all(|(step, index)| {
        let ControlCommand::ApplyProfile(change) = &step.0 else { return true };
        let name = change.profile.name.as_str();
        let before = revision(&state, name);
        let outcome = apply(&mut state, index, &step.0, compares);
        let after = revision(&state, name);
        let ControlOutcome::Profile(outcome) = outcome else { return false };
        if let Some(known) = ids.get(&change.change_id) {
            let is_taken = outcome == ProfileOutcome::Refused(ProfileRefusal::ChangeIdTaken);
            return before == after && (is_taken || outcome == *known);
        }
        ids.insert(change.change_id.clone(), outcome.clone());
        match outcome {
            ProfileOutcome::Accepted { revision } => {
                change.base == before && after == before.next() && revision == after
            }
            _ => before == after,
        }
    })
}

/// Guards against lost updates in any order of changes and resends. Also shows that the check
/// detects a state that does not compare revisions.
#[test]
fn compare_and_set_holds_and_its_absence_is_caught() {
    fn holds(steps: Vec<RandomCommand>) -> bool {
        is_compare_and_set(&steps, true)
    }
    fn broken_holds(steps: Vec<RandomCommand>) -> bool {
        is_compare_and_set(&steps, false)
    }
    let check = || QuickCheck::new().rng(generator(7)).tests(300);
    check().quickcheck(holds as fn(Vec<RandomCommand>) -> bool);
    assert!(check().quicktest(broken_holds as fn(Vec<RandomCommand>) -> bool).is_err());
}
