//! Heartbeats: whom they go to, what they show of hosts, and what is fetched because of them.

mod support;

use std::collections::BTreeSet;

use gw_membership::DigestSummary;
use gw_membership::DigestTable;
use gw_membership::FetchItem;
use gw_membership::FetchRequest;
use gw_membership::HEARTBEAT_INTERVAL;
use gw_membership::Heartbeat;
use gw_membership::HeartbeatPlan;
use gw_membership::HostChange;
use gw_membership::HostDirectory;
use gw_membership::MAX_FETCHES_IN_FLIGHT;
use gw_membership::ZoneDigest;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::TermNumber;
use gw_types::ZoneName;
use quickcheck::QuickCheck;
use support::generator;
use support::hosts;
use support::ms;

/// Control traffic that one host may send (design page, section 1.4).
const TRAFFIC_BUDGET_BYTES_PER_S: usize = 3 * 1024;

/// Frame (version, host index, boot id, sequence, key id, authenticator) with UDP and IPv4 headers,
/// each number at its longest encoding.
const FRAME_BYTES: usize = 1 + 3 + 10 + 10 + 3 + 16 + 8 + 20;

fn leaders(zones: u16, size: u16) -> Vec<(ZoneName, HostId)> {
    let zones = 0..zones;
    zones
        .map(|zone| (format!("zone-{zone}").parse().unwrap(), HostId(zone * size + 3 % size)))
        .collect()
}

fn plans(hosts: &[HostEntry]) -> Vec<HeartbeatPlan> {
    hosts.iter().map(|own| HeartbeatPlan::new(own, hosts)).collect()
}

/// Guards against a plan in which the hosts of a small zone do not all hear each other.
#[test]
fn small_zones_are_fully_connected() {
    let hosts = hosts(4, 2);
    let leaders =
        vec![("zone-0".parse().unwrap(), HostId(0)), ("zone-2".parse().unwrap(), HostId(5))];
    let receivers: Vec<_> = plans(&hosts).iter().map(|plan| plan.receivers(0, &leaders)).collect();
    let ids = |ids: &[u16]| ids.iter().copied().map(HostId).collect::<Vec<_>>();
    assert_eq!(receivers[1], ids(&[0]));
    assert_eq!(receivers[0], ids(&[1, 2, 4, 5, 6]));
    assert_eq!(receivers[5], ids(&[0, 2, 4, 6]));
}

/// Guards against traffic that grows with the system: at 630 nodes no host talks to all others, an
/// ordinary host stays within its traffic, and everyone is watched by someone.
#[test]
fn no_host_talks_to_all_others_at_the_target_size() {
    let hosts = hosts(7, 90);
    let leaders = leaders(7, 90);
    let plans = plans(&hosts);
    let beats_per_s = 1_000 / HEARTBEAT_INTERVAL.as_millis() as usize;
    let tables = leaders.iter().map(|(zone, _)| ZoneDigest {
        zone: zone.clone(),
        version: TableVersion { term: TermNumber(1_000_000), number: 1_000_000 },
    });
    let digest =
        DigestSummary { control_index: 10_000_000, quarantine: u64::MAX, tables: tables.collect() };
    let full = Heartbeat { sequence: 100_000_000, is_ready: true, digest, ..Heartbeat::default() };
    let mut short = full.clone();
    short.digest.tables.clear();
    let encoded = |heartbeat: &Heartbeat| postcard::to_stdvec(heartbeat).unwrap().len();
    let (full, short) = (encoded(&full), encoded(&short));
    let mut most = 0;
    for (plan, own) in plans.iter().zip(&hosts) {
        let receivers = plan.receivers(0, &leaders);
        let is_leader = leaders.iter().any(|(_, id)| *id == own.id);
        most = most.max(receivers.len());
        if !is_leader && !own.control {
            let bytes_per_s = receivers.len()
                * (0..beats_per_s as u64)
                    .map(|beat| if plan.carries_tables(beat) { full } else { short })
                    .map(|bytes| bytes + FRAME_BYTES)
                    .sum::<usize>();
            assert!(receivers.len() <= 5, "{receivers:?}");
            assert!(bytes_per_s <= TRAFFIC_BUDGET_BYTES_PER_S, "{bytes_per_s}");
        }
    }
    println!("most_receivers={most} full_bytes={full} short_bytes={short}");
    assert!(most < 40);
    let watchers: BTreeSet<_> =
        plans.iter().flat_map(|plan| plan.expected_senders(&leaders)).collect();
    assert_eq!(watchers.len(), 630);
}

