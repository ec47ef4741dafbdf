use std::time::Duration;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::GrantedZone;
use crate::LeaseAnswer;
use crate::LeaseHolder;
use crate::LeaseOperation;
use crate::LeaseOptions;
use crate::LeaseOutcome;
use crate::LeaseRequest;
use crate::zone_grant::ZoneGrant;

/// What the control leader does with a request.
#[derive(Clone, Debug)]
pub struct GrantorReply {
    /// To be sent to the host that asked.
    pub answer: LeaseAnswer,
    /// A grant of the zone to this host to be proposed to the control log.
    pub proposal: Option<(HostId, BootId)>,
}

/// Leases of all zones as the control leader tracks them.
///
/// Must be created anew with each leadership, after the leader has applied the first entry of its
/// own term, and dropped with it.
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    options: LeaseOptions,
    /// When the last round of messages that a majority of replicas acknowledged was sent.
    confirmed: Option<Timestamp>,
    /// Sorted by zone.
    zones: Vec<ZoneGrant>,
}

impl LeaseGrantor {
    /// The grantor of a leader that starts now.
    ///
    /// Every lease may be held for one lease from now, and every zone counts as renewed now.
    pub fn new(options: LeaseOptions, now: Timestamp, zones: Vec<GrantedZone>) -> Self {
        let to_grant = |known| ZoneGrant::new(&options, now, known);
        let mut zones: Vec<_> = zones.into_iter().map(to_grant).collect();
        zones.sort_by(|a, b| a.zone.cmp(&b.zone));
        Self { options, confirmed: None, zones }
    }

    /// Adds a zone that the control group learned of during this leadership.
    ///
    /// Does nothing when the zone is known.
    pub fn add_zone(&mut self, now: Timestamp, known: GrantedZone) {
        if let Err(index) = self.zones.binary_search_by(|grant| grant.zone.cmp(&known.zone)) {
            self.zones.insert(index, ZoneGrant::new(&self.options, now, known));
        }
    }

    /// Notes that a majority acknowledged the round of messages sent at `sent_at`.
    pub fn confirm_leadership(&mut self, sent_at: Timestamp) {
        self.confirmed = self.confirmed.max(Some(sent_at));
    }

    /// Sets how long promises may extend holds that are renewed from now on.
    pub fn set_zone_hold(&mut self, zone: &ZoneName, zone_hold: Duration) {
        if let Some(grant) = self.grant_mut(zone) {
            grant.zone_hold = zone_hold;
        }
    }

    /// Answers a request of a holder or candidate.
    pub fn handle(&mut self, now: Timestamp, request: &LeaseRequest) -> GrantorReply {
        let (outcome, proposal) = self.decide(now, request);
        let answer = LeaseAnswer {
            zone: request.zone.clone(),
            boot: request.boot,
            sequence: request.sequence,
            outcome,
        };
        GrantorReply { answer, proposal }
    }

    fn decide(
        &mut self,
        now: Timestamp,
        request: &LeaseRequest,
    ) -> (LeaseOutcome, Option<(HostId, BootId)>) {
        let remaining = self.remaining(now);
        let options = self.options;
        let Some(grant) = self.grant_mut(&request.zone) else {
            return (LeaseOutcome::UnknownZone, None);
        };
        if let LeaseOperation::Release(term) = request.operation {
            grant.release(now, LeaseHolder { host: request.host, boot: request.boot, term });
            return (LeaseOutcome::Released, None);
        }
        if remaining.is_zero() {
            return (LeaseOutcome::Unconfirmed, None);
        }
        if grant.pending {
            return (LeaseOutcome::Held, None);
        }
        if request.applied < grant.required {
            return (LeaseOutcome::Behind(grant.required), None);
        }
        if let Some(term) = grant.renewable_term(request) {
            return (grant.renew(now, term, remaining, &options), None);
        }
        match request.operation {
            LeaseOperation::Acquire(_) if grant.is_free(now, &options) => {
                grant.pending = true;
                grant.after_release = grant.is_released;
                (LeaseOutcome::Held, Some((request.host, request.boot)))
            }
            LeaseOperation::Acquire(_) => (LeaseOutcome::Held, None),
            _ => (LeaseOutcome::Superseded(grant.term()), None),
        }
    }

    /// How long a lease answered now may last, so that it ends one lease after the last round that
    /// shows this leader's term to be the latest.
    fn remaining(&self, now: Timestamp) -> Duration {
        let age = self.confirmed.map_or(self.options.lease, |sent_at| now.since(sent_at));
        self.options.lease.saturating_sub(age)
    }

    /// Whether the lease of the zone has surely passed.
    pub fn takeover_allowed(&self, now: Timestamp, zone: &ZoneName) -> bool {
        self.grant(zone).is_some_and(|grant| !grant.pending && grant.is_free(now, &self.options))
    }

    /// Applies a committed grant; `index` is its place in the control log.
    pub fn apply_grant(&mut self, zone: &ZoneName, holder: LeaseHolder, index: u64) {
        if let Some(grant) = self.grant_mut(zone) {
            grant.holder = Some(holder);
            grant.required = grant.required.max(index);
            grant.pending = false;
        }
    }

    /// Ends a proposal that surely will not be committed.
    pub fn abandon_proposal(&mut self, zone: &ZoneName) {
        if let Some(grant) = self.grant_mut(zone) {
            grant.pending = false;
        }
    }

    /// Whether the zone has been silent for so long that nobody can hold it.
    pub fn redelegation_allowed(&self, now: Timestamp, zone: &ZoneName) -> bool {
        self.grant(zone).is_some_and(|grant| {
            !grant.pending && now >= grant.promised_until && now >= grant.held_until
        })
    }

    /// Begins the re-delegation of a silent zone's slots. Nothing of the zone is renewed until
    /// [`finish_redelegation`](Self::finish_redelegation). Returns whether it is allowed.
    pub fn begin_redelegation(&mut self, now: Timestamp, zone: &ZoneName) -> bool {
        let allowed = self.redelegation_allowed(now, zone);
        if let Some(grant) = self.grant_mut(zone) {
            grant.pending |= allowed;
        }
        allowed
    }

    /// Applies a committed delegation. Hosts of the zone get leases once they have applied it.
    pub fn finish_redelegation(&mut self, zone: &ZoneName, index: u64) {
        if let Some(grant) = self.grant_mut(zone) {
            grant.required = grant.required.max(index);
            grant.pending = false;
        }
    }

    fn grant(&self, zone: &ZoneName) -> Option<&ZoneGrant> {
        let index = self.zones.binary_search_by(|grant| grant.zone.cmp(zone)).ok()?;
        self.zones.get(index)
    }

    fn grant_mut(&mut self, zone: &ZoneName) -> Option<&mut ZoneGrant> {
        let index = self.zones.binary_search_by(|grant| grant.zone.cmp(zone)).ok()?;
        self.zones.get_mut(index)
    }
}
