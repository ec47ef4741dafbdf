//! Moves of key ranges out of evacuated zones.

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
use gw_ranges::plan_moves;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

/// Time of a step of the leader.
const STEP: Duration = Duration::from_millis(10);
/// Delay until a proposal is committed.
const COMMIT_TIME: Duration = Duration::from_millis(30);
/// Delay of the response to a grant.
const GRANT_TIME: Duration = Duration::from_millis(10);
/// Delay of the response to a release: the rest of the running requests.
const RELEASE_TIME: Duration = Duration::from_millis(120);
/// The leader's limit on orders that were sent a short time ago.
const MAX_ORDERS: usize = 40;

fn holder(zone: &str, number: usize) -> RangeHolder {
    let target = TargetName::new(format!("{zone}-{number:03}")).expect("a valid name");
    RangeHolder { target, run: 1 }
}

fn candidates(zones: &[(&str, usize, HolderStatus)]) -> Vec<RangeCandidate> {
    let of_zone = |&(zone, count, status): &(&str, usize, HolderStatus)| {
        let zone_name = ZoneName::new(zone).expect("a valid name");
        (0..count)
            .map(|number| {
                let (holder, zone) = (holder(zone, number), zone_name.clone());
                RangeCandidate { holder, zone, status, speed: 1.0, is_answering: false }
            })
            .collect::<Vec<_>>()
    };
    zones.iter().flat_map(of_zone).collect()
}

/// Returns a table with `per_target` ranges for each candidate, of which no two neighbours have the
/// same holder, and counts with a busy key in every ninth range.
fn busy_table(candidates: &[RangeCandidate], per_target: usize) -> (RangeTable, DecayedCounts) {
    let (mut table, mut counts) = (RangeTable::default(), DecayedCounts::new(START));
    let total = candidates.len() * per_target;
    let width = 65_536 / total;
    for index in 0..total {
        let first = (index * width) as u16;
        let last = if index + 1 == total { u16::MAX } else { first + width as u16 - 1 };
        let to = candidates[index % candidates.len()].holder.clone();
        let transfer = RangeTransfer { range: KeyRange { first, last }, to, fence: 0 };
        assert!(table.assign(&transfer, index as u64 + 1));
        counts.add(first, if index % 9 == 0 { 20 } else { 10 });
    }
    (table, counts)
}

const START: Timestamp = Timestamp::from_millis(10_000);

/// A leader with a simulated log, and targets that respond after a fixed time.
struct Leader {
    now: Timestamp,
    table: RangeTable,
    last_fence: u64,
    granter: RangeGranter,
    counts: DecayedCounts,
    candidates: Vec<RangeCandidate>,
    proposed: Vec<(Timestamp, RangeCommand)>,
    /// Orders with the time at which the response arrives.
    ordered: Vec<(Timestamp, TargetOrder)>,
    /// A target that answers no order.
    unresponsive: Option<RangeHolder>,
    /// Time without service so far, for each key that is looked at.
    outages: Vec<Duration>,
    /// The holder that last confirmed a grant, for each of these keys, unless it has released it.
    served: Vec<Option<RangeHolder>>,
}

impl Leader {
    /// Distance of the keys that are looked at.
    const KEY_STEP: usize = 16;

    fn new(candidates: Vec<RangeCandidate>, per_target: usize) -> Self {
        let (table, counts) = busy_table(&candidates, per_target);
        let service = ServiceName::new("slips").expect("a valid name");
        let keys = 65_536 / Self::KEY_STEP;
        Self {
            now: START,
            last_fence: table.assignments().len() as u64,
            table,
            granter: RangeGranter::new(service, GranterOptions::default(), START),
            counts,
            candidates,
            proposed: Vec::new(),
            ordered: Vec::new(),
            unresponsive: None,
            outages: vec![Duration::ZERO; keys],
            served: vec![None; keys],
        }
    }

    fn set_status(&mut self, zone: &str, status: HolderStatus) {
        for candidate in &mut self.candidates {
            if candidate.zone.as_str() == zone {
                candidate.status = status;
            }
        }
    }

