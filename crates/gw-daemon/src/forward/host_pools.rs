use std::sync::Arc;

use gw_types::HostEntry;
use gw_types::HostId;

use crate::dispatch::ConnectionPool;
use crate::dispatch::WriteCheck;

/// Most connections to one other host. Each carries one request at a time, so this bounds the
/// requests under way to that host.
const MAX_HOST_CONNECTIONS: usize = 1_024;

/// Connections to the `forwards` listeners of the other entry hosts.
pub(crate) struct HostPools {
    /// Sorted by host, without duplicates.
    pools: Vec<(HostId, Arc<ConnectionPool>)>,
}

/// The lease concerns only writes to targets.
struct AlwaysOpen;

impl WriteCheck for AlwaysOpen {
    fn may_write(&self) -> bool {
        true
    }
}

impl HostPools {
    pub(crate) fn new<'a>(hosts: impl IntoIterator<Item = &'a HostEntry>) -> Self {
        let check: Arc<dyn WriteCheck> = Arc::new(AlwaysOpen);
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
