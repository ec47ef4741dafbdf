use std::sync::Arc;
use std::time::Duration;

use gw_types::ServiceName;
use gw_types::Timestamp;

use crate::GranterOptions;
use crate::HeatMap;
use crate::HolderStatus;
use crate::KeyRange;
use crate::OrderKind;
use crate::OrderOutcome;
use crate::RangeCandidate;
use crate::RangeCommand;
use crate::RangeHolder;
use crate::RangeTable;
use crate::RangeTransfer;
use crate::TargetOrder;
use crate::plan_moves;
use crate::range_lease::MoveStage;
use crate::range_lease::RangeLease;

/// Time after which a proposal that had no effect is made again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time until a silent holder is tried again under a new fencing token. Longer than it takes to
/// plan and to commit.
const SILENT_RETRY: Duration = Duration::from_millis(1_200);
/// Time in which a holder that answers settles a grant in doubt: a commit and a grant.
const DOUBT_TIME: Duration = Duration::from_secs(1);
/// Orders in a row that must fail before a silent holder is given up.
const GIVE_UP_FAILURES: u32 = 3;

/// The handover token of a range, until its next holder has it.
#[derive(Clone, Debug)]
struct KeptHandover {
    range: KeyRange,
    /// The fencing token of the holder that gave it.
    fence: u64,
    token: Arc<str>,
}

/// What the leader has to do for a granter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GranterAction {
    /// Send an order and report its outcome.
    Order(TargetOrder),
    /// Put a change of the table into the replicated log.
    Propose(RangeCommand),
}

/// Grants the ranges of one service to their holders and moves them, on the leader.
///
/// Invariant: [`RangeCommand::Assign`] is proposed for held keys only when their holder has
/// confirmed the release and no grant without an answer can still take effect, or when its last
/// possible hold has run out.
///
/// A new granter does not know what earlier leaders granted last, and takes it that they granted
/// everything just before it started.
#[derive(Debug)]
pub struct RangeGranter {
    service: ServiceName,
    options: GranterOptions,
    /// Sorted by range; follows the table.
    leases: Vec<RangeLease>,
    /// Handover tokens of ranges that were released and not granted again yet.
    handovers: Vec<KeptHandover>,
    next_number: u64,
    next_plan: Timestamp,
    /// Whether the table was not looked at yet.
    is_fresh: bool,
}

impl RangeGranter {
    /// A granter of a leader that starts `now`.
    pub fn new(service: ServiceName, options: GranterOptions, now: Timestamp) -> Self {
        // Orders of an earlier granter of this process may still be under way.
        let next_number = now.as_nanos();
        let (leases, handovers) = (Vec::new(), Vec::new());
        Self { service, options, leases, handovers, next_number, next_plan: now, is_fresh: true }
    }

    /// The service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Orders in a row to `holder` that failed.
    pub fn consecutive_failures(&self, holder: &RangeHolder) -> u32 {
        let held = self.leases.iter().filter(|lease| lease.holder == *holder);
        held.map(|lease| lease.failures).min().unwrap_or(0)
    }

    /// Orders that are under way.
    pub fn orders_in_flight(&self) -> usize {
        self.leases.iter().filter(|lease| lease.order.is_some()).count()
    }

    /// Follows the replicated table and returns what is due, with at most `max_orders` orders; the
    /// rest is due at the next step. `candidates` are sorted by holder.
    pub fn step(
        &mut self,
        now: Timestamp,
        table: &RangeTable,
        candidates: &[RangeCandidate],
        heat: &HeatMap,
        max_orders: usize,
    ) -> Vec<GranterAction> {
        self.follow_table(now, table);
        let mut actions = Vec::new();
        // Those that have waited longest go first.
        let mut due: Vec<usize> = (0..self.leases.len()).collect();
        due.sort_by_key(|&index| self.leases[index].next_order);
        let mut left = max_orders;
        for index in due {
            let before = actions.len();
            self.step_lease(now, index, table, candidates, left > 0, &mut actions);
            let is_order = |action: &GranterAction| matches!(action, GranterAction::Order(_));
            left -= actions[before..].iter().filter(|action| is_order(action)).count();
        }
        if now >= self.next_plan {
            self.mark_neighbours(now);
        }
        self.renew_fences(now, &mut actions);
        if now >= self.next_plan {
            self.next_plan = now + self.options.plan_interval;
            self.plan(now, table, candidates, heat, &mut actions);
        }
        actions
    }

