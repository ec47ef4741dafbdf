//! Moves of single key ranges, step by step.

use std::sync::Arc;
use std::time::Duration;

use gw_ranges::DecayedCounts;
use gw_ranges::GranterAction;
use gw_ranges::GranterOptions;
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
    RangeCandidate {
        holder: RangeHolder { target, run: 1 },
        zone,
        status,
        speed: 1.0,
        is_answering: false,
    }
}

/// Delay until a proposal is committed.
const COMMIT_TIME: Duration = Duration::from_millis(50);

/// A granter with a simulated log and targets whose responses a test chooses.
struct Harness {
    now: Timestamp,
    table: RangeTable,
    last_fence: u64,
    granter: RangeGranter,
    counts: DecayedCounts,
    candidates: Vec<RangeCandidate>,
    sent: Vec<TargetOrder>,
    /// Time after which the sender gives up an order that cannot be sent.
    unsent_time: Duration,
    /// Orders that cannot be sent, with the time at which the sender gives up.
    unsent: Vec<(Timestamp, TargetOrder)>,
    proposed: Vec<(Timestamp, RangeCommand)>,
}

impl Harness {
    fn new(candidates: Vec<RangeCandidate>) -> Self {
        let now = Timestamp::from_millis(1_000);
        let service = ServiceName::new("slips").expect("a valid name");
        Self {
            now,
            table: RangeTable::default(),
            last_fence: 0,
            granter: RangeGranter::new(service, GranterOptions::default(), now),
            counts: DecayedCounts::new(now),
            candidates,
            sent: Vec::new(),
            unsent_time: Duration::ZERO,
            unsent: Vec::new(),
            proposed: Vec::new(),
        }
    }

