//! Mutual exclusion of key holders under generated schedules with delays, lost responses, late
//! orders, lost targets and leader changes.

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
use gw_ranges::TargetOrder;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

/// Distance between the keys that are checked.
const KEY_STEP: usize = 8;
const TARGETS: usize = 5;
const TICK: Duration = Duration::from_millis(25);
const SCHEDULE_DURATION: Duration = Duration::from_secs(40);

/// Seeded SplitMix64 generator, so that a schedule can be reproduced.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }
}

/// An order in flight and the times of its simulated events.
struct Delivery {
    order: TargetOrder,
    arrives_at: Timestamp,
    applied_at: Timestamp,
    /// When the sender learns the outcome; the maximum once it has given up.
    completes_at: Timestamp,
    is_answered: bool,
    /// Whether the order has taken effect, or never will because its target is lost.
    is_applied: bool,
    /// Whether the sender reports that no byte was sent.
    is_unsent: bool,
}

#[derive(Clone, Default)]
struct SimulatedTarget {
    /// Highest fencing token and end of the lease, for each checked key.
    keys: Vec<(u64, Timestamp)>,
    is_lost: bool,
    status: Option<HolderStatus>,
}

struct ScheduleCase {
    name: &'static str,
    /// Percentage of orders without a response; half of them take effect late.
    unanswered: u64,
    /// Percentage of ticks in which a new leader starts.
    new_leader: u64,
    /// Percentage of ticks in which a target starts draining, is lost or returns.
    changes: u64,
    /// Longest commit delay of a proposal, in milliseconds.
    commit_ms: u64,
    seeds: std::ops::Range<u64>,
}

struct Simulation {
    options: GranterOptions,
    random: Random,
    now: Timestamp,
    table: RangeTable,
    last_fence: u64,
    granter: RangeGranter,
    counts: DecayedCounts,
    targets: Vec<SimulatedTarget>,
    deliveries: Vec<Delivery>,
    proposals: Vec<(Timestamp, RangeCommand)>,
}

fn service() -> ServiceName {
    ServiceName::new("slips").expect("a valid name")
}

fn holder(index: usize) -> RangeHolder {
    RangeHolder { target: TargetName::new(format!("t{index}")).expect("a valid name"), run: 1 }
}

fn index_of(holder: &RangeHolder) -> usize {
    holder.target.as_str()[1..].parse().expect("a number")
}

impl Simulation {
    fn new(seed: u64, options: GranterOptions) -> Self {
        let now = Timestamp::from_millis(100_000);
        let initial = SimulatedTarget {
            keys: vec![(0, Timestamp::ZERO); 65_536 / KEY_STEP],
            ..Default::default()
        };
        Self {
            options,
            random: Random(seed),
            now,
            table: RangeTable::default(),
            last_fence: 0,
            granter: RangeGranter::new(service(), options, now),
            counts: DecayedCounts::new(now),
            targets: vec![initial; TARGETS],
            deliveries: Vec::new(),
            proposals: Vec::new(),
        }
    }

    fn candidates(&self) -> Vec<RangeCandidate> {
        let zone = ZoneName::new("a").expect("a valid name");
        let status = |target: &SimulatedTarget| match target.status {
            Some(status) => status,
            None if target.is_lost => HolderStatus::Silent,
            None => HolderStatus::Serving,
        };
        let all = self.targets.iter().enumerate();
        all.map(|(index, target)| RangeCandidate {
            holder: holder(index),
            zone: zone.clone(),
            status: status(target),
            speed: 1.0,
            is_answering: false,
        })
        .collect()
    }

    fn run_tick(&mut self, case: &ScheduleCase) {
        self.now = self.now + TICK;
        self.inject_changes(case);
        self.apply_proposals();
        self.deliver();
        let candidates = self.candidates();
        for action in self.granter.step(self.now, &self.table, &candidates, &self.counts, 100) {
            match action {
                GranterAction::Order(order) => self.send(order, case),
                GranterAction::Propose(command) => {
                    let delay = self.random.millis(1, case.commit_ms + 2);
                    // The log preserves the order of proposals.
                    let last = self.proposals.last().map_or(self.now, |(at, _)| *at);
                    self.proposals.push(((self.now + delay).max(last), command));
                }
            }
        }
    }

    fn inject_changes(&mut self, case: &ScheduleCase) {
        self.counts.advance(self.now);
        let hot = self.random.below(64) as u16;
        self.counts.add(1000 + hot, 3);
        if self.random.chance(2) {
            let hot = self.random.below(4096) as u16;
            self.counts.add(hot, 60);
        }
        if self.random.below(10_000) < case.new_leader * 100 {
            self.granter = RangeGranter::new(service(), self.options, self.now);
        }
        if self.random.below(10_000) < case.changes * 100 {
            let index = self.random.below(TARGETS as u64) as usize;
            let target = &mut self.targets[index];
            match self.random.below(3) {
                0 => target.status = Some(HolderStatus::Draining),
                1 => target.is_lost = true,
                _ => (target.status, target.is_lost) = (None, false),
            }
        }
    }

