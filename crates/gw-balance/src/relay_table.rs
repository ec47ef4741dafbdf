use std::net::SocketAddr;

use gw_types::HostName;
use gw_types::KeyHash;
use gw_types::ZoneName;

/// Largest number of relays that a host is given in its own availability zone.
const OWN_ZONE_RELAYS: usize = 3;
/// Largest number of relays that a host is given in other zones, one of which may be cut off.
const OTHER_ZONE_RELAYS: usize = 6;

/// An entry host that can forward requests of other entry hosts to targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RelayHost {
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Name of the host.
    pub host: HostName,
    /// Where it accepts requests of other entry hosts.
    pub address: SocketAddr,
}

/// The entry hosts that forward requests for those that cannot reach targets themselves.
///
/// Each host is given a few of them, different ones for different hosts: the hosts of a whole zone
/// may lose their path at once, and their load has to be spread.
#[derive(Clone, Debug, Default)]
pub struct RelayTable {
    /// Sorted by zone and host.
    hosts: Vec<RelayHost>,
}

impl RelayTable {
    /// Creates the table of the hosts that can reach targets.
    pub fn new(mut hosts: Vec<RelayHost>) -> Self {
        hosts.sort();
        hosts.dedup();
        Self { hosts }
    }

    /// Returns the relays of `host`, those of its own `zone` before others.
    pub fn choose(&self, host: &HostName, zone: &ZoneName) -> Vec<RelayHost> {
        let start = self.hosts.partition_point(|relay| relay.zone < *zone);
        let end = self.hosts.partition_point(|relay| relay.zone <= *zone);
        let own: Vec<&RelayHost> =
            self.hosts[start..end].iter().filter(|relay| relay.host != *host).collect();
        let others: Vec<&RelayHost> =
            self.hosts[..start].iter().chain(&self.hosts[end..]).collect();
        let next = own.partition_point(|relay| relay.host < *host);
        let hash = KeyHash::of(host.as_str().as_bytes()).0 as usize;
        let mut chosen = pick(&own, next, 1, OWN_ZONE_RELAYS);
        // Wide steps through the list reach several zones.
        let step = (others.len() / OTHER_ZONE_RELAYS).max(1);
        chosen.extend(pick(&others, hash, step, OTHER_ZONE_RELAYS));
        chosen
    }
}

fn pick(hosts: &[&RelayHost], first: usize, step: usize, most: usize) -> Vec<RelayHost> {
    let count = hosts.len().min(most);
    (0..count)
        .map(|turn| hosts[(first % hosts.len() + turn * step) % hosts.len()].clone())
        .collect()
}
