//! Properties of the target queue under arbitrary operations.

use std::collections::BTreeMap;
use std::time::Duration;

use gw_dispatch::Admission;
use gw_dispatch::AttemptOutcome;
use gw_dispatch::CallerHash;
use gw_dispatch::DrainScope;
use gw_dispatch::QueueActions;
use gw_dispatch::QueueOptions;
use gw_dispatch::QueuedRequest;
use gw_dispatch::RequestTicket;
use gw_dispatch::SlowStart;
use gw_dispatch::TargetQueue;
use gw_profile::QueueOrder;
use gw_profile::ShedClass;
use gw_types::KeyHash;
use gw_types::SlotIndex;
use gw_types::Timestamp;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 0x6761_6c65;
const WORK_SLOTS: u16 = 2;
const QUEUE_LIMIT: usize = 6;
const CLASSES: [ShedClass; 4] = [
    ShedClass::Retry,
    ShedClass::LongIdempotent,
    ShedClass::ShortIdempotent,
    ShedClass::NonIdempotent,
];

type Operation = (u8, u8, u16);

#[derive(Clone, Copy, PartialEq, Eq)]
enum TicketState {
    Waiting,
    Running,
    Ended,
}

/// Drives a queue and keeps its own account of every ticket.
struct QueueHarness {
    queue: TargetQueue,
    now: Timestamp,
    tickets: BTreeMap<RequestTicket, TicketState>,
    /// Broken variant: takes the slot of a cancelled request back while the target still runs it.
    frees_slot_on_cancel: bool,
    is_sound: bool,
}

impl QueueHarness {
    fn new(order: QueueOrder, frees_slot_on_cancel: bool) -> Self {
        let shed_order = CLASSES.to_vec();
        let slow_start = Duration::from_millis(50);
        let options = QueueOptions {
            work_slots: WORK_SLOTS,
            queue_limit: QUEUE_LIMIT,
            order,
            shed_order,
            slow_start,
        };
        let queue = TargetQueue::new(options, SlowStart::cold(Timestamp::ZERO, slow_start));
        let now = Timestamp::ZERO;
        Self { queue, now, tickets: BTreeMap::new(), frees_slot_on_cancel, is_sound: true }
    }

    fn with_state(&self, state: TicketState) -> Vec<RequestTicket> {
        let matching = self.tickets.iter().filter(|(_, held)| **held == state);
        matching.map(|(&ticket, _)| ticket).collect()
    }

    fn change(&mut self, ticket: RequestTicket, from: TicketState, to: TicketState) {
        let previous = self.tickets.insert(ticket, to);
        self.is_sound &= previous == Some(from);
    }

    fn apply(&mut self, steps: QueueActions) {
        for ticket in steps.start {
            self.change(ticket, TicketState::Waiting, TicketState::Running);
        }
        for refused in steps.refuse {
            self.change(refused.ticket, TicketState::Waiting, TicketState::Ended);
        }
    }

    fn submit(&mut self, kind: u8, value: u16) {
        let ticket = RequestTicket(self.tickets.len() as u64);
        let is_long = kind.is_multiple_of(5);
        let expected = Duration::from_millis(if is_long { 100 } else { 4 });
        let request = QueuedRequest {
            ticket,
            class: CLASSES[usize::from(kind % 4)],
            is_long,
            runs_alone: kind.is_multiple_of(31),
            expected,
            deadline: self.now + Duration::from_millis(u64::from(value % 300)),
            caller: CallerHash(u64::from(value % 3)),
            key: kind.is_multiple_of(2).then_some(KeyHash(u64::from(value % 40))),
        };
        self.tickets.insert(ticket, TicketState::Waiting);
        match self.queue.submit(self.now, request) {
            Admission::Start => self.change(ticket, TicketState::Waiting, TicketState::Running),
            Admission::Refused { .. } => {
                self.change(ticket, TicketState::Waiting, TicketState::Ended);
            }
            Admission::Queued { evicted: Some(evicted) } => {
                self.is_sound &= evicted.ticket != ticket;
                self.change(evicted.ticket, TicketState::Waiting, TicketState::Ended);
            }
            Admission::Queued { evicted: None } => {}
        }
    }

