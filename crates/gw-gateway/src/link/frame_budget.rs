use std::cell::Cell;
use std::rc::Rc;

/// Bytes of the frames that wait for several connections, each counted once.
#[derive(Clone, Debug)]
pub(crate) struct FrameBudget {
    limit: usize,
    used: Rc<Cell<usize>>,
}

impl FrameBudget {
    /// Creates a budget of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, used: Rc::default() }
    }

    /// Returns whether frames may be added.
    pub(crate) fn has_room(&self) -> bool {
        self.used.get() < self.limit
    }

    /// Takes `bytes` until the charge and all its clones are dropped.
    pub(crate) fn charge(&self, bytes: usize) -> Rc<FrameCharge> {
        self.used.set(self.used.get() + bytes);
        Rc::new(FrameCharge { bytes, used: self.used.clone() })
    }
}

/// Share of a [`FrameBudget`] that a frame takes until no connection needs it any more.
#[derive(Debug)]
pub(crate) struct FrameCharge {
    bytes: usize,
    used: Rc<Cell<usize>>,
}

impl Drop for FrameCharge {
    fn drop(&mut self) {
        self.used.set(self.used.get().saturating_sub(self.bytes));
    }
}
