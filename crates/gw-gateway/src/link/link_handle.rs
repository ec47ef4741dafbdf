use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::link::LinkId;
use crate::link::LinkMessage;

/// Sends messages over one connection.
#[derive(Clone, Debug)]
pub(crate) struct LinkHandle {
    pub(crate) id: LinkId,
    frames: Rc<mpsc::Sender<Bytes>>,
}

impl LinkHandle {
    pub(crate) fn new(id: LinkId, frames: mpsc::Sender<Bytes>) -> Self {
        Self { id, frames: Rc::new(frames) }
    }

    /// Sends a message unless the connection has ended or is far behind. Returns whether it was
    /// taken; state machines send again what matters.
    pub(crate) fn send(&self, message: &LinkMessage) -> bool {
        match super::link_task::encode_frame(message) {
            Ok(frame) => self.frames.try_send(frame).is_ok(),
            Err(error) => {
                log::error!("event=frame_not_encoded cause=\"{error}\"");
                false
            }
        }
    }
}
