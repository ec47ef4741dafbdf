use std::time::Duration;

use gw_profile::QueueOrder;
use gw_types::KeyHash;
use gw_types::Timestamp;

use crate::Admission;
use crate::AttemptOutcome;
use crate::DrainActions;
use crate::DrainScope;
use crate::QueueActions;
use crate::QueueOptions;
use crate::QueuedRequest;
use crate::RefusalReason;
use crate::RefusedTicket;
use crate::RequestTicket;
use crate::SlowStart;
use crate::TargetLoad;
use crate::shed_ranks::ShedRanks;
use crate::virtual_clock::VirtualClock;
use crate::waiting_list::WaitingList;
use crate::waiting_list::WaitingRequest;

/// A running request counts as long once its run time exceeds the expected time by this factor.
const OVERRUN_FACTOR: u32 = 4;
/// A long request goes before short ones once it has waited the time to its deadline divided by
/// this. Otherwise a steady flow of short requests would starve it until its deadline.
const LONG_WAIT_DIVISOR: u32 = 4;
/// Weight of one request in the moving mean of the ratio of actual to expected service time.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Bounds of the ratio of one request, which limit the influence of single stragglers.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.1, 10.0);

#[derive(Clone, Debug)]
struct RunningRequest {
    ticket: RequestTicket,
    is_long: bool,
    runs_alone: bool,
    expected: Duration,
    started_at: Timestamp,
    key: Option<KeyHash>,
}

impl RunningRequest {
    fn counts_as_long(&self, now: Timestamp) -> bool {
        self.is_long || now.since(self.started_at) > self.expected * OVERRUN_FACTOR
    }
}

/// Queue of one target on its dispatcher.
///
/// Invariants:
///
/// - At most `work_slots` requests run on the target and at most `queue_limit` wait.
/// - Each ticket ends exactly once: it is refused, cancelled while it waits, or finished after it
///   was started. A started ticket is never refused.
///
/// With [`QueueOrder::Lanes`], a long request does not take the last work slot while a short one
/// waits, or if a short one arrived within the time for which the long one would hold the slot.
#[derive(Clone, Debug)]
pub struct TargetQueue {
    options: QueueOptions,
    ranks: ShedRanks,
    slow_start: SlowStart,
    waiting: WaitingList,
    running: Vec<RunningRequest>,
    drains: Vec<DrainScope>,
    clock: VirtualClock,
    /// Number of requests that were queued; gives each its arrival number.
    arrivals: u64,
    last_short_arrival: Option<Timestamp>,
    /// Moving mean of the ratio of actual to expected service time.
    slowdown: f64,
}

impl TargetQueue {
    /// Creates an empty queue of a target.
    pub fn new(options: QueueOptions, slow_start: SlowStart) -> Self {
        let ranks = ShedRanks::new(&options.shed_order);
        let clock = VirtualClock::new(4 * options.queue_limit + 64);
        Self {
            options,
            ranks,
            slow_start,
            waiting: WaitingList::default(),
            running: Vec::new(),
            drains: Vec::new(),
            clock,
            arrivals: 0,
            last_short_arrival: None,
            slowdown: 1.0,
        }
    }

    /// Replaces the settings. Requests beyond a lowered limit stay until they end.
    pub fn set_options(&mut self, options: QueueOptions) {
        self.ranks = ShedRanks::new(&options.shed_order);
        self.options = options;
    }

    /// Submits a request, which starts, waits or is refused.
    pub fn submit(&mut self, now: Timestamp, request: QueuedRequest) -> Admission {
        if self.drains.iter().any(|scope| scope.covers(request.key)) {
            return self.refusal(RefusalReason::Draining);
        }
        if request.deadline <= now {
            return self.refusal(RefusalReason::DeadlinePassed);
        }
        if !request.is_long {
            self.last_short_arrival = Some(now);
        }
        let start_tag = self.clock.start_tag(&request);
        if self.may_start_new(now, &request) {
            self.clock.charge(&request, start_tag);
            self.mark_running(now, &request, start_tag);
            return Admission::Start;
        }
        if self.is_deadline_unreachable(now, &request, start_tag) {
            return self.refusal(RefusalReason::DeadlineUnreachable);
        }
        self.enqueue(now, request, start_tag)
    }

    /// Ends a started request and frees its work slot. An unknown ticket has no effect.
    pub fn finish(
        &mut self,
        now: Timestamp,
        ticket: RequestTicket,
        outcome: AttemptOutcome,
    ) -> QueueActions {
        if let Some(index) = self.running.iter().position(|run| run.ticket == ticket) {
            let run = self.running.swap_remove(index);
            self.update_slowdown(&run, outcome);
        }
        self.expire(now)
    }

    /// Removes a waiting request. A started request keeps its work slot until
    /// [`finish`](Self::finish), since the target may still be running it.
    pub fn cancel(&mut self, now: Timestamp, ticket: RequestTicket) -> QueueActions {
        if let Some(index) = self.waiting.position(ticket) {
            let entry = self.waiting.remove(index);
            self.clock.refund(&entry.request);
        }
        self.expire(now)
    }

