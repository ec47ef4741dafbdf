//! Detection of a lost path to targets, and the choice of relays.

use std::net::SocketAddr;
use std::time::Duration;

use gw_balance::PathMonitor;
use gw_balance::RelayHost;
use gw_balance::RelayPeer;
use gw_balance::RelayPool;
use gw_balance::RelayTable;
use gw_types::HostName;
use gw_types::Timestamp;
use gw_types::ZoneName;

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 8_000).into()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

#[derive(Clone, Copy)]
enum Event {
    Sent,
    Response,
    Connected,
    /// No connection to the target with this number.
    Unreachable(u8),
}

struct PathCase {
    name: &'static str,
    /// Events with their time in milliseconds.
    events: &'static [(u64, Event)],
    /// Time of the check in milliseconds.
    checked_at: u64,
    needs_probe: bool,
}

/// Guards against a host that takes ended targets for a lost path, and against one that goes on
/// sending to targets it cannot reach.
#[test]
fn the_path_is_probed_when_several_targets_in_a_row_cannot_be_reached() {
    use Event::*;
    let cases = [
        PathCase {
            name: "one target has ended",
            events: &[(0, Unreachable(1)), (100, Unreachable(1)), (200, Unreachable(1))],
            checked_at: 300,
            needs_probe: false,
        },
        PathCase {
            name: "three targets cannot be reached",
            events: &[(0, Unreachable(1)), (100, Unreachable(2)), (200, Unreachable(3))],
            checked_at: 200,
            needs_probe: true,
        },
        PathCase {
            name: "another target was reached in between",
            events: &[
                (0, Unreachable(1)),
                (100, Unreachable(2)),
                (150, Connected),
                (200, Unreachable(3)),
            ],
            checked_at: 200,
            needs_probe: false,
        },
        PathCase {
            name: "open connections work, new ones are refused",
            events: &[
                (0, Unreachable(1)),
                (50, Response),
                (100, Unreachable(2)),
                (150, Response),
                (200, Unreachable(3)),
                (250, Response),
            ],
            checked_at: 300,
            needs_probe: true,
        },
        PathCase {
            name: "three targets ended one after the other",
            events: &[(0, Unreachable(1)), (3_000, Unreachable(2)), (6_000, Unreachable(3))],
            checked_at: 6_000,
            needs_probe: false,
        },
        PathCase {
            name: "a target is reached again",
            events: &[
                (0, Unreachable(1)),
                (1, Unreachable(2)),
                (2, Unreachable(3)),
                (500, Connected),
            ],
            checked_at: 500,
            needs_probe: false,
        },
        PathCase {
            name: "requests are in flight and nothing responds",
            events: &[(0, Sent), (300, Sent)],
            checked_at: 401,
            needs_probe: true,
        },
        PathCase {
            name: "one of the requests was answered",
            events: &[(0, Sent), (300, Sent), (350, Response)],
            checked_at: 401,
            needs_probe: false,
        },
    ];
    for case in cases {
        let mut monitor = PathMonitor::default();
        for &(millis, event) in case.events {
            match event {
                Sent => monitor.record_sent(at(millis)),
                Response => monitor.record_response(),
                Connected => monitor.record_connected(),
                Unreachable(target) => monitor.record_unreachable(at(millis), address(target)),
            }
        }
        assert!(!monitor.is_lost(), "{}", case.name);
        assert_eq!(monitor.needs_probe(at(case.checked_at)), case.needs_probe, "{}", case.name);
        // Only a probe decides, and a connection that succeeds ends the doubt.
        monitor.record_probe_failed();
        assert!(monitor.is_lost() && monitor.needs_probe(at(case.checked_at)), "{}", case.name);
        monitor.record_connected();
        assert!(!monitor.is_lost() && !monitor.needs_probe(at(60_000)), "{}", case.name);
    }
}

fn relay_host(zone: usize, number: usize) -> RelayHost {
    RelayHost {
        zone: ZoneName::new(format!("z{zone}")).expect("a zone"),
        host: HostName::new(format!("z{zone}-h{number:02}")).expect("a name"),
        address: ([10, zone as u8, 0, number as u8], 7_000).into(),
    }
}

struct SpreadCase {
    zones: usize,
    hosts_per_zone: usize,
    /// Hosts of the first zone that have lost their path.
    lost: usize,
    /// Largest number of hosts for which one host may be a relay.
    max_clients: usize,
}

