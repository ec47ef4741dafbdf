use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use gw_balance::RelayPool;
use gw_types::Timestamp;

/// A request in flight at a relay.
pub(crate) struct RelayTurn {
    pool: Rc<RefCell<RelayPool>>,
    address: SocketAddr,
}

impl RelayTurn {
    /// Wraps a request that `pool` has counted as in flight at `address`.
    pub(crate) fn new(pool: Rc<RefCell<RelayPool>>, address: SocketAddr) -> Self {
        Self { pool, address }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records that the relay has taken the request and responded.
    pub(crate) fn record_taken(&self) {
        self.pool.borrow_mut().record_taken(self.address);
    }

    /// Records that the relay has not responded in time.
    pub(crate) fn record_slow(&self) {
        self.pool.borrow_mut().record_slow(self.address);
    }

    /// Records that the relay takes no more requests at present.
    pub(crate) fn record_busy(&self, now: Timestamp) {
        self.pool.borrow_mut().record_busy(now, self.address);
    }

    /// Records that the relay could not be reached or cannot reach targets.
    pub(crate) fn record_failed(&self, now: Timestamp) {
        self.pool.borrow_mut().record_failed(now, self.address);
    }
}

impl Drop for RelayTurn {
    fn drop(&mut self) {
        self.pool.borrow_mut().leave(self.address);
    }
}
