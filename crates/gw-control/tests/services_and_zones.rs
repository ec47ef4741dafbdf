//! Service definitions, zone grants, delegations and zone tables.

mod support;

use std::collections::BTreeMap;

use gw_control::ControlCommand;
use gw_control::ControlOutcome;
use gw_control::ControlState;
use gw_control::DefinitionField;
use gw_control::DelegateOutcome;
use gw_control::DelegateRefusal;
use gw_control::GrantOutcome;
use gw_control::ServiceOutcome;
use gw_control::ServiceWarning;
use gw_control::TableOutcome;
use gw_control::TableRefusal;
use gw_control::TableRule;
use gw_control::ZoneRange;
use gw_types::BootId;
use gw_types::KeySource;
use gw_types::SlotIndex;
use gw_types::TableVersion;
use gw_types::TargetState;
use gw_types::TermNumber;
use gw_types::ZoneName;
use gw_types::ZoneTable;
use quickcheck::QuickCheck;
use support::Log;
use support::RandomCommand;
use support::change;
use support::definition;
use support::delegate;
use support::generator;
use support::grant;
use support::range;
use support::register;
use support::store;
use support::table;
use support::target;

fn registered(changed: bool) -> ControlOutcome {
    ControlOutcome::Service(ServiceOutcome::Registered { changed, warnings: Vec::new() })
}

fn differs(fields: Vec<DefinitionField>, waiting_for: u32) -> ControlOutcome {
    ControlOutcome::Service(ServiceOutcome::Differs { fields, waiting_for })
}

fn agree(prefix: &str, targets: &[(&str, u64)]) -> ControlCommand {
    let targets = targets.iter().map(|(name, boot)| (name.parse().unwrap(), BootId(*boot)));
    let definition = definition("s", prefix, "default");
    ControlCommand::AnnounceDefinition { definition, targets: targets.collect() }
}

/// A log with service `s` on `/x`, target `t1` in zone `spinneri` and target `t2` in zone `vaveri`.
fn log_with_targets() -> Log {
    let mut log = Log::default();
    log.apply(register(definition("s", "/x", "default")));
    log.apply(grant("spinneri", 1));
    log.apply(grant("vaveri", 2));
    let t1 = target("t1", "s", TargetState::Serving);
    log.apply(store(table("spinneri", 1, 1, vec![t1])));
    let t2 = target("t2", "s", TargetState::Draining);
    log.apply(store(table("vaveri", 2, 1, vec![t2])));
    log
}

struct ServiceCase {
    name: &'static str,
    commands: Vec<ControlCommand>,
    last: ControlOutcome,
}

/// Guards against a route that changes before all live targets have announced the change, and
/// against a definition that can never change.
#[test]
fn definitions_change_only_with_all_targets() {
    let other_key = || {
        let key = Some(KeySource::Header("slip".to_owned()));
        gw_types::ServiceDefinition { key, ..definition("s", "/x", "default") }
    };
    let lost = |zone: &str, term, name: &str| {
        store(table(zone, term, 2, vec![target(name, "s", TargetState::Lost)]))
    };
    let cases = [
        ServiceCase {
            name: "the same definition again",
            commands: vec![register(definition("s", "/x", "default"))],
            last: registered(false),
        },
        ServiceCase {
            name: "another route and profile",
            commands: vec![register(definition("s", "/y", "ullvav"))],
            last: differs(vec![DefinitionField::Route, DefinitionField::Profile], 2),
        },
        ServiceCase {
            name: "one of two targets announces it",
            commands: vec![agree("/y", &[("t1", 1)])],
            last: differs(vec![DefinitionField::Route], 1),
        },
        ServiceCase {
            name: "both targets announce it, in two commands",
            commands: vec![agree("/y", &[("t1", 1)]), agree("/y", &[("t2", 1)])],
            last: registered(true),
        },
        ServiceCase {
            name: "a run that no table lists does not count",
            commands: vec![agree("/y", &[("t1", 1)]), agree("/y", &[("t2", 9)])],
            last: differs(vec![DefinitionField::Route], 1),
        },
        ServiceCase {
            name: "announcements of different definitions do not add up",
            commands: vec![agree("/y", &[("t1", 1)]), agree("/z", &[("t2", 1)])],
            last: differs(vec![DefinitionField::Route], 1),
        },
        ServiceCase {
            name: "one zone's targets are lost",
            commands: vec![lost("spinneri", 1, "t1"), register(definition("s", "/y", "default"))],
            last: differs(vec![DefinitionField::Route], 1),
        },
        ServiceCase {
            name: "all targets are lost",
            commands: vec![
                lost("spinneri", 1, "t1"),
                lost("vaveri", 2, "t2"),
                register(definition("s", "/y", "default")),
            ],
            last: registered(true),
        },
        ServiceCase {
            name: "another key even if all targets announce it",
            commands: vec![ControlCommand::AnnounceDefinition {
                definition: other_key(),
                targets: ["t1", "t2"].map(|name| (name.parse().unwrap(), BootId(1))).into(),
            }],
            last: differs(vec![DefinitionField::Key], 2),
        },
    ];
    for case in cases {
        let mut log = log_with_targets();
        let outcomes: Vec<_> =
            case.commands.into_iter().map(|command| log.apply(command)).collect();
        assert_eq!(outcomes.last(), Some(&case.last), "{}", case.name);
    }
}

