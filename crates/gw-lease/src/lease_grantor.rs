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

/// Result of handling a [`LeaseRequest`].
#[derive(Clone, Debug)]
pub struct GrantorReply {
    /// Answer to send to the requesting host.
    pub answer: LeaseAnswer,
    /// Host and boot for which the caller must propose a grant of the zone to the control log.
    pub proposal: Option<(HostId, BootId)>,
}

/// Leases of all zones, as the control leader grants them.
///
/// Must be created for each leadership, after the leader has applied the first entry of its own
/// term, and dropped when the leadership ends.
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    options: LeaseOptions,
    /// Send time of the latest round of messages that a majority of replicas acknowledged.
    confirmed: Option<Timestamp>,
    /// Sorted by zone.
    zones: Vec<ZoneGrant>,
}

impl LeaseGrantor {
    /// Creates the grantor of a leader that starts at `now`.
    ///
    /// Assumes that every zone was renewed at `now`, so that each lease may be held for one lease
    /// length from then.
    pub fn new(options: LeaseOptions, now: Timestamp, zones: Vec<GrantedZone>) -> Self {
        let to_grant = |zone| ZoneGrant::new(&options, now, zone);
        let mut zones: Vec<_> = zones.into_iter().map(to_grant).collect();
        zones.sort_by(|a, b| a.zone.cmp(&b.zone));
        Self { options, confirmed: None, zones }
    }

    /// Adds a zone that the control group learned of during this leadership. Does nothing if the
    /// zone is known.
    pub fn add_zone(&mut self, now: Timestamp, granted: GrantedZone) {
        if let Err(index) = self.zones.binary_search_by(|grant| grant.zone.cmp(&granted.zone)) {
            self.zones.insert(index, ZoneGrant::new(&self.options, now, granted));
        }
    }

    /// Records that a majority acknowledged the round of messages sent at `sent_at`.
    pub fn confirm_leadership(&mut self, sent_at: Timestamp) {
        self.confirmed = self.confirmed.max(Some(sent_at));
    }

    /// Sets how long promises may extend holds that are renewed from now on.
    pub fn set_zone_hold(&mut self, zone: &ZoneName, zone_hold: Duration) {
        if let Some(grant) = self.grant_mut(zone) {
            grant.zone_hold = zone_hold;
        }
    }

    /// Handles a request of a holder or candidate.
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
        if request.applied < grant.required_index {
            return (LeaseOutcome::Behind(grant.required_index), None);
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

    /// Returns the length of a lease granted at `now`. The lease ends one lease length after the
    /// latest round that showed this leader's term to be the current one.
    fn remaining(&self, now: Timestamp) -> Duration {
        let age = self.confirmed.map_or(self.options.lease, |sent_at| now.since(sent_at));
        self.options.lease.saturating_sub(age)
    }

    /// Returns whether the lease of the zone has certainly expired and no change of its holder is
    /// pending.
    pub fn takeover_allowed(&self, now: Timestamp, zone: &ZoneName) -> bool {
        self.grant(zone).is_some_and(|grant| !grant.pending && grant.is_free(now, &self.options))
    }

    /// Applies the grant committed at `index` of the control log.
    pub fn apply_grant(&mut self, zone: &ZoneName, holder: LeaseHolder, index: u64) {
        if let Some(grant) = self.grant_mut(zone) {
            grant.holder = Some(holder);
            grant.required_index = grant.required_index.max(index);
            grant.pending = false;
        }
    }

    /// Ends a proposal that is certain not to be committed.
    pub fn abandon_proposal(&mut self, zone: &ZoneName) {
        if let Some(grant) = self.grant_mut(zone) {
            grant.pending = false;
        }
    }

    /// Returns whether the zone has expired: its lease has not been renewed for so long that no
    /// host can hold it, not even by promises.
    pub fn redelegation_allowed(&self, now: Timestamp, zone: &ZoneName) -> bool {
        self.grant(zone).is_some_and(|grant| {
            !grant.pending && now >= grant.promised_until && now >= grant.held_until
        })
    }

    /// Begins to re-delegate the slots of an expired zone and returns whether that is allowed. If
    /// so, nothing of the zone is renewed until [`finish_redelegation`](Self::finish_redelegation).
    pub fn begin_redelegation(&mut self, now: Timestamp, zone: &ZoneName) -> bool {
        let allowed = self.redelegation_allowed(now, zone);
        if let Some(grant) = self.grant_mut(zone) {
            grant.pending |= allowed;
        }
        allowed
    }

    /// Applies the delegation committed at `index` of the control log. Hosts of the zone get leases
    /// only after they have applied it.
    pub fn finish_redelegation(&mut self, zone: &ZoneName, index: u64) {
        if let Some(grant) = self.grant_mut(zone) {
            grant.required_index = grant.required_index.max(index);
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
