use std::time::Duration;

use gw_control::ControlCommand;
use gw_control::ControlOutcome;
use gw_control::GrantOutcome;
use gw_lease::GrantedZone;
use gw_lease::LeaseAction;
use gw_lease::LeaseAnswer;
use gw_lease::LeaseGrantor;
use gw_lease::LeaseHolder;
use gw_lease::LeaseOptions;
use gw_lease::LeaseRequest;
use gw_lease::LeaseState;
use gw_lease::PromiseAnswer;
use gw_lease::PromiseGrantor;
use gw_lease::PromiseRequest;
use gw_lease::ZoneLease;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::PeerMessage;
use crate::control_log::AppliedCommand;
use crate::control_log::ControlLog;
use crate::outbox::Outbox;

/// Time without a zone leader after which the first live host of the zone becomes a candidate. Each
/// further host in id order waits this much longer than the one before it, so that candidates
/// rarely compete.
const CANDIDATE_DELAY: Duration = Duration::from_millis(300);

/// Time that a candidate which was granted the zone has to collect promises and announce itself
/// before other hosts become candidates again.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(700);

/// Remaining time of a lease above which its holder asks only the control leader that it knows. If
/// less remains, a renewal that was due 500 ms ago has not been answered.
const MIN_FRESH_REMAINING: Duration = Duration::from_millis(900);

/// The zone leases as one host takes part in them: it holds or requests its own zone's lease,
/// promises support to other holders, and grants leases while it is the control leader.
pub(crate) struct LeaseManager {
    host: HostId,
    boot: BootId,
    zone: ZoneName,
    /// All zones that have entry hosts, sorted.
    zones: Vec<ZoneName>,
    lease: ZoneLease,
    promise_grantor: PromiseGrantor,
    grantor: Option<LeaseGrantor>,
    /// Term of the latest grant of the own zone to another host that was seen in the control log.
    last_seen_grant: Option<TermNumber>,
    /// Since when no zone leader is known. In the future while a newly granted candidate has time
    /// to take over.
    leaderless_since: Option<Timestamp>,
    is_closing: bool,
}

/// State of the host and its zone that the lease manager depends on in one step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseContext {
    /// Whether another host of the zone that claims to lead it was heard from within the leader
    /// timeout, and the latest grant is not to this process.
    pub(crate) is_leader_alive: bool,
    /// Number of reachable entry hosts of the zone with a smaller id than this host.
    pub(crate) rank: u32,
    /// Highest version of the zone table that this host holds.
    pub(crate) version: TableVersion,
}

impl LeaseManager {
    pub(crate) fn new(
        own: &HostEntry,
        boot: BootId,
        members: Vec<HostId>,
        zones: Vec<ZoneName>,
        now: Timestamp,
    ) -> Self {
        let (host, zone) = (own.id, own.zone.clone());
        let options = LeaseOptions::zone();
        let lease = ZoneLease::new(zone.clone(), host, boot, members, options);
        let promise_grantor = PromiseGrantor::new(zone.clone(), host, options, now);
        Self {
            host,
            boot,
            zone,
            zones,
            lease,
            promise_grantor,
            grantor: None,
            last_seen_grant: None,
            leaderless_since: None,
            is_closing: false,
        }
    }

    pub(crate) fn lease(&self) -> &ZoneLease {
        &self.lease
    }

    pub(crate) fn grantor_mut(&mut self) -> Option<&mut LeaseGrantor> {
        self.grantor.as_mut()
    }

