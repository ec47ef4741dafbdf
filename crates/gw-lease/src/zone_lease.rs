use std::time::Duration;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::LeaseAction;
use crate::LeaseAnswer;
use crate::LeaseHolder;
use crate::LeaseOperation;
use crate::LeaseOptions;
use crate::LeaseOutcome;
use crate::LeaseRequest;
use crate::LeaseState;
use crate::PromiseAnswer;
use crate::PromiseOperation;
use crate::PromiseRequest;
use crate::ZoneQuorum;
use crate::sent_requests::SentRequests;

/// Number of requests that a candidate sends per renewal interval of a holder.
const CANDIDATE_REQUESTS: u32 = 20;

/// Lease of a zone, as one host of the zone tracks it.
#[derive(Clone, Debug)]
pub struct ZoneLease {
    zone: ZoneName,
    host: HostId,
    boot: BootId,
    /// All entry hosts of the zone, this one included.
    members: Vec<HostId>,
    options: LeaseOptions,
    sent: SentRequests,
    next_renewal: Timestamp,
    applied: u64,
    /// Whether the host is a candidate or a holder.
    active: bool,
    /// Term of the host's grant; 0 without one.
    term: TermNumber,
    /// Highest term that the host released or that was superseded. The host never holds it again.
    closed_term: TermNumber,
    /// Whether the control leader reported that the previous holder released the zone.
    after_release: bool,
    /// Whether the takeover under `term` is complete.
    is_taken_over: bool,
    control_until: Timestamp,
    /// Time past which promises do not extend the hold.
    hold_limit: Timestamp,
    /// End of the hold. Promises extend it only before it has expired.
    held_until: Timestamp,
    /// Promises under `term`: the host, the end, and the zone table version that the host holds.
    promises: Vec<(HostId, Timestamp, TableVersion)>,
}

impl ZoneLease {
    /// Creates the lease of a host that has just started: without a grant.
    pub fn new(
        zone: ZoneName,
        host: HostId,
        boot: BootId,
        members: Vec<HostId>,
        options: LeaseOptions,
    ) -> Self {
        Self {
            zone,
            host,
            boot,
            members,
            options,
            sent: SentRequests::default(),
            next_renewal: Timestamp::ZERO,
            applied: 0,
            active: false,
            term: TermNumber(0),
            closed_term: TermNumber(0),
            after_release: false,
            is_taken_over: false,
            control_until: Timestamp::ZERO,
            hold_limit: Timestamp::ZERO,
            held_until: Timestamp::ZERO,
            promises: Vec::new(),
        }
    }

    /// Raises the index of the last control log entry that the host has applied.
    pub fn set_applied(&mut self, index: u64) {
        self.applied = self.applied.max(index);
    }

    /// Makes the host a candidate. The next [`tick`](Self::tick) requests the zone.
    pub fn become_candidate(&mut self) {
        self.active = true;
    }

    /// Returns the state of the lease at `now`.
    pub fn state(&self, now: Timestamp) -> LeaseState {
        match () {
            () if !self.active => LeaseState::Follower,
            () if !self.is_taken_over => LeaseState::Candidate,
            () if now >= self.held_until => LeaseState::Expired,
            () if now < self.control_until => LeaseState::HolderByControl,
            () => LeaseState::HolderByPromises,
        }
    }

    /// Returns whether the host holds the zone. Must be checked immediately before each action of
    /// the zone leader.
    pub fn holds(&self, now: Timestamp) -> bool {
        self.state(now).is_holder()
    }

    /// Returns whether the previous holder released the zone, so that dispatcher leases that it
    /// granted may still be in use. Otherwise all leases that it granted within its own have
    /// expired.
    pub fn after_release(&self) -> bool {
        self.after_release
    }

    /// Returns the term of the host's grant.
    pub fn term(&self) -> Option<TermNumber> {
        (self.term > TermNumber(0)).then_some(self.term)
    }

    /// Returns when the hold ends unless it is renewed.
    pub fn held_until(&self) -> Timestamp {
        self.held_until
    }

