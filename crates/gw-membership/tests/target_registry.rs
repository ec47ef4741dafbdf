//! The registry's states, its damping, and its rebuild by a new zone leader.

mod support;

use std::time::Duration;

use gw_membership::LossCause;
use gw_membership::RegistryError;
use gw_membership::RegistryOptions;
use gw_membership::RelayBatch;
use gw_membership::RelayEvent;
use gw_membership::TargetAnnouncement;
use gw_membership::TargetChange;
use gw_membership::TargetRegistry;
use gw_membership::TroubleKind;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::TargetState;
use gw_types::Timestamp;
use gw_types::ZoneTable;
use support::announcement;
use support::batch;
use support::ms;
use support::report;
use support::traffic;

const DISPATCHER: HostId = HostId(1);

fn registry() -> TargetRegistry {
    TargetRegistry::new("spinneri".parse().unwrap(), RegistryOptions::default())
}

/// A registry with target `t`, run 1, joined at time zero and dispatched by [`DISPATCHER`].
fn registry_with_target() -> TargetRegistry {
    let mut registry = registry();
    registry.announce(ms(0), ms(0), &announcement("t", 1, 1)).unwrap();
    registry.set_dispatcher("t", Some(DISPATCHER));
    registry.take_changes();
    registry
}

fn state(registry: &TargetRegistry) -> TargetState {
    registry.target("t").unwrap().state
}

fn lost(boot: u64, cause: LossCause) -> TargetChange {
    TargetChange::Lost { target: "t".parse().unwrap(), boot: BootId(boot), cause }
}

/// Renews until `end` every 500 ms with numbers from `sequence` on; returns the next number.
fn renew(registry: &mut TargetRegistry, from: u64, end: u64, mut sequence: u64) -> u64 {
    for now in (from..end).step_by(500) {
        registry.tick(ms(now));
        let result = registry.renew(ms(now), ms(now), "t", BootId(1), sequence);
        result.unwrap();
        sequence += 1;
    }
    sequence
}

/// Guards against a target that is lost too early or too late, and against a slow start that never
/// ends.
#[test]
fn targets_start_serve_and_expire() {
    let mut registry = registry();
    registry.announce(ms(0), ms(0), &announcement("t", 1, 1)).unwrap();
    let joined = registry.take_changes();
    assert!(matches!(&joined[..], [TargetChange::Joined { entry }] if entry.boot == BootId(1)));
    assert_eq!(state(&registry), TargetState::Starting);
    renew(&mut registry, 500, 5_500, 2);
    assert_eq!(state(&registry), TargetState::Serving);
    assert!(matches!(&registry.take_changes()[..], [TargetChange::Changed { .. }]));
    assert_eq!(registry.next_wakeup(), Some(ms(6_500)));
    registry.tick(ms(6_499));
    assert!(registry.take_changes().is_empty());
    registry.tick(ms(6_500));
    assert_eq!(registry.take_changes(), [lost(1, LossCause::Expired)]);
}

/// Guards against a delayed relay that keeps a dead target alive, and against traffic that does not
/// count.
#[test]
fn liveness_counts_from_when_the_target_was_heard() {
    let mut registry = registry_with_target();
    registry.renew(ms(1_400), ms(600), "t", BootId(1), 2).unwrap();
    let late = registry.renew(ms(2_090), ms(590), "t", BootId(1), 3);
    assert_eq!(late, Err(RegistryError::TooLate));
    let errors = registry.apply_batch(ms(2_000), DISPATCHER, &traffic(1, 1, Some(200), 0));
    assert_eq!(errors, []);
    registry.tick(ms(3_299));
    assert_eq!(registry.take_changes(), []);
    registry.tick(ms(3_300));
    assert_eq!(registry.take_changes(), [lost(1, LossCause::Expired)]);
}