/// Guards against a service that is refused because its profile does not exist, or that gets
/// another profile without a warning.
#[test]
fn missing_profiles_fall_back_with_a_warning() {
    let mut log = Log::default();
    let outcome = log.apply(register(definition("s", "/x", "absent")));
    let (named, used) = ("absent".parse().unwrap(), "default".parse().unwrap());
    let warnings = vec![ServiceWarning::NoSuchProfile { named, used }];
    let expected = ServiceOutcome::Registered { changed: true, warnings };
    assert_eq!(outcome, ControlOutcome::Service(expected));
    assert_eq!(log.state.view().service_profile("s").unwrap().profile.name.as_str(), "default");
    assert_eq!(log.apply(register(definition("t", "/t", "ullvav"))), registered(true));
    assert_eq!(log.state.view().service_profile("t").unwrap().profile.name.as_str(), "ullvav");
    log.apply(change("absent", 0, "c", "anna", 9));
    assert_eq!(log.state.view().service_profile("s").unwrap().profile.refuse.queue_limit, 9);
}

struct CoverageCase {
    ranges: Vec<ZoneRange>,
    slot: Option<u16>,
}

/// Guards against slots that are delegated to no zone or to two zones.
#[test]
fn delegations_cover_every_slot_once() {
    let cases = [
        CoverageCase { ranges: vec![range(0, 16_383, "a")], slot: None },
        CoverageCase { ranges: vec![range(0, 0, "a"), range(1, 16_383, "b")], slot: None },
        CoverageCase { ranges: vec![], slot: Some(0) },
        CoverageCase { ranges: vec![range(1, 16_383, "a")], slot: Some(0) },
        CoverageCase { ranges: vec![range(0, 16_382, "a")], slot: Some(16_383) },
        CoverageCase { ranges: vec![range(0, 16_384, "a")], slot: Some(0) },
        CoverageCase { ranges: vec![range(0, 99, "a"), range(101, 16_383, "b")], slot: Some(100) },
        CoverageCase { ranges: vec![range(0, 100, "a"), range(100, 16_383, "b")], slot: Some(100) },
        CoverageCase { ranges: vec![range(9, 5, "a"), range(6, 16_383, "b")], slot: Some(0) },
    ];
    for case in cases {
        let mut log = Log::default();
        log.apply(register(definition("s", "/x", "default")));
        let outcome = log.apply(delegate("s", 0, case.ranges.clone()));
        let expected = case.slot.map(|slot| DelegateRefusal::NotCovered { slot });
        let refusal = match outcome {
            ControlOutcome::Delegation(DelegateOutcome::Refused(refusal)) => Some(refusal),
            _ => None,
        };
        assert_eq!(refusal, expected, "{:?}", case.ranges);
    }
}

/// Guards against a delayed delegation that undoes a later one, and against a new term for slots
/// that stay in their zone.
#[test]
fn delegations_allocate_a_term_for_moved_slots_only() {
    let mut log = Log::default();
    log.apply(register(definition("s", "/x", "default")));
    log.apply(grant("a", 1));
    let mut apply = |base, ranges| match log.apply(delegate("s", base, ranges)) {
        ControlOutcome::Delegation(outcome) => outcome,
        other => panic!("{other:?}"),
    };
    let half = || vec![range(0, 8_191, "a"), range(8_192, 16_383, "b")];
    let term = TermNumber(2);
    assert_eq!(apply(0, half()), DelegateOutcome::Delegated { term, moved: 16_384 });
    assert_eq!(apply(0, half()), DelegateOutcome::Unchanged { term });
    let more = || vec![range(0, 9_999, "a"), range(10_000, 16_383, "b")];
    let term = TermNumber(3);
    assert_eq!(apply(2, more()), DelegateOutcome::Delegated { term, moved: 1_808 });
    let stale = DelegateRefusal::StaleBase { current: term };
    assert_eq!(apply(2, half()), DelegateOutcome::Refused(stale));
    let delegation = log.state.view().delegation("s").unwrap();
    let terms = [0, 8_191, 8_192, 9_999, 10_000].map(|slot| {
        let range = delegation.range(SlotIndex(slot)).unwrap();
        (range.zone.as_str(), range.term.0)
    });
    assert_eq!(terms, [("a", 2), ("a", 2), ("a", 3), ("a", 3), ("b", 2)]);
}

