use std::time::Duration;

use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::LeaseHolder;
use crate::LeaseOperation;
use crate::LeaseOptions;
use crate::LeaseOutcome;
use crate::LeaseRequest;

/// Zone with its latest grant, as a new control leader reads it from the control log.
#[derive(Clone, Debug)]
pub struct GrantedZone {
    /// Zone of the grant.
    pub zone: ZoneName,
    /// Holder of the latest committed grant, if the zone has one.
    pub holder: Option<LeaseHolder>,
    /// Longest `zone_hold` of all profile revisions that may have been in force since the last
    /// renewal.
    pub zone_hold: Duration,
}

/// Lease of one zone, as the control leader grants it.
#[derive(Clone, Debug)]
pub(crate) struct ZoneGrant {
    pub(crate) zone: ZoneName,
    pub(crate) holder: Option<LeaseHolder>,
    pub(crate) zone_hold: Duration,
    /// Time before which a host may hold the lease. Only a release decreases it.
    pub(crate) held_until: Timestamp,
    /// Time up to which promises may extend a hold. Never decreases.
    pub(crate) promised_until: Timestamp,
    /// Whether the last holder released the lease instead of letting it expire.
    pub(crate) is_released: bool,
    /// Whether the current holder succeeded one that released the lease.
    pub(crate) after_release: bool,
    /// Whether a grant or delegation is proposed and not committed. Nothing is renewed meanwhile.
    pub(crate) pending: bool,
    /// Index up to which a host must have applied the control log before its lease is renewed.
    pub(crate) required_index: u64,
}

impl ZoneGrant {
    pub(crate) fn new(options: &LeaseOptions, now: Timestamp, granted: GrantedZone) -> Self {
        Self {
            zone: granted.zone,
            holder: granted.holder,
            zone_hold: granted.zone_hold,
            held_until: now + options.with_margin(options.lease),
            promised_until: now + options.with_margin(granted.zone_hold),
            is_released: false,
            // An earlier control leader may have granted the zone shortly before, after a release.
            after_release: true,
            pending: false,
            required_index: 0,
        }
    }

    pub(crate) fn term(&self) -> TermNumber {
        self.holder.map_or(TermNumber(0), |holder| holder.term)
    }

    pub(crate) fn is_free(&self, now: Timestamp, options: &LeaseOptions) -> bool {
        now >= self.held_until || options.faults.grant_while_held
    }

    pub(crate) fn release(&mut self, now: Timestamp, released: LeaseHolder) {
        if self.holder == Some(released) {
            self.holder = None;
            self.held_until = now;
            self.is_released = true;
        }
    }

    pub(crate) fn renewable_term(&self, request: &LeaseRequest) -> Option<TermNumber> {
        let holder = self.holder?;
        let is_wanted = match request.operation {
            LeaseOperation::Renew(term) => holder.term == term,
            LeaseOperation::Acquire(above) => holder.term > above,
            LeaseOperation::Release(_) => false,
        };
        let is_same_boot = holder.host == request.host && holder.boot == request.boot;
        (is_wanted && is_same_boot).then_some(holder.term)
    }

    pub(crate) fn renew(
        &mut self,
        now: Timestamp,
        term: TermNumber,
        remaining: Duration,
        options: &LeaseOptions,
    ) -> LeaseOutcome {
        self.held_until = self.held_until.max(now + options.with_margin(remaining));
        self.promised_until = self.promised_until.max(now + options.with_margin(self.zone_hold));
        self.is_released = false;
        let (zone_hold, after_release) = (self.zone_hold, self.after_release);
        LeaseOutcome::Renewed { term, remaining, zone_hold, after_release }
    }
}