/// Guards against old, foreign and overtaken announcements that change a registration.
#[test]
fn old_and_foreign_announcements_change_nothing() {
    let other_zone =
        TargetAnnouncement { zone: "vaveri".parse().unwrap(), ..announcement("t", 9, 9) };
    let other_service =
        TargetAnnouncement { service: "abonnent".parse().unwrap(), ..announcement("t", 9, 9) };
    let zone = "vaveri".parse().unwrap();
    let registered = "matarlas".parse().unwrap();
    let cases = [
        (other_zone, RegistryError::OtherZone { zone }),
        (other_service, RegistryError::OtherService { registered }),
        (announcement("t", 4, 99), RegistryError::OldRun { known: BootId(5) }),
        (announcement("t", 5, 6), RegistryError::OldSequence { known: 7 }),
    ];
    let mut registry = registry();
    registry.announce(ms(0), ms(0), &announcement("t", 5, 7)).unwrap();
    registry.take_changes();
    let before = registry.target("t").cloned();
    for (announcement, error) in cases {
        let result = registry.announce(ms(1_000), ms(1_000), &announcement);
        assert_eq!(result, Err(error));
        assert_eq!(registry.take_changes(), []);
        assert_eq!(registry.target("t").cloned(), before);
    }
    registry.tick(ms(1_500));
    assert_eq!(registry.take_changes(), [lost(5, LossCause::Expired)]);
}

/// Guards against grants of an earlier run that outlive it, and against two registrations of one
/// target that announces through two hosts.
#[test]
fn a_new_run_replaces_the_earlier_one_at_once() {
    let mut registry = registry_with_target();
    registry.announce(ms(100), ms(100), &announcement("t", 2, 1)).unwrap();
    registry.announce(ms(110), ms(100), &announcement("t", 2, 1)).unwrap();
    let changes = registry.take_changes();
    let [TargetChange::Restarted { entry, previous }] = &changes[..] else { panic!("{changes:?}") };
    assert_eq!((entry.boot, *previous), (BootId(2), BootId(1)));
    assert_eq!(registry.entries().count(), 1);
}

/// Guards against a health endpoint that lags or lies and moves slots by itself, and against one
/// failure that does.
#[test]
fn only_failures_in_a_row_from_the_dispatcher_lose_a_target() {
    let unhealthy =
        RelayEvent::Health { target: "t".parse().unwrap(), boot: BootId(1), is_healthy: false };
    struct Case {
        name: &'static str,
        batches: Vec<(HostId, RelayBatch)>,
        is_lost: bool,
    }
    let by = |sequence, failures| (DISPATCHER, traffic(sequence, 1, None, failures));
    let sick = || (DISPATCHER, batch(1, vec![(0, unhealthy.clone())]));
    let cases = [
        Case { name: "endpoint alone", batches: vec![sick(), sick(), sick()], is_lost: false },
        Case { name: "four failures", batches: vec![by(1, 4)], is_lost: false },
        Case { name: "five failures", batches: vec![by(1, 4), by(2, 5)], is_lost: true },
        Case { name: "an answer between", batches: vec![by(1, 4), by(2, 1)], is_lost: false },
        Case { name: "endpoint and three", batches: vec![sick(), by(2, 3)], is_lost: true },
        Case { name: "endpoint and two", batches: vec![sick(), by(2, 2)], is_lost: false },
        Case {
            name: "another host",
            batches: vec![(HostId(2), traffic(1, 1, None, 50))],
            is_lost: false,
        },
        Case {
            name: "an earlier run",
            batches: vec![(DISPATCHER, traffic(1, 0, None, 50))],
            is_lost: false,
        },
        Case { name: "overtaken summary", batches: vec![by(2, 0), by(1, 9)], is_lost: false },
    ];
    for case in cases {
        let mut registry = registry_with_target();
        for (from, batch) in case.batches {
            registry.apply_batch(ms(100), from, &batch);
        }
        let expected = if case.is_lost { vec![lost(1, LossCause::Failures)] } else { Vec::new() };
        assert_eq!(registry.take_changes(), expected, "{}", case.name);
    }
}

