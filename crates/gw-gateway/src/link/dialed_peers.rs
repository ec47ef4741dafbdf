use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::link::LinkEvent;
use crate::link::maintain_link;
use crate::memory_bounds::MemoryBounds;
use crate::ports::TargetDialer;

/// Outgoing connections to other hosts, each maintained by a task that reconnects.
pub(crate) struct DialedPeers {
    events: mpsc::Sender<LinkEvent>,
    bounds: MemoryBounds,
    dialer: Rc<dyn TargetDialer>,
    /// By address of the other host. Dropping the sender closes the connection.
    dialed: BTreeMap<SocketAddr, oneshot::Sender<()>>,
}

impl DialedPeers {
    /// Creates an empty set. Connections are opened by `dialer`, and their events are sent to
    /// `events`; `bounds` limits the frames that wait for each of them.
    pub(crate) fn new(
        events: mpsc::Sender<LinkEvent>,
        bounds: MemoryBounds,
        dialer: Rc<dyn TargetDialer>,
    ) -> Self {
        Self { events, bounds, dialer, dialed: BTreeMap::new() }
    }

    /// Maintains connections to `wanted` and closes all others.
    pub(crate) fn set_peers(&mut self, mut wanted: Vec<SocketAddr>) {
        wanted.sort();
        wanted.dedup();
        self.dialed.retain(|peer, _| wanted.binary_search(peer).is_ok());
        for peer in wanted {
            let (events, bounds, dialer) = (&self.events, self.bounds, &self.dialer);
            self.dialed.entry(peer).or_insert_with(|| {
                let (wanted, dropped) = oneshot::channel();
                let unwanted = async move {
                    // Nothing is sent: it ends with an error once the sender is dropped.
                    dropped.await.ok();
                };
                let (events, dialer) = (events.clone(), dialer.clone());
                spawn_local(maintain_link(peer, events, bounds, dialer, unwanted));
                wanted
            });
        }
    }

    /// Whether a connection to `peer` is maintained.
    pub(crate) fn contains(&self, peer: &SocketAddr) -> bool {
        self.dialed.contains_key(peer)
    }
}