/// Guards against hosts that are called unreachable because nobody sends to them: whoever watches a
/// host receives each of its heartbeats.
#[test]
fn watched_hosts_send_in_every_beat() {
    for (zones, size) in [(3, 3), (4, 2), (7, 90), (1, 7), (1, 8), (1, 17), (1, 18)] {
        let hosts = hosts(zones, size);
        let leaders = leaders(zones, size);
        let plans = plans(&hosts);
        for (plan, own) in plans.iter().zip(&hosts) {
            for watched in plan.expected_senders(&leaders) {
                for beat in 0..3 {
                    let receivers = plans[usize::from(watched.0)].receivers(beat, &leaders);
                    assert!(receivers.contains(&own.id), "{watched} to {} at {beat}", own.id);
                }
            }
        }
    }
}

/// Guards against members of a large zone that the zone leader never sends to.
#[test]
fn zone_leaders_reach_every_member_in_turn() {
    let hosts = hosts(7, 90);
    let leaders = leaders(7, 90);
    let plan = HeartbeatPlan::new(&hosts[3], &hosts);
    let reached: BTreeSet<_> =
        (0..23).flat_map(|beat| plan.receivers(beat, &leaders)).filter(|id| id.0 < 90).collect();
    assert_eq!(reached.len(), 89);
}

fn heartbeat(sequence: u64, is_ready: bool) -> Heartbeat {
    Heartbeat { sequence, is_ready, ..Heartbeat::default() }
}

/// Guards against a lost host that is noticed late, a restart that is missed, an overtaken heartbeat
/// that takes the ready flag back, and a host that is called unreachable as soon as it is watched.
#[test]
fn directory_follows_heartbeats() {
    let host = HostId(2);
    let mut directory = HostDirectory::new([HostId(1), host], ms(0));
    directory.set_expected_senders(ms(0), &[host]);
    let mut receive = |now, boot, sequence, is_ready| {
        let heartbeat = heartbeat(sequence, is_ready);
        let mut changes = directory.tick(ms(now));
        changes.extend(directory.record_heartbeat(ms(now), host, BootId(boot), &heartbeat));
        changes
    };
    let ready = |is_ready| HostChange::ReadinessChanged { host, is_ready };
    let reachable = HostChange::Reachable { host };
    assert_eq!(receive(100, 5, 1, false), [reachable]);
    assert_eq!(receive(350, 5, 2, true), [ready(true)]);
    assert_eq!(receive(360, 5, 1, false), []);
    assert_eq!(receive(600, 4, 99, false), []);
    let unreachable = HostChange::Unreachable { host, since: ms(360) };
    assert_eq!(receive(1_360, 5, 3, true), [unreachable, reachable]);
    let restarted = HostChange::Restarted { host, previous: BootId(5), boot: BootId(6) };
    assert_eq!(receive(1_400, 6, 1, false), [restarted, ready(false)]);
    assert_eq!(directory.next_wakeup(), Some(ms(2_400)));
    assert_eq!(directory.tick(ms(2_399)), []);
    assert_eq!(directory.tick(ms(2_400)).len(), 1);
    assert_eq!(directory.tick(ms(9_000)), []);
    assert_eq!(directory.status(host).unwrap().unreachable_since, Some(ms(1_400)));
    assert!(!directory.is_reachable(host));
    assert_eq!(
        directory.record_heartbeat(ms(9_000), HostId(9), BootId(1), &heartbeat(1, true)),
        []
    );
    directory.set_expected_senders(ms(60_000), &[HostId(1)]);
    assert_eq!(directory.tick(ms(60_999)), []);
    let unheard = HostChange::Unreachable { host: HostId(1), since: ms(60_000) };
    assert_eq!(directory.tick(ms(61_000)), [unheard]);
}

fn version(number: u64) -> TableVersion {
    TableVersion { term: TermNumber(1), number }
}

fn summary(control_index: u64, zones: &[(&str, u64)]) -> DigestSummary {
    let tables = zones.iter().map(|(zone, number)| ZoneDigest {
        zone: zone.parse().unwrap(),
        version: version(*number),
    });
    DigestSummary { control_index, quarantine: 0, tables: tables.collect() }
}