    /// Advances the time by `time` and completes each order with the outcome that `respond`
    /// returns.
    fn run(&mut self, time: Duration, respond: impl Fn(&TargetOrder) -> OrderOutcome) {
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
                self.granter.step(self.now, &self.table, &self.candidates, &self.counts, 100)
            {
                match action {
                    GranterAction::Order(order) => {
                        let outcome = respond(&order);
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

/// Guards against a new holder that has to warm up although the previous one returned a handover
/// token.
#[test]
fn handover_token_reaches_the_next_holder() {
    let mut harness = Harness::new(vec![candidate("t1", HolderStatus::Serving)]);
    harness.run(Duration::from_secs(1), done);
    assert_eq!(harness.holder_name(), "t1");
    harness.candidates =
        vec![candidate("t1", HolderStatus::Draining), candidate("t2", HolderStatus::Serving)];
    harness.run(Duration::from_secs(1), done);
    assert_eq!(harness.holder_name(), "t2");
    let grants = harness.sent.iter().filter(|order| order.holder.target.as_str() == "t2");
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
    /// Outcome of orders to the holder once it is lost.
    respond: fn(&TargetOrder) -> OrderOutcome,
    /// Earliest and latest time after which another target holds the keys.
    within: (Duration, Duration),
}

/// Guards against keys that are reassigned before the lease of a lost holder has expired, and
/// against keys that stay without a holder.
#[test]
fn keys_of_a_lost_holder_wait_for_its_lease() {
    let options = GranterOptions::default();
    let cases = [
        LossCase {
            name: "unreachable",
            respond: |_| OrderOutcome::NotSent,
            within: (
                options.lease_duration - options.renewal_interval,
                options.worst_case_lease_duration() + options.lease_duration / 2,
            ),
        },
        LossCase {
            name: "orders are not answered",
            respond: |_| OrderOutcome::Unanswered,
            within: (
                options.lease_duration,
                options.worst_case_lease_duration() + options.lease_duration / 2,
            ),
        },
        LossCase {
            name: "releases its keys",
            respond: done,
            within: (Duration::ZERO, Duration::from_secs(1)),
        },
    ];
    for case in cases {
        let mut harness = Harness::new(vec![candidate("t1", HolderStatus::Serving)]);
        harness.run(Duration::from_secs(2), done);
        let status = match case.name {
            "releases its keys" => HolderStatus::Draining,
            _ => HolderStatus::Silent,
        };
        harness.candidates = vec![candidate("t1", status), candidate("t2", HolderStatus::Serving)];
        let lost = harness.now;
        while harness.holder_name() != "t2" && harness.now.since(lost) < Duration::from_secs(60) {
            let respond = case.respond;
            harness.run(Duration::from_millis(50), |order| match order.holder.target.as_str() {
                "t1" => respond(order),
                _ => done(order),
            });
        }
        let time = harness.now.since(lost);
        assert!(time >= case.within.0 && time <= case.within.1, "{}: {time:?}", case.name);
    }
}

struct TakeoverCase {
    name: &'static str,
    /// Status of the holder after the new leader has started.
    status: HolderStatus,
    /// Outcome of the new leader's orders to the holder.
    respond: fn(&TargetOrder) -> OrderOutcome,
    /// Target that must hold the keys in the end.
    holder: &'static str,
    /// Time limit after the start of the new leader.
    within: Duration,
}

/// Guards against keys that nobody serves for a whole lease duration after the leader was lost
/// during their move, when the holder had released them already.
#[test]
fn moves_of_a_lost_leader_are_cancelled() {
    let options = GranterOptions::default();
    let cases = [
        TakeoverCase {
            name: "the holder stays",
            status: HolderStatus::Serving,
            respond: done,
            holder: "t1",
            within: Duration::from_millis(300),
        },
        TakeoverCase {
            name: "the holder drains",
            status: HolderStatus::Draining,
            respond: done,
            holder: "t2",
            within: Duration::from_secs(1),
        },
        TakeoverCase {
            name: "the holder drains and is unreachable",
            status: HolderStatus::Draining,
            respond: |_| OrderOutcome::NotSent,
            holder: "t2",
            within: options.worst_case_lease_duration()
                + options.takeover_slack
                + Duration::from_millis(500),
        },
    ];
    for case in cases {
        let mut harness = Harness::new(vec![candidate("t1", HolderStatus::Serving)]);
        harness.run(Duration::from_secs(1), done);
        harness.candidates =
            vec![candidate("t1", HolderStatus::Draining), candidate("t2", HolderStatus::Serving)];
        while harness.sent.last().is_none_or(|order| order.kind != OrderKind::Release) {
            harness.run(Duration::from_millis(10), done);
        }
        // The proposal that would complete the move is lost with the leader.
        harness.proposed.clear();
        harness.sent.clear();
        harness.candidates[0] = candidate("t1", case.status);
        // The sender gives up after a failed direct connection and one relayed by another host.
        harness.unsent_time = Duration::from_millis(1_650);
        let service = ServiceName::new("slips").expect("a valid name");
        harness.granter = RangeGranter::new(service, GranterOptions::default(), harness.now);
        let respond = case.respond;
        harness.run(case.within, |order| match order.holder.target.as_str() {
            "t1" => respond(order),
            _ => done(order),
        });
        let grants = harness.sent.iter().filter(|order| order.kind != OrderKind::Release);
        let last = grants.map(|order| order.holder.target.as_str()).next_back();
        assert_eq!(last, Some(case.holder), "{}: last grant", case.name);
        assert_eq!(harness.holder_name(), case.holder, "{}: table", case.name);
    }
}

struct RestartCase {
    name: &'static str,
    /// Outcome of the last grants to the earlier run, and of its release.
    last_grants: OrderOutcome,
    release: OrderOutcome,
    has_new_leader: bool,
}

/// Guards against a later run of a target that gets a token which its earlier run had: the target
/// could take a repeated order meant for the earlier run for its own grant.
#[test]
fn later_runs_get_higher_tokens() {
    let done = || OrderOutcome::Done { handover: None };
    let case = |name, last_grants, release, has_new_leader| RestartCase {
        name,
        last_grants,
        release,
        has_new_leader,
    };
    let cases = [
        case("released", done(), done(), false),
        case("the release is not answered", done(), OrderOutcome::Unanswered, false),
        case("a grant is uncertain", OrderOutcome::Unanswered, done(), false),
        case("the release cannot be sent", OrderOutcome::NotSent, OrderOutcome::NotSent, false),
        case("a new leader", done(), done(), true),
    ];
    for case in cases {
        let mut harness = Harness::new(vec![candidate("t1", HolderStatus::Serving)]);
        harness.run(Duration::from_secs(3), |_| done());
        harness.run(Duration::from_secs(1), |_| case.last_grants.clone());
        harness.candidates[0].holder.run = 2;
        if case.has_new_leader {
            let service = ServiceName::new("slips").expect("a valid name");
            harness.granter = RangeGranter::new(service, GranterOptions::default(), harness.now);
        }
        harness.run(Duration::from_secs(15), |order| match (order.holder.run, &order.kind) {
            (1, OrderKind::Release) => case.release.clone(),
            _ => done(),
        });
        let fences = |run: u64| {
            let of_run = harness.sent.iter().filter(move |order| order.holder.run == run);
            of_run.map(|order| order.fence)
        };
        let (highest, lowest) = (fences(1).max(), fences(2).min());
        assert!(highest.is_some() && lowest > highest, "{}: {highest:?} {lowest:?}", case.name);
    }
}
