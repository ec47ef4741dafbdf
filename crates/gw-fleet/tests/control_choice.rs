//! Connections between entry hosts and control hosts as the system grows.

use std::net::SocketAddr;

use gw_fleet::ControlChoice;
use gw_types::HostName;
use gw_types::ZoneName;

const ZONES: usize = 5;

struct SizeCase {
    entry_hosts: usize,
    control_hosts: usize,
    /// Largest number of connections of one entry host.
    max_of_entry_host: usize,
    /// Largest number of connections of a control host that does not lead.
    max_of_follower: usize,
}

fn zone(number: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", number % ZONES)).expect("a valid name")
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number as u8], 7_540))
}

fn group(count: usize) -> ControlChoice {
    let hosts = (0..count).map(|number| (address(number), Some(zone(number)))).collect();
    ControlChoice { hosts, leader: Some(address(0)) }
}

/// Guards against connections, and with them heads and reports, that grow with the product of entry
/// hosts and control hosts.
#[test]
fn connections_grow_with_the_entry_hosts_only() {
    let cases = [
        // A small group is connected completely.
        SizeCase { entry_hosts: 27, control_hosts: 3, max_of_entry_host: 3, max_of_follower: 27 },
        SizeCase { entry_hosts: 95, control_hosts: 5, max_of_entry_host: 5, max_of_follower: 95 },
        // Per entry host: 3 of its zone, the leader, 2 others. Per follower: a zone's entry hosts,
        // and its part of the others, with room for an uneven spread.
        SizeCase {
            entry_hosts: 285,
            control_hosts: 15,
            max_of_entry_host: 6,
            max_of_follower: 57 + 90,
        },
        SizeCase {
            entry_hosts: 950,
            control_hosts: 15,
            max_of_entry_host: 6,
            max_of_follower: 190 + 250,
        },
    ];
    for case in cases {
        let group = group(case.control_hosts);
        let mut connections = vec![0; case.control_hosts];
        for number in 0..case.entry_hosts {
            let host = HostName::new(format!("entry-{number}")).expect("a valid name");
            let chosen = group.choose(&host, &zone(number));
            assert!(
                chosen.len() <= case.max_of_entry_host,
                "{}: {}",
                case.entry_hosts,
                chosen.len()
            );
            assert!(chosen.contains(&address(0)), "the leader");
            let has_own_zone = chosen.iter().any(|chosen| {
                let known = group.hosts.iter().find(|(address, _)| address == chosen);
                known.is_some_and(|(_, other)| *other == Some(zone(number)))
            });
            assert!(has_own_zone || case.control_hosts < ZONES, "{number}");
            for chosen in chosen {
                let position = group.hosts.iter().position(|(address, _)| *address == chosen);
                connections[position.expect("a control host")] += 1;
            }
        }
        let most = connections[1..].iter().copied().max().unwrap_or(0);
        assert!(most <= case.max_of_follower, "{}: {most}", case.entry_hosts);
    }
}

/// Guards against hosts that know neither zones nor the leader and connect to nobody.
#[test]
fn unknown_zones_still_give_connections() {
    let mut group = group(15);
    group.hosts.iter_mut().for_each(|(_, zone)| *zone = None);
    group.leader = None;
    let host = HostName::new("entry-1").expect("a valid name");
    assert_eq!(group.choose(&host, &zone(1)).len(), 2);
}
