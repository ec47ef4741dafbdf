//! Order, fairness and refusals of the target queue.

use std::time::Duration;

use gw_dispatch::Admission;
use gw_dispatch::AttemptOutcome;
use gw_dispatch::CallerHash;
use gw_dispatch::QueueOptions;
use gw_dispatch::QueuedRequest;
use gw_dispatch::RefusalReason;
use gw_dispatch::RequestTicket;
use gw_dispatch::SlowStart;
use gw_dispatch::TargetQueue;
use gw_profile::Profile;
use gw_profile::ShedClass;
use gw_types::KeyHash;
use gw_types::ProfileName;
use gw_types::Timestamp;

const SHORT: Duration = Duration::from_millis(4);
const LONG: Duration = Duration::from_millis(100);

fn queue(queue_limit: u32) -> TargetQueue {
    let mut profile = Profile::with_defaults(ProfileName::new("test").unwrap());
    profile.refuse.queue_limit = queue_limit;
    TargetQueue::new(QueueOptions::from_profile(&profile, 2), SlowStart::warm())
}

fn request(ticket: u64, is_long: bool) -> QueuedRequest {
    let class = if is_long { ShedClass::LongIdempotent } else { ShedClass::ShortIdempotent };
    QueuedRequest {
        ticket: RequestTicket(ticket),
        class,
        is_long,
        runs_alone: false,
        expected: if is_long { LONG } else { SHORT },
        deadline: Timestamp::from_millis(1_000),
        caller: CallerHash(ticket),
        key: None,
    }
}

fn finish(queue: &mut TargetQueue, at_ms: u64, ticket: u64) -> Vec<u64> {
    let result = AttemptOutcome::Answered(SHORT);
    let steps = queue.finish(Timestamp::from_millis(at_ms), RequestTicket(ticket), result);
    steps.start.iter().map(|ticket| ticket.0).collect()
}

/// Guards against stragglers in every work slot while short work waits.
#[test]
fn long_work_leaves_a_slot_to_short_work() {
    let mut queue = queue(64);
    let now = Timestamp::ZERO;
    assert_eq!(queue.submit(now, request(1, false)), Admission::Start);
    assert_eq!(queue.submit(now, request(2, true)), Admission::Start);
    assert_eq!(queue.submit(now, request(3, true)), Admission::Queued { evicted: None });
    assert_eq!(finish(&mut queue, 4, 1), Vec::<u64>::new());
    assert_eq!(queue.submit(Timestamp::from_millis(5), request(4, false)), Admission::Start);
}

/// Guards against capacity that stays idle: without short work, long work uses every slot.
#[test]
fn long_work_uses_all_slots_when_no_short_work_arrives() {
    let mut queue = queue(64);
    let now = Timestamp::ZERO;
    assert_eq!(queue.submit(now, request(1, false)), Admission::Start);
    assert_eq!(queue.submit(now, request(2, true)), Admission::Start);
    assert_eq!(queue.submit(now, request(3, true)), Admission::Queued { evicted: None });
    assert!(finish(&mut queue, 4, 1).is_empty());
    let wakeup = queue.next_wakeup(Timestamp::from_millis(4)).unwrap();
    assert_eq!(wakeup, Timestamp::from_millis(100));
    assert_eq!(queue.expire(wakeup).start, [RequestTicket(3)]);
}

/// Guards against a caller or key that fills the queue and keeps all others out.
#[test]
fn hot_callers_and_hot_keys_leave_room_for_others() {
    struct Case {
        name: &'static str,
        flood: fn(u64) -> QueuedRequest,
    }
    let cases = [
        Case {
            name: "caller",
            flood: |ticket| QueuedRequest { caller: CallerHash(0), ..request(ticket, false) },
        },
        Case {
            name: "key",
            flood: |ticket| QueuedRequest { key: Some(KeyHash(7)), ..request(ticket, false) },
        },
    ];
    for case in cases {
        let mut queue = queue(32);
        for ticket in 0..34 {
            let _ = queue.submit(Timestamp::ZERO, (case.flood)(ticket));
        }
        let other = QueuedRequest { caller: CallerHash(99), ..request(100, false) };
        let admission = queue.submit(Timestamp::ZERO, other);
        assert!(matches!(admission, Admission::Queued { evicted: Some(_) }), "{}", case.name);
        let started = (0..8).find(|&turn| finish(&mut queue, 4 * turn, turn).contains(&100));
        assert!(started.is_some(), "hot {} keeps the other request waiting", case.name);
    }
}

