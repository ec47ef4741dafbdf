use std::time::Duration;

use gw_agreement::PersistToken;
use gw_control::ControlCommand;
use gw_membership::TargetAnnouncement;
use gw_membership::TargetReport;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::TargetName;

use crate::LoadReport;
use crate::PeerMessage;

/// Ties a reply to the call that caused it. Chosen by the daemon, unique within one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Something that happened to the host.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Time has passed. Expected at least every 50 ms.
    Tick,
    /// A frame of another host arrived.
    Message {
        /// The sender, as its authenticated frame says.
        from: HostId,
        /// The sender's run.
        boot: BootId,
        /// The content.
        message: PeerMessage,
    },
    /// A journal write is synced.
    Persisted {
        /// Names the write.
        token: PersistToken,
    },
    /// A journal write or sync failed. The host goes on without its replica, because what the disk
    /// holds is not known any more.
    JournalFailed,
    /// A target joined or renewed at this host.
    Announce {
        /// Names the reply.
        call: CallId,
        /// What the target said.
        announcement: TargetAnnouncement,
    },
    /// A target reported trouble to this host, leaving included.
    Report {
        /// Names the reply.
        call: CallId,
        /// What the target said.
        report: TargetReport,
    },
    /// An operator's command for the control log.
    Propose {
        /// Names the reply.
        call: CallId,
        /// The command.
        command: ControlCommand,
    },
    /// Nobody waits for the reply to a call any more.
    AbandonCall {
        /// The call.
        call: CallId,
    },
    /// Traffic to a target ended in a way that says something of the target.
    RequestEnded(TargetResult),
    /// Work that this host did for a service as dispatcher.
    Load(LoadReport),
    /// A drain order is done: nothing of it is in flight.
    Drained {
        /// The order's handover.
        drain_id: u64,
    },
    /// The process has been asked to stop. The host hands its zone and its targets over and goes on
    /// with what is in flight; see [`HostNode::is_released`](crate::HostNode::is_released).
    Shutdown,
    /// Nothing is in flight any more, and the process is about to end.
    Stop,
}

/// What one request showed of a target.
#[derive(Clone, Debug)]
pub struct TargetResult {
    /// The target.
    pub target: TargetName,
    /// The run of the target process that the request was sent to.
    pub boot: BootId,
    /// Whether the target answered with anything but a server error.
    pub answered: bool,
    /// Time from the write to the answer's head or to the failure.
    pub elapsed: Duration,
}
