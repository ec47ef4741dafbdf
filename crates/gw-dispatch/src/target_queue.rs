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
use crate::fair_clock::FairClock;
use crate::shed_ranks::ShedRanks;
use crate::waiting_list::WaitingList;
use crate::waiting_list::WaitingRequest;

/// A running request counts as long once it has run this many times its expected time.
const OVERRUN_FACTOR: u32 = 4;
/// A long request goes before short ones once it has waited this part of its time; otherwise a
/// steady flow of short work would keep it waiting up to its deadline.
const LONG_PATIENCE_PART: u32 = 4;
/// Weight of one run in the moving mean of actual to expected service time.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Bounds of one run's ratio, so that single stragglers move the mean little.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.1, 10.0);

#[derive(Clone, Debug)]
struct RunningRequest {
    ticket: RequestTicket,
    is_long: bool,
    runs_alone: bool,
    expected: Duration,
    started: Timestamp,
    key: Option<KeyHash>,
}

impl RunningRequest {
    fn counts_as_long(&self, now: Timestamp) -> bool {
        self.is_long || now.since(self.started) > self.expected * OVERRUN_FACTOR
    }
}

/// Requests of one target on its dispatcher.
///
/// Invariants: at most `work_slots` requests are outstanding to the target and at most
/// `queue_limit` wait; every ticket ends exactly once, by being refused, cancelled while it waits,
/// or finished after its start; a ticket that was started is never refused.
///
/// With [`QueueOrder::Lanes`], long work does not take the last work slot while short work waits or
/// has arrived within the time for which it would hold the slot.
#[derive(Clone, Debug)]
pub struct TargetQueue {
    options: QueueOptions,
    ranks: ShedRanks,
    slow_start: SlowStart,
    waiting: WaitingList,
    running: Vec<RunningRequest>,
    drains: Vec<DrainScope>,
    clock: FairClock,
    /// Number of requests admitted, for the order of arrival.
    admitted: u64,
    last_short: Option<Timestamp>,
    /// Moving mean of actual to expected service time.
    slowdown: f64,
}

impl TargetQueue {
    /// An empty queue of a target in the given phase of its slow start.
    pub fn new(options: QueueOptions, slow_start: SlowStart) -> Self {
        let ranks = ShedRanks::new(&options.shed_order);
        let clock = FairClock::new(4 * options.queue_limit + 64);
        Self {
            options,
            ranks,
            slow_start,
            waiting: WaitingList::default(),
            running: Vec::new(),
            drains: Vec::new(),
            clock,
            admitted: 0,
            last_short: None,
            slowdown: 1.0,
        }
    }

    /// Puts a changed profile in force. Requests past a lowered limit stay until they end.
    pub fn set_options(&mut self, options: QueueOptions) {
        self.ranks = ShedRanks::new(&options.shed_order);
        self.options = options;
    }

    /// Takes in a request.
    pub fn submit(&mut self, now: Timestamp, request: QueuedRequest) -> Admission {
        if self.drains.iter().any(|scope| scope.covers(request.key)) {
            return self.refused(RefusalReason::Draining);
        }
        if request.deadline <= now {
            return self.refused(RefusalReason::DeadlinePassed);
        }
        if !request.is_long {
            self.last_short = Some(now);
        }
        let tag = self.clock.tag(&request);
        if self.may_start_new(now, &request) {
            self.clock.admit(&request, tag);
            self.run(now, &request, tag);
            return Admission::Start;
        }
        if self.is_unreachable(now, &request, tag) {
            return self.refused(RefusalReason::DeadlineUnreachable);
        }
        self.enqueue(now, request, tag)
    }

    /// Ends a started request and frees its work slot. An unknown ticket changes nothing.
    pub fn finish(
        &mut self,
        now: Timestamp,
        ticket: RequestTicket,
        result: AttemptOutcome,
    ) -> QueueActions {
        if let Some(index) = self.running.iter().position(|run| run.ticket == ticket) {
            let run = self.running.swap_remove(index);
            self.observe(&run, result);
        }
        self.expire(now)
    }

