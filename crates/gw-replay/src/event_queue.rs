use std::cmp::Reverse;
use std::collections::BinaryHeap;

use gw_types::Timestamp;

/// An event of the simulation. Fields are indexes into the engine's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReplayEvent {
    /// A request arrives at its entry host, either for the first time or resent by its caller.
    Arrive { request: usize },
    /// The entry host routes a request again whose slot had no owner before.
    Route { request: usize },
    /// An attempt arrives at the host that queues it.
    AtQueue { attempt: usize },
    /// Another host has confirmed its copy of the attempt's idempotency record.
    RecordCopied { attempt: usize },
    /// An attempt arrives at its target.
    AtTarget { attempt: usize },
    /// The target has finished the work of an attempt.
    RunEnds { attempt: usize },
    /// The target's answer arrives at the host that queued the attempt.
    AnswerAtQueue { attempt: usize },
    /// The answer arrives at the entry host.
    AnswerAtEntry { attempt: usize },
    /// The deadline of an attempt that was sent to its target.
    Deadline { attempt: usize },
    /// The time at which a queue expires waiting requests.
    Wakeup { queue: usize },
    /// Dispatchers sample the load of their targets and report it if due.
    Sample,
    /// A load report arrives at a host.
    Report { host: usize, target: usize, outstanding: u32 },
    /// The zone planners plan moves of slots and keys.
    Plan,
    /// Checks whether the old owner of a moving slot or key has been drained.
    PollDrain { index: usize },
    /// A fault begins.
    FaultBegins { fault: usize },
    /// A fault ends.
    FaultEnds { fault: usize },
    /// The announcement of a lost target expires on all hosts.
    Detect { target: usize },
    /// The slots of a lost target get new owners.
    Reassign { target: usize },
}

/// Priority queue of events, ordered by time and then by insertion.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<(Timestamp, u64, ReplayEvent)>>,
    inserted: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: Timestamp, event: ReplayEvent) {
        self.inserted += 1;
        self.heap.push(Reverse((at, self.inserted, event)));
    }

    pub(crate) fn pop(&mut self) -> Option<(Timestamp, ReplayEvent)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
