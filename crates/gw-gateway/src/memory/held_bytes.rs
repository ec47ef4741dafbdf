use std::rc::Rc;

use gw_balance::MemoryClass;

use crate::memory::MemoryGate;

/// Bytes that are held for a connection until dropped.
pub(crate) struct HeldBytes {
    pub(super) gate: Rc<MemoryGate>,
    pub(super) id: u64,
    pub(super) class: MemoryClass,
    pub(super) bytes: usize,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.gate.release(self.id, self.class, self.bytes);
    }
}
