use std::sync::Arc;

use gw_node::HostNode;
use gw_node::PeerMessage;
use gw_node::Transport;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::Timestamp;

/// Sends messages to other hosts. May lose them.
pub trait PeerSender: Send + Sync {
    /// Hands a message over without waiting.
    fn send(&self, to: HostId, transport: Transport, message: PeerMessage);
}

/// Takes the messages that the daemon handles itself.
pub trait PeerHandler: Send + Sync {
    /// Gives the way to other hosts. Called once, before anything else.
    fn attach(&self, sender: Arc<dyn PeerSender>);

    /// Takes a message of another host, or returns it when it is for the state machines.
    fn handle_message(
        &self,
        from: HostId,
        boot: BootId,
        message: PeerMessage,
    ) -> Option<PeerMessage>;

    /// Follows the host's control state.
    fn update(&self, now: Timestamp, node: &HostNode);
}
