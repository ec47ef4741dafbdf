use std::io::ErrorKind;

use gw_agreement::InjectedFault;
use gw_agreement::MembershipChange;
use gw_journal::CallKind;
use gw_types::HostId;

use super::checks::CheckResult;
use super::checks::Coverage;
use super::checks::Violation;
use super::cluster::Cluster;
use super::cluster::Network;
use super::replica::ClusterOptions;
use super::rng::Rng;

/// Time after the faults within which every member must apply all acknowledged proposals.
const RECOVERY_MILLIS: u64 = 10_000;
/// Number of faults injected in one schedule.
const FAULTS_PER_SCHEDULE: u64 = 25;

/// Composition of a group that schedules run on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Group {
    pub(crate) voters: u16,
    pub(crate) spares: u16,
    pub(crate) fault: Option<InjectedFault>,
    /// Whether replicas go on while their disks write. Disks then hang for up to seconds.
    pub(crate) overlaps_syncs: bool,
}

/// Injects faults drawn from `seed`, then heals them and checks that the group recovers.
pub(crate) fn run_schedule(group: Group, seed: u64) -> Result<Coverage, Violation> {
    let mut rng = Rng(seed);
    let options = ClusterOptions {
        fault: group.fault,
        max_command_bytes: 400,
        max_in_flight_bytes: 800,
        retained_bytes: 160,
        max_batch_bytes: if rng.percent(50) { 40 } else { 400 },
        max_batches_in_flight: rng.between(1, 4) as usize,
        retained_entries: rng.below(6),
        snapshot_every: rng.between(3, 20),
        snapshot_chunk_bytes: 24,
        snapshot_bytes: rng.between(8, 120) as usize,
        overlaps_syncs: group.overlaps_syncs,
    };
    let mut cluster = Cluster::new(rng.next(), group.voters, group.spares, options)?;
    cluster.run(rng.between(0, 1000))?;
    for _ in 0..FAULTS_PER_SCHEDULE {
        inject_fault(&mut cluster, group, &mut rng)?;
        for _ in 0..rng.between(1, 8) {
            let host = random_host(&cluster, &mut rng);
            let to = if rng.percent(70) { cluster.leader().unwrap_or(host) } else { host };
            cluster.propose(to)?;
            cluster.run(rng.between(1, 40))?;
        }
    }
    heal_and_check(&mut cluster)?;
    Ok(cluster.checks.coverage)
}

fn random_host(cluster: &Cluster, rng: &mut Rng) -> HostId {
    HostId(rng.between(1, cluster.replicas.len() as u64) as u16)
}

fn inject_fault(cluster: &mut Cluster, group: Group, rng: &mut Rng) -> CheckResult {
    let host = random_host(cluster, rng);
    let affected = if rng.percent(50) { cluster.leader().unwrap_or(host) } else { host };
    let changes_members = group.spares > 0 && rng.percent(20);
    match if changes_members { 11 } else { rng.below(18) } {
        0 | 1 => cluster.crash(affected, rng.between(10, 1500)),
        2 => {
            for host in cluster.hosts() {
                cluster.crash(host, rng.between(10, 600));
            }
        }
        3 => cluster.pause(affected, rng.between(10, 1500)),
        4 | 5 => cluster.partition(&[affected, host]),
        6 => {
            cluster.cut_links.insert((affected, random_host(cluster, rng)));
        }
        7 | 8 => {
            cluster.cut_links.clear();
            cluster.drop_entries_above = None;
        }
        9 => {
            let kind = if rng.percent(50) { CallKind::Sync } else { CallKind::Append };
            cluster.replica(affected).disk.fail_next(kind, ErrorKind::StorageFull);
        }
        10 => {
            let loss_chance = rng.below(30);
            cluster.network = Network {
                loss_chance,
                duplication_chance: rng.below(30),
                long_delay_chance: rng.below(20),
            };
        }
        11 if group.spares > 0 => {
            let change = match rng.below(10) {
                0..=2 => MembershipChange::Remove(host),
                3 | 4 => MembershipChange::Demote(host),
                5 => MembershipChange::Promote(host),
                _ => MembershipChange::Add(host),
            };
            cluster.with_replica(affected, |running, now| {
                let _ = running.node.change_membership(now, change);
            })?;
        }
        12 if rng.percent(40) => cluster.with_replica(affected, |running, now| {
            let _ = running.node.transfer_leadership(now);
        })?,
        12 | 15 if group.overlaps_syncs => cluster.hang_disk(affected, rng.between(10, 3000)),
        13 | 14 => cluster.drop_entries_above = Some(cluster.highest_term()),
        _ => cluster.run(rng.between(200, 1200))?,
    }
    Ok(())
}

/// Heals all faults. The group must then commit a proposal, and every member must apply all
/// acknowledged proposals.
fn heal_and_check(cluster: &mut Cluster) -> CheckResult {
    cluster.cut_links.clear();
    cluster.drop_entries_above = None;
    cluster.network = Network::default();
    cluster.run(2000)?;
    let acknowledged = cluster.checks.acknowledged.len();
    let mut waited = 0;
    while cluster.checks.acknowledged.len() == acknowledged {
        if waited >= RECOVERY_MILLIS {
            return Err(Violation::Progress("nothing is committed after the faults".to_owned()));
        }
        if let Some(leader) = cluster.leader() {
            cluster.propose(leader)?;
        }
        cluster.run(100)?;
        waited += 100;
    }
    let members = current_members(cluster);
    let members_of = members.clone();
    cluster.run_until(RECOVERY_MILLIS, move |cluster| {
        // Proposals that were made before may be acknowledged only now, after a disk has hung.
        let last = cluster.checks.acknowledged.keys().last().copied().unwrap_or_default();
        members_of.iter().all(|&host| cluster.applied(host) >= last)
    })?;
    members
        .into_iter()
        .try_for_each(|host| cluster.checks.check_acknowledged(host, cluster.applied(host)))
}

fn current_members(cluster: &mut Cluster) -> Vec<HostId> {
    let Some(leader) = cluster.leader() else { return Vec::new() };
    let Some(running) = cluster.running(leader) else { return Vec::new() };
    running.node.membership().members().collect()
}