    /// Number of ranges whose holder is in `zone`.
    fn held_in(&self, zone: &str) -> usize {
        let is_in = |holder: &RangeHolder| holder.target.as_str().starts_with(zone);
        let held = self.table.assignments().iter().filter_map(|range| range.holder.as_ref());
        held.filter(|holder| is_in(holder)).count()
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let due = self.proposed.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
        due.into_iter().for_each(|(_, command)| self.commit(command));
        let answered = self.ordered.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>();
        for (_, order) in answered {
            if self.unresponsive.as_ref() == Some(&order.holder) {
                self.granter.order_done(now, &order, &OrderOutcome::Unanswered);
                continue;
            }
            let is_release = order.kind == OrderKind::Release;
            let handover = is_release.then(|| std::sync::Arc::from("token"));
            self.granter.order_done(now, &order, &OrderOutcome::Done { handover });
            let keys = self.served.iter_mut().enumerate();
            keys.filter(|(index, _)| order.range.contains((index * Self::KEY_STEP) as u16))
                .for_each(|(_, served)| *served = (!is_release).then(|| order.holder.clone()));
        }
        let free = MAX_ORDERS.saturating_sub(self.granter.orders_in_flight(now));
        for action in self.granter.step(now, &self.table, &self.candidates, &self.counts, free) {
            match action {
                GranterAction::Order(order) => {
                    let time = match order.kind {
                        OrderKind::Grant { .. } => GRANT_TIME,
                        OrderKind::Release => RELEASE_TIME,
                    };
                    self.ordered.push((now + time, order));
                }
                GranterAction::Propose(command) => self.proposed.push((now + COMMIT_TIME, command)),
            }
        }
        for (index, served) in self.served.iter().enumerate() {
            let assignment = self.table.find((index * Self::KEY_STEP) as u16);
            let is_served = assignment.successor.is_none() && *served == assignment.holder;
            if !is_served {
                self.outages[index] += STEP;
            }
        }
    }

    fn commit(&mut self, command: RangeCommand) {
        match command {
            RangeCommand::Announce { moves, .. } => {
                moves.iter().for_each(|transfer| {
                    self.table.announce(transfer);
                });
            }
            RangeCommand::Assign { moves, .. } => {
                self.last_fence += 1;
                let fence = self.last_fence;
                moves.iter().for_each(|transfer| {
                    self.table.assign(transfer, fence);
                });
            }
        }
    }

    /// Runs until `is_done`, for `limit` at most, and returns the time that it took.
    fn run_until(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !is_done(self) && self.now.since(start) < limit {
            self.step();
        }
        self.now.since(start)
    }
}

struct MoveCase {
    name: &'static str,
    /// Number of targets in each of the three zones, and ranges of each.
    targets: usize,
    per_target: usize,
    limit: Duration,
}

impl Leader {
    /// Takes the lead with the replicated table only, as after the loss of the leader.
    fn restart(&mut self) {
        let service = ServiceName::new("slips").expect("a valid name");
        self.granter = RangeGranter::new(service, GranterOptions::default(), self.now);
        self.proposed.clear();
        self.ordered.clear();
    }
}

/// Guards against evacuations whose keys do not leave within the time limit, or are out of service
/// while other keys are handed over.
#[test]
fn keys_leave_an_evacuated_zone_in_time() {
    /// A handover: two commits, 30 ms, the release, the grant, and the wait for steps.
    const MAX_OUTAGE: Duration = Duration::from_millis(600);
    let cases = [
        MoveCase { name: "few", targets: 4, per_target: 3, limit: Duration::from_millis(1_000) },
        MoveCase { name: "many", targets: 50, per_target: 4, limit: Duration::from_millis(3_000) },
        MoveCase { name: "parts", targets: 50, per_target: 8, limit: Duration::from_millis(3_500) },
    ];
    for case in cases {
        let zones = ["a", "b", "c"].map(|zone| (zone, case.targets, HolderStatus::Serving));
        let mut leader = Leader::new(candidates(&zones), case.per_target);
        leader.run_until(Duration::from_secs(8), |_| false);
        leader.outages.fill(Duration::ZERO);
        assert!(leader.held_in("a") > 0, "{}", case.name);
        leader.set_status("a", HolderStatus::Evacuated);
        let time = leader.run_until(Duration::from_secs(10), |leader| leader.held_in("a") == 0);
        leader.run_until(Duration::from_secs(1), |_| false);
        let longest = leader.outages.iter().max().expect("a key");
        assert!(time <= case.limit, "{}: {time:?}", case.name);
        assert!(*longest <= MAX_OUTAGE, "{}: {longest:?}", case.name);
    }
}

