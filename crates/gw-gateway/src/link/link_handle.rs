use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use gw_fleet::FormatVersion;
use gw_types::Timestamp;
use tokio::sync::mpsc;

use crate::link::LinkId;
use crate::link::LinkMessage;

/// Sends messages over one connection; clones share the connection's queue.
#[derive(Clone, Debug)]
pub(crate) struct LinkHandle {
    pub(crate) id: LinkId,
    /// When the connection last delivered data.
    pub(crate) last_byte: Rc<Cell<Timestamp>>,
    /// Version that the other host has stated in its first message.
    pub(super) version: Rc<Cell<FormatVersion>>,
    frames: Rc<mpsc::Sender<Bytes>>,
}

impl LinkHandle {
    pub(crate) fn new(id: LinkId, opened_at: Timestamp, frames: mpsc::Sender<Bytes>) -> Self {
        let last_byte = Rc::new(Cell::new(opened_at));
        let version = Rc::new(Cell::new(FormatVersion::UNSTATED));
        Self { id, last_byte, version, frames: Rc::new(frames) }
    }

    /// Returns the version of the other host; [`FormatVersion::UNSTATED`] until its first message.
    pub(crate) fn version(&self) -> FormatVersion {
        self.version.get()
    }

    /// Whether the other host can read messages and commands that came with `format`.
    pub(crate) fn supports(&self, format: FormatVersion) -> bool {
        self.version() >= format
    }

    /// Queues a message. Returns `false` and drops it if the connection has ended or its queue is
    /// full; protocols on top of it repeat the messages that matter.
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