    fn finish(&mut self, value: u16) {
        let running = self.with_state(TicketState::Running);
        let Some(&ticket) = running.get(usize::from(value) % running.len().max(1)) else { return };
        self.change(ticket, TicketState::Running, TicketState::Ended);
        let result = AttemptOutcome::Answered(Duration::from_millis(u64::from(value % 50)));
        let steps = self.queue.finish(self.now, ticket, result);
        self.apply(steps);
    }

    fn cancel(&mut self, value: u16) {
        let Some(ticket) = self.tickets.keys().nth(usize::from(value) % self.tickets.len().max(1))
        else {
            return;
        };
        let ticket = *ticket;
        let steps = self.queue.cancel(self.now, ticket);
        match self.tickets[&ticket] {
            TicketState::Waiting => {
                self.change(ticket, TicketState::Waiting, TicketState::Ended);
            }
            TicketState::Running if self.frees_slot_on_cancel => {
                let steps = self.queue.finish(self.now, ticket, AttemptOutcome::Cancelled);
                self.apply(steps);
            }
            _ => {}
        }
        self.apply(steps);
    }

    fn drain(&mut self, kind: u8, value: u16) {
        let scope = match kind % 3 {
            0 => DrainScope::Key(KeyHash(u64::from(value % 40))),
            1 => DrainScope::Slots { first: SlotIndex(0), last: SlotIndex(value % 20) },
            _ => DrainScope::Target,
        };
        let drained = self.queue.drain(self.now, scope);
        self.is_sound &= drained.in_flight == self.queue.in_flight(&scope);
        self.apply(drained.actions);
        self.queue.end_drain(&scope);
    }

    fn step(&mut self, (operation, kind, value): Operation) {
        match operation % 16 {
            0..=6 => self.submit(kind, value),
            7..=10 => self.finish(value),
            11 => self.cancel(value),
            12 => self.drain(kind, value),
            _ => {
                self.now = self.now + Duration::from_millis(u64::from(value % 20));
                let steps = self.queue.expire(self.now);
                self.apply(steps);
            }
        }
        self.check();
    }

    fn check(&mut self) {
        let running = self.with_state(TicketState::Running);
        let mut outstanding: Vec<_> = self.queue.outstanding().collect();
        outstanding.sort_unstable();
        self.is_sound &= running.len() <= usize::from(WORK_SLOTS);
        self.is_sound &= running == outstanding;
        self.is_sound &= self.queue.waiting_len() <= QUEUE_LIMIT;
        self.is_sound &= self.with_state(TicketState::Waiting).len() == self.queue.waiting_len();
    }

    /// Lets everything end; whatever waits must be started or refused by its deadline.
    fn settle(&mut self) {
        while let Some(at) = self.queue.next_wakeup(self.now) {
            self.is_sound &= at > self.now;
            self.now = self.now.max(at);
            let steps = self.queue.expire(self.now);
            self.apply(steps);
            self.check();
            if !self.is_sound {
                return;
            }
        }
        self.is_sound &= self.with_state(TicketState::Waiting).is_empty();
    }
}

fn is_sound(order: QueueOrder, frees_slot_on_cancel: bool, operations: &[Operation]) -> bool {
    let mut harness = QueueHarness::new(order, frees_slot_on_cancel);
    for &operation in operations {
        harness.step(operation);
    }
    harness.settle();
    harness.is_sound
}

fn runner() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, SEED)).tests(400)
}

/// Guards against a third request on a target with two work slots, a ticket that ends twice or
/// never, a refusal after the start, a queue over its limit, and a wakeup that is missing.
#[test]
fn queue_is_sound_under_any_operations() {
    fn lanes(operations: Vec<Operation>) -> bool {
        is_sound(QueueOrder::Lanes, false, &operations)
    }
    fn fifo(operations: Vec<Operation>) -> bool {
        is_sound(QueueOrder::Fifo, false, &operations)
    }
    runner().quickcheck(lanes as fn(Vec<Operation>) -> bool);
    runner().quickcheck(fifo as fn(Vec<Operation>) -> bool);
}

/// Guards against a check that passes everything: freeing a cancelled request's slot before the
/// target has let go of it is caught.
#[test]
fn slot_freed_on_cancel_is_caught() {
    fn broken(operations: Vec<Operation>) -> bool {
        is_sound(QueueOrder::Lanes, true, &operations)
    }
    assert!(runner().quicktest(broken as fn(Vec<Operation>) -> bool).is_err());
}
