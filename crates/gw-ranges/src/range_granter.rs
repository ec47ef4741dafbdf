use std::sync::Arc;
use std::time::Duration;

use gw_types::ServiceName;
use gw_types::Timestamp;

use crate::DecayedCounts;
use crate::GranterOptions;
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
use crate::failing_holders::FailingHolders;
use crate::failing_holders::UNRESPONSIVE_FAILURES;
use crate::plan_moves;
use crate::range_lease::MoveStage;
use crate::range_lease::RangeLease;

/// Time within which a target that works responds to a grant, over a new connection to another zone.
const RESPONSE_TIME: Duration = Duration::from_millis(150);
/// Renewals per second from which the time between renewals grows.
const MAX_RENEWALS_PER_SECOND: f64 = 400.0;
/// Longest time between renewals, as a fraction of the lease duration: one that is not answered can
/// be repeated before the lease runs out.
const MAX_RENEWAL_SHARE: f64 = 0.4;
/// Time after which a proposal without a visible effect is repeated.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before an unresponsive holder is granted a new fencing token. Long enough for the planner
/// to announce a move of its ranges and for the announcement to be committed.
const UNRESPONSIVE_RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Time in which a responsive holder resolves an uncertain grant: the commit of a new fencing token
/// and one grant under it.
const UNCERTAIN_GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// Handover token of a released range, kept until its next holder has received it.
#[derive(Clone, Debug)]
struct PendingHandover {
    range: KeyRange,
    /// Fencing token of the holder that returned the handover token.
    fence: u64,
    token: Arc<str>,
}

/// Action that the leader has to carry out for a granter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GranterAction {
    /// Send the order and report its outcome to [`RangeGranter::order_done`].
    Order(TargetOrder),
    /// Propose the command to the replicated log.
    Propose(RangeCommand),
}

/// Grants leases on the ranges of one service and moves ranges between holders. Runs on the leader.
///
/// Invariant: [`RangeCommand::Assign`] to another holder is proposed only when the current holder
/// has confirmed the release and no unanswered grant can still take effect, or when the last
/// possible lease of the current holder has expired.
///
/// A new granter does not know the last grants of earlier leaders. It assumes that they granted
/// every range just before it started.
#[derive(Debug)]
pub struct RangeGranter {
    service: ServiceName,
    options: GranterOptions,
    /// Sorted by range; one for each assignment that has a holder.
    leases: Vec<RangeLease>,
    /// Handover tokens of released ranges that are not granted again yet.
    handovers: Vec<PendingHandover>,
    failing: FailingHolders,
    next_number: u64,
    next_plan: Timestamp,
    /// Whether the granter has not seen the table yet.
    is_first_step: bool,
}

impl RangeGranter {
    /// Creates the granter of a leader that starts at `now`.
    pub fn new(service: ServiceName, options: GranterOptions, now: Timestamp) -> Self {
        // Starting at the clock keeps numbers apart from those of an earlier granter of this
        // process, whose orders may still be in flight.
        let next_number = now.as_nanos();
        let (leases, handovers) = (Vec::new(), Vec::new());
        Self {
            service,
            options,
            leases,
            handovers,
            failing: FailingHolders::default(),
            next_number,
            next_plan: now,
            is_first_step: true,
        }
    }

    /// Returns the service whose ranges are granted.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the smallest number of consecutive failed orders over the ranges of `holder`; 0 if
    /// it holds none.
    pub fn consecutive_failures(&self, holder: &RangeHolder) -> u32 {
        let leases = self.leases.iter().filter(|lease| lease.holder == *holder);
        leases.map(|lease| lease.consecutive_failures).min().unwrap_or(0)
    }

    /// Returns the number of orders that were sent a short time ago and have not completed. Orders to
    /// targets that do not respond wait without work for the leader, so older ones do not count.
    pub fn orders_in_flight(&self, now: Timestamp) -> usize {
        let is_recent = |lease: &&RangeLease| {
            lease.pending_order.is_some() && now.since(lease.ordered_at) < RESPONSE_TIME
        };
        self.leases.iter().filter(is_recent).count()
    }