/// Guards against a term that is used for two zones or for two grants of one zone.
#[test]
fn every_grant_allocates_a_new_term() {
    let mut log = Log::default();
    for (zone, expected) in [("a", 1), ("b", 2), ("a", 3), ("a", 4)] {
        let term = TermNumber(expected);
        assert_eq!(
            log.apply(grant(zone, 1)),
            ControlOutcome::Grant(GrantOutcome::Granted { term })
        );
    }
    assert_eq!(log.state.view().grant("a").unwrap().term, TermNumber(4));
}

/// Guards against storing a table of a replaced zone leader, a table older than the stored one, or
/// a table that is not sorted, which would break the binary searches of its readers.
#[test]
fn zone_table_versions_only_grow() {
    let version = |term, number| TableVersion { term: TermNumber(term), number };
    let stored = |term, number| TableOutcome::Stored { version: version(term, number) };
    let refused = TableOutcome::Refused;
    let t = |name: &str| target(name, "s", TargetState::Serving);
    let mut log = Log::default();
    let mut apply = |command| match log.apply(command) {
        ControlOutcome::Table(outcome) => Some(outcome),
        _ => None,
    };
    assert_eq!(apply(store(table("a", 1, 1, vec![]))), Some(refused(TableRefusal::NotGranted)));
    apply(grant("a", 1));
    let steps = [
        (table("a", 1, 2, vec![t("x")]), stored(1, 2)),
        (table("a", 1, 2, vec![t("x")]), stored(1, 2)),
        (table("a", 1, 2, vec![t("y")]), refused(TableRefusal::OldVersion { held: version(1, 2) })),
        (table("a", 1, 1, vec![]), refused(TableRefusal::OldVersion { held: version(1, 2) })),
        (table("a", 2, 1, vec![]), refused(TableRefusal::NotGranted)),
        (
            table("a", 1, 3, vec![t("y"), t("x")]),
            refused(TableRefusal::Malformed(TableRule::TargetsSorted)),
        ),
    ];
    for (table, expected) in steps {
        assert_eq!(apply(store(table.clone())), Some(expected), "{table:?}");
    }
    apply(grant("a", 2));
    let old = refused(TableRefusal::OldTerm { granted: TermNumber(2) });
    assert_eq!(apply(store(table("a", 1, 9, vec![]))), Some(old));
    assert_eq!(apply(store(table("a", 2, 1, vec![]))), Some(stored(2, 1)));
}

/// Whether stored tables are only replaced by tables of a larger version and of the term granted at
/// that time. If `checks_versions` is false, simulates a state that stores every table.
fn versions_only_grow(steps: &[RandomCommand], checks_versions: bool) -> bool {
    let mut state = ControlState::new();
    let mut held: BTreeMap<ZoneName, ZoneTable> = BTreeMap::new();
    steps.iter().zip(1..).all(|(step, index)| {
        state.apply(index, &step.0);
        let before = held.clone();
        match &step.0 {
            ControlCommand::StoreZoneTable(table) if !checks_versions => {
                held.insert(table.zone.clone(), table.clone());
            }
            _ if checks_versions => {
                let tables = state.view().zone_tables();
                held = tables.map(|table| (table.zone.clone(), (**table).clone())).collect();
            }
            _ => {}
        }
        let is_kept = before.keys().all(|zone| held.contains_key(zone));
        is_kept
            && held.iter().filter(|(zone, after)| before.get(*zone) != Some(*after)).all(
                |(zone, after)| {
                    let granted = state.view().grant(zone.as_str()).map(|grant| grant.term);
                    let is_larger =
                        before.get(zone).is_none_or(|before| before.version < after.version);
                    is_larger && granted == Some(after.version.term)
                },
            )
    })
}

/// Guards against acknowledged assignments that are undone by an older table. Also shows that the
/// check detects a state that stores older tables.
#[test]
fn older_tables_are_refused_and_their_acceptance_is_caught() {
    fn holds(steps: Vec<RandomCommand>) -> bool {
        versions_only_grow(&steps, true)
    }
    fn broken_holds(steps: Vec<RandomCommand>) -> bool {
        versions_only_grow(&steps, false)
    }
    let check = || QuickCheck::new().rng(generator(11)).tests(300);
    check().quickcheck(holds as fn(Vec<RandomCommand>) -> bool);
    assert!(check().quicktest(broken_holds as fn(Vec<RandomCommand>) -> bool).is_err());
}
