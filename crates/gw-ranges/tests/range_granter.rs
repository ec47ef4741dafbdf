//! Single moves of key ranges, step by step.

use std::sync::Arc;
use std::time::Duration;

use gw_ranges::GranterAction;
use gw_ranges::GranterOptions;
use gw_ranges::HeatMap;
use gw_ranges::HolderStatus;
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

fn candidate(name: &str, status: HolderStatus) -> RangeCandidate {
    let target = TargetName::new(name).expect("a valid name");
    let zone = ZoneName::new("a").expect("a valid name");
    RangeCandidate { holder: RangeHolder { target, run: 1 }, zone, status, speed: 1.0 }
}

/// Time until a proposal is committed.
const COMMIT_TIME: Duration = Duration::from_millis(50);

/// A leader, a log, and targets that answer as told.
struct Bench {
    now: Timestamp,
    table: RangeTable,
    last_fence: u64,
    granter: RangeGranter,
    heat: HeatMap,
    candidates: Vec<RangeCandidate>,
    sent: Vec<TargetOrder>,
    /// Time until an order that cannot be sent is given up.
    unsent_time: Duration,
    /// Orders that cannot be sent, and when they are given up.
    unsent: Vec<(Timestamp, TargetOrder)>,
    proposed: Vec<(Timestamp, RangeCommand)>,
}

impl Bench {
    fn new(candidates: Vec<RangeCandidate>) -> Self {
        let now = Timestamp::from_millis(1_000);
        let service = ServiceName::new("slips").expect("a valid name");
        Self {
            now,
            table: RangeTable::default(),
            last_fence: 0,
            granter: RangeGranter::new(service, GranterOptions::default(), now),
            heat: HeatMap::new(now),
            candidates,
            sent: Vec::new(),
            unsent_time: Duration::ZERO,
            unsent: Vec::new(),
            proposed: Vec::new(),
        }
    }

    /// Runs for `time` and answers each order with what `answer` says.
    fn run(&mut self, time: Duration, answer: impl Fn(&TargetOrder) -> OrderOutcome) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            let now = self.now;
            let due = self.proposed.extract_if(.., |(at, _)| now.since(*at) >= COMMIT_TIME);
            for (_, command) in due.collect::<Vec<_>>() {
                self.commit(command);
            }
            let given_up = self.unsent.extract_if(.., |(at, _)| *at <= now);
            for (_, order) in given_up.collect::<Vec<_>>() {
                self.granter.order_done(now, &order, &OrderOutcome::NotSent);
            }
            for action in
                self.granter.step(self.now, &self.table, &self.candidates, &self.heat, 100)
            {
                match action {
                    GranterAction::Order(order) => {
                        let outcome = answer(&order);
                        self.sent.push(order.clone());
                        if outcome == OrderOutcome::NotSent {
                            self.unsent.push((now + self.unsent_time, order));
                        } else {
                            self.granter.order_done(now, &order, &outcome);
                        }
                    }
                    GranterAction::Propose(command) => self.proposed.push((self.now, command)),
                }
            }
        }
    }

    fn commit(&mut self, command: RangeCommand) {
        match command {
            RangeCommand::Announce { moves, .. } => moves.iter().for_each(|transfer| {
                self.table.announce(transfer);
            }),
            RangeCommand::Assign { moves, .. } => {
                self.last_fence += 1;
                let fence = self.last_fence;
                moves.iter().for_each(|transfer| {
                    self.table.assign(transfer, fence);
                });
            }
        }
    }

    fn holder_name(&self) -> String {
        let holder = self.table.find(7).holder.as_ref();
        holder.map_or_else(String::new, |holder| holder.target.to_string())
    }
}

fn done(order: &TargetOrder) -> OrderOutcome {
    let is_release = order.kind == OrderKind::Release;
    OrderOutcome::Done { handover: is_release.then(|| Arc::from("token")) }
}

/// Guards against keys that arrive cold although their last holder gave a handover token.
#[test]
fn handover_token_reaches_the_next_holder() {
    let mut bench = Bench::new(vec![candidate("t1", HolderStatus::Serving)]);
    bench.run(Duration::from_secs(1), done);
    assert_eq!(bench.holder_name(), "t1");
    bench.candidates =
        vec![candidate("t1", HolderStatus::Leaving), candidate("t2", HolderStatus::Serving)];
    bench.run(Duration::from_secs(1), done);
    assert_eq!(bench.holder_name(), "t2");
    let grants = bench.sent.iter().filter(|order| order.holder.target.as_str() == "t2");
    let tokens: Vec<_> = grants
        .map(|order| match &order.kind {
            OrderKind::Grant { handover, .. } => handover.as_deref(),
            OrderKind::Release => None,
        })
        .collect();
    assert_eq!(tokens.first(), Some(&Some("token")));
}

