use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gw_dispatch::Admission;
use gw_dispatch::AttemptOutcome;
use gw_dispatch::CallerHash;
use gw_dispatch::QueueActions;
use gw_dispatch::QueueOptions;
use gw_dispatch::QueuedRequest;
use gw_dispatch::RefusalReason;
use gw_dispatch::RequestTicket;
use gw_dispatch::SlowStart;
use gw_dispatch::TargetQueue;
use gw_node::DispatchAssignment;
use gw_profile::Profile;
use gw_profile::ShedClass;
use gw_types::KeyHash;
use gw_types::TargetState;
use gw_types::Timestamp;
use tokio::sync::oneshot;

use super::ConnectionPool;
use super::WriteCheck;
use crate::TrafficState;

/// Largest number of connections to one target, about as many as one instance of the target services
/// accepts.
const MAX_TARGET_CONNECTIONS: usize = 110;

/// Shortest time between two checks of a queue for requests that start without an event, such as
/// long requests once no short request has arrived for a while.
const MIN_WAKEUP_DELAY: Duration = Duration::from_millis(1);

/// Shortest time between two reports that one target answers, well below the 1.5 s after which a
/// target that is not heard from counts as lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Request queue and connection pool of one target process.
pub(crate) struct DispatchQueue {
    /// The assignment at the time of creation. Its lease end may be outdated; the current one is in
    /// the plan.
    pub(crate) assignment: DispatchAssignment,
    pub(crate) pool: Arc<ConnectionPool>,
    state: Arc<TrafficState>,
    inner: Mutex<QueueState>,
    /// Time of the last successful result that was reported to the control thread, in nanoseconds.
    last_report: AtomicU64,
}

struct QueueState {
    queue: TargetQueue,
    options: QueueOptions,
    waiters: HashMap<RequestTicket, oneshot::Sender<Result<(), DispatchRefusal>>>,
    next_ticket: u64,
    is_closed: bool,
}

/// Properties of a request by which the queue orders and limits it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DispatchRequest {
    pub(crate) class: ShedClass,
    pub(crate) is_long: bool,
    /// Whether the request is suspected of crashing targets, so that no other may run beside it.
    pub(crate) runs_alone: bool,
    pub(crate) expected: Duration,
    pub(crate) deadline: Timestamp,
    pub(crate) caller: CallerHash,
    pub(crate) key: Option<KeyHash>,
}

/// Reason why a request was not sent to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchRefusal {
    /// The queue refused the request.
    Queue(RefusalReason),
    /// This host is no longer the dispatcher of this target process.
    Closed,
}

/// Allows writes to a target only while the dispatcher lease is valid.
struct LeaseCheck {
    state: Arc<TrafficState>,
    assignment: DispatchAssignment,
}

impl WriteCheck for LeaseCheck {
    fn may_write(&self) -> bool {
        self.state.may_write(&self.assignment)
    }
}

impl DispatchQueue {
    pub(crate) fn new(state: &Arc<TrafficState>, assignment: &DispatchAssignment) -> Self {
        let check = Arc::new(LeaseCheck { state: state.clone(), assignment: assignment.clone() });
        let profile = state.profile_of(assignment.target.service.as_str());
        let options = QueueOptions::from_profile(&profile, assignment.target.work_slots);
        let slow_start = match assignment.target.state {
            TargetState::Starting => SlowStart::cold(state.now(), options.slow_start),
            _ => SlowStart::warm(),
        };
        Self {
            assignment: assignment.clone(),
            pool: Arc::new(ConnectionPool::new(
                assignment.target.address,
                MAX_TARGET_CONNECTIONS,
                check,
            )),
            state: state.clone(),
            inner: Mutex::new(QueueState {
                queue: TargetQueue::new(options.clone(), slow_start),
                options,
                waiters: HashMap::new(),
                next_ticket: 0,
                is_closed: false,
            }),
            last_report: AtomicU64::new(0),
        }
    }

    /// Returns whether a successful result is to be reported now, and if so starts the next
    /// interval. The control thread only needs to know that the target answers, not each result.
    pub(crate) fn is_report_due(&self) -> bool {
        let now = self.state.now();
        let last = self.last_report.load(Ordering::Relaxed);
        if now.since(Timestamp::from_nanos(last)) < REPORT_INTERVAL {
            return false;
        }
        let relaxed = Ordering::Relaxed;
        self.last_report.compare_exchange(last, now.as_nanos(), relaxed, relaxed).is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a work slot. Dropping the future removes the request from the queue.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: DispatchRequest,
        profile: &Profile,
    ) -> Result<WorkPermit, DispatchRefusal> {
        let Submitted { permit, waiter } = self.submit(request, profile)?;
        let Some(mut waiter) = waiter else { return Ok(permit) };
        loop {
            let wakeup = tokio::time::sleep(self.time_until_wakeup());
            tokio::select! {
                biased;
                result = &mut waiter => {
                    result.unwrap_or(Err(DispatchRefusal::Closed))?;
                    return Ok(permit);
                }
                () = wakeup => self.expire(),
            }
        }
    }