    /// Allows this host to promise support: it holds its zone's state again after its start.
    pub(crate) fn mark_promises_recovered(&mut self) {
        self.promise_grantor.mark_recovered();
    }

    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        context: LeaseContext,
        control: &mut ControlLog,
        out: &mut Outbox,
    ) {
        self.update_grantor(now, control);
        self.update_candidacy(now, context, control);
        self.lease.set_applied(control.applied());
        let actions = self.lease.tick(now);
        self.run_actions(now, actions, context.version, control, out);
    }

    /// Creates the grantor when this host becomes control leader, drops it when the leadership
    /// ends, and passes the latest confirmation of the leadership on to it.
    pub(crate) fn update_grantor(&mut self, now: Timestamp, control: &ControlLog) {
        if !control.leads(now) {
            self.grantor = None;
            return;
        }
        let Some(replica) = control.replica() else { return };
        let confirmed = replica.leadership_confirmed_at(now);
        let grantor = self.grantor.get_or_insert_with(|| {
            let zones = self.zones.iter().map(|zone| granted_zone(zone, control)).collect();
            // Leases of an earlier leader count from its last round of messages that a majority
            // acknowledged. That round was sent before the leaderless time began, which was
            // measured on clocks whose rates differ by at most 1%.
            let leaderless = replica.leaderless_time();
            let start = replica.leader_since().unwrap_or(now) - (leaderless - leaderless / 100);
            LeaseGrantor::new(LeaseOptions::zone(), start, zones)
        });
        if let Some(confirmed) = confirmed {
            grantor.confirm_leadership(confirmed);
        }
    }

    fn update_candidacy(&mut self, now: Timestamp, context: LeaseContext, control: &ControlLog) {
        if self.is_closing {
            return;
        }
        let grant = control.view().grant(self.zone.as_str());
        let is_own = grant.is_some_and(|grant| (grant.host, grant.boot) == (self.host, self.boot));
        if is_own {
            self.lease.become_candidate();
            return;
        }
        if context.is_leader_alive {
            self.leaderless_since = None;
            self.withdraw_candidacy(now);
            return;
        }
        let granted = grant.map(|grant| grant.term);
        if granted > self.last_seen_grant {
            // Another candidate was granted the zone. Competing with it would only use up terms.
            self.last_seen_grant = granted;
            self.leaderless_since = Some(now + TAKEOVER_TIMEOUT);
            self.withdraw_candidacy(now);
        }
        let since = *self.leaderless_since.get_or_insert(now);
        if self.promise_grantor.is_ready(now) && now >= since + CANDIDATE_DELAY * (context.rank + 1)
        {
            self.lease.become_candidate();
        }
    }

    /// Releases the zone's lease on shutdown. The host no longer becomes a candidate.
    pub(crate) fn release(&mut self, now: Timestamp, control: &mut ControlLog, out: &mut Outbox) {
        self.is_closing = true;
        let actions = self.lease.release(now);
        self.run_actions(now, actions, TableVersion::default(), control, out);
    }

    /// Ends this host's candidacy, because another host leads the zone or was granted it. Keeps a
    /// lease that is already held.
    fn withdraw_candidacy(&mut self, now: Timestamp) {
        if self.lease.term().is_none() {
            self.lease.release(now);
        }
    }

    fn run_actions(
        &mut self,
        now: Timestamp,
        actions: Vec<LeaseAction>,
        version: TableVersion,
        control: &mut ControlLog,
        out: &mut Outbox,
    ) {
        for action in actions {
            match action {
                LeaseAction::SendToControl(request) => {
                    self.ask_control(now, request, version, control, out);
                }
                LeaseAction::SendToPeer(peer, request) if peer == self.host => {
                    let answer = self.promise_grantor.handle(now, &request, version);
                    self.lease.handle_promise(now, &answer);
                }
                LeaseAction::SendToPeer(peer, request) => {
                    out.datagram(peer, PeerMessage::PromiseRequest(request));
                }
            }
        }
    }

    fn ask_control(
        &mut self,
        now: Timestamp,
        request: LeaseRequest,
        version: TableVersion,
        control: &mut ControlLog,
        out: &mut Outbox,
    ) {
        if self.grantor.is_some() {
            let answer = self.grant(now, &request, control, out);
            if let Some(answer) = answer {
                self.handle_answer(now, &answer, version, control, out);
            }
            return;
        }
        // A host whose lease is not fresh asks every replica: the leader that it knows may be gone,
        // and only the current one answers.
        let is_lease_fresh = self.lease.state(now) == LeaseState::HolderByControl
            && self.lease.held_until().since(now) > MIN_FRESH_REMAINING;
        match control.leader().filter(|leader| is_lease_fresh && *leader != self.host) {
            Some(leader) => out.datagram(leader, PeerMessage::LeaseRequest(request)),
            None => {
                for replica in control.other_replicas() {
                    out.datagram(replica, PeerMessage::LeaseRequest(request.clone()));
                }
            }
        }
    }

    /// Answers a request as control leader. Returns nothing if this host is not the control leader.
    fn grant(
        &mut self,
        now: Timestamp,
        request: &LeaseRequest,
        control: &mut ControlLog,
        out: &mut Outbox,
    ) -> Option<LeaseAnswer> {
        let grantor = self.grantor.as_mut()?;
        let reply = grantor.handle(now, request);
        if let Some((host, boot)) = reply.proposal {
            let zone = request.zone.clone();
            control.propose(now, ControlCommand::GrantZone { zone, host, boot }, out);
        }
        Some(reply.answer)
    }

    pub(crate) fn handle_request(
        &mut self,
        now: Timestamp,
        from: HostId,
        request: &LeaseRequest,
        control: &mut ControlLog,
        out: &mut Outbox,
    ) {
        self.update_grantor(now, control);
        if let Some(answer) = self.grant(now, request, control, out) {
            out.datagram(from, PeerMessage::LeaseAnswer(answer));
        }
    }

    pub(crate) fn handle_answer(
        &mut self,
        now: Timestamp,
        answer: &LeaseAnswer,
        version: TableVersion,
        control: &mut ControlLog,
        out: &mut Outbox,
    ) {
        let actions = self.lease.handle_answer(now, answer);
        self.run_actions(now, actions, version, control, out);
    }

    pub(crate) fn handle_promise_request(
        &mut self,
        now: Timestamp,
        from: HostId,
        request: &PromiseRequest,
        version: TableVersion,
        out: &mut Outbox,
    ) {
        let answer = self.promise_grantor.handle(now, request, version);
        out.datagram(from, PeerMessage::PromiseAnswer(answer));
    }

    pub(crate) fn handle_promise(&mut self, now: Timestamp, answer: &PromiseAnswer) {
        self.lease.handle_promise(now, answer);
    }

    /// Updates the grantor with an applied control log entry.
    pub(crate) fn apply(&mut self, applied: &AppliedCommand, control: &ControlLog) {
        let Some(grantor) = &mut self.grantor else { return };
        match (&applied.command, &applied.outcome) {
            (ControlCommand::GrantZone { zone, host, boot }, ControlOutcome::Grant(outcome)) => {
                match outcome {
                    GrantOutcome::Granted { term } => {
                        let holder = LeaseHolder { host: *host, boot: *boot, term: *term };
                        grantor.apply_grant(zone, holder, applied.index);
                    }
                    _ => grantor.abandon_proposal(zone),
                }
            }
            (ControlCommand::Delegate { expired, .. }, _) => {
                for zone in expired {
                    grantor.finish_redelegation(zone, applied.index);
                }
            }
            (ControlCommand::ApplyProfile(_) | ControlCommand::RegisterService(_), _) => {
                for zone in &self.zones {
                    grantor.set_zone_hold(zone, zone_hold(control));
                }
            }
            _ => {}
        }
    }
}

/// The longest `zone_hold` of all services, because a zone's lease covers the slots of all of them.
fn zone_hold(control: &ControlLog) -> Duration {
    let view = control.view();
    let holds = view
        .definitions()
        .filter_map(|definition| view.service_profile(definition.name.as_str()))
        .map(|effective| effective.profile.moves.zone_hold_ms);
    let default = gw_profile::MoveRules::default().zone_hold_ms;
    Duration::from_millis(u64::from(holds.max().unwrap_or(default)))
}

fn granted_zone(zone: &ZoneName, control: &ControlLog) -> GrantedZone {
    let holder = control.view().grant(zone.as_str()).map(|grant| LeaseHolder {
        host: grant.host,
        boot: grant.boot,
        term: grant.term,
    });
    GrantedZone { zone: zone.clone(), holder, zone_hold: zone_hold(control) }
}
