use std::time::Duration;

use gw_types::HostId;
use gw_types::TargetName;

use crate::Cluster;
use crate::HostRole;
use crate::SimulatedHost;

/// What came of the loss of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostReplacement {
    /// No host of the role dispatched a target.
    NoSuchHost,
    /// Other hosts took over after this time.
    After(Duration),
    /// Not all targets were taken over before the limit.
    TooLate,
}

/// Time from the loss of a host of `role` until another host may send to each target that the lost
/// one dispatched, and all entry hosts know it.
///
/// Where one host has two of the roles, the loss is of both.
pub fn time_to_replace_host(
    cluster: &mut Cluster,
    role: HostRole,
    limit: Duration,
) -> HostReplacement {
    let roles = cluster.roles();
    let has_duties = |host: &usize| !cluster.hosts()[*host].plan.assignments.is_empty();
    let Some(lost) = (0..roles.len()).filter(|host| roles[*host] == role).find(has_duties) else {
        return HostReplacement::NoSuchHost;
    };
    let targets = dispatched_by(&cluster.hosts()[lost]);
    let lost_id = cluster.hosts()[lost].entry.id;
    cluster.stop_host(lost);
    // Hosts lag each other, so all of them must agree at one time.
    let start = cluster.now();
    while cluster.now().since(start) < limit {
        cluster.run(Duration::from_millis(1));
        if is_replaced(cluster, lost_id, &targets) {
            return HostReplacement::After(cluster.now().since(start));
        }
    }
    HostReplacement::TooLate
}

fn dispatched_by(host: &SimulatedHost) -> Vec<TargetName> {
    host.plan.assignments.iter().map(|duty| duty.target.name.clone()).collect()
}

fn is_replaced(cluster: &Cluster, lost: HostId, targets: &[TargetName]) -> bool {
    let mut hosts = cluster.hosts().iter().filter(|host| host.entry.is_entry());
    hosts.all(|host| {
        targets.iter().all(|target| {
            let Some(node) = &host.node else { return true };
            let mut tables = node.zone_tables().iter();
            let entry = tables.find_map(|table| table.target(target.as_str()));
            let dispatcher = entry.and_then(|entry| entry.dispatcher);
            match dispatcher.filter(|dispatcher| *dispatcher != lost) {
                Some(own) if own == host.entry.id => node.may_dispatch(cluster.now(), target),
                dispatcher => dispatcher.is_some(),
            }
        })
    })
}