/// Guards against shedding out of the profile's order.
#[test]
fn higher_class_evicts_lower_class_when_full() {
    struct Case {
        waiting: ShedClass,
        arriving: ShedClass,
        evicts: bool,
    }
    let cases = [
        Case { waiting: ShedClass::Retry, arriving: ShedClass::LongIdempotent, evicts: true },
        Case { waiting: ShedClass::LongIdempotent, arriving: ShedClass::Retry, evicts: false },
        Case {
            waiting: ShedClass::ShortIdempotent,
            arriving: ShedClass::NonIdempotent,
            evicts: true,
        },
        Case {
            waiting: ShedClass::NonIdempotent,
            arriving: ShedClass::NonIdempotent,
            evicts: false,
        },
    ];
    for case in cases {
        let mut queue = queue(1);
        for ticket in 0..2 {
            assert_eq!(queue.submit(Timestamp::ZERO, request(ticket, false)), Admission::Start);
        }
        let waiting = QueuedRequest { class: case.waiting, ..request(2, false) };
        assert_eq!(queue.submit(Timestamp::ZERO, waiting), Admission::Queued { evicted: None });
        let arriving = QueuedRequest { class: case.arriving, ..request(3, false) };
        let admission = queue.submit(Timestamp::ZERO, arriving);
        let has_evicted = matches!(admission, Admission::Queued { evicted: Some(evicted) }
            if evicted.ticket == RequestTicket(2) && evicted.reason == RefusalReason::Shed);
        assert_eq!(has_evicted, case.evicts, "{:?} on {:?}", case.arriving, case.waiting);
        let is_shed = matches!(admission, Admission::Refused { reason: RefusalReason::Shed, .. });
        assert_eq!(is_shed, !case.evicts, "{:?} on {:?}", case.arriving, case.waiting);
    }
}

/// Guards against work that is queued although it cannot meet its deadline, and against an order
/// within the lane that ignores deadlines.
#[test]
fn deadlines_decide_order_and_early_refusal() {
    let mut queue = queue(64);
    let now = Timestamp::ZERO;
    for ticket in 0..6 {
        assert!(!matches!(queue.submit(now, request(ticket, false)), Admission::Refused { .. }));
    }
    // Four requests of 4 ms wait before it on two slots: 8 ms of waiting and 4 ms of service.
    let early = QueuedRequest { deadline: Timestamp::from_millis(11), ..request(10, false) };
    assert_eq!(queue.submit(now, early), Admission::Queued { evicted: None });
    assert_eq!(finish(&mut queue, 4, 0), [10], "the earliest deadline goes first");
    let hopeless = QueuedRequest { deadline: Timestamp::from_millis(7), ..request(11, false) };
    let admission = queue.submit(Timestamp::from_millis(4), hopeless);
    let reason = RefusalReason::DeadlineUnreachable;
    assert!(matches!(admission, Admission::Refused { reason: found, .. } if found == reason));
}

/// Guards against overload in which every request is served just before its deadline.
#[test]
fn newest_goes_first_under_overload() {
    let mut queue = queue(64);
    for ticket in 0..4 {
        let _ = queue.submit(Timestamp::ZERO, request(ticket, false));
    }
    let late = Timestamp::from_millis(600);
    let newest = QueuedRequest { deadline: late + Duration::from_secs(1), ..request(9, false) };
    assert_eq!(queue.submit(late, newest), Admission::Queued { evicted: None });
    assert_eq!(finish(&mut queue, 601, 0), [9]);
}

/// Guards against a suspect of the quarantine that shares a target with other requests.
#[test]
fn suspect_runs_alone() {
    let mut queue = queue(64);
    let now = Timestamp::ZERO;
    assert_eq!(queue.submit(now, request(1, false)), Admission::Start);
    let suspect = QueuedRequest { runs_alone: true, ..request(2, false) };
    assert_eq!(queue.submit(now, suspect), Admission::Queued { evicted: None });
    assert_eq!(queue.submit(now, request(3, false)), Admission::Queued { evicted: None });
    assert_eq!(finish(&mut queue, 1, 1), [2]);
    assert_eq!(finish(&mut queue, 2, 2), [3]);
}

/// Guards against a cold target that is given its full share at once.
#[test]
fn cold_target_starts_with_one_slot() {
    let options =
        QueueOptions::from_profile(&Profile::with_defaults(ProfileName::new("test").unwrap()), 2);
    let slow_start = SlowStart::cold(Timestamp::ZERO, options.slow_start);
    let mut queue = TargetQueue::new(options, slow_start);
    let far = |ticket| QueuedRequest {
        deadline: Timestamp::from_millis(60_000),
        ..request(ticket, false)
    };
    assert_eq!(queue.submit(Timestamp::ZERO, far(1)), Admission::Start);
    assert_eq!(queue.submit(Timestamp::ZERO, far(2)), Admission::Queued { evicted: None });
    let wakeup = queue.next_wakeup(Timestamp::ZERO).unwrap();
    assert_eq!(queue.expire(wakeup).start, [RequestTicket(2)]);
}
