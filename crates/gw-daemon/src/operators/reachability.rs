use std::time::Duration;

use gw_membership::UNREACHABLE_AFTER;
use gw_node::HostNode;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::Timestamp;
use gw_types::ZoneName;

/// Which hosts and zones a host can reach, by the heartbeats that it gets.
///
/// Only zone leaders, control replicas and neighbours in the zone send to a host, so the silence of
/// those of another zone speaks for the whole zone.
pub(super) struct Reachability<'a> {
    node: &'a HostNode,
    /// Zones without a recent heartbeat, with the time since the last. Sorted.
    silences: Vec<(ZoneName, Duration)>,
}

impl<'a> Reachability<'a> {
    pub(super) fn new(node: &'a HostNode, now: Timestamp) -> Self {
        let mut zones: Vec<_> = node.hosts().iter().map(|host| &host.zone).collect();
        zones.sort();
        zones.dedup();
        let silences = zones.into_iter().filter_map(|zone| {
            let silence = zone_silence(node, zone, now)?;
            Some((zone.clone(), silence))
        });
        Self { node, silences: silences.collect() }
    }

    /// Time since the last heartbeat of `zone`, when some are missing and none came of late.
    pub(super) fn silence_of(&self, zone: &str) -> Option<Duration> {
        let place = self.silences.binary_search_by(|(known, _)| known.as_str().cmp(zone)).ok()?;
        Some(self.silences[place].1)
    }

    /// The hosts that nothing speaks against reaching, sorted.
    pub(super) fn reachable_hosts(&self) -> Vec<HostId> {
        let own = self.node.entry().id;
        let is_missed = |host: &HostEntry| {
            let status = self.node.directory().status(host.id);
            status.is_some_and(|status| status.unreachable_since.is_some())
        };
        let hosts = self.node.hosts().iter().filter(|host| {
            let is_cut_off = self.silence_of(host.zone.as_str()).is_some();
            host.id == own || !(is_missed(host) || is_cut_off)
        });
        hosts.map(|host| host.id).collect()
    }
}

fn zone_silence(node: &HostNode, zone: &ZoneName, now: Timestamp) -> Option<Duration> {
    if *zone == node.entry().zone {
        return None;
    }
    let members = node.hosts().iter().filter(|host| host.zone == *zone);
    let known: Vec<_> = members.filter_map(|host| node.directory().status(host.id)).collect();
    let is_missed = known.iter().any(|status| status.unreachable_since.is_some());
    let latest = known.iter().map(|status| status.last_heartbeat_at).max()?;
    let silence = now.since(latest);
    (is_missed && silence >= UNREACHABLE_AFTER).then_some(silence)
}