/// Guards against reports that are ignored, or acted upon once for each copy.
#[test]
fn reports_act_once() {
    let cases = [
        (TroubleKind::Overloaded, TargetState::Starting),
        (TroubleKind::Failing, TargetState::Lost),
        (TroubleKind::Draining, TargetState::Draining),
        (TroubleKind::Leaving, TargetState::Draining),
    ];
    for (trouble, expected) in cases {
        let mut registry = registry_with_target();
        for now in [100, 110, 120] {
            registry.report(ms(now), ms(90), &report("t", 1, trouble)).unwrap();
        }
        assert_eq!(state(&registry), expected, "{trouble:?}");
        assert_eq!(registry.take_changes().len(), 1, "{trouble:?}");
        let old = registry.report(ms(130), ms(130), &report("t", 0, trouble));
        assert_eq!(old, Err(RegistryError::OldRun { known: BootId(1) }));
    }
}

/// Guards against a draining run that is given work again, by renewals or after it was lost.
#[test]
fn a_run_that_drains_never_serves_again() {
    let mut registry = registry_with_target();
    registry.report(ms(100), ms(100), &report("t", 1, TroubleKind::Leaving)).unwrap();
    let sequence = renew(&mut registry, 500, 8_000, 2);
    assert_eq!(state(&registry), TargetState::Draining);
    registry.tick(ms(20_000));
    assert_eq!(state(&registry), TargetState::Lost);
    renew(&mut registry, 20_000, 22_000, sequence);
    assert_eq!(state(&registry), TargetState::Lost);
    registry.announce(ms(22_000), ms(22_000), &announcement("t", 2, 1)).unwrap();
    assert_eq!(state(&registry), TargetState::Starting);
}

/// Guards against overload that is never over.
#[test]
fn overload_ends_by_itself() {
    let mut registry = registry_with_target();
    registry.report(ms(100), ms(100), &report("t", 1, TroubleKind::Overloaded)).unwrap();
    renew(&mut registry, 500, 3_000, 2);
    let flags: Vec<_> = registry
        .take_changes()
        .into_iter()
        .filter_map(|change| match change {
            TargetChange::Overloaded { is_overloaded, .. } => Some(is_overloaded),
            _ => None,
        })
        .collect();
    assert_eq!(flags, [true, false]);
}

/// Guards against a target that flaps and moves its slots each time: the waits grow, up to a bound,
/// and a quiet minute ends them.
#[test]
fn a_flapping_target_waits_longer_each_time() {
    let mut registry = registry_with_target();
    let mut now = 0;
    let mut sequence = 2;
    let mut waits = Vec::new();
    for _ in 0..8 {
        now += 1_500;
        registry.tick(ms(now));
        assert_eq!(state(&registry), TargetState::Lost);
        let lost_at = now;
        while state(&registry) == TargetState::Lost {
            registry.renew(ms(now), ms(now), "t", BootId(1), sequence).unwrap();
            sequence += 1;
            now += 500;
        }
        now -= 500;
        waits.push((now - lost_at) / 1_000);
    }
    // Losses leave the window of a minute while the target waits, so the wait stops growing.
    assert_eq!(waits[..6], [0, 1, 2, 4, 8, 16]);
    assert!(waits[6..].iter().all(|wait| *wait <= 32), "{waits:?}");
    let sequence = renew(&mut registry, now, now + 61_000, sequence);
    registry.take_changes();
    let now = now + 63_000;
    registry.tick(ms(now));
    assert_eq!(state(&registry), TargetState::Lost);
    renew(&mut registry, now, now + 1, sequence);
    assert_eq!(state(&registry), TargetState::Starting);
}

