//! Evacuated zones in the replicated state and in snapshots of this and of earlier builds.

use gw_fleet::FleetCommand;
use gw_fleet::FleetOutcome;
use gw_fleet::FleetState;
use gw_fleet::FormatVersion;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_fleet::ZoneEvacuation;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::ZoneName;

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a valid name")
}

fn start(name: &str, since_unix_ms: u64) -> FleetCommand {
    FleetCommand::StartEvacuation(ZoneEvacuation { zone: zone(name), since_unix_ms })
}

fn end(name: &str) -> FleetCommand {
    FleetCommand::EndEvacuation { zone: zone(name) }
}

fn put_target() -> FleetCommand {
    FleetCommand::PutTarget(TargetRecord {
        name: TargetName::new("t1").expect("a valid name"),
        run: 1,
        address: ([127, 0, 0, 1], 1).into(),
        service: ServiceName::new("slips").expect("a valid name"),
        zone: zone("a"),
        work_slots: 2,
        phase: TargetPhase::Serving,
    })
}

fn state_after(commands: &[FleetCommand]) -> FleetState {
    let mut state = FleetState::default();
    commands.iter().for_each(|command| {
        state.apply(command);
    });
    state
}

struct CommandCase {
    name: &'static str,
    commands: Vec<FleetCommand>,
    /// Outcome of the last command.
    outcome: FleetOutcome,
    expected: &'static [(&'static str, u64)],
}

/// Guards against repeated calls that renew the time of an evacuation, against calls for one zone
/// that affect another, and against an unsorted list, in which zones are not found.
#[test]
fn evacuations_start_and_end_in_any_order() {
    use FleetOutcome::Applied;
    use FleetOutcome::Superseded;
    let cases = [
        CommandCase {
            name: "a repeated start keeps the first time",
            commands: vec![start("a", 1), start("a", 9)],
            outcome: Superseded,
            expected: &[("a", 1)],
        },
        CommandCase {
            name: "an end without a start",
            commands: vec![end("a")],
            outcome: Superseded,
            expected: &[],
        },
        CommandCase {
            name: "a repeated end",
            commands: vec![start("a", 1), end("a"), end("a")],
            outcome: Superseded,
            expected: &[],
        },
        CommandCase {
            name: "a start after the end is a new one",
            commands: vec![start("a", 1), end("a"), start("a", 9)],
            outcome: Applied,
            expected: &[("a", 9)],
        },
        CommandCase {
            name: "zones are sorted",
            commands: vec![start("c", 1), start("a", 2), start("b", 3), start("b", 4), end("c")],
            outcome: Applied,
            expected: &[("a", 2), ("b", 3)],
        },
    ];
    for case in cases {
        let mut state = FleetState::default();
        let outcomes: Vec<_> = case.commands.iter().map(|command| state.apply(command)).collect();
        assert_eq!(outcomes.last(), Some(&case.outcome), "{}", case.name);
        let found: Vec<_> = state
            .evacuations()
            .iter()
            .map(|evacuation| (evacuation.zone.as_str(), evacuation.since_unix_ms))
            .collect();
        assert_eq!(found, case.expected, "{}", case.name);
        for name in ["a", "b", "c"] {
            let is_expected = case.expected.iter().any(|(zone, _)| *zone == name);
            assert_eq!(state.is_evacuated(&zone(name)), is_expected, "{}: {name}", case.name);
        }
    }
}

/// Guards against evacuations that are lost with a snapshot or on the way to entry hosts, and against
/// snapshots that earlier builds cannot read.
#[test]
fn snapshots_keep_evacuations() {
    let cases = [
        ("none", vec![put_target()], FormatVersion::UNSTATED),
        ("one", vec![put_target(), start("a", 1)], FormatVersion::EVACUATIONS),
        ("ended", vec![put_target(), start("a", 1), end("a")], FormatVersion::UNSTATED),
        ("two", vec![start("b", 2), put_target(), start("a", 1)], FormatVersion::EVACUATIONS),
    ];
    for (name, commands, format) in cases {
        let state = state_after(&commands);
        assert_eq!(state.format(), format, "{name}");
        let bytes = state.snapshot().expect("a snapshot");
        assert_eq!(FleetState::restore(&bytes).expect("a state"), state, "{name}");
        let sent = state.for_entry_hosts().snapshot().expect("a snapshot");
        let received = FleetState::restore(&sent).expect("a state");
        assert_eq!(received.evacuations(), state.evacuations(), "{name}");
        // Earlier builds decode the state and ignore what follows.
        let plain = state_after(&[put_target()]);
        let earlier = postcard::to_stdvec(&plain).expect("bytes");
        assert!(bytes.starts_with(&earlier), "{name}");
        assert_eq!(FleetState::restore(&earlier).expect("a state"), plain, "{name}");
    }
}

/// Guards against snapshots that are cut off or damaged and are taken for complete ones.
#[test]
fn damaged_additions_are_refused() {
    let state = state_after(&[put_target(), start("a", 1_700_000_000_000)]);
    let bytes = state.snapshot().expect("a snapshot");
    let plain = postcard::to_stdvec(&state_after(&[put_target()])).expect("bytes").len();
    for len in (0..bytes.len()).filter(|len| *len != plain) {
        assert!(FleetState::restore(&bytes[..len]).is_err(), "{len} of {} bytes", bytes.len());
    }
    for index in plain..bytes.len() {
        for value in [0, 1, 0x7f, 0x80, 0xff] {
            let mut damaged = bytes.clone();
            damaged[index] = value;
            // Either an error or another valid state, but no panic.
            FleetState::restore(&damaged).ok();
        }
    }
}
