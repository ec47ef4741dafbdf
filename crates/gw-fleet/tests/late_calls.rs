//! Effect of calls and orders that arrive after a later run of their target has announced itself.

use std::time::Duration;

use gw_fleet::DepartureCause;
use gw_fleet::FleetCommand;
use gw_fleet::FleetState;
use gw_fleet::RunReplacements;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_ranges::OrderKind;
use gw_ranges::RangeHolder;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

const GRANT: OrderKind = OrderKind::Grant { hold: Duration::from_secs(5), handover: None };

/// What has happened to the target `a` so far.
#[derive(Clone, Copy, Debug)]
enum Event {
    Announced { run: u64, phase: TargetPhase },
    Removed(DepartureCause),
}

fn name() -> TargetName {
    TargetName::new("a").expect("a valid name")
}

/// Returns the record of a run; each run has an address of its own.
fn record(run: u64, phase: TargetPhase) -> TargetRecord {
    TargetRecord {
        name: name(),
        run,
        address: ([127, 0, 0, 1], run as u16).into(),
        service: ServiceName::new("slips").expect("a valid name"),
        zone: ZoneName::new("a").expect("a valid name"),
        work_slots: 2,
        phase,
    }
}

fn state_after(events: &[Event]) -> FleetState {
    let mut state = FleetState::default();
    for event in events {
        state.apply(&match *event {
            Event::Announced { run, phase } => FleetCommand::PutTarget(record(run, phase)),
            Event::Removed(cause) => FleetCommand::RemoveTarget { name: name(), run: None, cause },
        });
    }
    state
}

fn served(run: u64) -> Event {
    Event::Announced { run, phase: TargetPhase::Serving }
}

fn drained(run: u64) -> Event {
    Event::Announced { run, phase: TargetPhase::Draining }
}

const LEFT: Event = Event::Removed(DepartureCause::Left);
const SILENT: Event = Event::Removed(DepartureCause::Silent);

struct OrderCase {
    name: &'static str,
    events: Vec<Event>,
    /// Run to which the order is addressed.
    run: u64,
    kind: OrderKind,
    /// Run at whose address the order arrives.
    arrives_at: Option<u64>,
}

/// Guards against a grant for an earlier run that a later run takes for its own: the later run would
/// serve keys under a token of the earlier one.
#[test]
fn grants_never_reach_a_later_run() {
    const RELEASE: OrderKind = OrderKind::Release;
    let case =
        |name, events, run, kind, arrives_at| OrderCase { name, events, run, kind, arrives_at };
    let cases = [
        case("grant to the present run", vec![served(1)], 1, GRANT, Some(1)),
        case("grant to a draining run", vec![served(1), drained(1)], 1, GRANT, Some(1)),
        case(
            "grant to a run that left and ends its work",
            vec![served(1), LEFT],
            1,
            GRANT,
            Some(1),
        ),
        case("grant to a silent run", vec![served(1), SILENT], 1, GRANT, Some(1)),
        case("grant to a replaced run", vec![served(1), served(2)], 1, GRANT, None),
        case("grant after both runs left", vec![served(1), served(2), LEFT], 1, GRANT, None),
        case("grant to an unknown target", vec![], 1, GRANT, None),
        case("release of a replaced run", vec![served(1), served(2)], 1, RELEASE, Some(2)),
        case("release of a run that left", vec![served(1), LEFT], 1, RELEASE, Some(1)),
        case("release of an unknown target", vec![], 1, RELEASE, None),
    ];
    for case in cases {
        let state = state_after(&case.events);
        let holder = RangeHolder { target: name(), run: case.run };
        let found = state.order_address(&holder, &case.kind).map(|record| record.run);
        assert_eq!(found, case.arrives_at, "{}", case.name);
    }
}

/// Guards against a late announcement of a run that drains: the run got requests again once it had been
/// removed as silent.
#[test]
fn runs_that_drain_never_serve_again() {
    let cases = [
        ("announced again", vec![served(1), drained(1), served(1)], TargetPhase::Draining),
        ("silent", vec![served(1), drained(1), SILENT, served(1)], TargetPhase::Draining),
        ("another run", vec![served(1), drained(1), SILENT, served(2)], TargetPhase::Serving),
    ];
    for (name_of_case, events, phase) in cases {
        let state = state_after(&events);
        let found = state.target(&name()).map(|record| record.phase);
        assert_eq!(found, Some(phase), "{name_of_case}");
    }
}

