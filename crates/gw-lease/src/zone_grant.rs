use std::time::Duration;

use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::LeaseHolder;
use crate::LeaseOperation;
use crate::LeaseOptions;
use crate::LeaseOutcome;
use crate::LeaseRequest;

/// A zone as the control log describes it to a new control leader.
#[derive(Clone, Debug)]
pub struct GrantedZone {
    /// The zone.
    pub zone: ZoneName,
    /// Holder of the latest committed grant.
    pub holder: Option<LeaseHolder>,
    /// Longest `zone_hold` that a profile revision in force since the last renewal may have had.
    pub zone_hold: Duration,
}

/// What the control leader knows of one zone's lease.
#[derive(Clone, Debug)]
pub(crate) struct ZoneGrant {
    pub(crate) zone: ZoneName,
    pub(crate) holder: Option<LeaseHolder>,
    pub(crate) zone_hold: Duration,
    /// The lease may be held before this time. Never decreases but by a release.
    pub(crate) held_until: Timestamp,
    /// Promises may extend a hold up to this time. Never decreases.
    pub(crate) promised_until: Timestamp,
    /// Whether the last holder gave the lease up, rather than let it pass.
    pub(crate) is_released: bool,
    /// Whether the present holder came after one that gave the lease up.
    pub(crate) after_release: bool,
    /// A grant or delegation has been proposed and not committed; nothing is renewed meanwhile.
    pub(crate) pending: bool,
    /// A host must have applied the control log up to here before its lease is renewed.
    pub(crate) required: u64,
}

impl ZoneGrant {
    pub(crate) fn new(options: &LeaseOptions, now: Timestamp, known: GrantedZone) -> Self {
        Self {
            zone: known.zone,
            holder: known.holder,
            zone_hold: known.zone_hold,
            held_until: now + options.with_margin(options.lease),
            promised_until: now + options.with_margin(known.zone_hold),
            is_released: false,
            // An earlier control leader may have granted the zone after a release a moment ago.
            after_release: true,
            pending: false,
            required: 0,
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
        let wanted = match request.operation {
            LeaseOperation::Renew(term) => holder.term == term,
            LeaseOperation::Acquire(above) => holder.term > above,
            LeaseOperation::Release(_) => false,
        };
        let same_run = holder.host == request.host && holder.boot == request.boot;
        (wanted && same_run).then_some(holder.term)
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
