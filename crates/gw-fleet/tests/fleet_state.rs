//! Effect of late and conflicting commands on the replicated state.

use std::sync::Arc;

use gw_fleet::DepartureCause;
use gw_fleet::FleetCommand;
use gw_fleet::FleetOutcome;
use gw_fleet::FleetState;
use gw_fleet::ReplicaRecord;
use gw_fleet::StoredConfig;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_ranges::KeyRange;
use gw_ranges::RangeCommand;
use gw_ranges::RangeTransfer;
use gw_routing::CallerLimits;
use gw_routing::ConfigPatch;
use gw_routing::ConfigVersion;
use gw_routing::RoutingConfig;
use gw_types::HostId;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::ZoneName;

fn record(name: &str, run: u64, port: u16, phase: TargetPhase) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name).expect("a valid name"),
        run,
        address: ([127, 0, 0, 1], port).into(),
        service: ServiceName::new("slips").expect("a valid name"),
        zone: ZoneName::new("a").expect("a valid name"),
        work_slots: 2,
        phase,
    }
}

fn put(name: &str, run: u64, port: u16, phase: TargetPhase) -> FleetCommand {
    FleetCommand::PutTarget(record(name, run, port, phase))
}

fn remove(name: &str, cause: DepartureCause) -> FleetCommand {
    let name = TargetName::new(name).expect("a valid name");
    FleetCommand::RemoveTarget { name, run: None, cause }
}

fn set_config(version: u64, text: &str) -> FleetCommand {
    let routing = Arc::new(RoutingConfig {
        version: ConfigVersion(version),
        limits: CallerLimits::default(),
        hosts: Vec::new(),
        services: Vec::new(),
    });
    FleetCommand::SetConfig(StoredConfig { routing, document: Arc::from(text.as_bytes()) })
}

