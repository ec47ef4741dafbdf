//! Requests of learners for missing entries over links with little bandwidth.

use std::collections::VecDeque;
use std::time::Duration;

use gw_fleet::LinkProgress;
use gw_fleet::StateFetch;
use gw_types::Timestamp;

/// Interval at which the learner looks whether it lacks entries.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

struct SlowLinkCase {
    name: &'static str,
    state_bytes: u64,
    bytes_per_second: u64,
    /// Requests that the control host drops.
    dropped_requests: usize,
    /// Time without delivery of data, from and to, in milliseconds.
    outage_ms: (u64, u64),
    /// Copies of the state that the link may carry.
    max_copies: usize,
    /// Time until the state must have arrived.
    complete_within: Duration,
}

/// One connection that delivers complete states at a limited rate.
struct SlowLink {
    /// Bytes left of each copy under way.
    copies: VecDeque<u64>,
    sent_copies: usize,
    last_byte: Timestamp,
}

/// A connection that delivered a part of a state at `time`, and nothing since.
fn delivered_at(time: Timestamp) -> LinkProgress {
    LinkProgress { last_byte: time, last_part: time }
}

/// Returns the number of copies sent and when the first one was complete.
fn restart_over_slow_link(
    case: &SlowLinkCase,
    may_start: impl Fn(&StateFetch<u8>, Timestamp, Timestamp) -> bool,
) -> (usize, Option<Duration>) {
    let mut fetch = StateFetch::default();
    let mut link = SlowLink { copies: VecDeque::new(), sent_copies: 0, last_byte: Timestamp::ZERO };
    let mut dropped = 0;
    let step_bytes = case.bytes_per_second * CHECK_INTERVAL.as_millis() as u64 / 1_000;
    for step in 0..2_000_u32 {
        let elapsed = CHECK_INTERVAL * step;
        let now = Timestamp::ZERO + elapsed;
        if may_start(&fetch, now, link.last_byte) {
            fetch.start(now, 0);
            if dropped < case.dropped_requests {
                dropped += 1;
            } else {
                link.copies.push_back(case.state_bytes);
                link.sent_copies += 1;
            }
        }
        let (from, to) = case.outage_ms;
        let is_out = (from..to).contains(&(elapsed.as_millis() as u64));
        let Some(left) = link.copies.front_mut().filter(|_| !is_out) else { continue };
        link.last_byte = now;
        *left = left.saturating_sub(step_bytes);
        if *left == 0 {
            return (link.sent_copies, Some(elapsed));
        }
    }
    (link.sent_copies, None)
}

const CASES: [SlowLinkCase; 4] = [
    SlowLinkCase {
        name: "200 KB over 2 Mbit/s",
        state_bytes: 200_000,
        bytes_per_second: 250_000,
        dropped_requests: 0,
        outage_ms: (0, 0),
        max_copies: 1,
        complete_within: Duration::from_secs(1),
    },
    SlowLinkCase {
        name: "800 KB over 2 Mbit/s",
        state_bytes: 800_000,
        bytes_per_second: 250_000,
        dropped_requests: 0,
        outage_ms: (0, 0),
        max_copies: 1,
        complete_within: Duration::from_secs(4),
    },
    SlowLinkCase {
        name: "a dropped request",
        state_bytes: 200_000,
        bytes_per_second: 250_000,
        dropped_requests: 1,
        outage_ms: (0, 0),
        max_copies: 1,
        complete_within: Duration::from_secs(2),
    },
    SlowLinkCase {
        name: "a pause of the link",
        state_bytes: 200_000,
        bytes_per_second: 250_000,
        dropped_requests: 0,
        outage_ms: (300, 800),
        max_copies: 1,
        complete_within: Duration::from_secs(2),
    },
];

/// Guards against copies of the state that pile up on the slow link of a restarted host until
/// nothing gets through.
#[test]
fn a_restarted_host_receives_one_copy_over_a_slow_link() {
    for case in &CASES {
        let (copies, complete) = restart_over_slow_link(case, |fetch, now, last_byte| {
            fetch.may_start(now, |_| Some(delivered_at(last_byte)))
        });
        assert!(copies <= case.max_copies, "{}: {copies} copies", case.name);
        let complete = complete.unwrap_or(Duration::MAX);
        assert!(complete <= case.complete_within, "{}: after {complete:?}", case.name);
    }
}

/// Shows that the check above notices hosts that ask again at a fixed interval.
#[test]
fn asking_again_at_an_interval_piles_up_copies() {
    let case = &CASES[0];
    let asked = std::cell::Cell::new(None);
    let (copies, _) = restart_over_slow_link(case, |_, now, _| {
        let is_due = asked.get().is_none_or(|at| now.since(at) > Duration::from_millis(120));
        if is_due {
            asked.set(Some(now));
        }
        is_due
    });
    assert!(copies > case.max_copies, "{copies} copies");
}

/// Guards against waiting for a reply on a connection that has ended.
#[test]
fn a_lost_connection_ends_the_wait() {
    let mut fetch = StateFetch::default();
    fetch.start(Timestamp::ZERO, 1);
    assert!(!fetch.may_start(Timestamp::ZERO, |_| Some(delivered_at(Timestamp::ZERO))));
    assert!(fetch.may_start(Timestamp::ZERO, |_| None));
    fetch.finish(2);
    assert!(!fetch.may_start(Timestamp::ZERO, |_| Some(delivered_at(Timestamp::ZERO))));
    fetch.finish(1);
    assert!(fetch.may_start(Timestamp::ZERO, |_| Some(delivered_at(Timestamp::ZERO))));
}

/// Guards against waiting for seconds for a control host that sends heads and does not answer, and against
/// asking it again before others.
#[test]
fn a_host_that_does_not_answer_is_given_up() {
    let after = |millis| Timestamp::ZERO + Duration::from_millis(millis);
    let heads = |now| move |_| Some(LinkProgress { last_byte: now, last_part: Timestamp::ZERO });
    let mut fetch = StateFetch::default();
    fetch.start(Timestamp::ZERO, 1);
    assert!(!fetch.may_start(after(900), heads(after(900))));
    assert!(fetch.may_start(after(1_000), heads(after(1_000))));
    fetch.start(after(1_000), 2);
    fetch.finish(2);
    assert!(fetch.is_unanswered(1) && !fetch.is_unanswered(2));
    fetch.finish(1);
    assert!(!fetch.is_unanswered(1));
}