/// Guards against fetches that are never repeated, repeated at once, or always asked of the same
/// silent host.
#[test]
fn fetches_back_off_and_change_their_source() {
    let mut digests = DigestTable::new();
    digests.record_digest(HostId(1), BootId(1), 1, &summary(10, &[]));
    digests.record_digest(HostId(2), BootId(1), 1, &summary(8, &[]));
    let mut asked = Vec::new();
    for now in 0..7_000 {
        let orders = digests.fetches(ms(now));
        asked.extend(orders.into_iter().map(|order| (now, order.from.0)));
    }
    assert_eq!(asked, [(0, 1), (200, 2), (600, 1), (1_400, 2), (3_000, 1), (6_200, 2)]);
    digests.set_control_index(8);
    let order = FetchRequest { from: HostId(1), item: FetchItem::Control };
    assert_eq!(digests.fetches(ms(7_000)), [order]);
    digests.set_control_index(10);
    assert_eq!(digests.fetches(ms(20_000)), []);
}

/// Guards against a restarted host that asks for everything at once.
#[test]
fn fetches_in_flight_are_bounded_and_control_goes_first() {
    let zones: Vec<_> = (0..7).map(|number| format!("zone-{number}")).collect();
    let zones: Vec<_> = zones.iter().map(|zone| (zone.as_str(), 3)).collect();
    let mut digests = DigestTable::new();
    digests.record_digest(HostId(1), BootId(1), 1, &summary(10, &zones));
    let first = digests.fetches(ms(0));
    assert_eq!(first.len(), MAX_FETCHES_IN_FLIGHT);
    assert_eq!(first[0].item, FetchItem::Control);
    assert_eq!(digests.fetches(ms(10)), []);
    digests.set_control_index(10);
    digests.set_table_version(&"zone-0".parse().unwrap(), version(3));
    assert_eq!(digests.fetches(ms(20)).len(), 2);
    let mut items: BTreeSet<_> = first.into_iter().map(|order| order.item).collect();
    for now in 20..3_000 {
        let orders = digests.fetches(ms(now));
        assert!(orders.len() <= MAX_FETCHES_IN_FLIGHT);
        items.extend(orders.into_iter().map(|order| order.item));
    }
    assert_eq!(items.len(), 8, "no item waits for ever behind others");
}

/// Guards against a digest that goes back with an overtaken heartbeat, and against one that a
/// restarted host no longer holds.
#[test]
fn digests_never_go_back_within_a_run() {
    fn holds(messages: Vec<(u8, u8, u8, u8)>) -> bool {
        let zone: ZoneName = "z".parse().unwrap();
        let mut digests = DigestTable::new();
        let mut highest = (0, 0, TableVersion::default());
        messages.into_iter().all(|(boot, sequence, index, table)| {
            let (boot, index) = (u64::from(boot % 3), u64::from(index));
            let digest = summary(index, &[("z", u64::from(table))]);
            digests.record_digest(HostId(1), BootId(boot), u64::from(sequence), &digest);
            let before = highest;
            let table = version(u64::from(table));
            if boot > highest.0 {
                highest = (boot, index, table);
            } else if boot == highest.0 {
                highest = (boot, highest.1.max(index), highest.2.max(table));
            }
            let current = (digests.highest_control_index(), digests.highest_table_version(&zone));
            let holders = digests.count_holders(&zone, highest.2);
            before.0 <= highest.0 && current == (highest.1, highest.2) && holders == 1
        })
    }
    let mut check = QuickCheck::new().rng(generator(19)).tests(300);
    check.quickcheck(holds as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}

/// Guards against quarantine fingerprints that are never compared, and against fetches from a host
/// that is gone.
#[test]
fn differing_quarantine_is_fetched_until_equal() {
    let digest = DigestSummary { quarantine: 7, ..DigestSummary::default() };
    let mut digests = DigestTable::new();
    digests.record_digest(HostId(1), BootId(1), 1, &digest);
    let order = FetchRequest { from: HostId(1), item: FetchItem::Quarantine };
    assert_eq!(digests.fetches(ms(0)), [order]);
    digests.set_quarantine_digest(7);
    assert_eq!(digests.fetches(ms(1_000)), []);
    digests.set_quarantine_digest(8);
    digests.remove(HostId(1));
    assert_eq!(digests.fetches(ms(2_000)), []);
}
