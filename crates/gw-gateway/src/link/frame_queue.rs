use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::link::LinkFrame;
use crate::link::LinkMessage;
use crate::link::link_frame::PREFIX_BYTES;
use crate::memory_bounds::MemoryBounds;

/// Size of a fragment in bytes: 65 ms on a link of 2 Mbit/s, which small frames wait at most.
const FRAGMENT_BYTES: usize = 16 * 1024;

/// Frames that wait for a connection, bounded in bytes. Small frames pass large ones, and pass
/// between the fragments of a large one if the other host can read fragments.
#[derive(Debug)]
pub(crate) struct FrameQueue {
    bounds: MemoryBounds,
    waiting: RefCell<WaitingFrames>,
    /// Whether the other host can read fragments; `None` until its first message. Large frames wait
    /// for it.
    takes_fragments: Cell<Option<bool>>,
    last_push: Cell<Instant>,
    is_closed: Cell<bool>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct WaitingFrames {
    small: VecDeque<LinkFrame>,
    small_bytes: usize,
    large: VecDeque<LinkFrame>,
    large_bytes: usize,
    /// Bytes of the first of `large` that were sent in fragments, its prefix included.
    fragmented: usize,
}

impl FrameQueue {
    pub(crate) fn new(bounds: MemoryBounds) -> Self {
        Self {
            bounds,
            waiting: RefCell::default(),
            takes_fragments: Cell::new(None),
            last_push: Cell::new(Instant::now()),
            is_closed: Cell::new(false),
            changed: Notify::new(),
        }
    }

    /// Adds a frame. Returns `false` if the connection has ended or too many bytes wait. A single
    /// large frame always has room.
    pub(crate) fn push(&self, frame: LinkFrame) -> bool {
        let cost = frame.cost();
        let mut waiting = self.waiting.borrow_mut();
        let has_room = match frame.is_large {
            true => {
                waiting.large.is_empty() || waiting.large_bytes + cost <= self.bounds.large_frames
            }
            false => waiting.small_bytes + cost <= self.bounds.small_frames,
        };
        if self.is_closed.get() || !has_room {
            return false;
        }
        if frame.is_large {
            waiting.large_bytes += cost;
            waiting.large.push_back(frame);
        } else {
            waiting.small_bytes += cost;
            waiting.small.push_back(frame);
        }
        self.last_push.set(Instant::now());
        self.changed.notify_one();
        true
    }

    /// Returns when a frame was last added.
    pub(crate) fn last_push(&self) -> Instant {
        self.last_push.get()
    }

    /// Records, with the other host's first message, whether it can read fragments.
    pub(crate) fn set_takes_fragments(&self, takes_fragments: bool) {
        self.takes_fragments.set(Some(takes_fragments));
        self.changed.notify_one();
    }

    /// Whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Drops the frames and rejects further ones.
    pub(crate) fn close(&self) {
        self.is_closed.set(true);
        *self.waiting.borrow_mut() = WaitingFrames::default();
    }

    /// Waits for the next bytes to send: a small frame, a fragment or a large frame.
    pub(crate) async fn next(&self) -> Bytes {
        loop {
            if let Some(bytes) = self.take_next() {
                return bytes;
            }
            self.changed.notified().await;
        }
    }

    /// Removes the next bytes to send; `None` if there are none.
    pub(crate) fn take_next(&self) -> Option<Bytes> {
        let mut waiting = self.waiting.borrow_mut();
        if let Some(frame) = waiting.small.pop_front() {
            waiting.small_bytes -= frame.cost();
            return Some(frame.bytes);
        }
        let takes_fragments = self.takes_fragments.get()?;
        let bytes = waiting.large.front()?.bytes.clone();
        if !takes_fragments || bytes.len() <= FRAGMENT_BYTES {
            waiting.remove_first_large();
            return Some(bytes);
        }
        let start = waiting.fragmented.max(PREFIX_BYTES);
        let end = bytes.len().min(start + FRAGMENT_BYTES);
        waiting.fragmented = end;
        let left = (bytes.len() - end) as u32;
        if left == 0 {
            waiting.remove_first_large();
        }
        let fragment = LinkMessage::Fragment { left, bytes: bytes[start..end].to_vec() };
        // Encoding into memory cannot fail.
        LinkFrame::encode(&fragment).ok().map(|frame| frame.bytes)
    }
}

impl WaitingFrames {
    fn remove_first_large(&mut self) {
        self.fragmented = 0;
        if let Some(frame) = self.large.pop_front() {
            self.large_bytes -= frame.cost();
        }
    }
}