struct LossCase {
    name: &'static str,
    /// What the holder answers once it is lost.
    answer: fn(&TargetOrder) -> OrderOutcome,
    /// Earliest and latest time after which another target has the keys.
    within: (Duration, Duration),
}

/// Guards against keys that are given away before their last holder's time is over, and against
/// keys that stay without a holder.
#[test]
fn lost_holders_are_waited_for() {
    let options = GranterOptions::default();
    let cases = [
        LossCase {
            name: "silent",
            answer: |_| OrderOutcome::NotSent,
            within: (
                options.lease_duration - options.renewal_interval,
                options.max_lease_duration() + options.lease_duration / 2,
            ),
        },
        LossCase {
            name: "answers are missing",
            answer: |_| OrderOutcome::Unanswered,
            within: (
                options.lease_duration,
                options.max_lease_duration() + options.lease_duration / 2,
            ),
        },
        LossCase {
            name: "leaves properly",
            answer: done,
            within: (Duration::ZERO, Duration::from_secs(1)),
        },
    ];
    for case in cases {
        let mut bench = Bench::new(vec![candidate("t1", HolderStatus::Serving)]);
        bench.run(Duration::from_secs(2), done);
        let status = match case.name {
            "leaves properly" => HolderStatus::Leaving,
            _ => HolderStatus::Silent,
        };
        bench.candidates = vec![candidate("t1", status), candidate("t2", HolderStatus::Serving)];
        let lost = bench.now;
        while bench.holder_name() != "t2" && bench.now.since(lost) < Duration::from_secs(60) {
            let answer = case.answer;
            bench.run(Duration::from_millis(50), |order| match order.holder.target.as_str() {
                "t1" => answer(order),
                _ => done(order),
            });
        }
        let time = bench.now.since(lost);
        assert!(time >= case.within.0 && time <= case.within.1, "{}: {time:?}", case.name);
    }
}

struct TakeoverCase {
    name: &'static str,
    /// What is believed of the holder once the new leader has started.
    status: HolderStatus,
    /// What the holder answers to the new leader.
    answer: fn(&TargetOrder) -> OrderOutcome,
    /// Who is to have the keys.
    holder: &'static str,
    within: Duration,
}

/// Guards against keys that nobody serves for as long as a hold because the leader was lost while
/// they moved: their holder has released them already.
#[test]
fn moves_of_a_lost_leader_are_taken_back() {
    let options = GranterOptions::default();
    let cases = [
        TakeoverCase {
            name: "the holder stays",
            status: HolderStatus::Serving,
            answer: done,
            holder: "t1",
            within: Duration::from_millis(300),
        },
        TakeoverCase {
            name: "the holder leaves",
            status: HolderStatus::Leaving,
            answer: done,
            holder: "t2",
            within: Duration::from_secs(1),
        },
        TakeoverCase {
            name: "the holder leaves and cannot be reached",
            status: HolderStatus::Leaving,
            answer: |_| OrderOutcome::NotSent,
            holder: "t2",
            within: options.max_lease_duration()
                + options.takeover_slack
                + Duration::from_millis(500),
        },
    ];
    for case in cases {
        let mut bench = Bench::new(vec![candidate("t1", HolderStatus::Serving)]);
        bench.run(Duration::from_secs(1), done);
        bench.candidates =
            vec![candidate("t1", HolderStatus::Leaving), candidate("t2", HolderStatus::Serving)];
        while bench.sent.last().is_none_or(|order| order.kind != OrderKind::Release) {
            bench.run(Duration::from_millis(10), done);
        }
        // The assignment that would end the move is lost with the leader.
        bench.proposed.clear();
        bench.sent.clear();
        bench.candidates[0] = candidate("t1", case.status);
        // A connection that is not made, and one by way of another host.
        bench.unsent_time = Duration::from_millis(1_650);
        let service = ServiceName::new("slips").expect("a valid name");
        bench.granter = RangeGranter::new(service, GranterOptions::default(), bench.now);
        let answer = case.answer;
        bench.run(case.within, |order| match order.holder.target.as_str() {
            "t1" => answer(order),
            _ => done(order),
        });
        let grants = bench.sent.iter().filter(|order| order.kind != OrderKind::Release);
        let last = grants.map(|order| order.holder.target.as_str()).next_back();
        assert_eq!(last, Some(case.holder), "{}: last grant", case.name);
        assert_eq!(bench.holder_name(), case.holder, "{}: table", case.name);
    }
}
