//! Network partitions between zones, and the time until changes reach every host, in simulated
//! time.
//!
//! `cargo test -p gw-node --test partitions -- --nocapture` prints the measured times.

mod support;

use std::time::Duration;

use gw_control::ControlCommand;
use gw_control::OperatorName;
use gw_control::ProfileChange;
use gw_control::WallTime;
use gw_membership::TargetReport;
use gw_membership::TroubleKind;
use gw_node::CallId;
use gw_node::NodeAction;
use gw_node::NodeEvent;
use gw_profile::ChangeId;
use gw_profile::Profile;
use gw_profile::Revision;
use gw_types::KeyHash;
use gw_types::TargetState;
use support::SimulatedCluster;

const SERVICE: &str = "slips";
const KEYS: u32 = 60;
const SEEDS: u64 = 8;
/// Required maximum time for which a key has no owner.
const LONGEST_GAP: Duration = Duration::from_secs(3);
/// Required maximum time until a profile change is in force on every host.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);
/// Required maximum time until every host knows that a target drains.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Default `zone_hold` of profiles.
const ZONE_HOLD: Duration = Duration::from_secs(30);
/// Time after `zone_hold` until the slots of an isolated zone are served elsewhere: the margin, the
/// control leader's planning interval of 500 ms, and a handover.
const AFTER_HOLD: Duration = Duration::from_secs(8);

struct Layout {
    sizes: &'static [usize],
    control: &'static [usize],
}

const LAYOUTS: [Layout; 2] = [
    Layout { sizes: &[3, 3, 2], control: &[0, 1, 3, 4, 6] },
    Layout { sizes: &[2, 2, 2, 2], control: &[0, 1, 2, 4, 6] },
];

fn new_cluster(layout: &Layout, seed: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(layout.sizes, layout.control, seed);
    for zone in 0..layout.sizes.len() {
        for number in 0..3 {
            let name = format!("t{zone}-{number}");
            cluster.add_target(SERVICE, &name, &format!("z{zone}"), number % 2 == 0);
        }
    }
    cluster.run(Duration::from_secs(12));
    cluster
}

fn keys() -> Vec<KeyHash> {
    (0..KEYS).map(|key| KeyHash::of(&key.to_le_bytes())).collect()
}

/// The hosts of the zones from number `first` on, and all other hosts.
fn split(cluster: &SimulatedCluster, first: usize) -> (Vec<usize>, Vec<usize>) {
    let zones: Vec<String> = (first..8).map(|zone| format!("z{zone}")).collect();
    (0..cluster.hosts.len())
        .partition(|host| zones.iter().any(|zone| cluster.hosts[*host].entry.zone.as_str() == zone))
}

/// Runs for `duration` and checks after every change that no key is served twice. Returns the
/// longest time for which a key in `watched` was not served.
fn run_single_owner(
    cluster: &mut SimulatedCluster,
    duration: Duration,
    watched: &[KeyHash],
) -> Duration {
    let end = cluster.now + duration;
    let mut since = vec![None; watched.len()];
    let mut longest = Duration::ZERO;
    while cluster.step_once(end) {
        if !std::mem::take(&mut cluster.changed) {
            continue;
        }
        for key in keys() {
            let servers = cluster.servers(SERVICE, key);
            assert!(servers.len() <= 1, "{}: key {key} is served by {servers:?}", cluster.now);
        }
        for (position, key) in watched.iter().enumerate() {
            if cluster.servers(SERVICE, *key).is_empty() {
                let start = *since[position].get_or_insert(cluster.now);
                longest = longest.max(cluster.now.since(start));
            } else {
                since[position] = None;
            }
        }
    }
    cluster.now = end;
    longest
}

/// Checks that each key is served at some time within the next 3 s. A key may be in a handover at
/// any single instant.
fn all_served(cluster: &mut SimulatedCluster) {
    let mut unserved = keys();
    let end = cluster.now + LONGEST_GAP;
    while cluster.now < end && !unserved.is_empty() {
        unserved.retain(|key| cluster.servers(SERVICE, *key).is_empty());
        cluster.run(Duration::from_millis(50));
    }
    assert!(unserved.is_empty(), "{}: keys {unserved:?} are not served", cluster.now);
}

/// Guards against an isolated zone that stops serving its keys before `zone_hold` ends, that
/// continues afterwards, or whose keys are then served twice or not at all.
#[test]
fn isolated_zone_serves_its_keys_for_zone_hold() {
    for layout in &LAYOUTS {
        for seed in 1..=2 {
            let mut cluster = new_cluster(layout, seed);
            let last_zone = layout.sizes.len() - 1;
            let (inside, outside) = split(&cluster, last_zone);
            let own: Vec<_> = keys()
                .into_iter()
                .filter(|key| inside.contains(&cluster.servers(SERVICE, *key)[0].0))
                .collect();
            assert!(!own.is_empty(), "the zone owns keys");
            cluster.block(&inside, &outside);
            let held = ZONE_HOLD - Duration::from_secs(2);
            let gap = run_single_owner(&mut cluster, held, &keys());
            println!("{:?} seed {seed}: longest gap during the cut {gap:?}", layout.sizes);
            assert!(gap <= LONGEST_GAP, "a key had no owner for {gap:?}");
            for key in &own {
                let servers = cluster.servers(SERVICE, *key);
                assert!(inside.contains(&servers[0].0), "key {key} left the zone: {servers:?}");
            }
            run_single_owner(&mut cluster, AFTER_HOLD, &[]);
            for key in &own {
                let servers = cluster.servers(SERVICE, *key);
                let is_outside = servers.first().is_some_and(|(host, _)| outside.contains(host));
                assert!(is_outside, "key {key} is not served outside: {servers:?}");
            }
            cluster.heal();
            run_single_owner(&mut cluster, Duration::from_secs(40), &[]);
            all_served(&mut cluster);
        }
    }
}