struct DepartureCase {
    name: &'static str,
    events: Vec<Event>,
    /// Age of the present run's first announcement, if the run has replaced an earlier one.
    replaced_before: Option<Duration>,
    /// What happens between the arrival of the deregistration and its commit.
    meanwhile: Vec<Event>,
    /// Run that is registered afterwards.
    registered: Option<u64>,
}

/// Guards against a deregistration of an earlier run that arrives late and shuts out the later run,
/// which could never announce itself again.
#[test]
fn late_departures_spare_later_runs() {
    let old = Some(Duration::from_secs(11));
    let new = Some(Duration::from_millis(500));
    let case = |name, events, replaced_before, meanwhile, registered| DepartureCase {
        name,
        events,
        replaced_before,
        meanwhile,
        registered,
    };
    let cases = [
        case("the only run leaves", vec![served(1)], None, vec![], None),
        case("a replaced run leaves late", vec![served(1), served(2)], new, vec![], Some(2)),
        case("the later run leaves", vec![served(1), served(2)], old, vec![], None),
        case("the later run drains and leaves", vec![served(1), drained(2)], new, vec![], None),
        case(
            "a later run appears before the commit",
            vec![served(1)],
            None,
            vec![served(2)],
            Some(2),
        ),
        case(
            "one after the run was silent",
            vec![served(1), SILENT],
            None,
            vec![served(2)],
            Some(2),
        ),
        case("a silent run leaves", vec![served(1), SILENT], None, vec![served(1)], None),
    ];
    for case in cases {
        let now = Timestamp::from_nanos(60_000_000_000);
        let mut state = state_after(&case.events);
        let mut replacements = RunReplacements::default();
        if let (Some(age), Some(record)) = (case.replaced_before, state.target(&name())) {
            let at = Timestamp::from_nanos(now.as_nanos() - age.as_nanos() as u64);
            replacements.record(at, record.holder());
        }
        let command = replacements.departure(now, &state, &name());
        // An announcement of the run that leaves is late only after the commit.
        let (before, after): (Vec<Event>, Vec<Event>) = case
            .meanwhile
            .iter()
            .partition(|event| matches!(event, Event::Announced { run: 2, .. }));
        let announce = |state: &mut FleetState, events: Vec<Event>| {
            for event in events {
                let Event::Announced { run, phase } = event else { continue };
                if !state.is_outdated(&record(run, phase)) {
                    state.apply(&FleetCommand::PutTarget(record(run, phase)));
                }
            }
        };
        announce(&mut state, before);
        if let Some(command) = command {
            state.apply(&command);
        }
        announce(&mut state, after);
        let registered = state.target(&name()).map(|record| record.run);
        assert_eq!(registered, case.registered, "{}", case.name);
    }
}

struct AnnouncementCase {
    name: &'static str,
    events: Vec<Event>,
    run: u64,
    is_outdated: bool,
}

/// Guards against a late announcement that registers a run after a later one has existed.
#[test]
fn late_announcements_are_recognized() {
    let case = |name, events, run, is_outdated| AnnouncementCase { name, events, run, is_outdated };
    let cases = [
        case("first run", vec![], 1, false),
        case("present run", vec![served(1)], 1, false),
        case("later run", vec![served(1)], 2, false),
        case("earlier run", vec![served(2)], 1, true),
        case(
            "earlier run while the later one is silent",
            vec![served(1), served(2), SILENT],
            1,
            true,
        ),
        case("silent run", vec![served(2), SILENT], 2, false),
        case("run that left", vec![served(2), LEFT], 2, true),
        case("later run after one that left", vec![served(2), LEFT], 3, false),
    ];
    for case in cases {
        let state = state_after(&case.events);
        let record = record(case.run, TargetPhase::Serving);
        assert_eq!(state.is_outdated(&record), case.is_outdated, "{}", case.name);
    }
}

/// What happens at a control host, and what it must lead to.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A run announces itself; it is registered afterwards.
    Announced(u64),
    /// A late announcement of a run that stays removed.
    Refused(u64),
    /// A deregistration is acknowledged: no run is registered any more.
    Left,
    /// A deregistration is not acknowledged, and no request goes to the target until it announces
    /// itself again.
    Suspended,
    /// A deregistration reaches a host that does not know yet of the runs after the given one. It is
    /// not acknowledged and changes nothing.
    LeftAtLaggingHost(u64),
    /// The target is removed as silent.
    Silent,
    /// The host learns the state from a snapshot in place of the log.
    Learned,
}

/// A control host that decides deregistrations.
#[derive(Default)]
struct DecidingHost {
    state: FleetState,
    replacements: RunReplacements,
}

