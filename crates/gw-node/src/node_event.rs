use std::time::Duration;

use gw_agreement::PersistToken;
use gw_agreement::RecoveredState;
use gw_control::ControlCommand;
use gw_membership::TargetAnnouncement;
use gw_membership::TargetReport;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::TargetName;

use crate::LoadReport;
use crate::PeerMessage;

/// Correlates a reply with the call that caused it. Chosen by the daemon, unique within one
/// process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Input of [`HostNode::step`](crate::HostNode::step).
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Timer tick, which drives timeouts and retries. Expected at least every 50 ms.
    Tick,
    /// A message of another host arrived.
    Message {
        /// The sender according to the authenticated frame.
        from: HostId,
        /// Boot id of the sender's process.
        boot: BootId,
        /// The decoded message.
        message: PeerMessage,
    },
    /// A journal write has been synced to disk.
    Persisted {
        /// Token of the [`Persist`](crate::NodeAction::Persist) action.
        token: PersistToken,
    },
    /// A journal write or sync failed. The host continues without its control replica, because the
    /// content of the journal on disk is unknown from then on.
    JournalFailed,
    /// The journal was opened again after it had failed. The host continues with a control replica in
    /// the state that was synced.
    JournalReopened {
        /// What the journal holds.
        recovered: RecoveredState,
    },
    /// A target announced itself or renewed its announcement at this host.
    Announce {
        /// Id for the [`Announced`](crate::NodeAction::Announced) or
        /// [`Refused`](crate::NodeAction::Refused) reply.
        call: CallId,
        /// The announcement as received from the target.
        announcement: TargetAnnouncement,
    },
    /// A target reported to this host that it is overloaded, failing, draining or leaving.
    Report {
        /// Id for the [`Reported`](crate::NodeAction::Reported) or
        /// [`Refused`](crate::NodeAction::Refused) reply.
        call: CallId,
        /// The report as received from the target.
        report: TargetReport,
    },
    /// An operator's command to be appended to the control log.
    Propose {
        /// Id for the [`Proposed`](crate::NodeAction::Proposed) reply.
        call: CallId,
        /// The command to append.
        command: ControlCommand,
    },
    /// The daemon no longer waits for the reply to a call. A command that was already proposed may
    /// still be committed.
    AbandonCall {
        /// Id of the call.
        call: CallId,
    },
    /// A request to a target ended with an answer or a failure that shows whether the target works.
    RequestEnded(TargetResult),
    /// Load of one service that this host's dispatcher measured.
    Load(LoadReport),
    /// No request covered by a drain order is in flight any more.
    Drained {
        /// [`DrainOrder::drain_id`](crate::DrainOrder::drain_id) of the order.
        drain_id: u64,
    },
    /// The process has been asked to stop. The host gives up its leaderships and hands over its
    /// targets while requests in flight finish; see
    /// [`HostNode::is_released`](crate::HostNode::is_released).
    Shutdown,
    /// No request is in flight any more and the process is about to exit.
    Stop,
}

/// Outcome of one request to a target, for passive health checking.
#[derive(Clone, Debug)]
pub struct TargetResult {
    /// Name of the target that the request was sent to.
    pub target: TargetName,
    /// Boot id of the target process that the request was sent to.
    pub boot: BootId,
    /// Whether the target answered with anything but a server error.
    pub answered: bool,
    /// Time from writing the request until the head of the answer arrived or the request failed.
    pub elapsed: Duration,
}