    /// Returns when [`tick`](Self::tick) has a request to send.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.active.then_some(self.next_renewal)
    }

    /// Returns the host with the highest zone table version among those that have promised.
    pub fn highest_version(&self) -> Option<(HostId, TableVersion)> {
        let highest = self.promises.iter().max_by_key(|(_, _, version)| *version)?;
        Some((highest.0, highest.2))
    }

    /// Returns the requests that are due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<LeaseAction> {
        if !self.active || now < self.next_renewal {
            return Vec::new();
        }
        // A candidate sends more often, because its waiting time adds to the time without a zone
        // leader.
        let is_candidate = !self.is_taken_over;
        let interval = self.options.renewal / if is_candidate { CANDIDATE_REQUESTS } else { 1 };
        self.next_renewal = now + interval;
        let sequence = self.sent.send(now);
        let operation = match self.term() {
            Some(term) => LeaseOperation::Renew(term),
            None => LeaseOperation::Acquire(self.closed_term),
        };
        let mut actions = vec![LeaseAction::SendToControl(self.lease_request(sequence, operation))];
        if self.term().is_some() {
            self.send_to_peers(
                sequence,
                PromiseOperation::Promise(self.options.lease),
                &mut actions,
            );
        }
        actions
    }

    /// Handles an answer of the control leader and returns the requests that follow from it.
    pub fn handle_answer(&mut self, now: Timestamp, answer: &LeaseAnswer) -> Vec<LeaseAction> {
        if !self.active || answer.boot != self.boot || answer.zone != self.zone {
            return Vec::new();
        }
        let Some(sent_at) = self.sent.sent_at(answer.sequence) else { return Vec::new() };
        match answer.outcome {
            LeaseOutcome::Renewed { term, remaining, zone_hold, after_release } => {
                self.after_release = after_release;
                self.renew(now, sent_at, term, remaining, zone_hold)
            }
            LeaseOutcome::Superseded(term) if self.term().is_some_and(|current| current < term) => {
                self.close_term();
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn renew(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        term: TermNumber,
        remaining: Duration,
        zone_hold: Duration,
    ) -> Vec<LeaseAction> {
        if term <= self.closed_term || term < self.term || remaining > self.options.lease {
            return Vec::new();
        }
        let is_new = term > self.term;
        if is_new {
            self.start_term(term);
        }
        // The leader withheld part of the lease for the age of its last acknowledged round. The
        // same part is subtracted from the hold, so that the wait of a new control leader covers
        // it.
        let withheld = self.options.lease - remaining;
        self.control_until = self.control_until.max(sent_at + remaining);
        self.hold_limit = self.hold_limit.max(sent_at + zone_hold.saturating_sub(withheld));
        if self.is_taken_over {
            self.held_until = self.held_until.max(self.control_until);
        }
        self.update_hold(now);
        if is_new {
            self.next_renewal = now;
            return self.tick(now);
        }
        Vec::new()
    }

    fn start_term(&mut self, term: TermNumber) {
        self.term = term;
        self.is_taken_over = false;
        self.control_until = Timestamp::ZERO;
        self.hold_limit = Timestamp::ZERO;
        self.held_until = Timestamp::ZERO;
        self.promises.clear();
    }

    /// Handles an answer of a zone host, which may be this one.
    pub fn handle_promise(&mut self, now: Timestamp, answer: &PromiseAnswer) {
        let holder = self.holder();
        if !self.active || !answer.granted || answer.holder != holder || answer.zone != self.zone {
            return;
        }
        if !self.members.contains(&answer.from) {
            return;
        }
        let Some(sent_at) = self.sent.sent_at(answer.sequence) else { return };
        let until = sent_at + self.options.lease;
        match self.promises.iter_mut().find(|(host, _, _)| *host == answer.from) {
            Some(entry) => *entry = (answer.from, entry.1.max(until), entry.2.max(answer.version)),
            None => self.promises.push((answer.from, until, answer.version)),
        }
        self.update_hold(now);
    }

    /// Completes the takeover, or extends a hold that has not expired.
    fn update_hold(&mut self, now: Timestamp) {
        let quorum = ZoneQuorum::new(self.members.len());
        if !self.is_taken_over {
            let has_promises = now < self.promised_until(quorum.takeover())
                || self.options.faults.takeover_without_promises;
            self.is_taken_over = has_promises && now < self.control_until;
            if self.is_taken_over {
                self.held_until = self.control_until;
            }
        }
        let is_held = now < self.held_until || self.options.faults.resume_by_promises;
        if self.is_taken_over && is_held {
            let promise_end = self.promised_until(quorum.majority()).min(self.hold_limit);
            self.held_until = self.held_until.max(promise_end);
        }
    }

    /// Returns the time until which at least `count` hosts have promised.
    fn promised_until(&self, count: usize) -> Timestamp {
        let mut ends: Vec<_> = self.promises.iter().map(|(_, until, _)| *until).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(count - 1).copied().unwrap_or(Timestamp::ZERO)
    }

    /// Releases the zone. The host must have stopped acting as leader; it does not hold the term
    /// again.
    pub fn release(&mut self, now: Timestamp) -> Vec<LeaseAction> {
        let Some(term) = self.term() else {
            self.close_term();
            return Vec::new();
        };
        let sequence = self.sent.send(now);
        let request = self.lease_request(sequence, LeaseOperation::Release(term));
        let mut actions = vec![LeaseAction::SendToControl(request)];
        self.send_to_peers(sequence, PromiseOperation::Release, &mut actions);
        self.close_term();
        actions
    }

    fn close_term(&mut self) {
        self.closed_term = self.closed_term.max(self.term);
        self.start_term(TermNumber(0));
        self.active = false;
        self.sent.clear();
    }

    fn holder(&self) -> LeaseHolder {
        LeaseHolder { host: self.host, boot: self.boot, term: self.term }
    }

    fn lease_request(&self, sequence: u64, operation: LeaseOperation) -> LeaseRequest {
        LeaseRequest {
            zone: self.zone.clone(),
            host: self.host,
            boot: self.boot,
            sequence,
            applied: self.applied,
            operation,
        }
    }

    fn send_to_peers(
        &self,
        sequence: u64,
        operation: PromiseOperation,
        actions: &mut Vec<LeaseAction>,
    ) {
        let (zone, holder) = (&self.zone, self.holder());
        let request = PromiseRequest { zone: zone.clone(), holder, sequence, operation };
        let requests =
            self.members.iter().map(|peer| LeaseAction::SendToPeer(*peer, request.clone()));
        actions.extend(requests);
    }
}
