//! Messages of control hosts that arrive out of order or from hosts that lag.

use std::sync::Arc;

use gw_fleet::FleetCommand;
use gw_fleet::FleetState;
use gw_fleet::LearnOutcome;
use gw_fleet::LearnedState;
use gw_fleet::StoredConfig;
use gw_routing::CallerLimits;
use gw_routing::ConfigPatch;
use gw_routing::ConfigVersion;
use gw_routing::RoutingConfig;

fn routing(version: u64) -> RoutingConfig {
    RoutingConfig {
        version: ConfigVersion(version),
        limits: CallerLimits::default(),
        hosts: Vec::new(),
        services: Vec::new(),
    }
}

fn state(version: u64) -> FleetState {
    let mut state = FleetState::default();
    let routing = Arc::new(routing(version));
    state.apply(&FleetCommand::SetConfig(StoredConfig { routing, document: Arc::from([]) }));
    state
}

fn patch(base: u64, version: u64) -> FleetCommand {
    FleetCommand::PatchConfig(ConfigPatch::between(&routing(base), &routing(version)))
}

/// A message of a control host.
enum Received {
    Complete { index: u64, version: u64 },
    Patch { after: u64, through: u64, base: u64, version: u64 },
    Empty { index: u64 },
}

struct LearnCase {
    name: &'static str,
    received: Vec<Received>,
    last_outcome: LearnOutcome,
    version: u64,
    applied: u64,
    fetch_index: u64,
}

/// Guards against hosts that return to an older configuration, and against hosts that keep a state
/// with a gap.
#[test]
fn a_learner_never_returns_to_an_older_state() {
    use Received::Complete;
    use Received::Empty;
    use Received::Patch;
    let misfit = || Patch { after: 5, through: 6, base: 1, version: 4 };
    let cases = [
        LearnCase {
            name: "changes in order",
            received: vec![
                Complete { index: 5, version: 2 },
                Patch { after: 5, through: 6, base: 2, version: 3 },
            ],
            last_outcome: LearnOutcome::Advanced,
            version: 3,
            applied: 6,
            fetch_index: 6,
        },
        LearnCase {
            name: "complete state of a control host that lags",
            received: vec![Complete { index: 5, version: 2 }, Complete { index: 4, version: 1 }],
            last_outcome: LearnOutcome::Unchanged,
            version: 2,
            applied: 5,
            fetch_index: 5,
        },
        LearnCase {
            name: "missing changes",
            received: vec![
                Complete { index: 5, version: 2 },
                Patch { after: 7, through: 8, base: 2, version: 3 },
            ],
            last_outcome: LearnOutcome::Incomplete,
            version: 2,
            applied: 5,
            fetch_index: 5,
        },
        LearnCase {
            name: "a change that does not fit",
            received: vec![Complete { index: 5, version: 2 }, misfit()],
            last_outcome: LearnOutcome::Incomplete,
            version: 2,
            applied: 5,
            fetch_index: 0,
        },
        LearnCase {
            name: "older complete state after a change that does not fit",
            received: vec![
                Complete { index: 5, version: 2 },
                misfit(),
                Complete { index: 4, version: 1 },
            ],
            last_outcome: LearnOutcome::Unchanged,
            version: 2,
            applied: 5,
            fetch_index: 0,
        },
        LearnCase {
            name: "newer complete state after a change that does not fit",
            received: vec![
                Complete { index: 5, version: 2 },
                misfit(),
                Complete { index: 6, version: 4 },
            ],
            last_outcome: LearnOutcome::Advanced,
            version: 4,
            applied: 6,
            fetch_index: 6,
        },
        LearnCase {
            name: "a control host without newer entries",
            received: vec![Complete { index: 5, version: 2 }, Empty { index: 5 }],
            last_outcome: LearnOutcome::Unchanged,
            version: 2,
            applied: 5,
            fetch_index: 5,
        },
    ];
    for case in cases {
        let mut learned = LearnedState::default();
        let mut outcome = LearnOutcome::Unchanged;
        for received in case.received {
            outcome = match received {
                Complete { index, version } => learned.install(index, state(version)),
                Patch { after, through, base, version } => {
                    learned.apply(after, through, &[(through, patch(base, version))], |_, _| ())
                }
                Empty { index } => learned.apply(index, index, &[], |_, _| ()),
            };
        }
        assert_eq!(outcome, case.last_outcome, "{}", case.name);
        assert_eq!(learned.state().config_version().0, case.version, "{}", case.name);
        assert_eq!(learned.applied(), case.applied, "{}", case.name);
        assert_eq!(learned.fetch_index(), case.fetch_index, "{}", case.name);
        assert_eq!(learned.is_damaged(), case.fetch_index == 0, "{}", case.name);
    }
}
