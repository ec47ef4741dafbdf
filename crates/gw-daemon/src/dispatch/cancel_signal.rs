use std::future::poll_fn;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

/// Notifies one waiting task that its request was cancelled.
#[derive(Debug, Default)]
pub(crate) struct CancelSignal {
    state: Mutex<CancelState>,
}

#[derive(Debug, Default)]
struct CancelState {
    cancelled: bool,
    waker: Option<Waker>,
}

impl CancelSignal {
    pub(crate) fn cancel(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.cancelled = true;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Returns `Ready` once the request is cancelled. Only the task that polled last is woken.
    pub(crate) fn poll_cancelled(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.cancelled {
            return Poll::Ready(());
        }
        match &mut state.waker {
            Some(waker) => waker.clone_from(context.waker()),
            empty => *empty = Some(context.waker().clone()),
        }
        Poll::Pending
    }

    pub(crate) async fn cancelled(&self) {
        poll_fn(|context| self.poll_cancelled(context)).await;
    }
}
