use std::net::SocketAddr;

use gw_types::HostName;
use gw_types::KeyHash;
use gw_types::ZoneName;

/// Largest group of which an entry host connects to every control host.
const MAX_COMPLETE_GROUP: usize = 5;
/// Control hosts of other zones, besides the leader, that an entry host of a larger group connects
/// to. They show that it lags when its own zone's control hosts are cut off, and lead it to a new
/// leader.
const OTHER_ZONE_HOSTS: usize = 2;

/// What an entry host knows about the control hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlChoice {
    /// Addresses for connections of other hosts, with the zone if it is known.
    pub hosts: Vec<(SocketAddr, Option<ZoneName>)>,
    /// Address of the leader, if it is known.
    pub leader: Option<SocketAddr>,
}

impl ControlChoice {
    /// Returns the control hosts that the entry host `host` of `zone` connects to, sorted: all of a
    /// small group; otherwise those of its zone, the leader, and a few others.
    ///
    /// In a large system, connections of each entry host to each control host would cost more than
    /// the requests.
    pub fn choose(&self, host: &HostName, zone: &ZoneName) -> Vec<SocketAddr> {
        let mut chosen: Vec<SocketAddr> = if self.hosts.len() <= MAX_COMPLETE_GROUP {
            self.hosts.iter().map(|(address, _)| *address).collect()
        } else {
            let is_own_zone =
                |other: &Option<ZoneName>| other.as_ref().is_some_and(|other| other == zone);
            let own = self.hosts.iter().filter(|(_, other)| is_own_zone(other));
            let mut others: Vec<_> =
                self.hosts.iter().filter(|(_, other)| !is_own_zone(other)).collect();
            others.sort_by_key(|(address, _)| rank(host, *address));
            let own = own.map(|(address, _)| *address);
            let others = others.into_iter().map(|(address, _)| *address).take(OTHER_ZONE_HOSTS);
            own.chain(others).collect()
        };
        chosen.extend(self.leader);
        chosen.sort();
        chosen.dedup();
        chosen
    }
}

/// Orders the control hosts differently for each entry host, so that connections spread evenly.
fn rank(host: &HostName, address: SocketAddr) -> u64 {
    KeyHash::of(format!("{host} {address}").as_bytes()).0
}