    fn apply_proposals(&mut self) {
        while self.proposals.first().is_some_and(|(at, _)| *at <= self.now) {
            let (_, command) = self.proposals.remove(0);
            match command {
                RangeCommand::Announce { moves, .. } => moves.iter().for_each(|transfer| {
                    self.table.announce(transfer);
                }),
                RangeCommand::Assign { moves, .. } => {
                    self.last_fence += 1;
                    for transfer in &moves {
                        self.table.assign(transfer, self.last_fence);
                    }
                }
            }
        }
    }

    fn send(&mut self, order: TargetOrder, case: &ScheduleCase) {
        let lost = self.targets[index_of(&order.holder)].is_lost;
        let arrives_at = self.now + self.random.millis(0, 60);
        let work = match order.kind {
            OrderKind::Grant { .. } => self.random.millis(0, 100),
            OrderKind::Release => self.random.millis(0, 900),
        };
        let is_unsent = lost && self.random.chance(50);
        let is_answered = !lost && !self.random.chance(case.unanswered);
        let late = self.random.millis(2_000, 12_000);
        let is_late = !is_answered && self.random.chance(50);
        let applied_at = if is_late { arrives_at + late } else { arrives_at };
        let completes_at =
            if is_answered { arrives_at + work } else { self.now + Duration::from_millis(1_000) };
        self.deliveries.push(Delivery {
            order,
            arrives_at,
            applied_at,
            completes_at,
            is_answered,
            is_applied: lost,
            is_unsent,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        for index in 0..self.deliveries.len() {
            let delivery = &mut self.deliveries[index];
            if !delivery.is_applied && delivery.applied_at <= now {
                delivery.is_applied = true;
                let (order, arrives_at) = (delivery.order.clone(), delivery.arrives_at);
                self.apply_order(&order, arrives_at);
            }
        }
        let done: Vec<Delivery> =
            self.deliveries.extract_if(.., |d| d.is_applied && d.completes_at <= now).collect();
        for delivery in done {
            let outcome = match delivery.is_answered {
                true => OrderOutcome::Done { handover: None },
                false if delivery.is_unsent => OrderOutcome::NotSent,
                false => OrderOutcome::Unanswered,
            };
            self.granter.order_done(now, &delivery.order, &outcome);
        }
        // The sender gives up an unanswered order long before the order takes effect.
        for index in 0..self.deliveries.len() {
            let delivery = &mut self.deliveries[index];
            if !delivery.is_answered && delivery.completes_at <= now {
                delivery.completes_at = Timestamp::MAX;
                let order = delivery.order.clone();
                self.granter.order_done(now, &order, &OrderOutcome::Unanswered);
            }
        }
        self.deliveries.retain(|d| !(d.is_applied && d.completes_at == Timestamp::MAX));
    }

    fn apply_order(&mut self, order: &TargetOrder, arrives_at: Timestamp) {
        let target = &mut self.targets[index_of(&order.holder)];
        let first = usize::from(order.range.first).div_ceil(KEY_STEP);
        let keys = first..usize::from(order.range.last) / KEY_STEP + 1;
        let is_outdated = target.keys[keys.clone()].iter().any(|(fence, _)| *fence > order.fence);
        match order.kind {
            OrderKind::Grant { .. } if is_outdated => {}
            OrderKind::Grant { hold, .. } => {
                // The target's clock runs 2% slow, so the lease lasts longer on the leader's clock.
                let until = arrives_at + hold.mul_f64(1.02);
                for key in &mut target.keys[keys] {
                    *key = (order.fence, until.max(key.1));
                }
            }
            OrderKind::Release => {
                for key in target.keys[keys].iter_mut().filter(|key| key.0 <= order.fence) {
                    *key = (order.fence, Timestamp::ZERO);
                }
            }
        }
    }

    /// Returns a key with more than one holder and those holders, if any.
    fn shared_key(&self) -> Option<(usize, Vec<usize>)> {
        (0..65_536 / KEY_STEP).find_map(|key| {
            let holds = |target: &SimulatedTarget| target.keys[key].1 > self.now;
            let holders: Vec<usize> =
                (0..TARGETS).filter(|&index| holds(&self.targets[index])).collect();
            (holders.len() > 1).then_some((key * KEY_STEP, holders))
        })
    }

    /// Runs a schedule until a key has two holders, or to its end.
    fn run_until_shared_key(&mut self, case: &ScheduleCase) -> Option<(usize, Vec<usize>)> {
        let end = self.now + SCHEDULE_DURATION;
        while self.now < end {
            self.run_tick(case);
            let shared_key = self.shared_key();
            if shared_key.is_some() {
                return shared_key;
            }
        }
        None
    }

    /// Marks the keys that have a holder now.
    fn mark_held(&self, served: &mut [bool]) {
        for (key, served) in served.iter_mut().enumerate() {
            *served |= self.targets.iter().any(|target| target.keys[key].1 > self.now);
        }
    }
}

/// Guards against two simultaneous holders of a key: during overlapping moves of adjacent ranges,
/// after lost responses and after leader changes. Also checks that every key is served again once
/// all targets have recovered.
#[test]
fn each_key_has_at_most_one_holder() {
    let cases = [
        ScheduleCase {
            name: "no failures",
            unanswered: 0,
            new_leader: 0,
            changes: 0,
            commit_ms: 10,
            seeds: 1..13,
        },
        ScheduleCase {
            name: "slow commits",
            unanswered: 0,
            new_leader: 0,
            changes: 1,
            commit_ms: 700,
            seeds: 1..13,
        },
        ScheduleCase {
            name: "unanswered orders",
            unanswered: 30,
            new_leader: 0,
            changes: 1,
            commit_ms: 30,
            seeds: 1..13,
        },
        ScheduleCase {
            name: "leader changes",
            unanswered: 10,
            new_leader: 1,
            changes: 2,
            commit_ms: 100,
            seeds: 1..25,
        },
    ];
    for case in cases {
        for seed in case.seeds.clone() {
            let mut simulation = Simulation::new(seed, GranterOptions::default());
            let shared_key = simulation.run_until_shared_key(&case);
            assert_eq!(shared_key, None, "{}, seed {seed}, {}", case.name, simulation.now);
            // With all targets recovered, every key must be served at some time during the last
            // seconds; a move may interrupt it.
            for target in &mut simulation.targets {
                (target.status, target.is_lost) = (None, false);
            }
            let quiet =
                ScheduleCase { unanswered: 0, new_leader: 0, changes: 0, seeds: 0..0, ..case };
            let end = simulation.now + Duration::from_secs(20);
            let mut served = vec![false; 65_536 / KEY_STEP];
            while simulation.now < end {
                simulation.run_tick(&quiet);
                if end.since(simulation.now) < Duration::from_secs(4) {
                    simulation.mark_held(&mut served);
                }
            }
            let unserved = served.iter().position(|served| !served);
            assert_eq!(unserved, None, "{}, seed {seed}", quiet.name);
        }
    }
}

struct FaultyGranterCase {
    name: &'static str,
    options: GranterOptions,
    schedule: ScheduleCase,
}

/// Guards against schedules that cannot find faults: a granter that assumes too short leases must
/// produce a key with two holders.
#[test]
fn schedules_detect_granters_with_too_short_leases() {
    let lost_responses = ScheduleCase {
        name: "unanswered orders",
        unanswered: 30,
        new_leader: 0,
        changes: 3,
        commit_ms: 30,
        seeds: 1..60,
    };
    let new_leaders = ScheduleCase {
        name: "leader changes",
        unanswered: 10,
        new_leader: 2,
        changes: 4,
        commit_ms: 100,
        seeds: 1..60,
    };
    let options = GranterOptions::default();
    let cases = [
        FaultyGranterCase {
            name: "leases counted 20% too short, answers are lost",
            options: GranterOptions { clock_drift: -0.2, ..options },
            schedule: lost_responses,
        },
        FaultyGranterCase {
            name: "leases counted 50% too short, leaders change",
            options: GranterOptions { clock_drift: -0.5, ..options },
            schedule: new_leaders,
        },
    ];
    for case in cases {
        let mut seeds = case.schedule.seeds.clone();
        let is_detected = seeds.any(|seed| {
            Simulation::new(seed, case.options).run_until_shared_key(&case.schedule).is_some()
        });
        assert!(is_detected, "{}: no schedule led to a key with two holders", case.name);
    }
}

/// Guards against a range that counts as released although a part of it, whose move was announced
/// later, was not released.
#[test]
fn adjacent_moves_are_not_merged() {
    use gw_ranges::RangeTransfer;
    let mut table = RangeTable::default();
    let range = |first, last| KeyRange { first, last };
    let transfer = |range, to: usize, fence| RangeTransfer { range, to: holder(to), fence };
    table.assign(&transfer(KeyRange::ALL, 0, 0), 1);
    table.announce(&transfer(range(0, 79), 1, 1));
    table.announce(&transfer(range(80, 95), 1, 1));
    let ranges: Vec<KeyRange> =
        table.assignments().iter().map(|assignment| assignment.range).collect();
    assert_eq!(ranges, [range(0, 79), range(80, 95), range(96, u16::MAX)]);
}
