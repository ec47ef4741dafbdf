//! Announcements of services that the configuration does not name, beside those of real targets.

use std::sync::Arc;
use std::time::Duration;

use gw_fleet::DepartureCause;
use gw_fleet::FleetCommand;
use gw_fleet::FleetState;
use gw_fleet::StoredConfig;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_routing::CallerLimits;
use gw_routing::ConfigVersion;
use gw_routing::RoutingConfig;
use gw_routing::ServiceSpec;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::ZoneName;

/// The service that the configuration names.
const NAMED: &str = "slips";
const UNNAMED: &str = "elsewhere";

fn record(name: &str, service: &str, port: u16, run: u64) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name).expect("a valid name"),
        run,
        address: ([127, 0, 0, 1], port).into(),
        service: ServiceName::new(service).expect("a valid name"),
        zone: ZoneName::new("a").expect("a valid name"),
        work_slots: 2,
        phase: TargetPhase::Serving,
    }
}

fn set_config() -> FleetCommand {
    let service = ServiceSpec {
        name: ServiceName::new(NAMED).expect("a valid name"),
        is_keyed: true,
        max_connections: 100,
        warm_up: Duration::ZERO,
    };
    let routing = RoutingConfig {
        version: ConfigVersion(1),
        limits: CallerLimits::default(),
        hosts: Vec::new(),
        services: vec![service],
    };
    FleetCommand::SetConfig(StoredConfig { routing: Arc::new(routing), document: Arc::from([]) })
}

struct OddCase {
    name: &'static str,
    known: TargetRecord,
    /// Whether the known target was removed as silent.
    is_silent: bool,
    announced: TargetRecord,
    is_ignored: bool,
    /// Whether the known target has to go first.
    is_misplaced: bool,
}

/// Guards against an entry of another writer that removes a real target, at whose address it says to be,
/// or keeps it from being registered.
#[test]
fn entries_without_a_named_service_change_no_real_target() {
    let real = || record("real", NAMED, 1, 5);
    let odd = |name, port, run| record(name, UNNAMED, port, run);
    let case = OddCase {
        name: "",
        known: real(),
        is_silent: false,
        announced: odd("odd", 1, 9),
        is_ignored: true,
        is_misplaced: false,
    };
    let cases = [
        OddCase {
            name: "at its address, later",
            known: real(),
            announced: odd("odd", 1, 9),
            ..case
        },
        OddCase {
            name: "at its address, earlier",
            known: real(),
            announced: odd("odd", 1, 0),
            ..case
        },
        OddCase { name: "under its name", known: real(), announced: odd("real", 2, 9), ..case },
        OddCase {
            name: "under the name of a silent one",
            is_silent: true,
            known: real(),
            announced: odd("real", 2, u64::MAX),
            ..case
        },
        OddCase {
            name: "apart from it",
            known: real(),
            announced: odd("odd", 2, 9),
            is_ignored: false,
            ..case
        },
        OddCase {
            name: "a real one at the address of an odd one, earlier",
            known: odd("odd", 1, 9),
            announced: real(),
            is_ignored: false,
            is_misplaced: true,
            ..case
        },
        OddCase {
            name: "a later real one at the address of a real one",
            known: real(),
            announced: record("next", NAMED, 1, 9),
            is_ignored: false,
            ..case
        },
        OddCase {
            name: "an earlier real one at the address of a real one",
            known: record("next", NAMED, 1, 9),
            announced: real(),
            is_ignored: false,
            ..case
        },
    ];
    for case in cases {
        let mut state = FleetState::default();
        state.apply(&set_config());
        state.apply(&FleetCommand::PutTarget(case.known.clone()));
        if case.is_silent {
            let (name, cause) = (case.known.name.clone(), DepartureCause::Silent);
            state.apply(&FleetCommand::RemoveTarget { name, run: None, cause });
        }
        assert_eq!(state.contradicts_service(&case.announced), case.is_ignored, "{}", case.name);
        let misplaced = state.misplaced_target(&case.announced);
        assert_eq!(misplaced.is_some(), case.is_misplaced, "{}", case.name);
    }
}
