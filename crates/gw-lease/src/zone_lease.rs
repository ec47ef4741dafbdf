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

/// Requests of a candidate in the time between two renewals of a holder.
const CANDIDATE_DIVISOR: u32 = 20;

/// The lease of a zone as one of its hosts sees it.
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
    /// Whether the host wants or has the zone.
    wanted: bool,
    /// Term of the grant that the host has; 0 without one.
    term: TermNumber,
    /// Highest term that the host gave up or that was superseded; never held again.
    closed: TermNumber,
    /// Whether the control leader said that the holder before gave the zone up.
    after_release: bool,
    /// Whether the takeover under `term` is complete.
    taken: bool,
    control_until: Timestamp,
    /// Promises never extend the hold past this time.
    hold_limit: Timestamp,
    /// End of the hold. Promises extend it only before it has passed.
    held_until: Timestamp,
    /// Ends of the promises under `term`, with the table version that each peer holds.
    promises: Vec<(HostId, Timestamp, TableVersion)>,
}

impl ZoneLease {
    /// The lease of a host that has just started.
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
            wanted: false,
            term: TermNumber(0),
            closed: TermNumber(0),
            after_release: false,
            taken: false,
            control_until: Timestamp::ZERO,
            hold_limit: Timestamp::ZERO,
            held_until: Timestamp::ZERO,
            promises: Vec::new(),
        }
    }

    /// Notes the index of the last control log entry that the host has applied.
    pub fn set_applied(&mut self, index: u64) {
        self.applied = self.applied.max(index);
    }

    /// Makes the host a candidate. It asks for the zone with the next [`tick`](Self::tick).
    pub fn become_candidate(&mut self) {
        self.wanted = true;
    }

    /// How the host stands to the zone.
    pub fn state(&self, now: Timestamp) -> LeaseState {
        match () {
            () if !self.wanted => LeaseState::Follower,
            () if !self.taken => LeaseState::Candidate,
            () if now >= self.held_until => LeaseState::Expired,
            () if now < self.control_until => LeaseState::HolderByControl,
            () => LeaseState::HolderByPromises,
        }
    }

    /// Whether the host holds the zone. Must be asked immediately before each act of a leader.
    pub fn holds(&self, now: Timestamp) -> bool {
        self.state(now).is_holder()
    }

    /// Whether the holder before gave the zone up, so that dispatcher leases which it granted may
    /// still be in use. Otherwise all leases that it granted within its own have passed.
    pub fn after_release(&self) -> bool {
        self.after_release
    }

    /// Term of the grant that the host has.
    pub fn term(&self) -> Option<TermNumber> {
        (self.term > TermNumber(0)).then_some(self.term)
    }

    /// When the hold ends unless it is renewed.
    pub fn held_until(&self) -> Timestamp {
        self.held_until
    }

    /// When [`tick`](Self::tick) has something to do.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.wanted.then_some(self.next_renewal)
    }

    /// The peer with the highest table version among those that have promised.
    pub fn highest_version(&self) -> Option<(HostId, TableVersion)> {
        let highest = self.promises.iter().max_by_key(|(_, _, version)| *version)?;
        Some((highest.0, highest.2))
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<LeaseAction> {
        if !self.wanted || now < self.next_renewal {
            return Vec::new();
        }
        // A candidate asks more often: each wait adds to the time without a zone leader.
        let is_candidate = !self.taken;
        let interval = self.options.renewal / if is_candidate { CANDIDATE_DIVISOR } else { 1 };
        self.next_renewal = now + interval;
        let sequence = self.sent.send(now);
        let operation = match self.term() {
            Some(term) => LeaseOperation::Renew(term),
            None => LeaseOperation::Acquire(self.closed),
        };
        let mut actions = vec![LeaseAction::SendToControl(self.lease_request(sequence, operation))];
        if self.term().is_some() {
            self.ask_peers(sequence, PromiseOperation::Promise(self.options.lease), &mut actions);
        }
        actions
    }

    /// Takes an answer of the control leader.
    pub fn handle_answer(&mut self, now: Timestamp, answer: &LeaseAnswer) -> Vec<LeaseAction> {
        if !self.wanted || answer.boot != self.boot || answer.zone != self.zone {
            return Vec::new();
        }
        let Some(sent_at) = self.sent.sent_at(answer.sequence) else { return Vec::new() };
        match answer.outcome {
            LeaseOutcome::Renewed { term, remaining, zone_hold, after_release } => {
                self.after_release = after_release;
                self.renew(now, sent_at, term, remaining, zone_hold)
            }
            LeaseOutcome::Superseded(term) if self.term().is_some_and(|own| own < term) => {
                self.close();
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
        if term <= self.closed || term < self.term || remaining > self.options.lease {
            return Vec::new();
        }
        let is_new = term > self.term;
        if is_new {
            self.start_term(term);
        }
        // The leader withheld part of the lease for the age of its proof of leadership; the same
        // part is taken off the hold, so that a new control leader's count covers it.
        let withheld = self.options.lease - remaining;
        self.control_until = self.control_until.max(sent_at + remaining);
        self.hold_limit = self.hold_limit.max(sent_at + zone_hold.saturating_sub(withheld));
        if self.taken {
            self.held_until = self.held_until.max(self.control_until);
        }
        self.settle(now);
        if is_new {
            self.next_renewal = now;
            return self.tick(now);
        }
        Vec::new()
    }

    fn start_term(&mut self, term: TermNumber) {
        self.term = term;
        self.taken = false;
        self.control_until = Timestamp::ZERO;
        self.hold_limit = Timestamp::ZERO;
        self.held_until = Timestamp::ZERO;
        self.promises.clear();
    }

    /// Takes an answer of a zone peer or of the host's own book.
    pub fn handle_promise(&mut self, now: Timestamp, answer: &PromiseAnswer) {
        let own = self.holder();
        if !self.wanted || !answer.granted || answer.holder != own || answer.zone != self.zone {
            return;
        }
        if !self.members.contains(&answer.from) {
            return;
        }
        let Some(sent_at) = self.sent.sent_at(answer.sequence) else { return };
        let until = sent_at + self.options.lease;
        match self.promises.iter_mut().find(|(host, _, _)| *host == answer.from) {
            Some(known) => *known = (answer.from, known.1.max(until), known.2.max(answer.version)),
            None => self.promises.push((answer.from, until, answer.version)),
        }
        self.settle(now);
    }

    /// Completes the takeover, or extends a hold that has not passed.
    fn settle(&mut self, now: Timestamp) {
        let quorum = ZoneQuorum::new(self.members.len());
        if !self.taken {
            let enough = now < self.promised_by(quorum.takeover())
                || self.options.faults.takeover_without_promises;
            self.taken = enough && now < self.control_until;
            if self.taken {
                self.held_until = self.control_until;
            }
        }
        let continues = now < self.held_until || self.options.faults.resume_by_promises;
        if self.taken && continues {
            let promised = self.promised_by(quorum.majority()).min(self.hold_limit);
            self.held_until = self.held_until.max(promised);
        }
    }

    /// Until when at least `count` hosts have promised.
    fn promised_by(&self, count: usize) -> Timestamp {
        let mut ends: Vec<_> = self.promises.iter().map(|(_, until, _)| *until).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(count - 1).copied().unwrap_or(Timestamp::ZERO)
    }

    /// Gives the zone up. The host must have stopped acting as leader; it does not hold the term
    /// again.
    pub fn release(&mut self, now: Timestamp) -> Vec<LeaseAction> {
        let Some(term) = self.term() else {
            self.close();
            return Vec::new();
        };
        let sequence = self.sent.send(now);
        let request = self.lease_request(sequence, LeaseOperation::Release(term));
        let mut actions = vec![LeaseAction::SendToControl(request)];
        self.ask_peers(sequence, PromiseOperation::Release, &mut actions);
        self.close();
        actions
    }

    fn close(&mut self) {
        self.closed = self.closed.max(self.term);
        self.start_term(TermNumber(0));
        self.wanted = false;
        self.sent.forget();
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

    fn ask_peers(
        &self,
        sequence: u64,
        operation: PromiseOperation,
        actions: &mut Vec<LeaseAction>,
    ) {
        let (zone, holder) = (&self.zone, self.holder());
        let request = PromiseRequest { zone: zone.clone(), holder, sequence, operation };
        let asked = self.members.iter().map(|peer| LeaseAction::SendToPeer(*peer, request.clone()));
        actions.extend(asked);
    }
}
