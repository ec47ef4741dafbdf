use std::sync::Arc;

use gw_types::HostEntry;
use gw_types::HostId;

use crate::dispatch::ConnectionPool;
use crate::dispatch::WriteCheck;

/// Largest number of connections to one other host. Each carries one request at a time, so this is
/// also the limit of concurrent requests to that host.
const MAX_HOST_CONNECTIONS: usize = 1_024;

/// Connection pools for the `forwards` listeners of the other entry hosts.
pub(crate) struct HostPools {
    /// Sorted by host ID, without duplicates.
    pools: Vec<(HostId, Arc<ConnectionPool>)>,
}

/// Allows every write, since only writes to targets need a lease.
struct AlwaysAllowed;

impl WriteCheck for AlwaysAllowed {
    fn may_write(&self) -> bool {
        true
    }
}

impl HostPools {
    pub(crate) fn new<'a>(hosts: impl IntoIterator<Item = &'a HostEntry>) -> Self {
        let check: Arc<dyn WriteCheck> = Arc::new(AlwaysAllowed);
        let mut pools: Vec<_> = hosts
            .into_iter()
            .filter_map(|host| Some((host.id, host.forwards?)))
            .map(|(id, address)| {
                (id, Arc::new(ConnectionPool::new(address, MAX_HOST_CONNECTIONS, check.clone())))
            })
            .collect();
        pools.sort_by_key(|(id, _)| *id);
        Self { pools }
    }

    pub(crate) fn get(&self, host: HostId) -> Option<Arc<ConnectionPool>> {
        let index = self.pools.binary_search_by_key(&host, |(id, _)| *id).ok()?;
        Some(self.pools[index].1.clone())
    }
}
