use gw_node::PeerMessage;
use gw_node::TableContent;

/// Names of the kinds of messages between hosts, indexed by [`message_kind`].
pub const MESSAGE_KINDS: [&str; 26] = [
    "agreement",
    "propose",
    "propose-answer",
    "control-fetch",
    "control-entries",
    "control-snapshot",
    "lease-request",
    "lease-answer",
    "promise-request",
    "promise-answer",
    "dispatcher-grant",
    "dispatcher-answer",
    "heartbeat",
    "table-offer-full",
    "table-offer-delta",
    "table-held",
    "table-commit",
    "table-update-full",
    "table-update-delta",
    "table-fetch",
    "relay",
    "drain-request",
    "drain-done",
    "load",
    "records",
    "quarantine",
];

/// Returns the index of a message's kind in [`MESSAGE_KINDS`]. Full tables and table deltas are
/// separate kinds.
pub fn message_kind(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::Agreement(_) => 0,
        PeerMessage::Propose { .. } => 1,
        PeerMessage::ProposeAnswer { .. } => 2,
        PeerMessage::ControlFetch { .. } => 3,
        PeerMessage::ControlEntries(_) => 4,
        PeerMessage::ControlSnapshot(_) => 5,
        PeerMessage::LeaseRequest(_) => 6,
        PeerMessage::LeaseAnswer(_) => 7,
        PeerMessage::PromiseRequest(_) => 8,
        PeerMessage::PromiseAnswer(_) => 9,
        PeerMessage::DispatcherGrant(_) => 10,
        PeerMessage::DispatcherAnswer(_) => 11,
        PeerMessage::Heartbeat(_) => 12,
        PeerMessage::TableOffer { content: TableContent::Full(_), .. } => 13,
        PeerMessage::TableOffer { content: TableContent::Delta(_), .. } => 14,
        PeerMessage::TableHeld { .. } => 15,
        PeerMessage::TableCommit { .. } => 16,
        PeerMessage::TableUpdate(TableContent::Full(_)) => 17,
        PeerMessage::TableUpdate(TableContent::Delta(_)) => 18,
        PeerMessage::TableFetch { .. } => 19,
        PeerMessage::Relay(_) => 20,
        PeerMessage::DrainRequest(_) => 21,
        PeerMessage::DrainDone(_) => 22,
        PeerMessage::Load(_) => 23,
        PeerMessage::Records(_) => 24,
        PeerMessage::Quarantine(_) => 25,
    }
}
