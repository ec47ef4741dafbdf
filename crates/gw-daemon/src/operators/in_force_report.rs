use gw_node::HostNode;
use serde::Deserialize;
use serde::Serialize;

/// Which hosts are known to have applied the control log up to an index, as seen by one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceReport {
    /// Name of the host that answers.
    pub host: String,
    /// The index in the control log that was asked for.
    pub index: u64,
    /// All zones, sorted by name.
    pub zones: Vec<ZoneInForce>,
}

/// Applied entries of the hosts of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneInForce {
    /// Name of the zone.
    pub zone: String,
    /// All hosts of the zone, control hosts included.
    pub hosts: Vec<HostInForce>,
}

/// Applied entries of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInForce {
    /// Name of the host.
    pub host: String,
    /// Index of the last entry that the host is known to have applied. Absent if the host is
    /// unreachable or sends no heartbeats to the host that answers.
    pub applied: Option<u64>,
}

impl InForceReport {
    /// Creates the report of `node` for `index`.
    pub fn of(node: &HostNode, index: u64) -> Self {
        let mut zones: Vec<_> = node.hosts().iter().map(|host| host.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let hosts_of = |zone: &gw_types::ZoneName| {
            let members = node.hosts().iter().filter(|host| host.zone == *zone);
            let known = members.map(|entry| HostInForce {
                host: entry.name.to_string(),
                applied: node.control_index_of(entry.id),
            });
            known.collect()
        };
        let zones =
            zones.iter().map(|zone| ZoneInForce { zone: zone.to_string(), hosts: hosts_of(zone) });
        Self { host: node.entry().name.to_string(), index, zones: zones.collect() }
    }

    /// Merges the report of another host: each host keeps the higher applied index.
    pub fn merge(&mut self, other: &InForceReport) {
        for zone in &mut self.zones {
            let same = other.zones.iter().filter(|known| known.zone == zone.zone);
            for known in same.flat_map(|same| &same.hosts) {
                let own = zone.hosts.iter_mut().find(|host| host.host == known.host);
                if let Some(own) = own {
                    own.applied = own.applied.max(known.applied);
                }
            }
        }
    }

    /// Returns whether every host of every zone is known to have applied the index.
    pub fn is_everywhere(&self) -> bool {
        self.zones.iter().all(|zone| zone.is_confirmed(self.index))
    }
}

impl ZoneInForce {
    /// Returns whether every host of the zone is known to have applied `index`.
    pub fn is_confirmed(&self, index: u64) -> bool {
        self.hosts.iter().all(|host| host.has_applied(index))
    }
}

impl HostInForce {
    /// Returns whether the host is known to have applied `index`.
    pub fn has_applied(&self, index: u64) -> bool {
        self.applied.is_some_and(|applied| applied >= index)
    }
}
