//! Benchmarks planning with 16,384 slots, and prints the sizes of encoded table deltas.
//!
//! Sizes are printed once before the timings because they do not vary.

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use gw_placement::DrainDone;
use gw_placement::OwnedRange;
use gw_placement::PlacementOptions;
use gw_placement::SlotDelegation;
use gw_placement::TargetChange;
use gw_placement::WeightedTarget;
use gw_placement::ZonePlacement;
use gw_placement::plan_assignment;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::SLOT_COUNT;
use gw_types::ServiceName;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;
use gw_types::ZoneTable;

const TARGET_COUNTS: [u16; 3] = [8, 80, 600];

fn name(target: u16) -> TargetName {
    TargetName::new(format!("slipreader-{target:03}")).unwrap()
}

fn weighted(count: u16) -> Vec<WeightedTarget> {
    (0..count).map(|target| WeightedTarget { name: name(target), weight: 2 }).collect()
}

fn placement(targets: u16) -> ZonePlacement {
    let table = ZoneTable::empty(ZoneName::new("nl-west-a").unwrap());
    let service = ServiceName::new("slipreader").unwrap();
    let now = Timestamp::ZERO;
    let mut placement =
        ZonePlacement::adopt(PlacementOptions::default(), TermNumber(1), table, now);
    let all = SlotDelegation { first: 0, last: SLOT_COUNT - 1, term: TermNumber(1), ready: true };
    placement.set_delegation(now, &service, vec![all]);
    for target in 0..targets {
        let entry = TargetEntry {
            name: name(target),
            service: service.clone(),
            address: ([10, 0, 0, 1], 9_000 + target).into(),
            boot: BootId(1_765_000_000),
            state: TargetState::Serving,
            work_slots: 2,
            checks_tokens: true,
            dispatcher: None,
        };
        placement.change_target(now, TargetChange::Joined(entry));
        let dispatcher = Some(HostId(target % 3));
        placement.change_target(now, TargetChange::Dispatcher(name(target), dispatcher));
    }
    placement.tick(now);
    placement.publish();
    placement
}

fn finish_handovers(placement: &mut ZonePlacement) {
    for request in placement.drain_requests(Timestamp::ZERO) {
        let (id, dispatcher) = (request.id, request.dispatcher);
        placement.confirm_drain(&DrainDone { id, dispatcher, run_age: Duration::MAX });
    }
    placement.tick(Timestamp::ZERO);
}

/// Returns the encoded size of the changes since the last call.
fn delta_len(placement: &mut ZonePlacement) -> usize {
    let delta = placement.publish().expect("something changed");
    postcard::to_stdvec(&delta).unwrap().len()
}

fn print_sizes() {
    let (now, service) = (Timestamp::ZERO, ServiceName::new("slipreader").unwrap());
    for count in TARGET_COUNTS {
        let mut placement = placement(count);
        let snapshot = postcard::to_stdvec(placement.table()).unwrap().len();
        placement.move_slots(now, &service, 9, 9, &name(count - 1)).unwrap();
        let slot_taken = delta_len(&mut placement);
        finish_handovers(&mut placement);
        let slot_granted = delta_len(&mut placement);
        placement.move_key(now, &service, KeyHash(77), &name(count - 1)).unwrap();
        let key_taken = delta_len(&mut placement);
        finish_handovers(&mut placement);
        placement.publish();
        placement.change_target(now, TargetChange::Lost(name(1)));
        let target_lost = delta_len(&mut placement);
        finish_handovers(&mut placement);
        let target_replaced = delta_len(&mut placement);
        println!(
            "targets={count} snapshot_bytes={snapshot} slot_taken_bytes={slot_taken} \
             slot_granted_bytes={slot_granted} key_taken_bytes={key_taken} \
             target_lost_bytes={target_lost} target_replaced_bytes={target_replaced}"
        );
    }
}

fn bench_planning(criterion: &mut Criterion) {
    print_sizes();
    let all = [OwnedRange { first: 0, last: SLOT_COUNT - 1, owner: None }];
    for count in TARGET_COUNTS {
        let targets = weighted(count);
        let before = plan_assignment(&targets, &all);
        let fewer = weighted(count - 1);
        criterion.bench_function(&format!("plan_after_loss/{count}"), |bencher| {
            bencher.iter(|| plan_assignment(black_box(&fewer), black_box(&before)));
        });
        let ready = placement(count);
        criterion.bench_function(&format!("ledger_lost_target/{count}"), |bencher| {
            bencher.iter_batched(
                || ready.clone(),
                |mut placement| {
                    placement.change_target(Timestamp::ZERO, TargetChange::Lost(name(1)));
                    finish_handovers(&mut placement);
                    placement.publish()
                },
                criterion::BatchSize::SmallInput,
            );
        });
    }
}

criterion_group!(benches, bench_planning);
criterion_main!(benches);