    fn submit(
        self: &Arc<Self>,
        request: DispatchRequest,
        profile: &Profile,
    ) -> Result<Submitted, DispatchRefusal> {
        let now = self.state.now();
        let mut state = self.lock();
        if state.is_closed {
            return Err(DispatchRefusal::Closed);
        }
        state.apply_profile(profile);
        let ticket = RequestTicket(state.next_ticket);
        state.next_ticket += 1;
        let waiter = match state.queue.submit(now, request.queued(ticket)) {
            Admission::Start => None,
            Admission::Queued { evicted } => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(ticket, sender);
                let refuse = evicted.into_iter().collect();
                state.apply_actions(QueueActions { start: Vec::new(), refuse });
                Some(receiver)
            }
            Admission::Refused { reason, .. } => return Err(DispatchRefusal::Queue(reason)),
        };
        Ok(Submitted { permit: WorkPermit::new(self, ticket), waiter })
    }

    fn time_until_wakeup(&self) -> Duration {
        let now = self.state.now();
        let wakeup = self.lock().queue.next_wakeup(now);
        wakeup.map_or(MIN_WAKEUP_DELAY, |wakeup| wakeup.since(now).max(MIN_WAKEUP_DELAY))
    }

    fn expire(&self) {
        let now = self.state.now();
        let mut state = self.lock();
        let actions = state.queue.expire(now);
        state.apply_actions(actions);
    }

    /// Refuses all waiting and later requests, so that they are routed again.
    pub(crate) fn close(&self) {
        let mut state = self.lock();
        state.is_closed = true;
        state.waiters.clear();
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().waiters.len()
    }
}

impl QueueState {
    /// Applies the queueing rules of `profile` if they differ from the current ones.
    fn apply_profile(&mut self, profile: &Profile) {
        let is_same = self.options.queue_limit == profile.refuse.queue_limit as usize
            && self.options.order == profile.refuse.queue_order
            && self.options.shed_order == profile.refuse.shed_order;
        if !is_same {
            self.options = QueueOptions::from_profile(profile, self.options.work_slots);
            self.queue.set_options(self.options.clone());
        }
    }

    fn apply_actions(&mut self, actions: QueueActions) {
        for ticket in actions.start {
            self.notify(ticket, Ok(()));
        }
        for refused in actions.refuse {
            self.notify(refused.ticket, Err(DispatchRefusal::Queue(refused.reason)));
        }
    }

    /// Sends the result to a waiting request. If its future was dropped, the work slot is released
    /// by dropping its permit.
    fn notify(&mut self, ticket: RequestTicket, result: Result<(), DispatchRefusal>) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            waiter.send(result).ok();
        }
    }
}

impl DispatchRequest {
    fn queued(self, ticket: RequestTicket) -> QueuedRequest {
        let Self { class, is_long, runs_alone, expected, deadline, caller, key } = self;
        QueuedRequest { ticket, class, is_long, runs_alone, expected, deadline, caller, key }
    }
}

struct Submitted {
    permit: WorkPermit,
    /// Present if the request has to wait.
    waiter: Option<oneshot::Receiver<Result<(), DispatchRefusal>>>,
}

/// Place of a request in a dispatch queue, first waiting, then occupying a work slot. Released on
/// drop.
pub(crate) struct WorkPermit {
    queue: Arc<DispatchQueue>,
    ticket: RequestTicket,
    outcome: AttemptOutcome,
}

impl WorkPermit {
    fn new(queue: &Arc<DispatchQueue>, ticket: RequestTicket) -> Self {
        Self { queue: queue.clone(), ticket, outcome: AttemptOutcome::Cancelled }
    }

    /// Sets the outcome of the request that is reported to the queue on drop.
    pub(crate) fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for WorkPermit {
    fn drop(&mut self) {
        let now = self.queue.state.now();
        let mut state = self.queue.lock();
        let was_waiting = state.waiters.remove(&self.ticket).is_some();
        let actions = if was_waiting {
            state.queue.cancel(now, self.ticket)
        } else {
            state.queue.finish(now, self.ticket, self.outcome)
        };
        state.apply_actions(actions);
    }
}