impl DecidingHost {
    fn announce(&mut self, now: Timestamp, run: u64) {
        let record = record(run, TargetPhase::Serving);
        let previous = self.state.latest_run(&record.name);
        if !self.state.is_outdated(&record) {
            self.state.apply(&FleetCommand::PutTarget(record.clone()));
        }
        if previous.is_some_and(|previous| previous < run) {
            self.replacements.record(now, record.holder());
        }
    }

    fn apply_removal(&mut self, now: Timestamp, command: &FleetCommand) {
        self.state.apply(command);
        if let FleetCommand::RemoveTarget {
            run: Some(run), cause: DepartureCause::Silent, ..
        } = command
        {
            let holder = RangeHolder { target: name(), run: *run };
            self.replacements.record_silence(now, &holder);
        }
    }

    /// Handles a deregistration; `known` is the state of the host that receives it. Returns whether it
    /// is acknowledged.
    fn deregister(&mut self, now: Timestamp, known: &FleetState) -> bool {
        let departure = self.replacements.departure(now, known, &name());
        let suspension = self.replacements.suspension(now, known, &name());
        let command = departure.as_ref().or(suspension.as_ref());
        command.into_iter().for_each(|command| self.apply_removal(now, command));
        departure.is_some() && self.state.has_left(&name())
    }
}

struct RestartCase {
    name: &'static str,
    /// Steps with the seconds at which they happen.
    steps: Vec<(f64, Step)>,
}

/// Guards against deregistrations that are acknowledged while a later run stays in use, and against
/// later runs that a late deregistration shuts out.
#[test]
fn deregistrations_after_a_restart_are_acknowledged_once_they_have_an_effect() {
    use Step::*;
    let restarted = [(0.0, Announced(1)), (8.0, Announced(2))];
    let case = |name, steps: &[(f64, Step)]| RestartCase {
        name,
        steps: restarted.iter().chain(steps).copied().collect(),
    };
    let cases = [
        case(
            "the later run leaves and repeats it",
            &[(12.0, Suspended), (12.5, Suspended), (14.5, Left), (15.0, Refused(2))],
        ),
        case(
            "an announcement of the run that leaves is late",
            &[(12.0, Suspended), (12.5, Announced(2)), (13.0, Suspended), (15.5, Left)],
        ),
        case(
            "the earlier run's is late, twice",
            &[(9.0, Suspended), (9.8, Announced(2)), (11.5, Suspended), (12.0, Announced(2))],
        ),
        case("the later run leaves long afterwards", &[(18.5, Left), (19.0, Refused(2))]),
        case(
            "the run that came last leaves",
            &[(9.0, Announced(3)), (15.0, Suspended), (17.5, Left), (18.0, Refused(3))],
        ),
        case("one arrives where the log lags", &[(20.0, LeftAtLaggingHost(1)), (21.0, Left)]),
        case(
            "one arrives where the log lags while the later run is silent",
            &[(30.0, Silent), (30.5, LeftAtLaggingHost(1)), (31.0, Announced(2))],
        ),
        case(
            "one arrives where a part of the log was missed",
            &[(30.0, Learned), (31.0, Suspended), (31.5, Announced(2)), (41.0, Left)],
        ),
    ];
    for case in cases {
        let mut host = DecidingHost::default();
        for (seconds, step) in case.steps {
            let now = Timestamp::from_nanos((seconds * 1e9) as u64);
            let known = host.state.clone();
            let context = format!("{}: {step:?} at {seconds} s", case.name);
            match step {
                Announced(run) | Refused(run) => host.announce(now, run),
                Left => assert!(host.deregister(now, &known), "{context}"),
                Suspended => assert!(!host.deregister(now, &known), "{context}"),
                LeftAtLaggingHost(run) => {
                    assert!(!host.deregister(now, &state_after(&[served(run)])), "{context}");
                }
                Silent => {
                    let run = known.latest_run(&name());
                    let cause = DepartureCause::Silent;
                    let removal = FleetCommand::RemoveTarget { name: name(), run, cause };
                    host.apply_removal(now, &removal);
                }
                Learned => {
                    host.replacements = RunReplacements::default();
                    host.replacements.record_learned(now, &FleetState::default(), &known);
                }
            }
            let registered = host.state.target(&name()).map(|record| record.run);
            let expected = match step {
                Announced(run) => Some(run),
                Refused(_) | Left | Suspended | Silent => None,
                LeftAtLaggingHost(_) | Learned => known.target(&name()).map(|record| record.run),
            };
            assert_eq!(registered, expected, "{context}");
        }
    }
}
