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

/// How a message travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// Over UDP where it fits into one datagram, else like [`Stream`](Self::Stream). May be lost.
    Datagram,
    /// Over the TCP connection to the host. Lost only with the connection.
    Stream,
}

/// Something that the daemon has to do for the host's state machines, in order.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Send a message to another host.
    Send {
        /// The receiver.
        to: HostId,
        /// How it travels.
        transport: Transport,
        /// The content.
        message: PeerMessage,
    },
    /// Write and sync, then send [`NodeEvent::Persisted`](crate::NodeEvent::Persisted).
    Persist {
        /// Names the write.
        token: PersistToken,
        /// What to write.
        batch: PersistBatch,
    },
    /// Routes for the traffic threads.
    PublishRoutes(Arc<RoutingTable>),
    /// Targets that this host is dispatcher of.
    PublishPlan(Arc<DispatchPlan>),
    /// Finish what is in flight, then send [`NodeEvent::Drained`](crate::NodeEvent::Drained).
    Drain(DrainOrder),
    /// Answer to an announcement.
    Announced {
        /// The call.
        call: CallId,
        /// The target's true state.
        reply: AnnouncementReply,
    },
    /// An announcement or report that the host cannot take.
    Refused {
        /// The call.
        call: CallId,
        /// Why, for the caller.
        reason: CallRefusal,
    },
    /// A report is on its way to the zone leader.
    Reported {
        /// The call.
        call: CallId,
    },
    /// Answer to a proposal.
    Proposed {
        /// The call.
        call: CallId,
        /// The outcome.
        outcome: ControlOutcome,
    },
    /// Something that operators should see in the log.
    StatusChanged(StatusChange),
}

/// Why a target's call is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallRefusal {
    /// No entry host is of the announced zone.
    #[error("zone {0:?} has no entry hosts")]
    UnknownZone(String),
    /// The announcement is too large or the host relays for too many targets.
    #[error("{0}")]
    Relay(#[from] gw_membership::RelayError),
    /// The report names a target that has not announced itself.
    #[error("target {0:?} has not announced itself")]
    UnknownTarget(String),
}

/// A change of this host's part in the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusChange {
    /// The host became leader of its zone under this term.
    ZoneLeadershipGained(u32),
    /// The host does not lead its zone any more.
    ZoneLeadershipLost,
    /// The host became leader of the control group.
    ControlLeadershipGained,
    /// The host does not lead the control group any more.
    ControlLeadershipLost,
    /// The journal failed; the replica of this host has stopped.
    JournalFailed,
    /// Another host was lost.
    HostUnreachable(HostId),
    /// Another host is back.
    HostReachable(HostId),
}
