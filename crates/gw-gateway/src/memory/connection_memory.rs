use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use gw_balance::ConnectionState;
use gw_balance::DemandAnswer;
use gw_balance::MemoryClass;
use gw_balance::MemoryVerdict;
use tokio::sync::Notify;

use crate::memory::HeldBytes;
use crate::memory::MemoryGate;

/// Bytes by which a body of unknown length grows at least.
pub(crate) const BODY_STEP_BYTES: usize = 64 * 1024;

/// Verdicts that a connection has not acted on yet.
#[derive(Default)]
pub(super) struct VerdictCell {
    /// Whether the demand that waited was granted.
    is_granted: Cell<Option<bool>>,
    decided: Notify,
    is_closed: Cell<bool>,
    closed: Notify,
    is_retired: Cell<bool>,
    retired: Notify,
}

impl VerdictCell {
    pub(super) fn set(&self, verdict: MemoryVerdict) {
        match verdict {
            MemoryVerdict::Closed => {
                self.is_closed.set(true);
                self.closed.notify_one();
            }
            MemoryVerdict::Retired => {
                self.is_retired.set(true);
                self.retired.notify_one();
            }
            MemoryVerdict::Granted | MemoryVerdict::Refused => {
                self.is_granted.set(Some(verdict == MemoryVerdict::Granted));
                self.decided.notify_one();
            }
        }
    }
}

/// A connection's part in the memory of the host, released when dropped.
pub(crate) struct ConnectionMemory {
    pub(super) gate: Rc<MemoryGate>,
    pub(super) id: u64,
    pub(super) verdict: Rc<VerdictCell>,
    /// The state that was last recorded.
    pub(super) state: Cell<ConnectionState>,
    /// Bytes of the class [`MemoryClass::Head`] that are recorded.
    pub(super) head_bytes: Cell<usize>,
    /// Bytes to which the body that is arriving may grow.
    pub(super) granted: Cell<usize>,
}

impl ConnectionMemory {
    /// Returns the memory of the host.
    pub(crate) fn gate(&self) -> &MemoryGate {
        &self.gate
    }

    /// Records what the connection does now.
    pub(crate) fn set_state(&self, state: ConnectionState) {
        if self.state.replace(state) != state {
            self.gate.with_budget(|budget, now| budget.set_state(now, self.id, state));
        }
    }

    /// Records that the connection goes on although it was told to close.
    pub(crate) fn keep_open(&self) {
        self.verdict.is_closed.set(false);
        let state = self.state.get();
        self.gate.with_budget(|budget, now| budget.set_state(now, self.id, state));
    }

    /// Records bytes that were received from the caller or taken by it.
    pub(crate) fn record_progress(&self, bytes: usize) {
        self.gate.with_budget(|budget, now| budget.record_progress(now, self.id, bytes));
    }

    /// Records the size of what has arrived and belongs to no body.
    pub(crate) fn set_head_bytes(&self, bytes: usize) {
        let before = self.head_bytes.replace(bytes);
        if before != bytes {
            self.gate.with_budget(|budget, _| {
                budget.release(self.id, MemoryClass::Head, before);
                budget.add_held(self.id, MemoryClass::Head, bytes);
            });
            self.gate.notify_if_short();
        }
    }

    /// Bytes to which the body that is arriving may grow.
    pub(crate) fn granted(&self) -> usize {
        self.granted.get()
    }

    /// Returns the size for which a body of unknown length asks that needs `needed` bytes and is
    /// limited to `limit`: a quarter more than was granted, so that it asks seldom.
    pub(crate) fn next_size(&self, needed: usize, limit: usize) -> usize {
        let granted = self.granted.get();
        let step = granted + (granted / 4).max(BODY_STEP_BYTES);
        step.min(limit).min(self.gate.largest_body()).max(needed)
    }

    /// Asks for memory so that the body that is arriving may grow to `bytes`.
    pub(crate) fn demand(&self, bytes: usize, max_wait: Duration) -> DemandAnswer {
        let answer =
            self.gate.with_budget(|budget, now| budget.demand(now, self.id, bytes, max_wait));
        match answer {
            DemandAnswer::Granted => self.granted.set(bytes),
            DemandAnswer::Waiting => self.gate.notify_if_short(),
            DemandAnswer::Refused => self.gate.count_refusal("memory_full"),
            DemandAnswer::TooLarge => self.gate.count_refusal("memory_too_large"),
        }
        answer
    }

    /// Records that a demand for `bytes` that waited was granted.
    pub(crate) fn set_granted(&self, bytes: usize) {
        self.granted.set(bytes);
    }

    /// Makes the body of `bytes` that has arrived that of a request, which holds it until the result
    /// is dropped.
    pub(crate) fn finish_body(&self, bytes: usize) -> HeldBytes {
        self.granted.set(0);
        self.gate.with_budget(|budget, _| budget.finish_body(self.id, bytes));
        self.gate.notify_if_short();
        let (gate, class) = (self.gate.clone(), MemoryClass::Request);
        HeldBytes { gate, id: self.id, class, bytes }
    }

    /// Releases the memory of a body that does not arrive completely.
    pub(crate) fn drop_body(&self) {
        drop(self.finish_body(0));
    }

    /// Returns a function that holds the bytes of a response.
    pub(crate) fn response_holder(&self) -> impl FnOnce(usize) -> HeldBytes + use<> {
        let (gate, id, class) = (self.gate.clone(), self.id, MemoryClass::Response);
        move |bytes| {
            gate.with_budget(|budget, _| budget.add_held(id, class, bytes));
            gate.notify_if_short();
            HeldBytes { gate, id, class, bytes }
        }
    }

    /// Waits until a demand that waits is decided, and returns whether it was granted.
    pub(crate) async fn decision(&self) -> bool {
        loop {
            if let Some(is_granted) = self.verdict.is_granted.take() {
                return is_granted;
            }
            self.verdict.decided.notified().await;
        }
    }

    /// Whether the connection is to end with its next response.
    pub(crate) fn is_retired(&self) -> bool {
        self.verdict.is_retired.get()
    }

    /// Waits until the connection is to end with its next response.
    pub(crate) async fn told_to_retire(&self) {
        while !self.is_retired() {
            self.verdict.retired.notified().await;
        }
    }

    /// Waits until the connection is told to close.
    pub(crate) async fn told_to_close(&self) {
        while !self.verdict.is_closed.get() {
            self.verdict.closed.notified().await;
        }
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.gate.close(self.id);
    }
}