    /// Ends a request that waits. One that was started keeps its work slot until
    /// [`finish`](Self::finish): the target may still be running it.
    pub fn cancel(&mut self, now: Timestamp, ticket: RequestTicket) -> QueueActions {
        if let Some(index) = self.waiting.position(ticket) {
            let entry = self.waiting.remove(index);
            self.clock.give_back(&entry.request);
        }
        self.expire(now)
    }

    /// Refuses requests whose deadline has passed and starts what may start. To be called at
    /// [`next_wakeup`](Self::next_wakeup).
    pub fn expire(&mut self, now: Timestamp) -> QueueActions {
        let mut steps = QueueActions::default();
        let late = self.waiting.take(|entry| entry.request.deadline <= now);
        self.refuse_all(late, RefusalReason::DeadlinePassed, &mut steps);
        self.fill(now, &mut steps);
        steps
    }

    /// When [`expire`](Self::expire) is to be called next, if nothing else happens before.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let deadline = self.waiting.iter().map(|entry| entry.request.deadline).min()?;
        let slow_start = self.slow_start.next_slot_at(now, self.options.work_slots);
        let has_free_slot = self.running.len() < self.usable_slots(now);
        let lane_opens = if has_free_slot { self.long_lane_opens_at(now) } else { None };
        [Some(deadline), slow_start, lane_opens].into_iter().flatten().min()
    }

    /// Stops new work of `scope`, and refuses what waits of it. Stays in force until
    /// [`end_drain`](Self::end_drain).
    pub fn drain(&mut self, now: Timestamp, scope: DrainScope) -> DrainActions {
        if !self.drains.contains(&scope) {
            self.drains.push(scope);
        }
        let mut steps = QueueActions::default();
        let covered = self.waiting.take_covered(&scope);
        self.refuse_all(covered, RefusalReason::Draining, &mut steps);
        self.fill(now, &mut steps);
        DrainActions { actions: steps, in_flight: self.in_flight(&scope) }
    }

    /// Accepts work of `scope` again.
    pub fn end_drain(&mut self, scope: &DrainScope) {
        self.drains.retain(|drained| drained != scope);
    }

    /// Number of outstanding requests that `scope` covers.
    pub fn in_flight(&self, scope: &DrainScope) -> usize {
        self.running.iter().filter(|run| scope.covers(run.key)).count()
    }

    /// Tickets of the outstanding requests.
    pub fn outstanding(&self) -> impl Iterator<Item = RequestTicket> {
        self.running.iter().map(|run| run.ticket)
    }

    /// Number of requests that wait.
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// The target's load, for [`LoadView`](crate::LoadView) and reports to other hosts.
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

    /// Whether a request that just arrived starts before all that wait.
    fn may_start_new(&self, now: Timestamp, request: &QueuedRequest) -> bool {
        if self.waiting.is_empty() {
            return self.may_start(now, request);
        }
        let is_fifo = self.options.order == QueueOrder::Fifo;
        let has_lone_request = self.waiting.iter().any(|entry| entry.request.runs_alone);
        if is_fifo || has_lone_request || request.is_long {
            return false;
        }
        // Only long work can be waiting while a slot is free.
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
        let is_quiet = self.last_short.is_none_or(|last| now.since(last) >= expected);
        !has_short && is_quiet
    }

    fn long_running(&self, now: Timestamp) -> usize {
        self.running.iter().filter(|run| run.counts_as_long(now)).count()
    }

    /// When a long request that waits may take the last work slot. Not in the past: a request that
    /// must run alone waits on although the slot is open to it.
    fn long_lane_opens_at(&self, now: Timestamp) -> Option<Timestamp> {
        let last = self.last_short?;
        let long = self.waiting.iter().filter(|entry| entry.request.is_long);
        long.map(|entry| last + entry.request.expected).filter(|&at| at > now).min()
    }

    /// Whether the deadline cannot be met with the work that goes first. Only for requests that
    /// would wait: a free slot is always used, or an estimate that is too high would never be
    /// corrected.
    fn is_unreachable(&self, now: Timestamp, request: &QueuedRequest, tag: u64) -> bool {
        if self.options.order == QueueOrder::Fifo {
            return false;
        }
        let before = self.waiting.work_before(now, request, tag, &self.clock);
        let usable = self.usable_slots(now);
        let slots =
            if request.is_long { 1 } else { usable - self.long_running(now).min(usable - 1) };
        let wait = before.mul_f64(self.slowdown / slots as f64);
        now + wait + request.expected > request.deadline
    }

    fn enqueue(&mut self, now: Timestamp, request: QueuedRequest, tag: u64) -> Admission {
        let ticket = request.ticket;
        self.clock.admit(&request, tag);
        self.admitted += 1;
        self.waiting.push(WaitingRequest { request, arrived: now, number: self.admitted, tag });
        if self.waiting.len() <= self.options.queue_limit {
            return Admission::Queued { evicted: None };
        }
        let evicted = self.evict(now);
        if evicted.ticket == ticket {
            return self.refused(evicted.reason);
        }
        Admission::Queued { evicted: Some(evicted) }
    }

    fn evict(&mut self, now: Timestamp) -> RefusedTicket {
        let index = match self.options.order {
            QueueOrder::Lanes => self.waiting.first_to_shed(now, &self.ranks, &self.clock),
            QueueOrder::Fifo => Some(self.waiting.len() - 1),
        };
        let entry = self.waiting.remove(index.unwrap_or(self.waiting.len() - 1));
        self.clock.give_back(&entry.request);
        RefusedTicket { ticket: entry.request.ticket, reason: RefusalReason::Shed }
    }

    fn fill(&mut self, now: Timestamp, steps: &mut QueueActions) {
        while self.running.len() < self.usable_slots(now) {
            let Some(index) = self.select(now) else { return };
            if self.options.order == QueueOrder::Lanes && self.waiting.get(index).is_hopeless(now) {
                let entry = self.waiting.remove(index);
                self.refuse_all(vec![entry], RefusalReason::DeadlineUnreachable, steps);
                continue;
            }
            if !self.may_start(now, &self.waiting.get(index).request) {
                return;
            }
            let entry = self.waiting.remove(index);
            self.run(now, &entry.request, entry.tag);
            steps.start.push(entry.request.ticket);
        }
    }

    /// Index of the waiting request whose turn it is.
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

    /// Whether the long request at `long` goes before the short one at `short`: once it has waited
    /// for its part, unless short work is overloaded and the profile sheds the long one first. One
    /// long request takes the time of 20 to 50 short ones.
    fn is_long_due(&self, now: Timestamp, short: usize, long: usize) -> bool {
        let (short, long) = (self.waiting.get(short), self.waiting.get(long));
        let is_shed_first =
            self.ranks.rank(long.request.class) < self.ranks.rank(short.request.class);
        let is_yielding = is_shed_first && self.waiting.is_overloaded(now, false);
        long.has_used(now, LONG_PATIENCE_PART) && !is_yielding
    }

    fn run(&mut self, now: Timestamp, request: &QueuedRequest, tag: u64) {
        let lowest = self.waiting.lowest_tag().unwrap_or(tag).min(tag);
        self.clock.advance(lowest);
        self.running.push(RunningRequest {
            ticket: request.ticket,
            is_long: request.is_long,
            runs_alone: request.runs_alone,
            expected: request.expected,
            started: now,
            key: request.key,
        });
    }

    fn observe(&mut self, run: &RunningRequest, result: AttemptOutcome) {
        let AttemptOutcome::Answered(time) = result else { return };
        let expected = run.expected.as_secs_f64().max(1e-6);
        let (low, high) = SLOWDOWN_BOUNDS;
        let ratio = (time.as_secs_f64() / expected).clamp(low, high);
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown);
    }

    fn refuse_all(
        &mut self,
        entries: Vec<WaitingRequest>,
        reason: RefusalReason,
        steps: &mut QueueActions,
    ) {
        for entry in entries {
            self.clock.give_back(&entry.request);
            steps.refuse(entry.request.ticket, reason);
        }
    }

    fn refused(&self, reason: RefusalReason) -> Admission {
        let slots = f64::from(self.options.work_slots.max(1));
        let retry_after = self.load().work.div_f64(slots);
        Admission::Refused { reason, retry_after }
    }
}