/// Guards against keys that are taken from their holders though no other target may have them, and
/// against keys that are given to a target of an evacuated zone.
#[test]
fn keys_stay_if_no_target_may_have_them() {
    use HolderStatus::Draining;
    use HolderStatus::Evacuated;
    use HolderStatus::Silent;
    let cases = [
        ("all zones are evacuated", [Evacuated, Evacuated, Evacuated]),
        ("the others drain", [Evacuated, Draining, Evacuated]),
        ("the others are silent and hold nothing", [Evacuated, Evacuated, Silent]),
    ];
    for (name, statuses) in cases {
        let zones = [("a", 6), ("b", 6)].map(|(zone, count)| (zone, count, HolderStatus::Serving));
        let mut all = candidates(&zones);
        let mut leader = Leader::new(all.clone(), 3);
        all.extend(candidates(&[("c", 6, HolderStatus::Serving)]));
        leader.candidates = all;
        leader.run_until(Duration::from_secs(2), |leader| leader.held_in("c") > 0);
        if statuses[2] == Silent {
            leader.candidates.retain(|candidate| candidate.zone.as_str() != "c");
            leader.run_until(Duration::from_secs(9), |leader| leader.held_in("c") == 0);
            leader.candidates.extend(candidates(&[("c", 6, HolderStatus::Silent)]));
        }
        leader.run_until(Duration::from_secs(2), |_| false);
        for (zone, status) in ["a", "b", "c"].into_iter().zip(statuses) {
            leader.set_status(zone, status);
        }
        let before = leader.table.clone();
        leader.outages.fill(Duration::ZERO);
        leader.run_until(Duration::from_secs(8), |_| false);
        let holders = |table: &RangeTable| -> Vec<_> {
            (0..=u16::MAX).map(|key| table.find(key).holder.clone()).collect()
        };
        assert!(holders(&leader.table) == holders(&before), "{name}");
        assert!(leader.outages.iter().all(Duration::is_zero), "{name}");
    }
}

/// Guards against zones that stay empty after their evacuation has ended, and against moves that go
/// on after that.
#[test]
fn keys_return_after_the_end_of_an_evacuation() {
    let zones = ["a", "b", "c"].map(|zone| (zone, 20, HolderStatus::Serving));
    let mut leader = Leader::new(candidates(&zones), 4);
    leader.run_until(Duration::from_secs(8), |_| false);
    leader.set_status("a", HolderStatus::Evacuated);
    leader.run_until(Duration::from_millis(400), |_| false);
    leader.set_status("a", HolderStatus::Serving);
    leader.run_until(Duration::from_secs(1), |_| false);
    assert!(leader.held_in("a") > 20, "withdrawn halfway: {}", leader.held_in("a"));
    leader.set_status("a", HolderStatus::Evacuated);
    leader.run_until(Duration::from_secs(4), |leader| leader.held_in("a") == 0);
    assert_eq!(leader.held_in("a"), 0);
    leader.set_status("a", HolderStatus::Serving);
    leader.run_until(Duration::from_secs(10), |leader| leader.held_in("a") >= 20);
    assert!(leader.held_in("a") >= 20, "{}", leader.held_in("a"));
}

