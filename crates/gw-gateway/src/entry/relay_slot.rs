use gw_daemon::BootClock;
use gw_types::Clock;

use crate::entry::read_request::RequestOrigin;
use crate::targets::TargetConnections;

/// Place of a request among those in flight, which ends with it.
pub(crate) struct RelaySlot {
    connections: TargetConnections,
}

impl RelaySlot {
    /// Returns a place for one more request; `None` if this host relays for others and has as many in
    /// flight as its link carries.
    pub(crate) fn enter(connections: &TargetConnections, origin: RequestOrigin) -> Option<Self> {
        let is_relayed = origin == RequestOrigin::EntryHost;
        let may_enter = connections.relay_limit().try_enter(BootClock.now(), is_relayed);
        may_enter.then(|| Self { connections: connections.clone() })
    }
}

impl Drop for RelaySlot {
    fn drop(&mut self) {
        self.connections.relay_limit().leave();
    }
}
