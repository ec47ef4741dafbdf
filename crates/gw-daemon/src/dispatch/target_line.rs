use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gw_dispatch::Admission;
use gw_dispatch::CallerHash;
use gw_dispatch::QueueOptions;
use gw_dispatch::QueueSteps;
use gw_dispatch::QueuedRequest;
use gw_dispatch::RefusalReason;
use gw_dispatch::RequestTicket;
use gw_dispatch::RunResult;
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

/// Most connections to one target, about what one instance of both users' services accepts.
const TARGET_CONNECTIONS: usize = 110;

/// Shortest time between two looks at a queue for work that may start without an event, such as
/// long work once no short work has arrived for a while.
const MIN_WAKEUP: Duration = Duration::from_millis(1);

/// Time between two reports of answers of one target, well below the 1.5 s after which a silent
/// target is taken for lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Queue and connections of one run of one target.
pub(crate) struct TargetLine {
    /// The duty when the line was made; the lease's end is read from the plan.
    pub(crate) duty: DispatchAssignment,
    pub(crate) pool: Arc<ConnectionPool>,
    state: Arc<TrafficState>,
    queue: Mutex<LineQueue>,
    /// When an answer was last reported to the control thread, in nanoseconds.
    reported: AtomicU64,
}

struct LineQueue {
    queue: TargetQueue,
    options: QueueOptions,
    waiters: HashMap<RequestTicket, oneshot::Sender<Result<(), LineRefusal>>>,
    next_ticket: u64,
    is_closed: bool,
}

/// What a line needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LineRequest {
    pub(crate) class: ShedClass,
    pub(crate) is_long: bool,
    /// Whether the request is suspected of crashing targets and must run without company.
    pub(crate) runs_alone: bool,
    pub(crate) expected: Duration,
    pub(crate) deadline: Timestamp,
    pub(crate) caller: CallerHash,
    pub(crate) key: Option<KeyHash>,
}

/// Why a request did not get its turn at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineRefusal {
    /// The queue refused.
    Queue(RefusalReason),
    /// This host no longer dispatches to this run of the target.
    Closed,
}

/// Writes to a target only under its dispatcher lease.
struct LeaseCheck {
    state: Arc<TrafficState>,
    duty: DispatchAssignment,
}

impl WriteCheck for LeaseCheck {
    fn may_write(&self) -> bool {
        self.state.may_write(&self.duty)
    }
}

impl TargetLine {
    pub(crate) fn new(state: &Arc<TrafficState>, duty: &DispatchAssignment) -> Self {
        let check = Arc::new(LeaseCheck { state: state.clone(), duty: duty.clone() });
        let profile = state.profile_of(duty.target.service.as_str());
        let options = QueueOptions::from_profile(&profile, duty.target.work_slots);
        let slow_start = match duty.target.state {
            TargetState::Starting => SlowStart::cold(state.now(), options.slow_start),
            _ => SlowStart::warm(),
        };
        Self {
            duty: duty.clone(),
            pool: Arc::new(ConnectionPool::new(duty.target.address, TARGET_CONNECTIONS, check)),
            state: state.clone(),
            queue: Mutex::new(LineQueue {
                queue: TargetQueue::new(options.clone(), slow_start),
                options,
                waiters: HashMap::new(),
                next_ticket: 0,
                is_closed: false,
            }),
            reported: AtomicU64::new(0),
        }
    }