struct TargetCase {
    name: &'static str,
    commands: Vec<FleetCommand>,
    expected: Vec<(&'static str, u64, TargetPhase)>,
}

/// Guards against late announcements that restore a target that has left or was replaced.
#[test]
fn late_announcements_have_no_effect() {
    use DepartureCause::Left;
    use DepartureCause::Silent;
    use TargetPhase::Draining;
    use TargetPhase::Serving;
    let cases = [
        TargetCase {
            name: "a run that drains never serves again",
            commands: vec![put("a", 1, 1, Draining), put("a", 1, 1, Serving)],
            expected: vec![("a", 1, Draining)],
        },
        TargetCase {
            name: "a later run serves although the earlier one drained",
            commands: vec![put("a", 1, 1, Draining), put("a", 2, 1, Serving)],
            expected: vec![("a", 2, Serving)],
        },
        TargetCase {
            name: "a late announcement of an earlier run",
            commands: vec![put("a", 2, 1, Serving), put("a", 1, 1, Serving)],
            expected: vec![("a", 2, Serving)],
        },
        TargetCase {
            name: "a late announcement after the target left",
            commands: vec![put("a", 1, 1, Serving), remove("a", Left), put("a", 1, 1, Serving)],
            expected: vec![],
        },
        TargetCase {
            name: "a silent target announces itself again",
            commands: vec![put("a", 1, 1, Serving), remove("a", Silent), put("a", 1, 1, Serving)],
            expected: vec![("a", 1, Serving)],
        },
        TargetCase {
            name: "a silent target announces its departure",
            commands: vec![
                put("a", 1, 1, Serving),
                remove("a", Silent),
                remove("a", Left),
                put("a", 1, 1, Serving),
            ],
            expected: vec![],
        },
        TargetCase {
            name: "a later target takes over the address",
            commands: vec![put("a", 1, 1, Serving), put("b", 2, 1, Serving)],
            expected: vec![("b", 2, Serving)],
        },
        TargetCase {
            name: "a late announcement of the earlier target at the address",
            commands: vec![put("b", 2, 1, Serving), put("a", 1, 1, Serving)],
            expected: vec![("b", 2, Serving)],
        },
    ];
    for case in cases {
        let mut state = FleetState::default();
        case.commands.iter().for_each(|command| {
            state.apply(command);
        });
        let found: Vec<_> = state
            .targets()
            .iter()
            .map(|target| (target.name.as_str(), target.run, target.phase))
            .collect();
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

struct ConfigCase {
    versions: &'static [u64],
    in_force: u64,
}

/// Guards against a configuration that returns to an older version, and against new content under
/// the same version.
#[test]
fn highest_version_wins_and_keeps_its_content() {
    let cases = [
        ConfigCase { versions: &[1, 3, 2], in_force: 3 },
        ConfigCase { versions: &[7], in_force: 7 },
        ConfigCase { versions: &[5, 5, 4], in_force: 5 },
    ];
    for case in cases {
        let mut state = FleetState::default();
        for (order, version) in case.versions.iter().enumerate() {
            state.apply(&set_config(*version, &format!("{version} {order}")));
        }
        let version = ConfigVersion(case.in_force);
        assert_eq!(state.config_version(), version);
        let first = case.versions.iter().position(|&version| version == case.in_force);
        let text = format!("{} {}", case.in_force, first.expect("in the list"));
        let stored = state.stored_config().expect("a configuration");
        assert_eq!(&*stored.document, text.as_bytes());
        assert_eq!(state.for_entry_hosts().stored_config().map(|c| c.document.len()), Some(0));
    }
}

/// Guards against patches that are applied to another version than they were computed for, so that
/// entry hosts and the control group have different configurations.
#[test]
fn config_patches_apply_to_one_version() {
    let routing = |version| match set_config(version, "") {
        FleetCommand::SetConfig(config) => config.routing,
        other => panic!("{other:?}"),
    };
    let patch = ConfigPatch::between(&routing(3), &routing(8));
    let mut state = FleetState::default();
    assert_eq!(state.apply(&FleetCommand::PatchConfig(patch.clone())), FleetOutcome::Superseded);
    assert_eq!(state.config(), None);
    for (held, expected) in [(2, 2), (3, 8), (8, 8)] {
        state.apply(&set_config(held, ""));
        state.apply(&FleetCommand::PatchConfig(patch.clone()));
        assert_eq!(state.config_version(), ConfigVersion(expected), "held {held}");
    }
}

/// Guards against two replicas with the same id, against a replica that gets its old id back after
/// it lost its disk, and against initial replicas that count as removed around their recording.
#[test]
fn replica_ids_are_not_reused() {
    let mut state = FleetState::default();
    let address = ([127, 0, 0, 1], 1).into();
    let record =
        |id, folder| ReplicaRecord { id: HostId(id), folder, peers: address, calls: address };
    let first = FleetCommand::SetFirstReplicas(vec![record(2, 12), record(1, 11)]);
    assert!(!state.is_removed(HostId(2)));
    assert_eq!(state.apply(&first), FleetOutcome::Applied);
    assert!(!state.is_removed(HostId(2)));
    let add = |folder| FleetCommand::AddReplica { folder, peers: address, calls: address };
    assert_eq!(state.apply(&add(20)), FleetOutcome::Replica(HostId(3)));
    assert_eq!(state.apply(&add(20)), FleetOutcome::Replica(HostId(3)));
    state.apply(&FleetCommand::RemoveReplica { id: HostId(3) });
    assert!(state.is_removed(HostId(3)));
    assert_eq!(state.apply(&add(30)), FleetOutcome::Replica(HostId(4)));
    assert_eq!(state.apply(&first), FleetOutcome::Superseded);
    assert_eq!(state.replicas().len(), 3);
}

/// Guards against a stale plan that takes keys from their current holder, and against reused
/// tokens.
#[test]
fn transfers_require_the_current_fencing_token() {
    let mut state = FleetState::default();
    let service = ServiceName::new("slips").expect("a valid name");
    let to = |name: &str| record(name, 1, 1, TargetPhase::Serving).holder();
    let mut assign = |range, name: &str, fence| {
        let moves = vec![RangeTransfer { range, to: to(name), fence }];
        let command = RangeCommand::Assign { service: service.clone(), moves };
        state.apply(&FleetCommand::ChangeRanges(command))
    };
    assert_eq!(assign(KeyRange::ALL, "a", 0), FleetOutcome::Applied);
    assert_eq!(assign(KeyRange::ALL, "b", 0), FleetOutcome::Superseded);
    let upper = KeyRange { first: 100, last: u16::MAX };
    assert_eq!(assign(upper, "b", 1), FleetOutcome::Applied);
    assert_eq!(assign(KeyRange::ALL, "c", 1), FleetOutcome::Superseded);
    let table = state.table(&service).expect("a table");
    assert_eq!(table.find(99).holder, Some(to("a")));
    assert_eq!(table.find(100).holder, Some(to("b")));
    assert!(table.find(100).fence > table.find(99).fence);
    let snapshot = state.snapshot().expect("a snapshot");
    assert_eq!(FleetState::restore(&snapshot).expect("a state"), state);
}
