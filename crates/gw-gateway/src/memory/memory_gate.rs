use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use gw_balance::ConnectionAnswer;
use gw_balance::ConnectionGroup;
use gw_balance::ConnectionState;
use gw_balance::MemoryBudget;
use gw_balance::MemoryClass;
use gw_balance::MemoryLimits;
use gw_balance::MemoryVerdict;
use gw_daemon::BootClock;
use gw_types::Clock;
use gw_types::Timestamp;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::GatewaySettings;
use crate::gateway_metrics::ClassLabels;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_metrics::ReasonLabels;
use crate::memory::ConnectionMemory;
use crate::memory::connection_memory::VerdictCell;
use crate::targets::set_buffer_sizes;

/// Interval at which a listener without room for another connection looks for one.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Fraction of the budget above which only small responses are read whole. Larger ones then wait at
/// the target for the caller to read.
const WHOLE_RESPONSES_SHARE: usize = 4;

/// Memory that a host holds for others, and the connections for which it does.
pub(crate) struct MemoryGate {
    clock: BootClock,
    budget: RefCell<MemoryBudget>,
    limits: MemoryLimits,
    /// Size of the kernel's buffers of a connection, in bytes.
    socket_buffer: usize,
    /// Sorted by id.
    verdicts: RefCell<Vec<(u64, Rc<VerdictCell>)>>,
    next_id: Cell<u64>,
    /// Notified when a review may change something.
    changed: Notify,
    metrics: Rc<GatewayMetrics>,
}

impl MemoryGate {
    /// Creates the memory of a host that may use `share` of the memory of its process for others.
    pub(crate) fn new(
        settings: &GatewaySettings,
        share: f64,
        socket_buffer: usize,
        metrics: Rc<GatewayMetrics>,
    ) -> Rc<Self> {
        let limits = MemoryLimits::new(settings.memory_bytes, share, settings.max_descriptors);
        log::info!(
            "event=memory_limits total={} small_reserve={} connections={:?}",
            limits.total,
            limits.small_reserve,
            limits.connections,
        );
        Rc::new(Self {
            clock: BootClock,
            budget: RefCell::new(MemoryBudget::new(limits)),
            limits,
            socket_buffer,
            verdicts: RefCell::default(),
            next_id: Cell::new(0),
            changed: Notify::new(),
            metrics,
        })
    }

    pub(super) fn with_budget<T>(&self, act: impl FnOnce(&mut MemoryBudget, Timestamp) -> T) -> T {
        act(&mut self.budget.borrow_mut(), self.clock.now())
    }

    /// Largest body, in bytes, that this host can ever hold.
    pub(super) fn largest_body(&self) -> usize {
        self.limits.largest_body()
    }

    /// Whether so much is held that no request should be started that can wait.
    pub(crate) fn is_short(&self) -> bool {
        self.budget.borrow().is_short()
    }

