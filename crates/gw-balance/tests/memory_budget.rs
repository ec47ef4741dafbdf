//! Who gets memory of a host, who waits, who is refused and who is closed.

use std::time::Duration;

use gw_balance::ConnectionAnswer;
use gw_balance::ConnectionGroup;
use gw_balance::ConnectionState;
use gw_balance::DemandAnswer;
use gw_balance::MemoryBudget;
use gw_balance::MemoryClass;
use gw_balance::MemoryLimits;
use gw_balance::MemoryVerdict;
use gw_types::Timestamp;

const MB: usize = 1024 * 1024;
const WAIT: Duration = Duration::from_secs(2);

/// A budget of 10 MB, 2 of which are for small bodies, with connections 1 to 5 of callers.
fn budget() -> MemoryBudget {
    let limits = MemoryLimits { total: 10 * MB, small_reserve: 2 * MB, connections: [5, 1, 1, 1] };
    let mut budget = MemoryBudget::new(limits);
    (1..=5).for_each(|id| budget.open(at(0), id, ConnectionGroup::Callers));
    budget
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + millis)
}

/// What happens to a budget, by the time in milliseconds.
enum Step {
    State(u64, u64, ConnectionState),
    Progress(u64, u64, usize),
    /// Demand of a connection, in bytes.
    Demand(u64, u64, usize, DemandAnswer),
    /// The body of a connection is complete.
    Finish(u64, usize),
    Release(u64, usize),
    Response(u64, usize),
    Close(u64),
    Review(u64, &'static [(u64, MemoryVerdict)]),
    Connection(u64, ConnectionAnswer),
}

struct BudgetCase {
    name: &'static str,
    steps: &'static [Step],
}

const CASES: &[BudgetCase] = {
    use ConnectionState::Body;
    use ConnectionState::Idle;
    use ConnectionState::Running;
    use ConnectionState::Sending;
    use DemandAnswer::Granted;
    use DemandAnswer::Refused;
    use DemandAnswer::TooLarge;
    use DemandAnswer::Waiting;
    use MemoryVerdict::Closed;
    use Step::*;
    &[
        BudgetCase {
            name: "a large body waits until there is room, small ones use the reserve",
            steps: &[
                Demand(0, 1, 6 * MB, Granted),
                Demand(0, 2, 6 * MB, Waiting),
                Demand(0, 3, 64 * 1024, Granted),
                // A later body that would fit does not overtake.
                Demand(0, 4, MB, Waiting),
                Review(100, &[]),
                Finish(1, 6 * MB),
                Release(1, 6 * MB),
                Review(200, &[(2, MemoryVerdict::Granted), (4, MemoryVerdict::Granted)]),
            ],
        },
        BudgetCase {
            name: "waiting ends",
            steps: &[
                Demand(0, 1, 6 * MB, Granted),
                State(0, 1, Running),
                Demand(0, 2, 6 * MB, Waiting),
                Review(1_900, &[]),
                Review(2_000, &[(2, MemoryVerdict::Refused)]),
                Review(2_100, &[]),
            ],
        },
        BudgetCase {
            name: "a body that never fits",
            steps: &[Demand(0, 1, 8 * MB, Granted), Demand(0, 2, 8 * MB + 1, TooLarge)],
        },
        BudgetCase {
            name: "of bodies that grow, the oldest waits and the others are refused",
            steps: &[
                Demand(0, 1, 3 * MB, Granted),
                Demand(1, 2, 3 * MB, Granted),
                Demand(2, 2, 6 * MB, Refused),
                Demand(2, 1, 6 * MB, Waiting),
                Close(2),
                Review(100, &[(1, MemoryVerdict::Granted)]),
            ],
        },
        BudgetCase {
            name: "senders without progress are closed if their memory is needed, and only then",
            steps: &[
                State(0, 1, Body),
                Demand(0, 1, 4 * MB, Granted),
                State(0, 2, Body),
                Demand(0, 2, 4 * MB, Granted),
                Review(1_500, &[]),
                Progress(1_500, 2, 8 * 1024),
                // A byte now and then is no progress.
                Progress(1_500, 1, 1),
                Demand(1_600, 3, 2 * MB, Waiting),
                Review(1_700, &[(1, Closed)]),
                Review(1_800, &[]),
                Close(1),
                Review(1_900, &[(3, MemoryVerdict::Granted)]),
            ],
        },
        BudgetCase {
            name: "small bodies wait while nothing is left, and go first",
            steps: &[
                State(0, 1, Body),
                Demand(0, 1, 8 * MB, Granted),
                State(500, 2, Sending),
                Response(2, 2 * MB),
                Demand(1_000, 3, MB, Waiting),
                Demand(1_000, 4, 64 * 1024, Waiting),
                Review(1_000, &[(1, Closed)]),
                Close(1),
                Review(1_100, &[(4, MemoryVerdict::Granted), (3, MemoryVerdict::Granted)]),
            ],
        },
        BudgetCase {
            name: "callers of requests that run are not closed",
            steps: &[
                Demand(0, 1, 7 * MB, Granted),
                Finish(1, 7 * MB),
                State(0, 1, Running),
                Demand(10, 2, 2 * MB, Waiting),
                Review(1_900, &[]),
            ],
        },
        BudgetCase {
            name: "readers without progress are closed once the total is exceeded",
            steps: &[
                State(0, 1, Sending),
                Response(1, 5 * MB),
                State(10, 2, Sending),
                Response(2, 4 * MB),
                Review(1_500, &[]),
                State(1_500, 3, Sending),
                Response(3, 2 * MB),
                Review(1_600, &[(1, Closed)]),
            ],
        },
        BudgetCase {
            name: "of the connections, one without a request is closed, then the longest idle one",
            steps: &[
                State(0, 1, Running),
                State(0, 1, Idle),
                State(100, 2, Running),
                State(200, 3, Running),
                State(300, 3, Idle),
                State(300, 4, Body),
                Connection(900, ConnectionAnswer::Full),
                Connection(1_000, ConnectionAnswer::Close(5)),
                Connection(1_000, ConnectionAnswer::Open),
            ],
        },
        BudgetCase {
            name: "while all connections are busy, the oldest ends with its next response",
            steps: &[
                State(900, 1, Running),
                State(900, 2, Running),
                State(900, 3, Body),
                State(900, 4, Running),
                State(900, 5, Running),
                Connection(900, ConnectionAnswer::Full),
                Connection(1_000, ConnectionAnswer::Retire(1)),
                Connection(1_000, ConnectionAnswer::Full),
                Close(1),
                Connection(1_000, ConnectionAnswer::Open),
            ],
        },
        BudgetCase {
            name: "a connection that sends a request before it is closed goes on",
            steps: &[
                Connection(1_000, ConnectionAnswer::Close(1)),
                State(1_000, 1, Running),
                Connection(1_000, ConnectionAnswer::Close(2)),
            ],
        },
    ]
};

/// Guards against memory that is given to bodies which wait for each other, that senders and readers
/// without progress keep, or that large bodies take from small ones; and against closing a connection
/// that is in use.
#[test]
fn memory_goes_to_those_who_use_it() {
    for case in CASES {
        let mut budget = budget();
        for (number, step) in case.steps.iter().enumerate() {
            let name = format!("{}, step {number}", case.name);
            match *step {
                Step::State(millis, id, state) => budget.set_state(at(millis), id, state),
                Step::Progress(millis, id, bytes) => budget.record_progress(at(millis), id, bytes),
                Step::Demand(millis, id, bytes, answer) => {
                    assert_eq!(budget.demand(at(millis), id, bytes, WAIT), answer, "{name}");
                }
                Step::Finish(id, bytes) => budget.finish_body(id, bytes),
                Step::Release(id, bytes) => budget.release(id, MemoryClass::Request, bytes),
                Step::Response(id, bytes) => budget.add_held(id, MemoryClass::Response, bytes),
                Step::Close(id) => budget.close(id),
                Step::Review(millis, verdicts) => {
                    assert_eq!(budget.review(at(millis)), verdicts, "{name}");
                }
                Step::Connection(millis, answer) => {
                    let answered = budget.admit_connection(at(millis), ConnectionGroup::Callers);
                    assert_eq!(answered, answer, "{name}");
                }
            }
        }
        (1..=5).for_each(|id| budget.close(id));
        assert_eq!(budget.used(), 0, "{}: nothing is held in the end", case.name);
        assert_eq!(budget.review_interval(), None, "{}: nobody waits in the end", case.name);
    }
}

/// Guards against a limit that a single request inside the limits of the platform meets.
#[test]
fn the_largest_body_fits_the_smallest_host() {
    let limits = MemoryLimits::new(120 << 20, 0.625, 3_075);
    let mut budget = MemoryBudget::new(limits);
    budget.open(at(0), 1, ConnectionGroup::Callers);
    assert_eq!(budget.demand(at(0), 1, 67_108_864, WAIT), DemandAnswer::Granted);
    assert_eq!(limits.connections, [1_537, 461, 307, 768]);
}
