//! Times at which an entry host stops sending to evacuated zones, and its choice of targets then.

use std::time::Duration;

use gw_balance::EvacuatedZones;
use gw_balance::HolderAvailability;
use gw_balance::LearningTime;
use gw_balance::PreferredTargets;
use gw_balance::TargetPool;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_fleet::ZoneEvacuation;
use gw_types::HostName;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

const NOW: Timestamp = Timestamp::from_millis(500_000);
/// The leader's wall clock at the proposal, in milliseconds.
const SINCE: u64 = 1_700_000_000_000;

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a valid name")
}

fn evacuation(name: &str, since_unix_ms: u64) -> ZoneEvacuation {
    ZoneEvacuation { zone: zone(name), since_unix_ms }
}

fn learning(current_ms_ago: Option<u64>, unix_ms: u64) -> LearningTime {
    LearningTime {
        now: NOW,
        current_at: current_ms_ago.map(|millis| NOW - Duration::from_millis(millis)),
        unix_ms,
        evacuation_time: Duration::from_secs(5),
    }
}

struct AgeCase {
    name: &'static str,
    /// Milliseconds since the host's state was last known to be current.
    current_ms_ago: Option<u64>,
    /// Milliseconds by which the host's wall clock is after the proposal's time.
    wall_ms: i64,
    /// Milliseconds until the host stops.
    expected: u64,
}

/// Guards against hosts that go on sending after the bound because they have restarted or were cut
/// off, and against hosts that stop too early because their wall clock is ahead.
#[test]
fn the_age_of_an_evacuation_decides_when_a_host_stops() {
    let case = |name, current_ms_ago, wall_ms, expected| AgeCase {
        name,
        current_ms_ago,
        wall_ms,
        expected,
    };
    let cases = [
        case("follows without a gap", Some(0), 40, 3_500),
        case("last head a moment ago", Some(200), 40, 3_460),
        case("no gap, wall clock an hour ahead", Some(200), 3_600_000, 3_300),
        case("no gap, wall clock an hour behind", Some(200), -3_600_000, 3_500),
        case("restarted, evacuation is old", None, 60_000, 0),
        case("restarted, evacuation is young", None, 1_000, 2_500),
        case("restarted, wall clock behind", None, -10, 3_500),
        case("was cut off, evacuation is old", Some(30_000), 20_000, 0),
        case("was cut off, evacuation is young", Some(30_000), 100, 3_400),
    ];
    for case in cases {
        let mut zones = EvacuatedZones::default();
        let unix_ms = SINCE.checked_add_signed(case.wall_ms).expect("a time");
        let learning = learning(case.current_ms_ago, unix_ms);
        zones.update(&[evacuation("a", SINCE)], &learning);
        let expected = NOW + Duration::from_millis(case.expected);
        assert_eq!(zones.stops_at(&zone("a")), Some(expected), "{}", case.name);
        assert!(zones.take_stopped(expected - Duration::from_millis(1)).is_empty());
        assert_eq!(zones.take_stopped(expected), [zone("a")], "{}", case.name);
        assert!(zones.take_stopped(expected).is_empty(), "{}", case.name);
    }
}

/// Guards against a list that is received again and gives holders more time, and against an
/// evacuation that is requested again and inherits the time of the one that was withdrawn.
#[test]
fn only_new_evacuations_start_a_time() {
    let mut zones = EvacuatedZones::default();
    let at = |seconds| LearningTime {
        now: NOW + Duration::from_secs(seconds),
        ..learning(Some(0), SINCE)
    };
    let stop = |seconds| NOW + Duration::from_secs(seconds) + Duration::from_millis(3_500);
    let changes = zones.update(&[evacuation("a", SINCE)], &at(0));
    assert_eq!(changes.started, [(zone("a"), stop(0))]);
    let changes = zones.update(&[evacuation("a", SINCE), evacuation("b", SINCE + 1)], &at(1));
    assert_eq!(changes.started, [(zone("b"), stop(1))]);
    assert_eq!((zones.stops_at(&zone("a")), zones.len()), (Some(stop(0)), 2));
    let changes = zones.update(&[evacuation("a", SINCE + 2)], &at(2));
    assert_eq!(changes.started, [(zone("a"), stop(2))]);
    assert_eq!(changes.ended, [zone("b")]);
    let changes = zones.update(&[], &at(3));
    assert_eq!(changes.ended, [zone("a")]);
    assert!(zones.is_empty());
}