/// Guards against a late copy of the report that lost a target and loses it again on its return.
#[test]
fn a_copy_of_a_report_does_not_lose_a_target_twice() {
    let mut registry = registry_with_target();
    let failing = report("t", 1, TroubleKind::Failing);
    registry.report(ms(100), ms(90), &failing).unwrap();
    renew(&mut registry, 600, 1_101, 2);
    assert_eq!(state(&registry), TargetState::Starting);
    registry.report(ms(1_200), ms(90), &failing).unwrap();
    assert_eq!(state(&registry), TargetState::Starting);
    registry.report(ms(1_200), ms(1_190), &failing).unwrap();
    assert_eq!(state(&registry), TargetState::Lost);
}

/// Guards against a target that fails its requests and is back after one renewal.
#[test]
fn a_failing_target_waits_from_the_first_time() {
    let mut registry = registry_with_target();
    registry.apply_batch(ms(100), DISPATCHER, &traffic(1, 1, None, 5));
    let sequence = renew(&mut registry, 500, 1_001, 2);
    assert_eq!(state(&registry), TargetState::Lost);
    renew(&mut registry, 1_100, 1_101, sequence);
    assert_eq!(state(&registry), TargetState::Starting);
}

fn table_of(registry: &TargetRegistry) -> ZoneTable {
    let mut table = ZoneTable::empty("spinneri".parse().unwrap());
    table.targets = registry.entries().cloned().collect();
    table
}

/// Guards against a new zone leader that loses all targets at once, keeps dead ones, or lets an
/// earlier run back in.
#[test]
fn a_new_leader_rebuilds_the_registry_with_a_grace_period() {
    let mut registry = registry_with_target();
    registry.announce(ms(0), ms(0), &announcement("u", 1, 1)).unwrap();
    registry.announce(ms(0), ms(0), &announcement("v", 3, 1)).unwrap();
    registry.report(ms(0), ms(0), &report("u", 1, TroubleKind::Draining)).unwrap();
    let start = ms(900_000);
    let options = RegistryOptions::default();
    let mut rebuilt = TargetRegistry::rebuild(&table_of(&registry), start, options);
    assert_eq!(rebuilt.take_changes(), []);
    assert_eq!(table_of(&rebuilt), table_of(&registry));
    let at = |millis| start + Duration::from_millis(millis);
    let renew = |rebuilt: &mut TargetRegistry, now: Timestamp, target: &str| {
        rebuilt.renew(now, now, target, BootId(1), 40).unwrap();
    };
    renew(&mut rebuilt, at(1_000), "t");
    renew(&mut rebuilt, at(1_000), "u");
    let old = rebuilt.announce(at(1_000), at(1_000), &announcement("v", 2, 99));
    assert_eq!(old, Err(RegistryError::OldRun { known: BootId(3) }));
    rebuilt.tick(at(1_499));
    assert_eq!(rebuilt.take_changes(), []);
    rebuilt.tick(at(1_500));
    let states: Vec<_> = rebuilt.entries().map(|entry| entry.state).collect();
    assert_eq!(states, [TargetState::Starting, TargetState::Draining, TargetState::Lost]);
}

/// Guards against memory that grows with names of targets that never come back.
#[test]
fn the_registry_is_bounded_and_forgets_lost_targets() {
    let options = RegistryOptions { max_targets: 2, ..RegistryOptions::default() };
    let limit = options.max_targets;
    let mut registry = TargetRegistry::new("spinneri".parse().unwrap(), options);
    for target in ["t", "u"] {
        registry.announce(ms(0), ms(0), &announcement(target, 1, 1)).unwrap();
    }
    let full = registry.announce(ms(1), ms(1), &announcement("v", 1, 1));
    assert_eq!(full, Err(RegistryError::Full { limit }));
    registry.tick(ms(1_500));
    registry.announce(ms(1_500), ms(1_500), &announcement("v", 1, 1)).unwrap();
    assert_eq!(registry.entries().count(), 2);
    registry.tick(ms(700_000));
    registry.tick(ms(1_400_000));
    assert_eq!(registry.entries().count(), 0);
    assert_eq!(registry.next_wakeup(), None);
}