    fn follow_table(&mut self, now: Timestamp, table: &RangeTable) {
        let old = std::mem::take(&mut self.leases);
        let is_fresh = std::mem::take(&mut self.is_fresh);
        let slack = if is_fresh { self.options.takeover_slack } else { Duration::ZERO };
        let longest_hold = self.options.max_lease_duration() + slack;
        for held in table.assignments() {
            let Some(holder) = &held.holder else { continue };
            let overlapping = overlapping(&old, held.range);
            let same = overlapping
                .iter()
                .filter(|lease| lease.holder == *holder && lease.fence == held.fence);
            // Doubts about earlier grants to the same holder, and its silence, outlive their
            // fencing token.
            let earlier = overlapping.iter().filter(|lease| lease.holder == *holder);
            let doubt = earlier.clone().map(|lease| lease.unanswered_until).max();
            // Nothing was granted under the new token yet.
            let is_quiet = earlier.clone().all(|lease| lease.order.is_none());
            let known_hold = earlier.clone().map(|lease| lease.held_until).max();
            let known_hold = known_hold.filter(|_| is_quiet);
            let failures = earlier.map(|lease| lease.failures).max().unwrap_or(0);
            let mut lease = same.clone().next().cloned().unwrap_or_else(|| RangeLease {
                range: held.range,
                holder: holder.clone(),
                fence: held.fence,
                held_until: known_hold.unwrap_or(now + longest_hold),
                held_before: now,
                since: now,
                unanswered_until: if is_fresh { now + longest_hold } else { doubt.unwrap_or(now) },
                next_order: now,
                order: None,
                is_releasing: false,
                failures,
                is_granted: false,
                needs_fence: is_fresh,
                stage: MoveStage::Held,
                takes_back: is_fresh && held.successor.is_some(),
                handover: None,
                proposed: None,
            });
            for part in same.skip(1) {
                lease.held_until = lease.held_until.max(part.held_until);
                lease.held_before = lease.held_before.max(part.held_until);
                lease.unanswered_until = lease.unanswered_until.max(part.unanswered_until);
                lease.is_releasing &= part.is_releasing || part.order.is_none();
                lease.order = lease.order.or(part.order);
            }
            if !lease.range.covers(held.range) && lease.stage != MoveStage::Held {
                // Only a part of the range was released.
                lease.stage = MoveStage::Held;
            }
            if lease.range != held.range {
                lease.range = held.range;
                lease.next_order = now;
            }
            match (&held.successor, &lease.stage) {
                (Some(_), MoveStage::Held) if !lease.takes_back => {
                    let until = now + self.options.release_delay;
                    lease.stage = MoveStage::Settling { until };
                    lease.proposed = None;
                    lease.next_order = until;
                }
                (None, MoveStage::Settling { .. } | MoveStage::Released { .. }) => {
                    lease.stage = MoveStage::Held;
                    lease.next_order = now;
                }
                _ => {}
            }
            if !lease.is_granted && lease.handover.is_none() {
                let kept = self
                    .handovers
                    .iter()
                    .find(|kept| kept.range.covers(lease.range) && kept.fence < lease.fence);
                lease.handover = kept.map(|kept| kept.token.clone());
            }
            self.leases.push(lease);
        }
        let leases = &self.leases;
        self.handovers.retain(|kept| {
            let mut over = overlapping(leases, kept.range).iter();
            over.any(|lease| lease.fence <= kept.fence || !lease.is_granted)
        });
    }

    fn step_lease(
        &mut self,
        now: Timestamp,
        index: usize,
        table: &RangeTable,
        candidates: &[RangeCandidate],
        may_order: bool,
        actions: &mut Vec<GranterAction>,
    ) {
        let status = status_of(&self.leases[index].holder, candidates);
        let lease = &mut self.leases[index];
        if lease.proposed.is_some_and(|at| now.since(at) > PROPOSAL_TIMEOUT) {
            lease.proposed = None;
        }
        let kind = match &lease.stage {
            MoveStage::Held if lease.needs_fence => return,
            MoveStage::Held => {
                if status == HolderStatus::Ended {
                    return;
                }
                let hold = self.options.lease_duration;
                OrderKind::Grant { hold, handover: lease.handover.clone() }
            }
            MoveStage::Settling { until } => {
                if now < *until || (lease.order.is_some() && !lease.is_releasing) {
                    return;
                }
                // Also a run that has ended is released: a later run at its address may have taken
                // a grant that was meant for it.
                if now >= lease.held_until {
                    lease.stage = MoveStage::Released { handover: None };
                    lease.unanswered_until = now;
                    return self.finish_move(now, index, table, actions);
                }
                OrderKind::Release
            }
            MoveStage::Released { .. } => {
                return self.finish_move(now, index, table, actions);
            }
        };
        if lease.order.is_some() || now < lease.next_order || !may_order {
            return;
        }
        let number = self.next_number;
        self.next_number += 1;
        lease.order = Some(number);
        lease.is_releasing = kind == OrderKind::Release;
        if matches!(kind, OrderKind::Grant { .. }) {
            lease.held_before = lease.held_until;
            lease.held_until = lease.held_until.max(now + self.options.max_lease_duration());
        }
        actions.push(GranterAction::Order(TargetOrder {
            number,
            holder: lease.holder.clone(),
            service: self.service.clone(),
            range: lease.range,
            fence: lease.fence,
            kind,
        }));
    }

