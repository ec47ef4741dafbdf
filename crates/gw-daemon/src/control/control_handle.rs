use std::future::Future;
use std::pin::Pin;

use gw_control::ControlOutcome;
use gw_membership::AnnouncementReply;
use gw_node::CallId;
use gw_node::CallRefusal;
use gw_node::NodeEvent;

/// Reply of the control thread to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlReply {
    /// Reply to an announcement of a target.
    Announced(AnnouncementReply),
    /// The report of a target was sent to the zone leader.
    Reported,
    /// The call is refused.
    Refused(CallRefusal),
    /// Outcome of a command that was proposed to the control log.
    Proposed(ControlOutcome),
}

/// Error of a call to the control thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// The control thread has ended, or did not reply in time.
    #[error("the control thread does not answer")]
    Unavailable,
}

/// Resolves to the reply of the control thread.
pub type ReplyFuture = Pin<Box<dyn Future<Output = Result<ControlReply, ControlError>> + Send>>;

/// Passes events from the traffic side to the control thread.
///
/// The opposite direction is [`TrafficState`](crate::TrafficState), through which the control
/// thread publishes routes, the dispatch plan and profiles, and starts drains.
pub trait ControlHandle: Send + Sync {
    /// Queues an event without waiting. An event that cannot be queued is dropped.
    fn send(&self, event: NodeEvent);

    /// Queues an event that carries `call`, and resolves to the reply to that call.
    fn call(&self, call: CallId, event: NodeEvent) -> ReplyFuture;
}
