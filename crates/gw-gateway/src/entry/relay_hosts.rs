use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use gw_balance::RelayPeer;
use gw_balance::RelayPool;
use gw_types::Timestamp;

use crate::entry::relay_turn::RelayTurn;
use crate::ports::TargetDialer;
use crate::targets::TargetConnections;

/// Other entry hosts that forward requests for this host, and the connections to them.
pub(crate) struct RelayHosts {
    connections: TargetConnections,
    pool: Rc<RefCell<RelayPool>>,
}

impl RelayHosts {
    pub(crate) fn new(dialer: Rc<dyn TargetDialer>) -> Self {
        Self { connections: TargetConnections::new(dialer), pool: Rc::default() }
    }

    pub(crate) fn connections(&self) -> &TargetConnections {
        &self.connections
    }

    /// Replaces the relays. A new leader may not know any yet, so that none does not replace them.
    pub(crate) fn update(&self, peers: impl ExactSizeIterator<Item = RelayPeer>) {
        if peers.len() > 0 {
            self.pool.borrow_mut().update(peers);
        }
    }

    /// Whether there are relays, also if none of them takes a request at present.
    pub(crate) fn is_any_known(&self) -> bool {
        !self.pool.borrow().is_empty()
    }

    /// Returns the relay for the next request, other than those in `tried`.
    pub(crate) fn choose(&self, now: Timestamp, tried: &[SocketAddr]) -> Option<RelayTurn> {
        let address = self.pool.borrow_mut().choose(now, tried)?;
        Some(RelayTurn::new(self.pool.clone(), address))
    }
}