/// Guards against two owners of a key, or keys without an owner, while four zones are partitioned
/// into two halves.
#[test]
fn partition_into_halves_keeps_single_owners() {
    for seed in 1..=3 {
        let mut cluster = new_cluster(&LAYOUTS[1], seed);
        let (right, left) = split(&cluster, 2);
        cluster.block(&left, &right);
        let gap = run_single_owner(&mut cluster, Duration::from_secs(25), &keys());
        println!("2-2 split seed {seed}: longest gap {gap:?}");
        assert!(gap <= LONGEST_GAP, "a key had no owner for {gap:?}");
        cluster.heal();
        let gap = run_single_owner(&mut cluster, Duration::from_secs(20), &keys());
        assert!(gap <= LONGEST_GAP, "a key had no owner for {gap:?} after the split healed");
    }
}

/// Guards against a control leader that keeps granting leases while it is isolated in one direction
/// or both, and against zones that stop serving without it.
#[test]
fn isolated_control_leader_does_not_affect_other_zones() {
    for (seed, directions) in [(1, 1), (2, 2), (3, 3), (4, 3)] {
        let mut cluster = new_cluster(&LAYOUTS[0], seed);
        let leader = (0..cluster.hosts.len()).find(|host| {
            let now = cluster.clock(*host);
            cluster.hosts[*host].node.as_ref().is_some_and(|node| node.leads_control(now))
        });
        let leader = leader.expect("the group has a leader");
        let own_zone = cluster.hosts[leader].entry.zone.clone();
        for other in (0..cluster.hosts.len()).filter(|other| *other != leader) {
            let (own, other) = (cluster.hosts[leader].entry.id, cluster.hosts[other].entry.id);
            if directions & 1 != 0 {
                cluster.blocked_links.push((own, other));
            }
            if directions & 2 != 0 {
                cluster.blocked_links.push((other, own));
            }
        }
        let elsewhere: Vec<_> = keys()
            .into_iter()
            .filter(|key| {
                let host = cluster.servers(SERVICE, *key)[0].0;
                cluster.hosts[host].entry.zone != own_zone
            })
            .collect();
        let gap = run_single_owner(&mut cluster, Duration::from_secs(60), &elsewhere);
        println!("silent control leader, directions {directions}: longest gap {gap:?}");
        assert!(gap <= LONGEST_GAP, "a key of another zone had no owner for {gap:?}");
        cluster.heal();
        run_single_owner(&mut cluster, Duration::from_secs(15), &[]);
        all_served(&mut cluster);
    }
}

/// Guards against a report of a draining target that does not reach every host within 3 s, also
/// with 10% message loss. A host that does not know of it would send new requests to the target.
#[test]
fn report_to_any_host_reaches_all_hosts() {
    for loss in [0, 10] {
        let mut times = Vec::new();
        for seed in 1..=SEEDS {
            let mut cluster = new_cluster(&LAYOUTS[0], seed);
            cluster.links.loss_percent = loss;
            // A host of another zone than the target's.
            let report = TargetReport {
                target: "t0-0".parse().unwrap(),
                boot_id: gw_types::BootId(1),
                trouble: TroubleKind::Draining,
            };
            let start = cluster.now;
            let replies = cluster.event(7, NodeEvent::Report { call: CallId(1 << 40), report });
            assert!(matches!(replies[..], [NodeAction::Reported { .. }]), "{replies:?}");
            let knows = |cluster: &SimulatedCluster, host: usize| {
                let node = cluster.hosts[host].node.as_ref().expect("no host was killed");
                let table = node.zone_tables().iter().find(|table| table.zone.as_str() == "z0");
                let entry = table.and_then(|table| table.target("t0-0"));
                entry.is_some_and(|entry| entry.state == TargetState::Draining)
            };
            while !(0..cluster.hosts.len()).all(|host| knows(&cluster, host)) {
                cluster.run(Duration::from_millis(10));
                assert!(cluster.now.since(start) <= DRAIN_LIMIT, "loss {loss}% seed {seed}");
            }
            times.push(cluster.now.since(start));
        }
        times.sort();
        println!("report, loss {loss}%: median {:?} worst {:?}", times[4], times[7]);
    }
}

/// Guards against a profile change that is not in force on every host within 6 s after it was
/// proposed, also with 10% message loss.
#[test]
fn profile_change_is_in_force_everywhere() {
    for loss in [0, 10] {
        let mut times = Vec::new();
        for seed in 1..=SEEDS {
            let mut cluster = new_cluster(&LAYOUTS[1], seed);
            cluster.links.loss_percent = loss;
            let change = ProfileChange {
                change_id: ChangeId::new(format!("change-{seed}")).unwrap(),
                base: Revision(0),
                profile: Profile::with_defaults("night".parse().unwrap()),
                operator: OperatorName::new("ops").unwrap(),
                at: WallTime(0),
            };
            let start = cluster.now;
            let command = ControlCommand::ApplyProfile(change);
            cluster.event(5, NodeEvent::Propose { call: CallId(1 << 41), command });
            let knows = |cluster: &SimulatedCluster, host: usize| {
                let node = cluster.hosts[host].node.as_ref().expect("no host was killed");
                node.control_view().profile("night").is_some()
            };
            while !(0..cluster.hosts.len()).all(|host| knows(&cluster, host)) {
                cluster.run(Duration::from_millis(10));
                assert!(cluster.now.since(start) <= IN_FORCE_LIMIT, "loss {loss}% seed {seed}");
            }
            times.push(cluster.now.since(start));
        }
        times.sort();
        println!("profile change, loss {loss}%: median {:?} worst {:?}", times[4], times[7]);
    }
}
