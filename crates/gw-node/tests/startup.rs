//! Start of a system until every key is served: elections, zone grants, delegations, dispatchers.

mod support;

use std::time::Duration;

use gw_types::KeyHash;
use support::SimulatedCluster;

struct Case {
    name: &'static str,
    sizes: &'static [usize],
    control: &'static [usize],
    targets_per_zone: usize,
}

/// Guards against a system that does not serve all keys after its start, in each layout in use.
#[test]
fn every_key_is_served_after_the_start() {
    let cases = [
        Case { name: "one host", sizes: &[1], control: &[0], targets_per_zone: 2 },
        Case { name: "3 zones", sizes: &[3, 3, 2], control: &[0, 3, 6], targets_per_zone: 4 },
        Case { name: "4 zones", sizes: &[2, 2, 2, 2], control: &[0, 2, 4], targets_per_zone: 3 },
    ];
    for case in cases {
        let mut cluster = SimulatedCluster::new(case.sizes, case.control, 7);
        for zone in 0..case.sizes.len() {
            for number in 0..case.targets_per_zone {
                let name = format!("t{zone}-{number}");
                cluster.add_target("slips", &name, &format!("z{zone}"), true);
            }
        }
        cluster.run(Duration::from_secs(8));
        for zone in 0..case.sizes.len() {
            // The key check below would pass without this one, because the slots of a zone without
            // a leader are delegated to the other zones.
            let holders = cluster.zone_holders(&format!("z{zone}").parse().unwrap());
            assert_eq!(holders.len(), 1, "{}: zone {zone} is led by {holders:?}", case.name);
        }
        for key in 0..500u32 {
            let key = KeyHash::of(&key.to_le_bytes());
            let servers = cluster.servers("slips", key);
            assert_eq!(servers.len(), 1, "{}: key {key} is served by {servers:?}", case.name);
        }
    }
}