/// Guards against evacuations that a new leader does not finish, or that wait for a target which
/// does not respond.
#[test]
fn evacuations_survive_the_loss_of_leaders_and_targets() {
    let cases = [("leader", 6), ("target", 9)];
    for (lost, limit) in cases {
        let zones = ["a", "b", "c"].map(|zone| (zone, 30, HolderStatus::Serving));
        let mut leader = Leader::new(candidates(&zones), 4);
        leader.run_until(Duration::from_secs(8), |_| false);
        leader.outages.fill(Duration::ZERO);
        if lost == "target" {
            leader.unresponsive = Some(holder("a", 0));
        }
        leader.set_status("a", HolderStatus::Evacuated);
        leader.run_until(Duration::from_millis(300), |_| false);
        if lost == "leader" {
            leader.restart();
        }
        let others = |leader: &Leader| leader.held_in("a") - leader.held_in("a-000");
        let time = leader.run_until(Duration::from_secs(20), |leader| others(leader) == 0);
        let all =
            time + leader.run_until(Duration::from_secs(20), |leader| leader.held_in("a") == 0);
        assert!(time <= Duration::from_secs(3), "{lost}: {time:?}");
        assert!(all <= Duration::from_secs(limit), "{lost}: {all:?}");
    }
}

/// Guards against idle ranges of a zone that all go to one target: it would be overloaded once their
/// keys are asked for.
#[test]
fn idle_ranges_are_spread_over_targets() {
    for requests in [0, 500] {
        let evacuated = candidates(&[("a", 20, HolderStatus::Evacuated)]);
        let (table, _) = busy_table(&evacuated, 10);
        let mut counts = DecayedCounts::new(START);
        counts.add(0, requests);
        let others = candidates(&[("b", 20, HolderStatus::Serving)]);
        let all = [evacuated, others].concat();
        let moves = plan_moves(&table, &all, &counts, |_| true);
        assert_eq!(moves.len(), 40);
        let received = |candidate: &RangeCandidate| {
            moves.iter().filter(|transfer| transfer.to == candidate.holder).count()
        };
        let most = all.iter().map(received).max();
        assert!(most <= Some(4), "{requests} requests: {most:?} ranges at one target");
    }
}

struct PaceCase {
    name: &'static str,
    /// Ranges of each of 100 targets in the evacuated zone.
    per_target: usize,
    /// Moves that are announced already.
    announced: usize,
    expected: usize,
}

/// Guards against ranges that are announced before they can be handed over, and against idle ranges
/// that leave before busy ones.
#[test]
fn ranges_leave_at_a_pace_the_busiest_first() {
    let case =
        |name, per_target, announced, expected| PaceCase { name, per_target, announced, expected };
    let cases = [
        case("first round", 2, 0, 40),
        case("moves in progress", 2, 25, 15),
        case("full", 2, 40, 0),
        case("an eighth of many ranges", 8, 0, 100),
    ];
    for case in cases {
        let evacuated = candidates(&[("a", 100, HolderStatus::Evacuated)]);
        let (mut table, counts) = busy_table(&evacuated, case.per_target);
        let others = candidates(&[("b", 100, HolderStatus::Serving)]);
        // The ranges at the end are announced, so that the busiest of the others can be told.
        let last = table.assignments().iter().rev().take(case.announced).cloned();
        for range in last.collect::<Vec<_>>() {
            let to = others[0].holder.clone();
            table.announce(&RangeTransfer { range: range.range, to, fence: range.fence });
        }
        let all = [evacuated, others].concat();
        let moves = plan_moves(&table, &all, &counts, |_| true);
        assert_eq!(moves.len(), case.expected, "{}", case.name);
        assert!(moves.iter().all(|transfer| transfer.to.target.as_str().starts_with('b')));
        let requests = |range: KeyRange| counts.requests_of(range);
        let moved = moves.iter().map(|transfer| requests(transfer.range));
        let least_moved = moved.fold(f64::MAX, f64::min);
        let is_moved =
            |range: KeyRange| moves.iter().any(|transfer| transfer.range.overlaps(range));
        let stays = table.assignments().iter().filter(|range| range.successor.is_none());
        let busiest_left = stays.map(|range| range.range).filter(|range| !is_moved(*range));
        let most_left = busiest_left.map(requests).fold(0.0, f64::max);
        if case.expected > 0 {
            assert!(most_left <= least_moved, "{}: {most_left} > {least_moved}", case.name);
        }
    }
}