    /// Synchronizes with the replicated table and returns the actions that are due, with at most
    /// `max_orders` orders; further orders follow at the next step. `candidates` must be sorted by
    /// holder.
    pub fn step(
        &mut self,
        now: Timestamp,
        table: &RangeTable,
        candidates: &[RangeCandidate],
        counts: &DecayedCounts,
        max_orders: usize,
    ) -> Vec<GranterAction> {
        self.sync_with_table(now, table);
        let mut actions = Vec::new();
        // The longest overdue leases come first, since the number of orders is limited.
        let mut due: Vec<usize> = (0..self.leases.len()).collect();
        due.sort_by_key(|&index| self.leases[index].next_order_at);
        let mut remaining_orders = max_orders;
        let mut released = Vec::new();
        for index in due {
            let may_order = remaining_orders > 0;
            let order = self.advance_lease(now, index, table, candidates, may_order, &mut released);
            if let Some(order) = order {
                remaining_orders -= 1;
                actions.push(GranterAction::Order(order));
            }
        }
        for moves in separate_neighbours(released) {
            let service = self.service.clone();
            actions.push(GranterAction::Propose(RangeCommand::Assign { service, moves }));
        }
        if now >= self.next_plan {
            self.mark_adjacent_leases(now);
        }
        self.propose_new_fences(now, &mut actions);
        if now >= self.next_plan {
            self.next_plan = now + self.options.plan_interval;
            self.plan(now, table, candidates, counts, &mut actions);
        }
        actions
    }

    fn sync_with_table(&mut self, now: Timestamp, table: &RangeTable) {
        let old = std::mem::take(&mut self.leases);
        let is_first_step = std::mem::take(&mut self.is_first_step);
        let slack = if is_first_step { self.options.takeover_slack } else { Duration::ZERO };
        let worst_case_lease_duration = self.options.worst_case_lease_duration() + slack;
        for assignment in table.assignments() {
            let Some(holder) = &assignment.holder else { continue };
            let overlapping = overlapping(&old, assignment.range);
            let same_fence = overlapping
                .iter()
                .filter(|lease| lease.holder == *holder && lease.fence == assignment.fence);
            // A new fencing token for the same holder does not end the uncertainty about earlier
            // grants, and does not reset the failure count.
            let same_holder = overlapping.iter().filter(|lease| lease.holder == *holder);
            let uncertain_until = same_holder.clone().map(|lease| lease.uncertain_until).max();
            // Nothing has been granted under a new token yet, so the known expiry still applies
            // unless an order is pending.
            let has_no_pending_order =
                same_holder.clone().all(|lease| lease.pending_order.is_none());
            let known_expiry = same_holder.clone().map(|lease| lease.expires_at).max();
            let known_expiry = known_expiry.filter(|_| has_no_pending_order);
            let failures = same_holder.map(|lease| lease.consecutive_failures).max().unwrap_or(0);
            let mut lease = same_fence.clone().next().cloned().unwrap_or_else(|| RangeLease {
                range: assignment.range,
                holder: holder.clone(),
                fence: assignment.fence,
                expires_at: known_expiry.unwrap_or(now + worst_case_lease_duration),
                previous_expiry: now,
                learned_at: now,
                uncertain_until: if is_first_step {
                    now + worst_case_lease_duration
                } else {
                    uncertain_until.unwrap_or(now)
                },
                next_order_at: now,
                pending_order: None,
                ordered_at: now,
                is_release_pending: false,
                consecutive_failures: failures,
                is_confirmed: false,
                needs_new_fence: is_first_step,
                stage: MoveStage::Stable,
                cancels_move: is_first_step && assignment.successor.is_some(),
                handover: None,
                proposed_at: None,
            });
            for part in same_fence.skip(1) {
                lease.expires_at = lease.expires_at.max(part.expires_at);
                lease.previous_expiry = lease.previous_expiry.max(part.expires_at);
                lease.uncertain_until = lease.uncertain_until.max(part.uncertain_until);
                lease.is_release_pending &= part.is_release_pending || part.pending_order.is_none();
                lease.pending_order = lease.pending_order.or(part.pending_order);
            }
            if !lease.range.covers(assignment.range) && lease.stage != MoveStage::Stable {
                // The released range is only a part of the present one.
                lease.stage = MoveStage::Stable;
            }
            if lease.range != assignment.range {
                lease.range = assignment.range;
                lease.next_order_at = now;
            }
            match (&assignment.successor, &lease.stage) {
                (Some(_), MoveStage::Stable) if !lease.cancels_move => {
                    let release_at = now + self.options.release_delay;
                    lease.stage = MoveStage::Announced { release_at };
                    lease.proposed_at = None;
                    lease.next_order_at = release_at;
                }
                (None, MoveStage::Announced { .. } | MoveStage::Released { .. }) => {
                    lease.stage = MoveStage::Stable;
                    lease.next_order_at = now;
                }
                _ => {}
            }
            if !lease.is_confirmed && lease.handover.is_none() {
                let pending = self.handovers.iter().find(|pending| {
                    pending.range.covers(lease.range) && pending.fence < lease.fence
                });
                lease.handover = pending.map(|pending| pending.token.clone());
            }
            self.leases.push(lease);
        }
        let leases = &self.leases;
        self.handovers.retain(|pending| {
            let mut overlapping = overlapping(leases, pending.range).iter();
            overlapping.any(|lease| lease.fence <= pending.fence || !lease.is_confirmed)
        });
    }