    /// Whether another answer should be reported: the control thread needs to know that the target
    /// answers, not of each answer.
    pub(crate) fn is_report_due(&self) -> bool {
        let now = self.state.now();
        let last = self.reported.load(Ordering::Relaxed);
        if now.since(Timestamp::from_nanos(last)) < REPORT_INTERVAL {
            return false;
        }
        let relaxed = Ordering::Relaxed;
        self.reported.compare_exchange(last, now.as_nanos(), relaxed, relaxed).is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, LineQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the request's turn. A dropped future gives the turn up.
    pub(crate) async fn wait_turn(
        self: &Arc<Self>,
        request: LineRequest,
        profile: &Profile,
    ) -> Result<WorkPermit, LineRefusal> {
        let Submitted { permit, waiter } = self.submit(request, profile)?;
        let Some(mut waiter) = waiter else { return Ok(permit) };
        loop {
            let wakeup = tokio::time::sleep(self.until_wakeup());
            tokio::select! {
                biased;
                turn = &mut waiter => {
                    turn.unwrap_or(Err(LineRefusal::Closed))?;
                    return Ok(permit);
                }
                () = wakeup => self.expire(),
            }
        }
    }

    fn submit(
        self: &Arc<Self>,
        request: LineRequest,
        profile: &Profile,
    ) -> Result<Submitted, LineRefusal> {
        let now = self.state.now();
        let mut line = self.lock();
        if line.is_closed {
            return Err(LineRefusal::Closed);
        }
        line.take_over_profile(profile);
        let ticket = RequestTicket(line.next_ticket);
        line.next_ticket += 1;
        let waiter = match line.queue.submit(now, request.queued(ticket)) {
            Admission::Start => None,
            Admission::Queued { evicted } => {
                let (sender, receiver) = oneshot::channel();
                line.waiters.insert(ticket, sender);
                let refuse = evicted.into_iter().collect();
                line.carry_out(QueueSteps { start: Vec::new(), refuse });
                Some(receiver)
            }
            Admission::Refused { reason, .. } => return Err(LineRefusal::Queue(reason)),
        };
        Ok(Submitted { permit: WorkPermit::new(self, ticket), waiter })
    }

    fn until_wakeup(&self) -> Duration {
        let now = self.state.now();
        let wakeup = self.lock().queue.next_wakeup(now);
        wakeup.map_or(MIN_WAKEUP, |wakeup| wakeup.since(now).max(MIN_WAKEUP))
    }

    fn expire(&self) {
        let now = self.state.now();
        let mut line = self.lock();
        let steps = line.queue.expire(now);
        line.carry_out(steps);
    }

    /// Sends all waiting requests away to be routed again.
    pub(crate) fn close(&self) {
        let mut line = self.lock();
        line.is_closed = true;
        line.waiters.clear();
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.lock().waiters.len()
    }
}

impl LineQueue {
    /// Puts the queueing rules of `profile` in force if they differ from the current ones.
    fn take_over_profile(&mut self, profile: &Profile) {
        let is_same = self.options.queue_limit == profile.refuse.queue_limit as usize
            && self.options.order == profile.refuse.queue_order
            && self.options.shed_order == profile.refuse.shed_order;
        if !is_same {
            self.options = QueueOptions::from_profile(profile, self.options.work_slots);
            self.queue.set_options(self.options.clone());
        }
    }

    fn carry_out(&mut self, steps: QueueSteps) {
        for ticket in steps.start {
            self.answer(ticket, Ok(()));
        }
        for refused in steps.refuse {
            self.answer(refused.ticket, Err(LineRefusal::Queue(refused.reason)));
        }
    }

    /// A waiter that is gone gives its turn back when its permit is dropped.
    fn answer(&mut self, ticket: RequestTicket, turn: Result<(), LineRefusal>) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            waiter.send(turn).ok();
        }
    }
}

impl LineRequest {
    fn queued(self, ticket: RequestTicket) -> QueuedRequest {
        let Self { class, is_long, runs_alone, expected, deadline, caller, key } = self;
        QueuedRequest { ticket, class, is_long, runs_alone, expected, deadline, caller, key }
    }
}

struct Submitted {
    permit: WorkPermit,
    /// Present while the request has to wait.
    waiter: Option<oneshot::Receiver<Result<(), LineRefusal>>>,
}

/// A request's place in a line: waiting, then started. Dropping it gives the place to the next.
pub(crate) struct WorkPermit {
    line: Arc<TargetLine>,
    ticket: RequestTicket,
    result: RunResult,
}

impl WorkPermit {
    fn new(line: &Arc<TargetLine>, ticket: RequestTicket) -> Self {
        Self { line: line.clone(), ticket, result: RunResult::Cancelled }
    }

    /// Notes how the run ended, before the permit is dropped.
    pub(crate) fn set_result(&mut self, result: RunResult) {
        self.result = result;
    }
}

impl Drop for WorkPermit {
    fn drop(&mut self) {
        let now = self.line.state.now();
        let mut line = self.line.lock();
        let was_waiting = line.waiters.remove(&self.ticket).is_some();
        let steps = if was_waiting {
            line.queue.cancel(now, self.ticket)
        } else {
            line.queue.finish(now, self.ticket, self.result)
        };
        line.carry_out(steps);
    }
}