    /// Whether more is held than allowed, so that further requests are refused.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.budget.borrow().is_exceeded()
    }

    /// Whether responses may be read whole that need not be.
    pub(crate) fn has_room_for_responses(&self) -> bool {
        let held = self.budget.borrow().held(MemoryClass::Response);
        held <= self.limits.total / WHOLE_RESPONSES_SHARE && !self.is_short()
    }

    /// Bounds what the kernel buffers for the connections of a listener.
    pub(crate) fn bound_buffers(&self, listener: &TcpListener) {
        if let Err(error) = set_buffer_sizes(listener, self.socket_buffer) {
            log::warn!("event=socket_option_failed cause=\"{error}\"");
        }
    }

    /// Waits until another connection of `group` may be accepted. Closes one that is idle if there is
    /// no room otherwise.
    pub(crate) async fn connection_room(&self, group: ConnectionGroup) {
        loop {
            match self.with_budget(|budget, now| budget.admit_connection(now, group)) {
                ConnectionAnswer::Open => return,
                ConnectionAnswer::Close(id) => {
                    self.count_closure("connections");
                    self.send_verdict(id, MemoryVerdict::Closed);
                    // Lets it close.
                    tokio::task::yield_now().await;
                    return;
                }
                ConnectionAnswer::Retire(id) => {
                    self.count_closure("busy");
                    self.send_verdict(id, MemoryVerdict::Retired);
                }
                ConnectionAnswer::Full => tokio::time::sleep(FULL_RETRY_DELAY).await,
            }
        }
    }

    /// Adds a connection that was accepted.
    pub(crate) fn open(self: &Rc<Self>, group: ConnectionGroup) -> ConnectionMemory {
        let id = self.next_id.replace(self.next_id.get() + 1);
        self.with_budget(|budget, now| budget.open(now, id, group));
        let verdict = Rc::new(VerdictCell::default());
        self.verdicts.borrow_mut().push((id, verdict.clone()));
        ConnectionMemory {
            gate: self.clone(),
            id,
            verdict,
            state: Cell::new(ConnectionState::Idle),
            head_bytes: Cell::new(0),
            granted: Cell::new(0),
        }
    }

    pub(super) fn close(&self, id: u64) {
        self.with_budget(|budget, _| budget.close(id));
        let mut verdicts = self.verdicts.borrow_mut();
        if let Ok(index) = verdicts.binary_search_by_key(&id, |(id, _)| *id) {
            verdicts.remove(index);
        }
        drop(verdicts);
        self.notify_if_short();
    }

    pub(super) fn release(&self, id: u64, class: MemoryClass, bytes: usize) {
        self.with_budget(|budget, _| budget.release(id, class, bytes));
        self.notify_if_short();
    }

    /// Causes a review if someone waits or too much is held.
    pub(super) fn notify_if_short(&self) {
        if self.budget.borrow().review_interval().is_some() {
            self.changed.notify_one();
        }
    }

    /// Reviews the memory while it is short, for as long as the process runs.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            let interval = self.budget.borrow().review_interval();
            match interval {
                None => self.changed.notified().await,
                // Reviewed after a notification and after a timeout alike.
                Some(interval) => drop(timeout(interval, self.changed.notified()).await),
            }
            let verdicts = self.with_budget(|budget, now| budget.review(now));
            for (id, verdict) in verdicts {
                match verdict {
                    // A review retires none.
                    MemoryVerdict::Granted | MemoryVerdict::Retired => {}
                    MemoryVerdict::Refused => self.count_refusal("memory_full"),
                    MemoryVerdict::Closed => self.count_closure("no_progress"),
                }
                self.send_verdict(id, verdict);
            }
        }
    }

    fn send_verdict(&self, id: u64, verdict: MemoryVerdict) {
        let verdicts = self.verdicts.borrow();
        if let Ok(index) = verdicts.binary_search_by_key(&id, |(id, _)| *id) {
            verdicts[index].1.set(verdict);
        }
    }

    /// Counts a request that was refused for lack of memory.
    pub(crate) fn count_refusal(&self, reason: &'static str) {
        self.metrics.memory_refusals.get_or_create(&ReasonLabels { reason }).inc();
        self.log_state("memory_refused", reason);
    }

    fn count_closure(&self, reason: &'static str) {
        self.metrics.memory_closures.get_or_create(&ReasonLabels { reason }).inc();
        self.log_state("connection_shed", reason);
    }

    fn log_state(&self, event: &str, reason: &str) {
        let budget = self.budget.borrow();
        let held = MemoryClass::ALL.map(|class| format!("{}={}", class.name(), budget.held(class)));
        log::info!("event={event} reason={reason} {}", held.join(" "));
    }

    /// Brings the gauges of the bytes held by class up to date.
    pub(crate) fn report(&self) {
        let budget = self.budget.borrow();
        for class in MemoryClass::ALL {
            let labels = ClassLabels { class: class.name() };
            self.metrics.held_bytes.get_or_create(&labels).set(budget.held(class) as i64);
        }
    }
}
