//! Builders of commands for the tests of the control state.
#![allow(dead_code, reason = "each test file uses a part")]

use gw_control::ControlCommand;
use gw_control::ControlOutcome;
use gw_control::ControlState;
use gw_control::MoveBatch;
use gw_control::MoveCause;
use gw_control::MoveRecord;
use gw_control::MoveScope;
use gw_control::ProfileChange;
use gw_control::WallTime;
use gw_control::ZoneRange;
use gw_profile::ChangeId;
use gw_profile::Profile;
use gw_profile::Revision;
use gw_types::BootId;
use gw_types::FencingToken;
use gw_types::HostId;
use gw_types::KeySource;
use gw_types::RouteMatch;
use gw_types::ServiceDefinition;
use gw_types::ServiceTable;
use gw_types::SlotRange;
use gw_types::TableVersion;
use gw_types::TargetEntry;
use gw_types::TargetState;
use gw_types::TermNumber;
use gw_types::ZoneTable;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// Applies commands at consecutive indexes.
#[derive(Default)]
pub(crate) struct Log {
    pub(crate) state: ControlState,
    pub(crate) index: u64,
}

impl Log {
    pub(crate) fn apply(&mut self, command: ControlCommand) -> ControlOutcome {
        self.index += 1;
        self.state.apply(self.index, &command)
    }
}

pub(crate) fn profile(name: &str, queue_limit: u32) -> Profile {
    let mut profile = Profile::with_defaults(name.parse().unwrap());
    profile.refuse.queue_limit = queue_limit;
    profile
}

pub(crate) fn change(
    name: &str,
    base: u64,
    id: &str,
    operator: &str,
    limit: u32,
) -> ControlCommand {
    ControlCommand::ApplyProfile(ProfileChange {
        profile: profile(name, limit),
        base: Revision(base),
        change_id: ChangeId::new(id).unwrap(),
        operator: gw_control::OperatorName::new(operator).unwrap(),
        at: WallTime(u64::from(limit)),
    })
}

pub(crate) fn definition(name: &str, prefix: &str, profile: &str) -> ServiceDefinition {
    ServiceDefinition {
        name: name.parse().unwrap(),
        route: RouteMatch { host: None, path_prefix: Some(prefix.to_owned()) },
        key: Some(KeySource::PathSegment(1)),
        profile: profile.parse().unwrap(),
    }
}

pub(crate) fn register(definition: ServiceDefinition) -> ControlCommand {
    ControlCommand::RegisterService(definition)
}

pub(crate) fn grant(zone: &str, host: u16) -> ControlCommand {
    let (zone, host) = (zone.parse().unwrap(), HostId(host));
    ControlCommand::GrantZone { zone, host, boot: BootId(1) }
}

pub(crate) fn range(first: u16, last: u16, zone: &str) -> ZoneRange {
    ZoneRange { first, last, zone: zone.parse().unwrap() }
}

pub(crate) fn delegate(service: &str, base: u32, ranges: Vec<ZoneRange>) -> ControlCommand {
    let (service, base) = (service.parse().unwrap(), TermNumber(base));
    ControlCommand::Delegate { service, base, ranges, expired: Vec::new() }
}

pub(crate) fn target(name: &str, service: &str, state: TargetState) -> TargetEntry {
    TargetEntry {
        name: name.parse().unwrap(),
        service: service.parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        boot: BootId(1),
        state,
        work_slots: 2,
        checks_tokens: true,
        dispatcher: Some(HostId(1)),
    }
}

pub(crate) fn table(zone: &str, term: u32, number: u64, targets: Vec<TargetEntry>) -> ZoneTable {
    let version = TableVersion { term: TermNumber(term), number };
    ZoneTable {
        zone: zone.parse().unwrap(),
        version,
        delegation_term: Default::default(),
        targets,
        services: Vec::new(),
    }
}

pub(crate) fn store(table: ZoneTable) -> ControlCommand {
    ControlCommand::StoreZoneTable(table)
}

/// A table with one range per slot, which is the largest encoding of the slots.
pub(crate) fn fragmented_table(
    zone: &str,
    term: u32,
    targets: usize,
    slots: std::ops::Range<u16>,
) -> ZoneTable {
    let names: Vec<_> = (0..targets).map(|number| format!("{zone}-target-{number:04}")).collect();
    let entries = names.iter().map(|name| target(name, "matarlas", TargetState::Serving));
    let mut table = table(zone, term, 1, entries.collect());
    let ranges = slots.map(|slot| SlotRange {
        first: slot,
        last: slot,
        owner: Some(names[usize::from(slot) % targets].parse().unwrap()),
        token: FencingToken::new(TermNumber(term), u32::from(slot)),
    });
    let service = "matarlas".parse().unwrap();
    table.services.push(ServiceTable { service, ranges: ranges.collect(), overrides: Vec::new() });
    table
}

pub(crate) fn moved(slot: u16, from: &str, to: &str) -> MoveRecord {
    MoveRecord {
        service: "matarlas".parse().unwrap(),
        scope: MoveScope::Slots(slot, slot + 9),
        from: Some(from.parse().unwrap()),
        to: Some(to.parse().unwrap()),
        token: FencingToken::new(TermNumber(1), u32::from(slot)),
        cause: MoveCause::TargetLost,
    }
}

pub(crate) fn moves(
    zone: &str,
    at: u64,
    term: u32,
    number: u64,
    moves: Vec<MoveRecord>,
) -> ControlCommand {
    let version = TableVersion { term: TermNumber(term), number };
    ControlCommand::RecordMoves(MoveBatch {
        at: WallTime(at),
        zone: zone.parse().unwrap(),
        version,
        moves,
    })
}

/// A random command. Uses few names, so that commands affect the same profiles and zones.
#[derive(Clone, Debug)]
pub(crate) struct RandomCommand(pub(crate) ControlCommand);

impl Arbitrary for RandomCommand {
    fn arbitrary(g: &mut Gen) -> Self {
        let kind = u8::arbitrary(g) % 8;
        let number = u64::from(u8::arbitrary(g) % 6);
        let pick = u16::arbitrary(g);
        let zone = ["spinneri", "vaveri"][usize::from(pick % 2)];
        let name = ["a", "b"][usize::from(pick / 2 % 2)];
        let small = number as u32;
        Self(match kind {
            0..=2 => {
                let id = format!("id-{}", pick % 40);
                change(name, number, &id, ["anna", "bo"][usize::from(pick % 2)], small)
            }
            3 => register(definition(name, ["/x", "/y"][usize::from(pick % 2)], "default")),
            4 => grant(zone, pick % 4),
            5 => {
                let middle = 1 + pick % 16_382;
                let ranges = vec![range(0, middle - 1, zone), range(middle, 16_383, "vaveri")];
                delegate(name, small, ranges)
            }
            6 => {
                let targets = vec![target("t", name, TargetState::Serving)];
                store(table(zone, small, u64::from(pick % 5), targets))
            }
            _ => moves(
                zone,
                number,
                small,
                u64::from(pick % 5),
                vec![moved(pick % 16_000, "t", "u")],
            ),
        })
    }
}

/// The seeded generator of a property test.
pub(crate) fn generator(seed: u64) -> Gen {
    Gen::from_size_and_seed(60, seed)
}
