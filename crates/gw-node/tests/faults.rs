//! Safety and recovery under randomly generated fault schedules, in simulated time.
//!
//! The environment variables `GW_SEED` and `GW_SCHEDULES` set the first seed and the number of
//! schedules.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use gw_node::HostNode;
use gw_node::NodeEvent;
use gw_types::FencingToken;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::TargetName;
use support::Generator;
use support::SimulatedCluster;

const SERVICE: &str = "slips";
const KEYS: u32 = 12;
const DEFAULT_SCHEDULES: u64 = 400;
/// Kinds of faults, without and with full disks.
const KINDS: u64 = 12;
const KINDS_WITH_DISKS: u64 = 16;
const DEFAULT_SEED: u64 = 1;
const THREADS: u64 = 8;
const WARM_UP: Duration = Duration::from_secs(7);
const FAULTS: Duration = Duration::from_secs(14);
const RECOVERY: Duration = Duration::from_secs(20);
/// Time within which each key must be served once after the recovery. A key may be in a handover at
/// any single instant.
const LAST_LOOK: Duration = Duration::from_secs(3);

struct Layout {
    sizes: &'static [usize],
    control: &'static [usize],
}

const LAYOUTS: [Layout; 4] = [
    Layout { sizes: &[3, 3, 2], control: &[0, 3, 6] },
    Layout { sizes: &[2, 2, 2, 2], control: &[0, 2, 4] },
    Layout { sizes: &[1, 1, 1], control: &[0, 1, 2] },
    Layout { sizes: &[3], control: &[0, 1, 2] },
];

/// Checks the invariants after each change. Keeps the state that has to be monotonic.
#[derive(Default)]
struct InvariantCheck {
    /// Highest token under which each key was served, with the owner.
    tokens: BTreeMap<KeyHash, (FencingToken, TargetName)>,
    /// Highest control log index applied by each process of a host, by host id and boot number.
    indexes: BTreeMap<(HostId, u64), u64>,
}

impl InvariantCheck {
    fn check(&mut self, cluster: &SimulatedCluster, keys: &[KeyHash]) -> Result<(), String> {
        for key in keys {
            self.check_key(cluster, *key)?;
        }
        let mut zones: Vec<_> = cluster.hosts.iter().map(|host| host.entry.zone.clone()).collect();
        zones.dedup();
        for zone in zones {
            let holders = cluster.zone_holders(&zone);
            if holders.len() > 1 {
                return Err(format!("zone {zone} is led by hosts {holders:?}"));
            }
        }
        self.check_indexes(cluster)
    }

    fn check_key(&mut self, cluster: &SimulatedCluster, key: KeyHash) -> Result<(), String> {
        let servers = cluster.servers(SERVICE, key);
        if servers.len() > 1 {
            return Err(format!("key {key} is served by {servers:?}"));
        }
        let Some((host, target)) = servers.into_iter().next() else { return Ok(()) };
        let open = cluster.requests.iter().find(|request| request.key == key);
        if let Some(request) = open.filter(|request| request.target != target) {
            return Err(format!("key {key} is served by {target} during {request:?}"));
        }
        let routes = cluster.hosts[host].routes.service(SERVICE).expect("the host serves it");
        let token = routes.key_route(key).token;
        let seen = self.tokens.entry(key).or_insert_with(|| (token, target.clone()));
        if token < seen.0 || (token == seen.0 && target != seen.1) {
            return Err(format!("key {key}: {target} serves under {token} after {seen:?}"));
        }
        *seen = (token, target);
        Ok(())
    }

    /// Checks that the applied index of a process never decreases.
    fn check_indexes(&mut self, cluster: &SimulatedCluster) -> Result<(), String> {
        for host in &cluster.hosts {
            let Some(node) = &host.node else { continue };
            let applied = node.control_state().applied();
            let seen = self.indexes.entry((host.entry.id, host.boot)).or_default();
            if applied < *seen {
                return Err(format!("host {} went from {seen} to {applied}", host.entry.id));
            }
            *seen = applied;
        }
        Ok(())
    }
}

fn new_cluster(seed: u64) -> SimulatedCluster {
    let layout = &LAYOUTS[(seed % LAYOUTS.len() as u64) as usize];
    let mut cluster = SimulatedCluster::new(layout.sizes, layout.control, seed);
    for zone in 0..layout.sizes.len() {
        for number in 0..3 {
            let name = format!("t{zone}-{number}");
            cluster.add_target(SERVICE, &name, &format!("z{zone}"), number % 2 == 0);
        }
    }
    cluster
}

