use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Whether the host may receive traffic: its state is at least as new as the state that was in
/// force when it started. Set by the control thread.
#[derive(Debug, Default)]
pub struct ReadyState {
    is_ready: AtomicBool,
}

impl ReadyState {
    /// Sets the result of `/readyz`.
    pub fn set(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Release);
    }

    /// Returns whether the host may receive traffic.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }
}
