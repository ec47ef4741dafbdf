use std::collections::VecDeque;

use gw_types::HostId;

use crate::NodeAction;
use crate::PeerMessage;
use crate::Transport;

/// Collects the actions of one step. Messages that the host sends to itself are queued separately
/// and handled within the same step.
#[derive(Debug)]
pub(crate) struct Outbox {
    host: HostId,
    actions: Vec<NodeAction>,
    loopback: VecDeque<PeerMessage>,
}

impl Outbox {
    pub(crate) fn new(host: HostId) -> Self {
        Self { host, actions: Vec::new(), loopback: VecDeque::new() }
    }

    pub(crate) fn push(&mut self, action: NodeAction) {
        self.actions.push(action);
    }

    /// Sends a message by UDP if it fits into one datagram. It may be lost.
    pub(crate) fn datagram(&mut self, to: HostId, message: PeerMessage) {
        self.send(to, Transport::Datagram, message);
    }

    /// Sends a message over the TCP connection to the host.
    pub(crate) fn stream(&mut self, to: HostId, message: PeerMessage) {
        self.send(to, Transport::Stream, message);
    }

    fn send(&mut self, to: HostId, transport: Transport, message: PeerMessage) {
        if to == self.host {
            self.loopback.push_back(message);
        } else {
            self.actions.push(NodeAction::Send { to, transport, message });
        }
    }

    /// Removes the oldest message to the host itself.
    pub(crate) fn take_loopback(&mut self) -> Option<PeerMessage> {
        self.loopback.pop_front()
    }

    pub(crate) fn into_actions(self) -> Vec<NodeAction> {
        self.actions
    }
}
