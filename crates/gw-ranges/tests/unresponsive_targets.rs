//! Load pattern: a new leader grants all ranges again while many targets do not respond.

use std::collections::BTreeMap;
use std::time::Duration;

use gw_ranges::DecayedCounts;
use gw_ranges::GranterAction;
use gw_ranges::GranterOptions;
use gw_ranges::HolderStatus;
use gw_ranges::KeyRange;
use gw_ranges::OrderKind;
use gw_ranges::OrderOutcome;
use gw_ranges::RangeCandidate;
use gw_ranges::RangeCommand;
use gw_ranges::RangeGranter;
use gw_ranges::RangeHolder;
use gw_ranges::RangeTable;
use gw_ranges::RangeTransfer;
use gw_ranges::TargetOrder;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

/// Orders of all services that may have been sent a short time ago.
const MAX_ORDERS: usize = 40;
const STEP: Duration = Duration::from_millis(25);
const COMMIT_TIME: Duration = Duration::from_millis(50);
/// Time from sending an order to a response, with a new connection to another zone.
const RESPONSE_TIME: Duration = Duration::from_millis(30);
/// Time until an order to a target without a response is given up: connecting, relaying through an
/// entry host, and waiting for the outcome.
const GIVE_UP_TIME: Duration = Duration::from_millis(1_650);
/// Time after which a target without announcements counts as silent.
const SILENCE_TIME: Duration = Duration::from_millis(2_800);
/// The earlier leader may have renewed a lease of 5 s up to 1 s before its loss, and the election
/// takes up to 1 s.
const MAX_FIRST_GRANT: Duration = Duration::from_secs(3);

struct LossCase {
    name: &'static str,
    targets: usize,
    /// Each of so many targets does not respond; 0 if all do.
    every_lost: usize,
}

fn holder(index: usize) -> RangeHolder {
    let target = TargetName::new(format!("t{index:03}")).expect("a valid name");
    RangeHolder { target, run: 1 }
}

/// Returns when each target first confirmed a grant, and the longest time between two grants of a key
/// that a healthy target held in the beginning.
fn run_new_leader(case: &LossCase) -> (BTreeMap<RangeHolder, Duration>, Duration) {
    let start = Timestamp::from_millis(10_000);
    let is_lost = |index: usize| case.every_lost > 0 && index.is_multiple_of(case.every_lost);
    let lost: Vec<RangeHolder> =
        (0..case.targets).filter(|index| is_lost(*index)).map(holder).collect();
    let mut table = RangeTable::default();
    let width = 65_536 / case.targets;
    for index in 0..case.targets {
        let first = index * width;
        let last = if index + 1 == case.targets { 65_535 } else { first + width - 1 };
        let range = KeyRange { first: first as u16, last: last as u16 };
        let transfer =
            RangeTransfer { range, to: holder(index), fence: table.find(range.first).fence };
        assert!(table.assign(&transfer, index as u64 + 1));
    }
    let mut last_fence = case.targets as u64;
    let service = ServiceName::new("slips").expect("a valid name");
    let mut granter = RangeGranter::new(service, GranterOptions::default(), start);
    let counts = DecayedCounts::new(start);
    let mut orders: Vec<(Timestamp, TargetOrder)> = Vec::new();
    let mut proposed: Vec<(Timestamp, RangeCommand)> = Vec::new();
    let mut first_grants = BTreeMap::new();
    let mut last_grants: BTreeMap<u16, Timestamp> = (0..case.targets)
        .filter(|index| !is_lost(*index))
        .map(|index| ((index * width) as u16, start))
        .collect();
    let mut longest_gap = Duration::ZERO;
    for step in 0..400_u32 {
        let now = start + STEP * step;
        for (_, command) in proposed.extract_if(.., |(at, _)| now.since(*at) >= COMMIT_TIME) {
            last_fence += 1;
            match command {
                RangeCommand::Announce { moves, .. } => moves.iter().for_each(|transfer| {
                    table.announce(transfer);
                }),
                RangeCommand::Assign { moves, .. } => moves.iter().for_each(|transfer| {
                    table.assign(transfer, last_fence);
                }),
            }
        }
        let done: Vec<_> = orders.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, order) in done {
            if lost.contains(&order.holder) {
                granter.order_done(now, &order, &OrderOutcome::Unanswered);
                continue;
            }
            granter.order_done(now, &order, &OrderOutcome::Done { handover: None });
            if matches!(order.kind, OrderKind::Grant { .. }) {
                let elapsed = now.since(start);
                first_grants.entry(order.holder).or_insert(elapsed);
                for (_, last) in last_grants.range_mut(order.range.first..=order.range.last) {
                    longest_gap = longest_gap.max(now.since(*last));
                    *last = now;
                }
            }
        }
        let candidates: Vec<RangeCandidate> = (0..case.targets)
            .map(|index| RangeCandidate {
                holder: holder(index),
                zone: ZoneName::new("a").expect("a valid name"),
                status: match is_lost(index) && now.since(start) > SILENCE_TIME {
                    true => HolderStatus::Silent,
                    false => HolderStatus::Serving,
                },
                speed: 1.0,
            })
            .collect();
        let room = MAX_ORDERS.saturating_sub(granter.orders_in_flight(now));
        for action in granter.step(now, &table, &candidates, &counts, room) {
            match action {
                GranterAction::Order(order) => {
                    let is_lost = lost.contains(&order.holder);
                    let time = if is_lost { GIVE_UP_TIME } else { RESPONSE_TIME };
                    orders.push((now + time, order));
                }
                GranterAction::Propose(command) => proposed.push((now, command)),
            }
        }
    }
    (first_grants, longest_gap)
}

/// Guards against leases of healthy targets that run out because orders to lost targets occupy all
/// of the leader's orders.
#[test]
fn lost_targets_do_not_hold_up_the_others() {
    let cases = [
        LossCase { name: "none lost", targets: 547, every_lost: 0 },
        LossCase { name: "a twelfth lost", targets: 547, every_lost: 12 },
        LossCase { name: "a zone of five lost", targets: 547, every_lost: 5 },
        LossCase { name: "a third of a small fleet lost", targets: 24, every_lost: 3 },
    ];
    let lease_duration = GranterOptions::default().lease_duration;
    for case in cases {
        let (first_grants, longest_gap) = run_new_leader(&case);
        let lost = if case.every_lost > 0 { case.targets.div_ceil(case.every_lost) } else { 0 };
        assert_eq!(first_grants.len(), case.targets - lost, "{}", case.name);
        let last = first_grants.values().max().copied().unwrap_or_default();
        assert!(last <= MAX_FIRST_GRANT, "{}: the last first grant after {last:?}", case.name);
        assert!(longest_gap < lease_duration, "{}: {longest_gap:?} between grants", case.name);
    }
}
