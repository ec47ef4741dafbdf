//! Records, size limit, filters and pages of the audit trail.

mod support;

use gw_control::AUDIT_LIMIT;
use gw_control::AuditEvent;
use gw_control::AuditQuery;
use gw_control::ControlOutcome;
use gw_control::MoveCause;
use gw_control::MoveRecord;
use gw_control::MoveScope;
use gw_control::ProfileOutcome;
use gw_control::WallTime;
use gw_profile::Revision;
use gw_types::FencingToken;
use gw_types::KeyHash;
use gw_types::SlotIndex;
use support::Log;
use support::change;
use support::grant;
use support::moved;
use support::moves;

fn sequences(log: &Log, query: AuditQuery) -> Vec<u64> {
    let page = log.state.audit(&AuditQuery { limit: 100, ..query });
    page.records.iter().map(|record| record.sequence).collect()
}

fn key_move(key: KeyHash) -> MoveRecord {
    MoveRecord {
        service: "slipreader".parse().unwrap(),
        scope: MoveScope::Key(key),
        from: None,
        to: Some("t3".parse().unwrap()),
        token: FencingToken::NONE,
        cause: MoveCause::HotKeySplit,
    }
}

struct QueryCase {
    name: &'static str,
    query: AuditQuery,
    found: &'static [u64],
}

/// Guards against filters that miss records or return others, so that an operator cannot find who
/// changed a profile or why a key moved.
#[test]
fn queries_filter_by_every_field() {
    let key = KeyHash(5 * 16_384 + 12);
    let mut log = Log::default();
    log.apply(grant("spinneri", 1));
    log.apply(change("p", 0, "c1", "anna", 100));
    log.apply(change("p", 0, "c2", "bo", 200));
    log.apply(change("p", 0, "c1", "anna", 100));
    log.apply(change("q", 0, "c3", "anna", 300));
    log.apply(moves("spinneri", 400, 1, 1, vec![moved(10, "t1", "t2"), moved(50, "t2", "t1")]));
    log.apply(moves("spinneri", 500, 1, 2, vec![key_move(key)]));
    let all = AuditQuery::default;
    let cases = [
        QueryCase {
            name: "everything, a resend only once",
            query: all(),
            found: &[5, 4, 3, 2, 1, 0],
        },
        QueryCase {
            name: "time",
            query: AuditQuery { from: Some(WallTime(200)), until: Some(WallTime(400)), ..all() },
            found: &[2, 1],
        },
        QueryCase {
            name: "profile",
            query: AuditQuery { profile: Some("p".parse().unwrap()), ..all() },
            found: &[1, 0],
        },
        QueryCase {
            name: "service",
            query: AuditQuery { service: Some("matarlas".parse().unwrap()), ..all() },
            found: &[4, 3],
        },
        QueryCase {
            name: "target, from or to",
            query: AuditQuery { target: Some("t3".parse().unwrap()), ..all() },
            found: &[5],
        },
        QueryCase {
            name: "slot, with keys in it",
            query: AuditQuery { slot: Some(SlotIndex(12)), ..all() },
            found: &[5, 3],
        },
        QueryCase {
            name: "key, with its slot",
            query: AuditQuery { key: Some(key), ..all() },
            found: &[5, 3],
        },
        QueryCase {
            name: "another key of the slot",
            query: AuditQuery { key: Some(KeyHash(12)), ..all() },
            found: &[3],
        },
        QueryCase {
            name: "service and key",
            query: AuditQuery {
                key: Some(key),
                service: Some("slipreader".parse().unwrap()),
                ..all()
            },
            found: &[5],
        },
    ];
    for case in cases {
        assert_eq!(sequences(&log, case.query), case.found, "{}", case.name);
    }
}

/// Guards against a profile record without the operator, the time, the base or the result.
#[test]
fn profile_records_say_who_when_base_and_result() {
    let mut log = Log::default();
    log.apply(change("p", 0, "c1", "anna", 100));
    log.apply(change("p", 0, "c2", "bo", 200));
    let page = log.state.audit(&AuditQuery { limit: 1, ..AuditQuery::default() });
    let record = &page.records[0];
    assert_eq!(record.at, WallTime(200));
    let AuditEvent::Profile { operator, base, result, .. } = &record.event else {
        panic!("{record:?}");
    };
    assert_eq!((operator.as_str(), *base), ("bo", Revision::NONE));
    assert!(matches!(result, ProfileOutcome::Conflict { winner: Revision(1), .. }));
}

/// Guards against a batch of moves that is recorded twice after its answer was lost, and against a
/// batch of an earlier leader that is dropped because a batch of its successor came first.
#[test]
fn batches_are_recorded_once() {
    let mut log = Log::default();
    log.apply(grant("a", 1));
    log.apply(grant("a", 2));
    let batch = |term, number| moves("a", 1, term, number, vec![moved(1, "t", "u")]);
    for (term, number, recorded) in
        [(2, 1, 1), (2, 1, 0), (1, 5, 1), (1, 4, 0), (2, 2, 1), (3, 1, 0)]
    {
        let outcome = log.apply(batch(term, number));
        assert_eq!(outcome, ControlOutcome::Moves(recorded), "{term}.{number}");
    }
}

/// Guards against an audit trail that grows beyond its limit, and against pages that repeat or skip
/// records.
#[test]
fn trail_is_bounded_and_pages_cover_it() {
    let mut log = Log::default();
    log.apply(grant("a", 1));
    let batch = |number| moves("a", number, 1, number, vec![moved(1, "t", "u"); 100]);
    for number in 1..=(AUDIT_LIMIT as u64 / 100 + 3) {
        log.apply(batch(number));
    }
    let mut seen = Vec::new();
    let mut before = None;
    loop {
        let query = AuditQuery { before, limit: 777, ..AuditQuery::default() };
        let page = log.state.audit(&query);
        seen.extend(page.records.iter().map(|record| record.sequence));
        before = page.next;
        if before.is_none() {
            break;
        }
    }
    let newest = AUDIT_LIMIT as u64 + 300;
    let expected: Vec<_> = (300..newest).rev().collect();
    assert_eq!(seen, expected);
}
