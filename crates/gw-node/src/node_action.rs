use std::sync::Arc;

use gw_agreement::PersistBatch;
use gw_agreement::PersistToken;
use gw_control::ControlOutcome;
use gw_membership::AnnouncementReply;
use gw_types::HostId;
use gw_types::RoutingTable;

use crate::CallId;
use crate::DispatchPlan;
use crate::DrainOrder;
use crate::PeerMessage;

/// How a message is sent to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// Over UDP if it fits into one datagram, otherwise as for [`Stream`](Self::Stream). May be
    /// lost.
    Datagram,
    /// Over the TCP connection to the host. Lost only if the connection breaks.
    Stream,
}

/// Output of [`HostNode::step`](crate::HostNode::step). The daemon carries the actions of a step
/// out in order.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Send a message to another host.
    Send {
        /// The receiving host; never this host.
        to: HostId,
        /// UDP or TCP.
        transport: Transport,
        /// The message to encode.
        message: PeerMessage,
    },
    /// Write the batch to the journal and sync it, then send
    /// [`NodeEvent::Persisted`](crate::NodeEvent::Persisted).
    Persist {
        /// To be repeated in the `Persisted` event.
        token: PersistToken,
        /// Entries, hard state or snapshot to write.
        batch: PersistBatch,
    },
    /// Give new routes to the traffic threads.
    PublishRoutes(Arc<RoutingTable>),
    /// Give a new plan to the traffic threads: the targets that this host is dispatcher of.
    PublishPlan(Arc<DispatchPlan>),
    /// Wait for the requests in flight that the order covers, then send
    /// [`NodeEvent::Drained`](crate::NodeEvent::Drained).
    Drain(DrainOrder),
    /// Reply to [`NodeEvent::Announce`](crate::NodeEvent::Announce).
    Announced {
        /// Id of the call.
        call: CallId,
        /// The target's state and ownership according to its zone's acknowledged table.
        reply: AnnouncementReply,
    },
    /// Refusal of an announcement or a report.
    Refused {
        /// Id of the call.
        call: CallId,
        /// Reason to be sent to the target.
        reason: CallRefusal,
    },
    /// Reply to [`NodeEvent::Report`](crate::NodeEvent::Report): the report has been sent towards
    /// the zone leader. Its arrival is not confirmed.
    Reported {
        /// Id of the call.
        call: CallId,
    },
    /// Reply to [`NodeEvent::Propose`](crate::NodeEvent::Propose).
    Proposed {
        /// Id of the call.
        call: CallId,
        /// Outcome of the committed command.
        outcome: ControlOutcome,
    },
    /// Log a change of the host's roles or of another host's reachability.
    StatusChanged(StatusChange),
}

/// Why an announcement or report of a target is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallRefusal {
    /// The announced availability zone has no entry hosts.
    #[error("zone {0:?} has no entry hosts")]
    UnknownZone(String),
    /// The announcement is too large, or the host already relays for the maximum number of targets.
    #[error("{0}")]
    Relay(#[from] gw_membership::RelayError),
    /// The report names a target that is in no zone's acknowledged table.
    #[error("target {0:?} has not announced itself")]
    UnknownTarget(String),
}

/// A change that operators should see in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusChange {
    /// This host became leader of its zone under this term.
    ZoneLeadershipGained(u32),
    /// This host is no longer leader of its zone.
    ZoneLeadershipLost,
    /// This host became the control leader.
    ControlLeadershipGained,
    /// This host is no longer the control leader.
    ControlLeadershipLost,
    /// The journal failed, so the control replica of this host has stopped.
    JournalFailed,
    /// The journal was opened again, so the control replica of this host has started again.
    JournalReopened,
    /// Heartbeats of another host no longer arrive.
    HostUnreachable(HostId),
    /// Heartbeats of another host arrive again, or for the first time.
    HostReachable(HostId),
}
