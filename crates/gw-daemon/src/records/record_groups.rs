use gw_dispatch::RecordKey;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::ZoneName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of hosts that hold copies of one record. Three hosts have a majority after the loss of
/// one. A larger group would need more messages per request.
const GROUP_SIZE: usize = 3;

/// Determines the holders of each record from the entry hosts of the system.
///
/// Every host computes the same groups from the settings, so a resend through any host, zone or
/// dispatcher reaches the holders that the first request was recorded with.
#[derive(Clone, Debug)]
pub struct RecordGroups {
    /// Sorted by id.
    hosts: Vec<(HostId, ZoneName)>,
}

impl RecordGroups {
    /// Creates the groups of the entry hosts among `hosts`.
    pub fn new(hosts: &[HostEntry]) -> Self {
        let entries = hosts.iter().filter(|host| host.is_entry());
        let mut hosts: Vec<_> = entries.map(|host| (host.id, host.zone.clone())).collect();
        hosts.sort();
        Self { hosts }
    }

    /// Returns all entry hosts, sorted. Each of them may hold records.
    pub fn hosts(&self) -> impl Iterator<Item = HostId> {
        self.hosts.iter().map(|(host, _)| *host)
    }

    /// Returns holders in `zone`, completed from other zones if the zone has too few hosts.
    pub fn of_zone(&self, zone: &ZoneName, key: RecordKey) -> Vec<HostId> {
        let mut ranked = self.ranked(key);
        // The sort is stable, so hosts inside and outside of the zone stay ordered by rank.
        ranked.sort_by_key(|(_, known)| known != zone);
        ranked.iter().take(GROUP_SIZE).map(|(host, _)| *host).collect()
    }

    /// Returns holders in as many zones as possible.
    pub fn of_region(&self, key: RecordKey) -> Vec<HostId> {
        let ranked = self.ranked(key);
        let mut chosen: Vec<&(HostId, ZoneName)> = Vec::new();
        for new_zones_only in [true, false] {
            for host in &ranked {
                let is_new_zone = chosen.iter().all(|(_, zone)| *zone != host.1);
                let is_unchosen = chosen.iter().all(|(id, _)| *id != host.0);
                if chosen.len() < GROUP_SIZE && is_unchosen && (is_new_zone || !new_zones_only) {
                    chosen.push(host);
                }
            }
        }
        chosen.iter().map(|(host, _)| *host).collect()
    }

    /// Returns all hosts, ordered by rendezvous hashing (Thaler and Ravishankar, 1998).
    fn ranked(&self, key: RecordKey) -> Vec<(HostId, ZoneName)> {
        let mut ranked = self.hosts.clone();
        let weight = |host: HostId| xxh3_64_with_seed(&key.0.to_le_bytes(), u64::from(host.0));
        ranked.sort_by_key(|(host, _)| (weight(*host), *host));
        ranked
    }
}