/// Guards against one host that is the relay of a whole zone, and against hosts that are their own
/// relay or have none.
#[test]
fn relays_are_spread_over_the_hosts_that_reach_targets() {
    let cases = [
        SpreadCase { zones: 1, hosts_per_zone: 2, lost: 1, max_clients: 1 },
        SpreadCase { zones: 3, hosts_per_zone: 3, lost: 2, max_clients: 2 },
        SpreadCase { zones: 3, hosts_per_zone: 3, lost: 3, max_clients: 3 },
        SpreadCase { zones: 5, hosts_per_zone: 57, lost: 57, max_clients: 6 },
        SpreadCase { zones: 1, hosts_per_zone: 30, lost: 24, max_clients: 16 },
    ];
    for SpreadCase { zones, hosts_per_zone, lost, max_clients } in cases {
        let all: Vec<RelayHost> = (0..zones)
            .flat_map(|zone| (0..hosts_per_zone).map(move |host| relay_host(zone, host)))
            .collect();
        let (lost, reaching) = all.split_at(lost);
        let table = RelayTable::new(reaching.to_vec());
        let mut clients = vec![0; reaching.len()];
        for host in lost {
            let relays = table.choose(&host.host, &host.zone);
            assert!(!relays.is_empty() && !relays.contains(host), "{host:?}: {relays:?}");
            let has_same_zone = reaching.iter().any(|relay| relay.zone == host.zone);
            assert_eq!(relays[0].zone == host.zone, has_same_zone, "{host:?}: {relays:?}");
            for relay in relays {
                clients[reaching.iter().position(|known| *known == relay).expect("known")] += 1;
            }
        }
        let most = clients.iter().copied().max().unwrap_or(0);
        assert!(most <= max_clients, "{zones} zones of {hosts_per_zone}: {most} clients");
    }
}

/// Guards against requests that wait for a relay that was just found not to work, and against
/// traffic between zones while a relay of the same zone works.
#[test]
fn relays_of_the_same_zone_are_used_in_turn_and_failed_ones_are_avoided() {
    let peer = |number, is_same_zone| RelayPeer { address: address(number), is_same_zone };
    let mut pool = RelayPool::default();
    assert_eq!(pool.choose(at(0), &[]), None);
    pool.update([peer(1, true), peer(2, true), peer(3, false)]);
    let mut chosen: Vec<_> = (0..4).filter_map(|_| pool.choose(at(0), &[])).collect();
    chosen.sort();
    assert_eq!(chosen, [address(1), address(1), address(2), address(2)]);
    assert_eq!(pool.choose(at(0), &[address(1)]), Some(address(2)));
    [1, 1, 2, 2, 2].map(address).into_iter().for_each(|relay| pool.leave(relay));
    pool.record_failed(at(0), address(1));
    pool.record_failed(at(0), address(2));
    assert_eq!(pool.choose(at(999), &[]), Some(address(3)));
    assert_eq!(pool.choose(at(999), &[address(3)]), None);
    // A relay that stays in the list stays avoided.
    pool.update([peer(1, true), peer(3, false)]);
    assert_eq!(pool.choose(at(999), &[]), Some(address(3)));
    assert_eq!(pool.choose(at(1_000), &[]), Some(address(1)));
}

/// Guards against refusals of busy relays that fill their links, and against relays that stay unused
/// once they take requests again.
#[test]
fn busy_relays_are_asked_less_often() {
    let mut pool = RelayPool::default();
    pool.update([RelayPeer { address: address(1), is_same_zone: true }]);
    let mut asked = Vec::new();
    for millis in 0..10_000 {
        let now = at(millis);
        let is_busy = millis < 5_000;
        while pool.choose(now, &[]).is_some() {
            asked.push(millis);
            match is_busy {
                true => pool.record_busy(now, address(1)),
                false => pool.record_taken(address(1)),
            }
            pool.leave(address(1));
            if !is_busy {
                break;
            }
        }
    }
    let while_busy = asked.iter().filter(|millis| **millis < 5_000).count();
    assert!(while_busy <= 5, "{while_busy} requests in 5 s");
    assert!(asked.len() > 2_500, "{} requests", asked.len());
    pool.record_slow(address(1));
    let in_flight = std::iter::from_fn(|| pool.choose(at(10_000), &[])).count();
    assert_eq!(in_flight, 32, "half of the largest window");
}
