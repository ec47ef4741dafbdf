use std::cell::Cell;
use std::rc::Rc;

use gw_fleet::FormatVersion;
use gw_types::Timestamp;

use crate::link::FrameQueue;
use crate::link::LinkFrame;
use crate::link::LinkId;
use crate::link::LinkMessage;
use crate::memory_bounds::MemoryBounds;

/// Sends messages over one connection; clones share the connection's queue.
#[derive(Clone, Debug)]
pub(crate) struct LinkHandle {
    pub(crate) id: LinkId,
    /// When the connection last delivered data.
    pub(crate) last_byte: Rc<Cell<Timestamp>>,
    /// When the connection last delivered a part of a message that was not complete.
    pub(crate) last_part: Rc<Cell<Timestamp>>,
    /// Version that the other host has stated in its first message.
    pub(super) version: Rc<Cell<FormatVersion>>,
    pub(super) frames: Rc<FrameQueue>,
}

impl LinkHandle {
    pub(crate) fn new(id: LinkId, opened_at: Timestamp, bounds: MemoryBounds) -> Self {
        let last_byte = Rc::new(Cell::new(opened_at));
        let last_part = Rc::new(Cell::new(opened_at));
        let version = Rc::new(Cell::new(FormatVersion::UNSTATED));
        Self { id, last_byte, last_part, version, frames: Rc::new(FrameQueue::new(bounds)) }
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
        encode(message).is_some_and(|frame| self.send_frame(frame))
    }

    /// Queues an encoded message, like [`LinkHandle::send`].
    pub(crate) fn send_frame(&self, frame: LinkFrame) -> bool {
        self.frames.push(frame)
    }
}

/// Encodes a message.
pub(crate) fn encode(message: &LinkMessage) -> Option<LinkFrame> {
    let frame = LinkFrame::encode(message);
    frame.inspect_err(|error| log::error!("event=frame_not_encoded cause=\"{error}\"")).ok()
}
