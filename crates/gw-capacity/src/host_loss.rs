use std::time::Duration;

use gw_types::HostId;
use gw_types::TargetName;

use crate::Cluster;
use crate::HostRole;
use crate::SimulatedHost;

/// Result of measuring how long the replacement of a lost host takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostReplacement {
    /// No host of the role dispatches to a target.
    NoSuchHost,
    /// Other hosts took over all targets after this time.
    After(Duration),
    /// Some target was not taken over within the limit.
    TooLate,
}

/// Stops a host of `role` and measures the time until other hosts may dispatch to each target that
/// it dispatched to, and all entry hosts know these dispatchers.
///
/// A host that has several roles loses all of them.
pub fn time_to_replace_host(
    cluster: &mut Cluster,
    role: HostRole,
    limit: Duration,
) -> HostReplacement {
    let roles = cluster.roles();
    let dispatches_targets = |host: &usize| !cluster.hosts()[*host].plan.assignments.is_empty();
    let Some(lost) = (0..roles.len()).filter(|host| roles[*host] == role).find(dispatches_targets)
    else {
        return HostReplacement::NoSuchHost;
    };
    let targets = dispatched_by(&cluster.hosts()[lost]);
    let lost_id = cluster.hosts()[lost].entry.id;
    cluster.stop_host(lost);
    // Hosts learn of changes at different times, so all are checked at the same time.
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
    host.plan.assignments.iter().map(|assignment| assignment.target.name.clone()).collect()
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