    /// Advances a lease. Returns the order that is due, and adds the assignment of a released range
    /// to `released`.
    fn advance_lease(
        &mut self,
        now: Timestamp,
        index: usize,
        table: &RangeTable,
        candidates: &[RangeCandidate],
        may_order: bool,
        released: &mut Vec<RangeTransfer>,
    ) -> Option<TargetOrder> {
        let status = status_of(&self.leases[index].holder, candidates);
        let lease = &mut self.leases[index];
        if lease.proposed_at.is_some_and(|at| now.since(at) > PROPOSAL_TIMEOUT) {
            lease.proposed_at = None;
        }
        let kind = match &lease.stage {
            MoveStage::Stable if lease.needs_new_fence => return None,
            MoveStage::Stable => {
                if status == HolderStatus::Ended {
                    return None;
                }
                let hold = self.options.lease_duration;
                OrderKind::Grant { hold, handover: lease.handover.clone() }
            }
            MoveStage::Announced { release_at } => {
                if now < *release_at || (lease.pending_order.is_some() && !lease.is_release_pending)
                {
                    return None;
                }
                // Runs that have ended must be released as well: a later run at the same address
                // may have accepted a grant that was addressed to the earlier one.
                if now >= lease.expires_at {
                    lease.stage = MoveStage::Released { handover: None };
                    lease.uncertain_until = now;
                    released.extend(self.assignment_due(now, index, table));
                    return None;
                }
                OrderKind::Release
            }
            MoveStage::Released { .. } => {
                released.extend(self.assignment_due(now, index, table));
                return None;
            }
        };
        if lease.pending_order.is_some() || now < lease.next_order_at || !may_order {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        lease.pending_order = Some(number);
        lease.ordered_at = now;
        lease.is_release_pending = kind == OrderKind::Release;
        if matches!(kind, OrderKind::Grant { .. }) {
            lease.previous_expiry = lease.expires_at;
            lease.expires_at = lease.expires_at.max(now + self.options.worst_case_lease_duration());
        }
        Some(TargetOrder {
            number,
            holder: lease.holder.clone(),
            service: self.service.clone(),
            range: lease.range,
            fence: lease.fence,
            kind,
        })
    }

    /// Marks adjacent ranges of one holder for a common fencing token, which merges them into one
    /// range with a single renewal.
    fn mark_adjacent_leases(&mut self, now: Timestamp) {
        let is_mergeable = |lease: &RangeLease| {
            lease.stage == MoveStage::Stable && lease.is_confirmed && lease.proposed_at.is_none()
        };
        for index in 1..self.leases.len() {
            let (lower, upper) = (&self.leases[index - 1], &self.leases[index]);
            if lower.holder == upper.holder && is_mergeable(lower) && is_mergeable(upper) {
                for lease in &mut self.leases[index - 1..=index] {
                    lease.needs_new_fence = true;
                    lease.next_order_at = now;
                }
            }
        }
    }

    /// Proposes new fencing tokens for the leases that need one. One command assigns the same token
    /// to all of them, so that adjacent ranges of one holder are merged.
    fn propose_new_fences(&mut self, now: Timestamp, actions: &mut Vec<GranterAction>) {
        let due = self.leases.iter_mut().filter(|lease| {
            lease.needs_new_fence
                && lease.stage == MoveStage::Stable
                && lease.proposed_at.is_none()
                && lease.pending_order.is_none()
                && now >= lease.next_order_at
        });
        let moves: Vec<_> = due
            .map(|lease| {
                lease.proposed_at = Some(now);
                RangeTransfer { range: lease.range, to: lease.holder.clone(), fence: lease.fence }
            })
            .collect();
        if !moves.is_empty() {
            let service = self.service.clone();
            actions.push(GranterAction::Propose(RangeCommand::Assign { service, moves }));
        }
    }

    /// Returns the assignment of a released range to its next holder, if it is due.
    fn assignment_due(
        &mut self,
        now: Timestamp,
        index: usize,
        table: &RangeTable,
    ) -> Option<RangeTransfer> {
        let lease = &mut self.leases[index];
        if now < lease.uncertain_until || lease.proposed_at.is_some() {
            return None;
        }
        let successor = table.find(lease.range.first).successor.clone();
        let (MoveStage::Released { handover }, Some(to)) = (&lease.stage, successor) else {
            return None;
        };
        if let Some(token) = handover {
            let (range, fence, token) = (lease.range, lease.fence, token.clone());
            self.handovers.retain(|pending| !range.overlaps(pending.range));
            self.handovers.push(PendingHandover { range, fence, token });
        }
        lease.proposed_at = Some(now);
        Some(RangeTransfer { range: lease.range, to, fence: lease.fence })
    }

    /// Returns the time between renewals of a lease: longer with many leases, so that renewals leave
    /// the leader time for moves and new grants.
    fn renewal_interval(&self) -> Duration {
        let by_rate = Duration::from_secs_f64(self.leases.len() as f64 / MAX_RENEWALS_PER_SECOND);
        let longest = self.options.lease_duration.mul_f64(MAX_RENEWAL_SHARE);
        self.options.renewal_interval.max(by_rate.min(longest))
    }

    /// Processes the outcome of an order. `now` is the time at which the sender finished with the
    /// order; an order that timed out cannot arrive after that.
    pub fn order_done(&mut self, now: Timestamp, order: &TargetOrder, outcome: &OrderOutcome) {
        let worst_case_lease_duration = self.options.worst_case_lease_duration();
        let (retry, renewal) = (self.options.retry_interval, self.renewal_interval());
        let matching = self.leases.iter_mut().filter(|lease| {
            lease.range.overlaps(order.range)
                && lease.holder == order.holder
                && lease.fence == order.fence
        });
        for lease in matching {
            let is_grant = matches!(order.kind, OrderKind::Grant { .. });
            if lease.pending_order == Some(order.number) {
                lease.pending_order = None;
                if is_grant && *outcome == OrderOutcome::NotSent {
                    lease.expires_at = lease.previous_expiry;
                }
            }
            lease.consecutive_failures = match outcome {
                OrderOutcome::Done { .. } | OrderOutcome::Refused => 0,
                OrderOutcome::Unanswered | OrderOutcome::NotSent => lease.consecutive_failures + 1,
            };
            match outcome {
                OrderOutcome::Done { .. } if is_grant => {
                    lease.expires_at = lease.expires_at.max(now + worst_case_lease_duration);
                    lease.previous_expiry = lease.expires_at;
                    lease.is_confirmed = true;
                    lease.handover = None;
                    if !lease.needs_new_fence {
                        lease.uncertain_until = now;
                    }
                    if lease.stage == MoveStage::Stable {
                        lease.next_order_at = now + renewal;
                    }
                }
                OrderOutcome::Done { handover } => {
                    if matches!(lease.stage, MoveStage::Announced { .. }) {
                        lease.stage = MoveStage::Released { handover: handover.clone() };
                    }
                }
                OrderOutcome::Unanswered if is_grant => {
                    lease.expires_at = lease.expires_at.max(now + worst_case_lease_duration);
                    lease.previous_expiry = lease.expires_at;
                    lease.uncertain_until =
                        lease.uncertain_until.max(now + worst_case_lease_duration);
                    lease.needs_new_fence = true;
                    // The planner gets time to move the ranges of an unresponsive holder before
                    // they are granted to it again.
                    let is_unresponsive = lease.consecutive_failures >= UNRESPONSIVE_FAILURES;
                    lease.next_order_at =
                        if is_unresponsive { now + UNRESPONSIVE_RETRY_DELAY } else { now };
                }
                OrderOutcome::Refused if is_grant => lease.needs_new_fence = true,
                _ => lease.next_order_at = now + retry,
            }
        }
        match outcome {
            OrderOutcome::Done { .. } | OrderOutcome::Refused => {
                self.failing.remove(&order.holder);
            }
            OrderOutcome::Unanswered | OrderOutcome::NotSent => {
                let failures = self.consecutive_failures(&order.holder);
                self.failing.record(now, &order.holder, failures);
            }
        }
    }

    /// Returns whether a move should wait for an uncertain grant. The range cannot be reassigned
    /// while the grant may be in effect, and a responsive holder may resolve it sooner by
    /// confirming a grant under a new fencing token.
    fn has_uncertain_grant(
        &self,
        now: Timestamp,
        transfer: &RangeTransfer,
        candidates: &[RangeCandidate],
    ) -> bool {
        let leases = overlapping(&self.leases, transfer.range).iter();
        let mut uncertain = leases.filter(|lease| now < lease.uncertain_until);
        uncertain.any(|lease| {
            let status = status_of(&lease.holder, candidates);
            let is_responsive = matches!(
                status,
                HolderStatus::Serving
                    | HolderStatus::Cold
                    | HolderStatus::Draining
                    | HolderStatus::Evacuated
            );
            is_responsive
                && lease.consecutive_failures == 0
                && now.since(lease.learned_at) < UNCERTAIN_GRANT_TIMEOUT
        })
    }

    fn plan(
        &mut self,
        now: Timestamp,
        table: &RangeTable,
        candidates: &[RangeCandidate],
        counts: &DecayedCounts,
        actions: &mut Vec<GranterAction>,
    ) {
        let mut effective = candidates.to_vec();
        for candidate in &mut effective {
            // A silent holder whose orders do not fail is alive; only its announcements do not
            // arrive. One without leases receives no orders that could show that, so it is given no
            // keys.
            if candidate.status == HolderStatus::Silent
                && self.consecutive_failures(&candidate.holder) < UNRESPONSIVE_FAILURES
            {
                candidate.status = HolderStatus::Draining;
                if self.leases.iter().any(|lease| lease.holder == candidate.holder) {
                    candidate.status = HolderStatus::Serving;
                }
            }
            // An evacuated holder that does not respond will not confirm the grants that its ranges
            // would wait for.
            if candidate.status == HolderStatus::Evacuated
                && self.consecutive_failures(&candidate.holder) >= UNRESPONSIVE_FAILURES
            {
                candidate.status = HolderStatus::Draining;
            }
        }
        self.failing.mark_silent(now, &mut effective);
        let moves = plan_moves(table, &effective, counts, |assignment| {
            // The range of an uncertain grant could not be served until the grant has expired. A
            // range for which a new token is proposed will not have the present one any more.
            let lease = self.leases.binary_search_by(|lease| lease.range.cmp(&assignment.range));
            lease.map(|index| &self.leases[index]).is_ok_and(|lease| {
                lease.is_confirmed && now >= lease.uncertain_until && lease.proposed_at.is_none()
            })
        });
        let (initial, announced): (Vec<_>, Vec<_>) = moves
            .into_iter()
            .filter(|transfer| !self.has_uncertain_grant(now, transfer, &effective))
            .partition(|transfer| table.find(transfer.range.first).holder.is_none());
        let service = &self.service;
        if !initial.is_empty() {
            let (service, moves) = (service.clone(), initial);
            actions.push(GranterAction::Propose(RangeCommand::Assign { service, moves }));
        }
        if !announced.is_empty() {
            let (service, moves) = (service.clone(), announced);
            actions.push(GranterAction::Propose(RangeCommand::Announce { service, moves }));
        }
    }
}

/// Divides assignments into commands. A command gives all its ranges the same token, and adjacent
/// ranges of one holder with the same token are merged, so that the handover token of each would be
/// lost; they are assigned by separate commands. Few commands, since each is sent to all entry hosts.
fn separate_neighbours(assignments: Vec<RangeTransfer>) -> Vec<Vec<RangeTransfer>> {
    let is_adjacent = |a: &RangeTransfer, b: &RangeTransfer| {
        let (a_end, b_end) = (a.range.last.checked_add(1), b.range.last.checked_add(1));
        a.to == b.to && (a_end == Some(b.range.first) || b_end == Some(a.range.first))
    };
    let mut commands: Vec<Vec<RangeTransfer>> = Vec::new();
    for transfer in assignments {
        let fits = |moves: &&mut Vec<RangeTransfer>| {
            !moves.iter().any(|other| is_adjacent(other, &transfer))
        };
        match commands.iter_mut().find(fits) {
            Some(moves) => moves.push(transfer),
            None => commands.push(vec![transfer]),
        }
    }
    commands
}

/// Returns the status of `holder`. A holder that is not among the candidates counts as silent,
/// since it may still run. `candidates` are sorted by holder, so that the runs of one target are
/// adjacent.
fn status_of(holder: &RangeHolder, candidates: &[RangeCandidate]) -> HolderStatus {
    let first = candidates.partition_point(|candidate| candidate.holder < *holder);
    let runs = &candidates[first..];
    let is_same_target = |candidate: &&RangeCandidate| candidate.holder.target == holder.target;
    match runs.iter().take_while(is_same_target).last() {
        Some(last) if last.holder.run > holder.run => HolderStatus::Ended,
        Some(candidate) => candidate.status,
        None => HolderStatus::Silent,
    }
}

/// Returns the leases that overlap `range`. `leases` are sorted by range and disjoint.
fn overlapping(leases: &[RangeLease], range: KeyRange) -> &[RangeLease] {
    let first = leases.partition_point(|lease| lease.range.last < range.first);
    let end = leases.partition_point(|lease| lease.range.first <= range.last);
    &leases[first..end]
}