    /// Refuses waiting requests whose deadline has passed and starts those that may start. To be
    /// called at [`next_wakeup`](Self::next_wakeup).
    pub fn expire(&mut self, now: Timestamp) -> QueueActions {
        let mut actions = QueueActions::default();
        let late = self.waiting.extract(|entry| entry.request.deadline <= now);
        self.refuse_all(late, RefusalReason::DeadlinePassed, &mut actions);
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Returns when to call [`expire`](Self::expire) next if the queue does not change before;
    /// `None` if no request waits.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let deadline = self.waiting.iter().map(|entry| entry.request.deadline).min()?;
        let slow_start = self.slow_start.next_slot_at(now, self.options.work_slots);
        let has_free_slot = self.running.len() < self.usable_slots(now);
        let long_start = if has_free_slot { self.long_may_start_at(now) } else { None };
        [Some(deadline), slow_start, long_start].into_iter().flatten().min()
    }

    /// Refuses the waiting requests that `scope` covers, and new ones until
    /// [`end_drain`](Self::end_drain).
    pub fn drain(&mut self, now: Timestamp, scope: DrainScope) -> DrainActions {
        if !self.drains.contains(&scope) {
            self.drains.push(scope);
        }
        let mut actions = QueueActions::default();
        let covered = self.waiting.extract_covered(&scope);
        self.refuse_all(covered, RefusalReason::Draining, &mut actions);
        self.start_waiting(now, &mut actions);
        DrainActions { actions, in_flight: self.in_flight(&scope) }
    }

    /// Accepts requests of `scope` again.
    pub fn end_drain(&mut self, scope: &DrainScope) {
        self.drains.retain(|drained| drained != scope);
    }

    /// Returns the number of running requests that `scope` covers.
    pub fn in_flight(&self, scope: &DrainScope) -> usize {
        self.running.iter().filter(|run| scope.covers(run.key)).count()
    }

    /// Returns the tickets of the running requests.
    pub fn outstanding(&self) -> impl Iterator<Item = RequestTicket> {
        self.running.iter().map(|run| run.ticket)
    }

    /// Returns the number of waiting requests.
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the load of running and waiting requests, for [`LoadView`](crate::LoadView) and
    /// reports to other hosts.
    pub fn load(&self) -> TargetLoad {
        let running = self.running.iter().map(|run| run.expected);
        let work = running.chain(self.waiting.iter().map(|entry| entry.request.expected));
        TargetLoad {
            outstanding: (self.running.len() + self.waiting.len()) as u32,
            work: work.sum::<Duration>().mul_f64(self.slowdown),
        }
    }

    fn usable_slots(&self, now: Timestamp) -> usize {
        usize::from(self.slow_start.usable_slots(now, self.options.work_slots))
    }

    /// Whether a request that has just arrived may start before those that wait.
    fn may_start_new(&self, now: Timestamp, request: &QueuedRequest) -> bool {
        if self.waiting.is_empty() {
            return self.may_start(now, request);
        }
        let is_fifo = self.options.order == QueueOrder::Fifo;
        let has_exclusive = self.waiting.iter().any(|entry| entry.request.runs_alone);
        if is_fifo || has_exclusive || request.is_long {
            return false;
        }
        // While a work slot is free, only long requests wait.
        self.may_start(now, request)
    }

    fn may_start(&self, now: Timestamp, request: &QueuedRequest) -> bool {
        if self.running.len() >= self.usable_slots(now) {
            return false;
        }
        if self.running.iter().any(|run| run.runs_alone) {
            return false;
        }
        if request.runs_alone {
            return self.running.is_empty();
        }
        !request.is_long || self.may_start_long(now, request.expected)
    }

    fn may_start_long(&self, now: Timestamp, expected: Duration) -> bool {
        if self.options.order == QueueOrder::Fifo {
            return true;
        }
        let usable = self.usable_slots(now);
        if usable == 1 || self.long_running(now) + 1 < usable {
            return true;
        }
        let has_short = self.waiting.iter().any(|entry| !entry.request.is_long);
        let is_short_lane_idle =
            self.last_short_arrival.is_none_or(|last| now.since(last) >= expected);
        !has_short && is_short_lane_idle
    }

    fn long_running(&self, now: Timestamp) -> usize {
        self.running.iter().filter(|run| run.counts_as_long(now)).count()
    }

    /// Returns when a waiting long request may take the last work slot.
    ///
    /// Times up to `now` are excluded: a request that must run alone keeps waiting although it may
    /// take the slot.
    fn long_may_start_at(&self, now: Timestamp) -> Option<Timestamp> {
        let last = self.last_short_arrival?;
        let long = self.waiting.iter().filter(|entry| entry.request.is_long);
        long.map(|entry| last + entry.request.expected).filter(|&at| at > now).min()
    }

