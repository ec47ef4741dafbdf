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
        let own = &self.hosts[start..end];
        let next = own.partition_point(|relay| relay.host < *host);
        let is_listed = own.get(next).is_some_and(|relay| relay.host == *host);
        // Hosts that are not listed lie side by side, so their neighbours would get them all.
        let hash = KeyHash::of(host.as_str().as_bytes()).0 as usize;
        let first = if is_listed { next + 1 } else { hash % own.len().max(1) };
        let own_count = OWN_ZONE_RELAYS.min(own.len() - usize::from(is_listed));
        let own_zone = (first..).take(own_count).map(|turn| &own[turn % own.len()]);
        let other = |position: usize| {
            &self.hosts[if position < start { position } else { position + own.len() }]
        };
        let other_len = self.hosts.len() - own.len();
        // Wide steps through the list reach several zones.
        let step = (other_len / OTHER_ZONE_RELAYS).max(1);
        let others = (0..OTHER_ZONE_RELAYS.min(other_len))
            .map(|turn| other((hash % other_len + turn * step) % other_len));
        own_zone.chain(others).cloned().collect()
    }
}