    /// Marks neighbouring ranges of one holder for a common fencing token, which makes them one
    /// range with one renewal.
    fn mark_neighbours(&mut self, now: Timestamp) {
        let is_calm = |lease: &RangeLease| {
            lease.stage == MoveStage::Held && lease.is_granted && lease.proposed.is_none()
        };
        for index in 1..self.leases.len() {
            let (lower, upper) = (&self.leases[index - 1], &self.leases[index]);
            if lower.holder == upper.holder && is_calm(lower) && is_calm(upper) {
                for lease in &mut self.leases[index - 1..=index] {
                    lease.needs_fence = true;
                    lease.next_order = now;
                }
            }
        }
    }

    /// Proposes new fencing tokens for the holders whose tokens must not be used again. One command
    /// gives one token to all, so that neighbours of one holder become one range.
    fn renew_fences(&mut self, now: Timestamp, actions: &mut Vec<GranterAction>) {
        let due = self.leases.iter_mut().filter(|lease| {
            lease.needs_fence
                && lease.stage == MoveStage::Held
                && lease.proposed.is_none()
                && lease.order.is_none()
                && now >= lease.next_order
        });
        let moves: Vec<_> = due
            .map(|lease| {
                lease.proposed = Some(now);
                RangeTransfer { range: lease.range, to: lease.holder.clone(), fence: lease.fence }
            })
            .collect();
        if !moves.is_empty() {
            let service = self.service.clone();
            actions.push(GranterAction::Propose(RangeCommand::Assign { service, moves }));
        }
    }

    fn finish_move(
        &mut self,
        now: Timestamp,
        index: usize,
        table: &RangeTable,
        actions: &mut Vec<GranterAction>,
    ) {
        let lease = &mut self.leases[index];
        if now < lease.unanswered_until || lease.proposed.is_some() {
            return;
        }
        let successor = table.find(lease.range.first).successor.clone();
        let (MoveStage::Released { handover }, Some(to)) = (&lease.stage, successor) else {
            return;
        };
        if let Some(token) = handover {
            let (range, fence, token) = (lease.range, lease.fence, token.clone());
            self.handovers.retain(|kept| !range.overlaps(kept.range));
            self.handovers.push(KeptHandover { range, fence, token });
        }
        lease.proposed = Some(now);
        let moves = vec![RangeTransfer { range: lease.range, to, fence: lease.fence }];
        let service = self.service.clone();
        actions.push(GranterAction::Propose(RangeCommand::Assign { service, moves }));
    }

    /// Takes the outcome of an order. `now` is when the sender was done with it: an order that was
    /// given up cannot arrive after that.
    pub fn order_done(&mut self, now: Timestamp, order: &TargetOrder, outcome: &OrderOutcome) {
        let longest_hold = self.options.max_lease_duration();
        let (retry, renewal) = (self.options.retry_interval, self.options.renewal_interval);
        let parts = self.leases.iter_mut().filter(|lease| {
            lease.range.overlaps(order.range)
                && lease.holder == order.holder
                && lease.fence == order.fence
        });
        for lease in parts {
            let is_grant = matches!(order.kind, OrderKind::Grant { .. });
            if lease.order == Some(order.number) {
                lease.order = None;
                if is_grant && *outcome == OrderOutcome::NotSent {
                    lease.held_until = lease.held_before;
                }
            }
            lease.failures = match outcome {
                OrderOutcome::Done { .. } | OrderOutcome::Refused => 0,
                OrderOutcome::Unanswered | OrderOutcome::NotSent => lease.failures + 1,
            };
            match outcome {
                OrderOutcome::Done { .. } if is_grant => {
                    lease.held_until = lease.held_until.max(now + longest_hold);
                    lease.held_before = lease.held_until;
                    lease.is_granted = true;
                    lease.handover = None;
                    if !lease.needs_fence {
                        lease.unanswered_until = now;
                    }
                    if lease.stage == MoveStage::Held {
                        lease.next_order = now + renewal;
                    }
                }
                OrderOutcome::Done { handover } => {
                    if matches!(lease.stage, MoveStage::Settling { .. }) {
                        lease.stage = MoveStage::Released { handover: handover.clone() };
                    }
                }
                OrderOutcome::Unanswered if is_grant => {
                    lease.held_until = lease.held_until.max(now + longest_hold);
                    lease.held_before = lease.held_until;
                    lease.unanswered_until = lease.unanswered_until.max(now + longest_hold);
                    lease.needs_fence = true;
                    // A holder that stays silent is planned away before it is tried again.
                    let is_silent = lease.failures >= GIVE_UP_FAILURES;
                    lease.next_order = if is_silent { now + SILENT_RETRY } else { now };
                }
                OrderOutcome::Refused if is_grant => lease.needs_fence = true,
                _ => lease.next_order = now + retry,
            }
        }
    }