fn record(name: &str, zone_name: &str) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name).expect("a valid name"),
        run: 1,
        address: ([127, 0, 0, 1], 1).into(),
        service: ServiceName::new("slips").expect("a valid name"),
        zone: zone(zone_name),
        work_slots: 2,
        phase: TargetPhase::Serving,
    }
}

struct PoolCase {
    name: &'static str,
    evacuated: &'static [&'static str],
    /// Time since the host learnt of it, in milliseconds.
    after_ms: u64,
    /// Zone of the target chosen for a request without a key.
    chosen: Option<&'static str>,
    /// Zones whose holders of keys get requests.
    holders: &'static [&'static str],
}

/// Guards against requests without a key that reach an evacuated zone, against keys that are out of
/// service before they have moved, and against keys that are served after the time limit.
#[test]
fn evacuated_targets_get_only_keys_and_only_for_a_time() {
    let cases = [
        PoolCase {
            name: "none",
            evacuated: &[],
            after_ms: 0,
            chosen: Some("a"),
            holders: &["a", "b"],
        },
        PoolCase {
            name: "just learnt",
            evacuated: &["a"],
            after_ms: 0,
            chosen: Some("b"),
            holders: &["a", "b"],
        },
        PoolCase {
            name: "time is over",
            evacuated: &["a"],
            after_ms: 3_500,
            chosen: Some("b"),
            holders: &["b"],
        },
        PoolCase {
            name: "all zones, just learnt",
            evacuated: &["a", "b"],
            after_ms: 3_499,
            chosen: None,
            holders: &["a", "b"],
        },
        PoolCase {
            name: "all zones",
            evacuated: &["a", "b"],
            after_ms: 3_500,
            chosen: None,
            holders: &[],
        },
    ];
    let service = ServiceName::new("slips").expect("a valid name");
    for case in cases {
        let mut zones = EvacuatedZones::default();
        let list: Vec<_> = case.evacuated.iter().map(|name| evacuation(name, SINCE)).collect();
        zones.update(&list, &learning(Some(0), SINCE));
        let host = HostName::new("h1").expect("a valid name");
        let mut pool = TargetPool::new(host, zone("a"));
        pool.update(NOW, &[record("t-a", "a"), record("t-b", "b")], &PreferredTargets::default());
        pool.set_evacuated(&zones);
        let now = NOW + Duration::from_millis(case.after_ms);
        let chosen = pool.pick(now, &service, &[]);
        let chosen_zone = chosen.map(|target| target.record.zone.as_str());
        assert_eq!(chosen_zone, case.chosen, "{}", case.name);
        assert_eq!(pool.is_evacuated(&service), case.chosen.is_none(), "{}", case.name);
        for name in ["a", "b"] {
            let holder = record(&format!("t-{name}"), name).holder();
            let is_open = case.holders.contains(&name);
            let expected = match is_open {
                true => HolderAvailability::Available,
                false => HolderAvailability::Evacuated,
            };
            assert_eq!(pool.holder_availability(now, &holder), expected, "{}: {name}", case.name);
            assert_eq!(pool.is_closed(now, &holder, true), !is_open, "{}: {name}", case.name);
            let is_evacuated = case.evacuated.contains(&name);
            assert_eq!(pool.is_closed(now, &holder, false), is_evacuated, "{}: {name}", case.name);
        }
        zones.update(&[], &learning(Some(0), SINCE));
        pool.set_evacuated(&zones);
        assert!(pool.pick(now, &service, &[]).is_some(), "{}: withdrawn", case.name);
    }
}
