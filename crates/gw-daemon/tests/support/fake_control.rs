use std::sync::Mutex;

use gw_daemon::control::ControlError;
use gw_daemon::control::ControlHandle;
use gw_daemon::control::ControlReply;
use gw_daemon::control::ReplyFuture;
use gw_membership::AnnouncementReply;
use gw_node::CallId;
use gw_node::NodeEvent;

/// Control handle that records all events and replies to calls immediately.
#[derive(Default)]
pub(crate) struct FakeControl {
    events: Mutex<Vec<NodeEvent>>,
    /// Whether calls fail.
    pub(crate) is_down: std::sync::atomic::AtomicBool,
}

impl FakeControl {
    /// Returns whether an event was sent for which `matches` returns `true`.
    pub(crate) fn has(&self, matches: impl Fn(&NodeEvent) -> bool) -> bool {
        self.events.lock().unwrap().iter().any(matches)
    }
}

impl ControlHandle for FakeControl {
    fn send(&self, event: NodeEvent) {
        self.events.lock().unwrap().push(event);
    }

    fn call(&self, _call: CallId, event: NodeEvent) -> ReplyFuture {
        let reply = match &event {
            _ if self.is_down.load(std::sync::atomic::Ordering::SeqCst) => {
                Err(ControlError::Unavailable)
            }
            NodeEvent::Announce { .. } => Ok(ControlReply::Announced(AnnouncementReply {
                state: None,
                owned: Vec::new(),
                owned_keys: Vec::new(),
                renew_after_ms: 500,
                valid_for_ms: 1_500,
            })),
            _ => Ok(ControlReply::Reported),
        };
        self.send(event);
        Box::pin(std::future::ready(reply))
    }
}