/// Injects one random fault of the first `kinds`.
fn inject(cluster: &mut SimulatedCluster, random: &mut Generator, kinds: u64) {
    let hosts = cluster.hosts.len() as u64;
    let host = random.below(hosts) as usize;
    let targets = cluster.targets.len() as u64;
    match random.below(kinds) {
        0 => cluster.kill(host),
        1 | 2 => {
            cluster.kill(host);
            cluster.start(host);
        }
        3 => cluster.pause(host, Duration::from_millis(200 + random.below(4_000))),
        4 => {
            let zone = cluster.hosts[host].entry.zone.clone();
            let is_inside = |position: &usize| cluster.hosts[*position].entry.zone == zone;
            let (inside, outside): (Vec<_>, Vec<_>) = (0..cluster.hosts.len()).partition(is_inside);
            cluster.block(&inside, &outside);
        }
        5 => {
            let other = random.below(hosts) as usize;
            cluster.blocked_links.push((HostId(host as u16), HostId(other as u16)));
        }
        6 => {
            let others: Vec<_> = (0..cluster.hosts.len()).filter(|other| *other != host).collect();
            cluster.block(&[host], &others);
        }
        7 => cluster.heal(),
        8 => {
            let target = random.below(targets) as usize;
            cluster.targets[target].is_alive = !cluster.targets[target].is_alive;
        }
        9 => {
            cluster.event(host, NodeEvent::Shutdown);
        }
        10 => {
            let target = &mut cluster.targets[random.below(targets) as usize];
            let boot = &mut target.announcement.boot_id.0;
            *boot += 1;
            let name = target.announcement.target.clone();
            // A restarted target has lost the requests of its previous process.
            cluster.requests.retain(|request| request.target != name);
        }
        11 => {
            cluster.links.loss_percent = random.below(20);
            cluster.links.duplicate_percent = random.below(10);
            cluster.links.jitter = Duration::from_millis(random.below(30));
        }
        _ => {
            let duration = Duration::from_millis(500 + random.below(4_000));
            cluster.hosts[host].full_until = cluster.now + duration;
        }
    }
}

fn run_schedule(seed: u64, kinds: u64) -> Result<(), String> {
    let mut cluster = new_cluster(seed);
    let mut random = Generator(seed.wrapping_mul(0x5851_f42d_4c95_7f2d) + 1);
    let keys: Vec<_> = (0..KEYS).map(|key| KeyHash::of(&key.to_le_bytes())).collect();
    let mut check = InvariantCheck::default();
    let mut run = |cluster: &mut SimulatedCluster, duration: Duration| -> Result<(), String> {
        let end = cluster.now + duration;
        while cluster.step_once(end) {
            if std::mem::take(&mut cluster.changed) {
                check.check(cluster, &keys).map_err(|fault| format!("{}: {fault}", cluster.now))?;
            }
        }
        cluster.now = end;
        Ok(())
    };
    run(&mut cluster, WARM_UP)?;
    let end = cluster.now + FAULTS;
    while cluster.now < end {
        inject(&mut cluster, &mut random, kinds);
        for key in &keys {
            let duration = Duration::from_millis(random.below(1_000));
            cluster.send_request(SERVICE, *key, duration);
        }
        run(&mut cluster, Duration::from_millis(random.below(1_200)))?;
    }
    repair(&mut cluster);
    run(&mut cluster, RECOVERY)?;
    let mut unserved = keys.clone();
    let end = cluster.now + LAST_LOOK;
    while cluster.now < end && !unserved.is_empty() {
        unserved.retain(|key| cluster.servers(SERVICE, *key).is_empty());
        run(&mut cluster, Duration::from_millis(100))?;
    }
    all_recovered(&cluster, &unserved)
}

fn repair(cluster: &mut SimulatedCluster) {
    cluster.heal();
    cluster.links = support::LinkOptions::default();
    for host in 0..cluster.hosts.len() {
        let is_closing = cluster.hosts[host].node.as_ref().is_none_or(HostNode::is_closing);
        if is_closing {
            cluster.start(host);
        }
    }
    for host in &mut cluster.hosts {
        host.full_until = cluster.now;
    }
    for target in &mut cluster.targets {
        target.is_alive = true;
    }
}

/// Checks that each zone has a leader and that no key is left unserved.
fn all_recovered(cluster: &SimulatedCluster, unserved: &[KeyHash]) -> Result<(), String> {
    for host in &cluster.hosts {
        let zone = &host.entry.zone;
        if cluster.zone_holders(zone).is_empty() {
            return Err(format!("{}: zone {zone} has no leader after the repair", cluster.now));
        }
    }
    match unserved.first() {
        Some(key) => Err(format!("{}: key {key} is not served after the repair", cluster.now)),
        None => Ok(()),
    }
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against two owners of a key, two leaders of a zone, decreasing tokens, decreasing applied
/// indexes, and a system that does not recover. The faults are kills, restarts without in-memory
/// state, pauses, partitions of zones and hosts, one-way losses, message loss, duplication, jitter,
/// shutdowns, and targets that stop announcing themselves or restart.
#[test]
fn invariants_hold_under_generated_faults() {
    run_schedules(KINDS);
}

/// Guards against the same while disks of control replicas are full for some time: a replica that starts
/// again from what its journal holds, behind what its host has learned meanwhile.
#[test]
fn invariants_hold_with_full_disks() {
    run_schedules(KINDS_WITH_DISKS);
}

fn run_schedules(kinds: u64) {
    let first = number("GW_SEED", DEFAULT_SEED);
    let count = number("GW_SCHEDULES", DEFAULT_SCHEDULES);
    let faults: Vec<_> = std::thread::scope(|scope| {
        let run = |thread: u64| {
            move || -> Vec<String> {
                let seeds = (first..first + count).filter(|seed| seed % THREADS == thread);
                let faults = seeds.filter_map(|seed| {
                    run_schedule(seed, kinds).err().map(|fault| format!("seed {seed}: {fault}"))
                });
                faults.collect()
            }
        };
        let threads: Vec<_> = (0..THREADS).map(|thread| scope.spawn(run(thread))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    });
    assert!(faults.is_empty(), "{} of {count} schedules:\n{}", faults.len(), faults.join("\n"));
}
