use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counts the responses that were sent on a connection.
#[derive(Clone, Default)]
pub(crate) struct TurnCounter(Rc<CounterState>);

#[derive(Default)]
struct CounterState {
    sent: Cell<u64>,
    changed: Notify,
}

impl TurnCounter {
    /// Records that the response to the first unanswered request was sent.
    pub(crate) fn advance(&self) {
        self.0.sent.set(self.0.sent.get() + 1);
        self.0.changed.notify_waiters();
    }

    /// Returns the turn of the request with this number, counted from 0 on the connection.
    pub(crate) fn turn(&self, number: u64) -> RequestTurn {
        RequestTurn { counter: self.clone(), number }
    }
}

/// The place of a request among those of its connection.
pub(crate) struct RequestTurn {
    counter: TurnCounter,
    number: u64,
}

impl RequestTurn {
    /// Waits until all earlier requests of the connection are answered.
    ///
    /// If one of those responses closes the connection, the caller takes the requests behind it as
    /// not read and sends them again, whatever their kind. A request that must not run twice is
    /// therefore sent to a target only at its turn.
    pub(crate) async fn wait(&self) {
        loop {
            let changed = self.counter.0.changed.notified();
            if self.counter.0.sent.get() >= self.number {
                return;
            }
            changed.await;
        }
    }
}
