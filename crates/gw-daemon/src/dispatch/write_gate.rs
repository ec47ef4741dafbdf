use std::io;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Poll;

/// Decides whether a connection may be written to.
pub(crate) trait WriteCheck: Send + Sync {
    /// Called immediately before each write.
    fn may_write(&self) -> bool;
}

/// Counts the bytes of the current request that were written to a connection, and blocks further
/// writes once it is closed.
///
/// The lock is held during the non-blocking system call, so that the count is final after
/// [`close`](Self::close): if it is zero, no byte of the request was or will be written.
#[derive(Debug, Default)]
pub(crate) struct WriteGate {
    state: Mutex<GateState>,
}

#[derive(Debug, Default)]
struct GateState {
    is_open: bool,
    /// Bytes of the current request that the socket has accepted.
    written: u64,
    /// Whether the check has refused a write.
    refused: bool,
}

/// Result of the writes of one request, taken when the gate is closed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteSummary {
    /// Whether at least one byte was written.
    pub(crate) written: bool,
    /// Whether the check has refused a write.
    pub(crate) refused: bool,
}

impl WriteGate {
    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Allows writes and resets the count, for a new request.
    pub(crate) fn open(&self) {
        *self.lock() = GateState { is_open: true, written: 0, refused: false };
    }

    /// Blocks writes until the next [`open`](Self::open) and returns what was written.
    pub(crate) fn close(&self) -> WriteSummary {
        let mut state = self.lock();
        state.is_open = false;
        WriteSummary { written: state.written > 0, refused: state.refused }
    }

    /// Calls `write` unless the gate is closed or `check` refuses it.
    pub(crate) fn write(
        &self,
        check: &dyn WriteCheck,
        write: impl FnOnce() -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if !state.is_open {
            return Poll::Ready(Err(io::Error::other("write after the end of the request")));
        }
        if !check.may_write() {
            state.refused = true;
            return Poll::Ready(Err(io::Error::other("dispatcher lease has expired")));
        }
        let result = write();
        if let Poll::Ready(Ok(count)) = &result {
            state.written += *count as u64;
        }
        result
    }
}