    /// Whether the range cannot change hands before a grant in doubt is over, although its holder
    /// still answers and may settle the doubt under a new fencing token.
    fn is_in_doubt(
        &self,
        now: Timestamp,
        transfer: &RangeTransfer,
        candidates: &[RangeCandidate],
    ) -> bool {
        let leases = overlapping(&self.leases, transfer.range).iter();
        let mut doubtful = leases.filter(|lease| now < lease.unanswered_until);
        doubtful.any(|lease| {
            let status = status_of(&lease.holder, candidates);
            let answers = matches!(status, HolderStatus::Serving | HolderStatus::Leaving);
            answers && lease.failures == 0 && now.since(lease.since) < DOUBT_TIME
        })
    }

    fn plan(
        &mut self,
        now: Timestamp,
        table: &RangeTable,
        candidates: &[RangeCandidate],
        heat: &HeatMap,
        actions: &mut Vec<GranterAction>,
    ) {
        let mut seen = candidates.to_vec();
        for candidate in &mut seen {
            // A holder that takes grants is alive, whatever else is heard of it.
            if candidate.status == HolderStatus::Silent
                && self.consecutive_failures(&candidate.holder) < GIVE_UP_FAILURES
            {
                candidate.status = HolderStatus::Leaving;
                if self.leases.iter().any(|lease| lease.holder == candidate.holder) {
                    candidate.status = HolderStatus::Serving;
                }
            }
        }
        let moves = plan_moves(table, &seen, heat, |held| {
            // Keys of a holder with a grant in doubt could not be served until the doubt is over.
            let lease = self.leases.binary_search_by(|lease| lease.range.cmp(&held.range));
            lease
                .map(|index| &self.leases[index])
                .is_ok_and(|lease| lease.is_granted && now >= lease.unanswered_until)
        });
        let (first, later): (Vec<_>, Vec<_>) = moves
            .into_iter()
            .filter(|transfer| !self.is_in_doubt(now, transfer, &seen))
            .partition(|transfer| table.find(transfer.range.first).holder.is_none());
        let service = &self.service;
        if !first.is_empty() {
            let (service, moves) = (service.clone(), first);
            actions.push(GranterAction::Propose(RangeCommand::Assign { service, moves }));
        }
        if !later.is_empty() {
            let (service, moves) = (service.clone(), later);
            actions.push(GranterAction::Propose(RangeCommand::Announce { service, moves }));
        }
    }
}

/// What is believed of `holder`. A holder that nobody announces any more may still run.
/// `candidates` are sorted by holder, so that the runs of one target are next to each other.
fn status_of(holder: &RangeHolder, candidates: &[RangeCandidate]) -> HolderStatus {
    let first = candidates.partition_point(|candidate| candidate.holder < *holder);
    let runs = &candidates[first..];
    let is_same_target = |candidate: &&RangeCandidate| candidate.holder.target == holder.target;
    match runs.iter().take_while(is_same_target).last() {
        Some(last) if last.holder.run > holder.run => HolderStatus::Ended,
        Some(same) => same.status,
        None => HolderStatus::Silent,
    }
}

/// The leases for keys of `range`. `leases` are sorted by range and have no key in common.
fn overlapping(leases: &[RangeLease], range: KeyRange) -> &[RangeLease] {
    let first = leases.partition_point(|lease| lease.range.last < range.first);
    let end = leases.partition_point(|lease| lease.range.first <= range.last);
    &leases[first..end]
}
