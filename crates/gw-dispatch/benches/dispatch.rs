//! Cost of one request through a target queue, and of one record lookup.

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use gw_dispatch::AttemptOutcome;
use gw_dispatch::CallerHash;
use gw_dispatch::QueueOptions;
use gw_dispatch::QueuedRequest;
use gw_dispatch::RecordKey;
use gw_dispatch::RecordOptions;
use gw_dispatch::RecordTable;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::RequestTicket;
use gw_dispatch::SlowStart;
use gw_dispatch::TargetQueue;
use gw_profile::Profile;
use gw_profile::RefuseRules;
use gw_profile::ShedClass;
use gw_types::KeyHash;
use gw_types::ProfileName;
use gw_types::SlotIndex;
use gw_types::Timestamp;

const SERVICE_TIME: Duration = Duration::from_millis(4);

fn request(number: u64, now: Timestamp) -> QueuedRequest {
    QueuedRequest {
        ticket: RequestTicket(number),
        class: ShedClass::ShortIdempotent,
        is_long: false,
        runs_alone: false,
        expected: SERVICE_TIME,
        deadline: now + Duration::from_secs(1),
        caller: CallerHash(number % 7),
        key: Some(KeyHash(number % 31)),
    }
}

fn bench_queue(criterion: &mut Criterion) {
    let profile = Profile::with_defaults(ProfileName::new("bench").expect("valid name"));
    for depth in [0_u64, 16, 60] {
        let mut queue =
            TargetQueue::new(QueueOptions::from_profile(&profile, 2), SlowStart::warm());
        let mut now = Timestamp::ZERO;
        let mut number = 0;
        let filled = if depth == 0 { 0 } else { depth + 2 };
        while number < filled {
            let _ = queue.submit(now, request(number, now));
            number += 1;
        }
        criterion.bench_function(&format!("queue_submit_finish/{depth}"), |bencher| {
            bencher.iter(|| {
                now = now + Duration::from_millis(2);
                let _ = black_box(queue.submit(now, request(number, now)));
                number += 1;
                let Some(ticket) = queue.outstanding().next() else { return };
                let _ =
                    black_box(queue.finish(now, ticket, AttemptOutcome::Answered(SERVICE_TIME)));
            });
        });
    }
}

fn bench_records(criterion: &mut Criterion) {
    let options = RecordOptions::from_rules(&RefuseRules::default(), 256 << 20);
    let mut table = RecordTable::new(options, 0);
    for number in 0..50_000_u128 {
        let slot = SlotIndex((number % 16_384) as u16);
        let _ = table.begin(Timestamp::ZERO, RecordKey(number), slot, RequestFingerprint(number));
    }
    let mut number = 0;
    criterion.bench_function("record_lookup/50000", |bencher| {
        bencher.iter(|| {
            number = (number + 7_919) % 50_000;
            let slot = SlotIndex((number % 16_384) as u16);
            let fingerprint = RequestFingerprint(number);
            black_box(table.begin(Timestamp::ZERO, RecordKey(number), slot, fingerprint))
        });
    });
}

criterion_group!(benches, bench_queue, bench_records);
criterion_main!(benches);
