use gw_dispatch::RecordKey;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::ZoneName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hosts that hold the copies of one record. Any two majorities of three share a host, so two
/// dispatchers never both win the same record, and the loss of one host leaves a majority. A larger
/// group would cost more messages for each request.
const GROUP_SIZE: usize = 3;

/// The entry hosts of the system, from which the holders of each record follow.
///
/// Every host computes the same group from the settings alone, so a resend through any host, zone
/// or dispatcher meets the holders of the first request.
#[derive(Clone, Debug)]
pub struct RecordGroups {
    /// Sorted by id.
    hosts: Vec<(HostId, ZoneName)>,
}

impl RecordGroups {
    /// Groups among the entry hosts of `hosts`.
    pub fn new(hosts: &[HostEntry]) -> Self {
        let entries = hosts.iter().filter(|host| host.is_entry());
        let mut hosts: Vec<_> = entries.map(|host| (host.id, host.zone.clone())).collect();
        hosts.sort();
        Self { hosts }
    }

    /// All hosts that may hold records.
    pub fn hosts(&self) -> impl Iterator<Item = HostId> {
        self.hosts.iter().map(|(host, _)| *host)
    }

    /// Holders inside `zone`, filled up from other zones where the zone has too few hosts.
    pub fn of_zone(&self, zone: &ZoneName, key: RecordKey) -> Vec<HostId> {
        let mut ranked = self.ranked(key);
        // The sort is stable, so the rank decides within the zone and outside of it.
        ranked.sort_by_key(|(_, known)| known != zone);
        ranked.iter().take(GROUP_SIZE).map(|(host, _)| *host).collect()
    }

    /// Holders in as many zones as possible.
    pub fn of_region(&self, key: RecordKey) -> Vec<HostId> {
        let ranked = self.ranked(key);
        let mut chosen: Vec<&(HostId, ZoneName)> = Vec::new();
        for fresh_only in [true, false] {
            for host in &ranked {
                let is_fresh = chosen.iter().all(|(_, zone)| *zone != host.1);
                let is_new = chosen.iter().all(|(id, _)| *id != host.0);
                if chosen.len() < GROUP_SIZE && is_new && (is_fresh || !fresh_only) {
                    chosen.push(host);
                }
            }
        }
        chosen.iter().map(|(host, _)| *host).collect()
    }

    /// All hosts by rendezvous hashing (Thaler and Ravishankar, 1998).
    fn ranked(&self, key: RecordKey) -> Vec<(HostId, ZoneName)> {
        let mut ranked = self.hosts.clone();
        let weight = |host: HostId| xxh3_64_with_seed(&key.0.to_le_bytes(), u64::from(host.0));
        ranked.sort_by_key(|(host, _)| (weight(*host), *host));
        ranked
    }
}
