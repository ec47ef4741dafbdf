use std::time::Duration;

use gw_membership::UNREACHABLE_AFTER;
use gw_node::HostNode;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::Timestamp;
use gw_types::ZoneName;

/// Which hosts and zones a host can reach, derived from the heartbeats that it receives.
///
/// A host receives heartbeats only from neighbours in its own zone, zone leaders and control
/// replicas. If all such hosts of another zone stop sending, the whole zone is treated as
/// unreachable.
pub(super) struct Reachability<'a> {
    node: &'a HostNode,
    /// Zones without a recent heartbeat, with the time since the last one. Sorted by zone.
    silent_zones: Vec<(ZoneName, Duration)>,
}

impl<'a> Reachability<'a> {
    pub(super) fn new(node: &'a HostNode, now: Timestamp) -> Self {
        let mut zones: Vec<_> = node.hosts().iter().map(|host| &host.zone).collect();
        zones.sort();
        zones.dedup();
        let silent_zones = zones.into_iter().filter_map(|zone| {
            let silence = unreachable_zone_silence(node, zone, now)?;
            Some((zone.clone(), silence))
        });
        Self { node, silent_zones: silent_zones.collect() }
    }

    /// Returns the time since the last heartbeat of `zone` if the zone is unreachable.
    pub(super) fn time_since_heartbeat(&self, zone: &str) -> Option<Duration> {
        let index =
            self.silent_zones.binary_search_by(|(known, _)| known.as_str().cmp(zone)).ok()?;
        Some(self.silent_zones[index].1)
    }

    /// Returns the hosts that are neither unreachable nor in an unreachable zone, sorted.
    pub(super) fn reachable_hosts(&self) -> Vec<HostId> {
        let own = self.node.entry().id;
        let is_unreachable = |host: &HostEntry| {
            let status = self.node.directory().status(host.id);
            status.is_some_and(|status| status.unreachable_since.is_some())
        };
        let hosts = self.node.hosts().iter().filter(|host| {
            let is_in_silent_zone = self.time_since_heartbeat(host.zone.as_str()).is_some();
            host.id == own || !(is_unreachable(host) || is_in_silent_zone)
        });
        hosts.map(|host| host.id).collect()
    }
}

/// Returns the time since the last heartbeat of another zone if an expected heartbeat is missing
/// and no host of the zone sent one within [`UNREACHABLE_AFTER`].
fn unreachable_zone_silence(node: &HostNode, zone: &ZoneName, now: Timestamp) -> Option<Duration> {
    if *zone == node.entry().zone {
        return None;
    }
    let members = node.hosts().iter().filter(|host| host.zone == *zone);
    let known: Vec<_> = members.filter_map(|host| node.directory().status(host.id)).collect();
    let is_unreachable = known.iter().any(|status| status.unreachable_since.is_some());
    let latest = known.iter().map(|status| status.last_heartbeat_at).max()?;
    let silence = now.since(latest);
    (is_unreachable && silence >= UNREACHABLE_AFTER).then_some(silence)
}