    /// Whether the work ahead of a request keeps it from meeting its deadline.
    ///
    /// Only applies to requests that would wait. If a free work slot were not used, an estimate
    /// that is too high would never be corrected.
    fn is_deadline_unreachable(
        &self,
        now: Timestamp,
        request: &QueuedRequest,
        start_tag: u64,
    ) -> bool {
        if self.options.order == QueueOrder::Fifo {
            return false;
        }
        let work_ahead = self.waiting.work_ahead(now, request, start_tag, &self.clock);
        let usable = self.usable_slots(now);
        let slots =
            if request.is_long { 1 } else { usable - self.long_running(now).min(usable - 1) };
        let wait = work_ahead.mul_f64(self.slowdown / slots as f64);
        now + wait + request.expected > request.deadline
    }

    fn enqueue(&mut self, now: Timestamp, request: QueuedRequest, start_tag: u64) -> Admission {
        let ticket = request.ticket;
        self.clock.charge(&request, start_tag);
        self.arrivals += 1;
        self.waiting.push(WaitingRequest {
            request,
            arrived_at: now,
            arrival_number: self.arrivals,
            start_tag,
        });
        if self.waiting.len() <= self.options.queue_limit {
            return Admission::Queued { evicted: None };
        }
        let evicted = self.evict(now);
        if evicted.ticket == ticket {
            return self.refusal(evicted.reason);
        }
        Admission::Queued { evicted: Some(evicted) }
    }

    fn evict(&mut self, now: Timestamp) -> RefusedTicket {
        let index = match self.options.order {
            QueueOrder::Lanes => self.waiting.first_to_shed(now, &self.ranks, &self.clock),
            QueueOrder::Fifo => Some(self.waiting.len() - 1),
        };
        let entry = self.waiting.remove(index.unwrap_or(self.waiting.len() - 1));
        self.clock.refund(&entry.request);
        RefusedTicket { ticket: entry.request.ticket, reason: RefusalReason::Shed }
    }

    fn start_waiting(&mut self, now: Timestamp, actions: &mut QueueActions) {
        while self.running.len() < self.usable_slots(now) {
            let Some(index) = self.select(now) else { return };
            if self.options.order == QueueOrder::Lanes
                && self.waiting.get(index).cannot_meet_deadline(now)
            {
                let entry = self.waiting.remove(index);
                self.refuse_all(vec![entry], RefusalReason::DeadlineUnreachable, actions);
                continue;
            }
            if !self.may_start(now, &self.waiting.get(index).request) {
                return;
            }
            let entry = self.waiting.remove(index);
            self.mark_running(now, &entry.request, entry.start_tag);
            actions.start.push(entry.request.ticket);
        }
    }

    /// Returns the index of the waiting request to start next.
    fn select(&self, now: Timestamp) -> Option<usize> {
        if self.options.order == QueueOrder::Fifo {
            return self.waiting.oldest();
        }
        let short = self.waiting.next_in_lane(now, false, &self.clock);
        let long = self.waiting.next_in_lane(now, true, &self.clock);
        let long = long.filter(|&index| {
            let request = &self.waiting.get(index).request;
            request.runs_alone || self.may_start_long(now, request.expected)
        });
        match (short, long) {
            (Some(short), Some(long)) => {
                Some(if self.is_long_due(now, short, long) { long } else { short })
            }
            (short, long) => short.or(long),
        }
    }

    /// Whether the long request at index `long` starts before the short one at index `short`.
    ///
    /// It does once it has waited a fraction of the time to its deadline, unless the short lane is
    /// overloaded and the profile sheds the long request first: one long request takes the time of
    /// 20 to 50 short ones.
    fn is_long_due(&self, now: Timestamp, short: usize, long: usize) -> bool {
        let (short, long) = (self.waiting.get(short), self.waiting.get(long));
        let is_shed_first =
            self.ranks.rank(long.request.class) < self.ranks.rank(short.request.class);
        let must_yield = is_shed_first && self.waiting.is_overloaded(now, false);
        long.has_waited_fraction(now, LONG_WAIT_DIVISOR) && !must_yield
    }

    fn mark_running(&mut self, now: Timestamp, request: &QueuedRequest, start_tag: u64) {
        let lowest = self.waiting.lowest_start_tag().unwrap_or(start_tag).min(start_tag);
        self.clock.advance(lowest);
        self.running.push(RunningRequest {
            ticket: request.ticket,
            is_long: request.is_long,
            runs_alone: request.runs_alone,
            expected: request.expected,
            started_at: now,
            key: request.key,
        });
    }

    fn update_slowdown(&mut self, run: &RunningRequest, outcome: AttemptOutcome) {
        let AttemptOutcome::Answered(time) = outcome else { return };
        let expected = run.expected.as_secs_f64().max(1e-6);
        let (low, high) = SLOWDOWN_BOUNDS;
        let ratio = (time.as_secs_f64() / expected).clamp(low, high);
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown);
    }

    fn refuse_all(
        &mut self,
        entries: Vec<WaitingRequest>,
        reason: RefusalReason,
        actions: &mut QueueActions,
    ) {
        for entry in entries {
            self.clock.refund(&entry.request);
            actions.refuse(entry.request.ticket, reason);
        }
    }

    fn refusal(&self, reason: RefusalReason) -> Admission {
        let slots = f64::from(self.options.work_slots.max(1));
        let retry_after = self.load().work.div_f64(slots);
        Admission::Refused { reason, retry_after }
    }
}
