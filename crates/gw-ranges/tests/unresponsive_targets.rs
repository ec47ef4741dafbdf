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
/// Three orders are given up, and then the last possible lease has to run out.
const MAX_LOST_HOLD: Duration = Duration::from_secs(12);

struct LossCase {
    name: &'static str,
    targets: usize,
    /// Each of so many targets does not respond; 0 if all do.
    every_lost: usize,
    /// Whether the lost targets go on to announce themselves.
    are_lost_heard: bool,
}

/// What is seen while a new leader grants the ranges.
struct LossOutcome {
    /// When each target first confirmed a grant.
    first_grants: BTreeMap<RangeHolder, Duration>,
    /// Longest time between two grants of a key that a healthy target held in the beginning.
    longest_gap: Duration,
    /// Last time at which a lost target was assigned a key; `None` if it held none in the end.
    last_lost: Option<Duration>,
}

fn holder(index: usize) -> RangeHolder {
    let target = TargetName::new(format!("t{index:03}")).expect("a valid name");
    RangeHolder { target, run: 1 }
}

/// Runs a new leader for `steps` steps of [`STEP`].
fn run_new_leader(case: &LossCase, steps: u32) -> LossOutcome {
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
    let mut last_lost = None;
    for step in 0..steps {
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
                    true if !case.are_lost_heard => HolderStatus::Silent,
                    _ => HolderStatus::Serving,
                },
                speed: 1.0,
                is_answering: !is_lost(index),
            })
            .collect();
        let is_lost_holder = |owner: &Option<RangeHolder>| {
            owner.as_ref().is_some_and(|holder| lost.contains(holder))
        };
        if table.assignments().iter().any(|part| is_lost_holder(&part.holder)) {
            last_lost = Some(now.since(start));
        }
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
    LossOutcome { first_grants, longest_gap, last_lost }
}

fn loss_case(name: &'static str, targets: usize, every_lost: usize) -> LossCase {
    LossCase { name, targets, every_lost, are_lost_heard: false }
}

/// Guards against leases of healthy targets that run out because orders to lost targets occupy all
/// of the leader's orders.
#[test]
fn lost_targets_do_not_hold_up_the_others() {
    let cases = [
        loss_case("none lost", 547, 0),
        loss_case("a twelfth lost", 547, 12),
        loss_case("a zone of five lost", 547, 5),
        loss_case("a third of a small fleet lost", 24, 3),
    ];
    let lease_duration = GranterOptions::default().lease_duration;
    for case in cases {
        let LossOutcome { first_grants, longest_gap, .. } = run_new_leader(&case, 400);
        let lost = if case.every_lost > 0 { case.targets.div_ceil(case.every_lost) } else { 0 };
        assert_eq!(first_grants.len(), case.targets - lost, "{}", case.name);
        let last = first_grants.values().max().copied().unwrap_or_default();
        assert!(last <= MAX_FIRST_GRANT, "{}: the last first grant after {last:?}", case.name);
        assert!(longest_gap < lease_duration, "{}: {longest_gap:?} between grants", case.name);
    }
}

/// Guards against keys that nobody serves as long as their holder announces itself, though it
/// responds to no order, and against keys that go back to such a holder.
#[test]
fn keys_leave_targets_that_respond_to_no_order() {
    let cases = [
        loss_case("one of thirty", 30, 30),
        loss_case("a third of a small fleet", 24, 3),
        loss_case("half of two", 2, 2),
    ];
    for case in cases {
        let case = LossCase { are_lost_heard: true, ..case };
        let LossOutcome { longest_gap, last_lost, .. } = run_new_leader(&case, 1_200);
        let lost_until = last_lost.unwrap_or_default();
        assert!(lost_until <= MAX_LOST_HOLD, "{}: held until {lost_until:?}", case.name);
        assert!(longest_gap < GranterOptions::default().lease_duration, "{}", case.name);
    }
}
