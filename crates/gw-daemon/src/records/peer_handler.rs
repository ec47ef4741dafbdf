use std::sync::Arc;

use gw_node::HostNode;
use gw_node::PeerMessage;
use gw_node::Transport;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::Timestamp;

/// Sends messages to other hosts. Messages may be lost.
pub trait PeerSender: Send + Sync {
    /// Queues a message without waiting, or drops it.
    fn send(&self, to: HostId, transport: Transport, message: PeerMessage);
}

/// Handles the messages of other hosts that do not concern the state machines of [`HostNode`].
pub trait PeerHandler: Send + Sync {
    /// Sets the sender for messages to other hosts. Called once, before the other methods.
    fn attach(&self, sender: Arc<dyn PeerSender>);

    /// Handles a message of another host, or returns it if it is for another handler or the state
    /// machines.
    fn handle_message(
        &self,
        from: HostId,
        boot: BootId,
        message: PeerMessage,
    ) -> Option<PeerMessage>;

    /// Reads the current state of the host. Called periodically, and after the host has applied
    /// entries of the control log.
    fn update(&self, now: Timestamp, node: &HostNode);
}
