use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gw_balance::LinkPacer;
use gw_balance::TransferLoad;
use gw_types::Timestamp;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::timeout;

struct LinkTransfers {
    pacer: RefCell<LinkPacer>,
    load: RefCell<TransferLoad>,
    slots: Arc<Semaphore>,
    waiting: Cell<usize>,
}

/// Limits the large responses that a host forwards at the same time, and their rate.
#[derive(Clone)]
pub(crate) struct TransferGate {
    /// `None` if the host's link is not limited.
    link: Option<Rc<LinkTransfers>>,
}

/// Permission to forward a large response.
pub(crate) struct TransferSlot {
    link: Option<(Rc<LinkTransfers>, OwnedSemaphorePermit)>,
    started: Instant,
}

impl Drop for TransferSlot {
    fn drop(&mut self) {
        if let Some((link, _)) = &self.link {
            link.load.borrow_mut().record(self.started.elapsed());
        }
    }
}

impl TransferGate {
    /// Creates the gate for a link of `link_rate` bytes per second.
    pub(crate) fn new(link_rate: Option<f64>) -> Self {
        let link = link_rate.map(|rate| {
            let load = TransferLoad::new(rate);
            Rc::new(LinkTransfers {
                pacer: RefCell::new(LinkPacer::new(rate)),
                slots: Arc::new(Semaphore::new(load.slots())),
                load: RefCell::new(load),
                waiting: Cell::new(0),
            })
        });
        Self { link }
    }

    /// Waits for a slot for at most `max_wait`. Fails at once if the wait is expected to be longer;
    /// the error is the expected wait.
    pub(crate) async fn enter(&self, max_wait: Duration) -> Result<TransferSlot, Duration> {
        let Some(link) = &self.link else {
            return Ok(TransferSlot { link: None, started: Instant::now() });
        };
        let permit = match link.slots.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                let expected = link.load.borrow().expected_wait(link.waiting.get());
                if expected > max_wait {
                    return Err(expected);
                }
                let waiting = WaitingGuard::new(link);
                let entered = timeout(max_wait, link.slots.clone().acquire_owned()).await;
                drop(waiting);
                entered.ok().and_then(Result::ok).ok_or(expected)?
            }
        };
        Ok(TransferSlot { link: Some((link.clone(), permit)), started: Instant::now() })
    }

    /// Returns how long to wait before a piece of `bytes` is passed on.
    pub(crate) fn pace(&self, now: Timestamp, bytes: usize) -> Duration {
        let link = self.link.as_ref();
        link.map_or(Duration::ZERO, |link| link.pacer.borrow_mut().reserve(now, bytes))
    }
}

/// Counts a transfer as waiting until dropped.
struct WaitingGuard<'a>(&'a LinkTransfers);

impl<'a> WaitingGuard<'a> {
    fn new(link: &'a LinkTransfers) -> Self {
        link.waiting.set(link.waiting.get() + 1);
        Self(link)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}
