use std::collections::BTreeMap;
use std::collections::BTreeSet;

use gw_lease::drift_margin;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::ServiceName;
use gw_types::ServiceTable;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneTable;

use crate::DrainDone;
use crate::DrainRequest;
use crate::HandoverId;
use crate::HandoverPurpose;
use crate::HandoverSubject;
use crate::OverrideError;
use crate::PlacementOptions;
use crate::SendBound;
use crate::SlotDelegation;
use crate::SlotHandover;
use crate::TableDelta;
use crate::TokenCounter;
use crate::WeightedTarget;

/// Why a move was not begun.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MoveError {
    /// The zone has no such service.
    #[error("service {0} has no slots in this zone")]
    Service(ServiceName),
    /// The destination does not exist or takes no work.
    #[error("target {0} takes no work of the service")]
    Target(TargetName),
    /// The key has no owner at present, or no override.
    #[error("key {0} is in handover or has no override")]
    Key(KeyHash),
    /// The overrides refuse the change.
    #[error(transparent)]
    Override(#[from] OverrideError),
}

/// Targets and ownership of a zone, in the hands of the zone's leader.
///
/// Invariants:
/// - a slot or key has an owner only while no handover of it is under way;
/// - the token of a slot and of a key only grows, and grows with each grant and revocation;
/// - the old owner of a handover stays bounded until the handover is safe.
#[derive(Clone, Debug)]
pub struct ZonePlacement {
    pub(crate) options: PlacementOptions,
    pub(crate) term: TermNumber,
    pub(crate) table: ZoneTable,
    /// The table as published last.
    published: ZoneTable,
    pub(crate) tokens: TokenCounter,
    /// Sorted by service; each list is sorted by slot.
    pub(crate) delegations: BTreeMap<ServiceName, Vec<SlotDelegation>>,
    /// Until when each target may be sent requests. Kept for targets that are gone.
    pub(crate) bounds: BTreeMap<TargetName, SendBound>,
    /// The host that was named last as dispatcher of each target.
    pub(crate) dispatchers: BTreeMap<TargetName, HostId>,
    /// Until when requests of dispatchers before the present one may run at each target.
    pub(crate) earlier_requests: BTreeMap<TargetName, Timestamp>,
    pub(crate) handovers: Vec<SlotHandover>,
    pub(crate) next_handover: u64,
    /// Targets to be forgotten when nothing refers to them any more.
    pub(crate) leaving: BTreeSet<TargetName>,
    /// Whether the table may differ from the published one. While it does not, there is nothing to
    /// assign either.
    pub(crate) dirty: bool,
}

impl ZonePlacement {
    /// The placement of a leader of `term` that adopted `table`, the highest that it found.
    ///
    /// Every grant of an earlier term counts as live until one dispatcher lease and the longest
    /// deadline have passed. Slots and keys without owner may be in a handover of the earlier
    /// leader, whose old owner is not known; they wait as long.
    pub fn adopt(
        options: PlacementOptions,
        term: TermNumber,
        table: ZoneTable,
        now: Timestamp,
    ) -> Self {
        let inherited = SendBound::new(now + options.dispatcher_lease, options.longest_deadline);
        let bounds = table.targets.iter().map(|entry| (entry.name.clone(), inherited)).collect();
        let named = table.targets.iter();
        let named = named.filter_map(|entry| Some((entry.name.clone(), entry.dispatcher?)));
        let dispatchers = named.collect();
        let mut placement = Self {
            options,
            term,
            published: table.clone(),
            tokens: TokenCounter::new(term, &table),
            table,
            delegations: BTreeMap::new(),
            bounds,
            dispatchers,
            earlier_requests: BTreeMap::new(),
            handovers: Vec::new(),
            next_handover: 0,
            leaving: BTreeSet::new(),
            dirty: true,
        };
        if options.raise_tokens {
            placement.raise_tokens();
        }
        if options.faults.forget_old_grants {
            placement.bounds.clear();
        } else {
            placement.resume_handovers(now, inherited);
        }
        placement
    }

    fn resume_handovers(&mut self, now: Timestamp, bound: SendBound) {
        for table in self.table.services.clone() {
            for range in table.ranges.iter().filter(|range| range.owner.is_none()) {
                let subject = HandoverSubject::Slots { first: range.first, last: range.last };
                self.resume(now, &table.service, subject, range.token, bound);
            }
            for key in table.overrides.iter().filter(|key| key.owner.is_none()) {
                let subject = HandoverSubject::Key(key.key);
                self.resume(now, &table.service, subject, key.token, bound);
            }
        }
    }

    fn resume(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        subject: HandoverSubject,
        token: gw_types::FencingToken,
        bound: SendBound,
    ) {
        let purpose = HandoverPurpose::Grant(None);
        let id = self.take_handover_id();
        let service = service.clone();
        let handover = SlotHandover::start(
            now, id, service, subject, None, None, false, purpose, token, bound,
        );
        self.handovers.push(handover);
    }

    pub(crate) fn take_handover_id(&mut self) -> HandoverId {
        self.next_handover += 1;
        HandoverId { term: self.term, number: self.next_handover }
    }

    /// The present table. Its version is that of the last publication.
    pub fn table(&self) -> &ZoneTable {
        &self.table
    }

    /// Handovers under way.
    pub fn handovers(&self) -> &[SlotHandover] {
        &self.handovers
    }

    /// Targets of `service` that take work, by name, weighted by their work slots.
    pub fn targets_of(&self, service: &ServiceName) -> Vec<WeightedTarget> {
        let takes_work =
            |entry: &&TargetEntry| entry.service == *service && entry.state.accepts_work();
        let to_weighted = |entry: &TargetEntry| WeightedTarget {
            name: entry.name.clone(),
            weight: u32::from(entry.work_slots.max(1)),
        };
        self.table.targets.iter().filter(takes_work).map(to_weighted).collect()
    }

    /// Replaces the slots that the control group delegated to the zone.
    ///
    /// Slots that are no longer in it are handed over and then leave the table. New slots get an
    /// owner once they are ready.
    pub fn set_delegation(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        mut delegated: Vec<SlotDelegation>,
    ) {
        delegated.sort_by_key(|range| range.first);
        // Leaders repeat the delegations whenever the control log grows.
        if self.delegations.get(service) == Some(&delegated) {
            return;
        }
        self.delegations.insert(service.clone(), delegated);
        self.dirty = true;
        self.release_undelegated(now, service);
    }

    /// Notes that the delegations of all services have been set up to `term`, so that the next
    /// version shows what the zone has let go of.
    pub fn set_delegation_term(&mut self, term: TermNumber) {
        if term > self.table.delegation {
            self.table.delegation = term;
            self.dirty = true;
        }
    }

    pub(crate) fn delegation_of(&self, service: &ServiceName, slot: u16) -> Option<SlotDelegation> {
        let ranges = self.delegations.get(service)?;
        ranges.iter().find(|range| range.first <= slot && slot <= range.last).copied()
    }

    /// Notes that the lease granted to a target's dispatcher ends at `until`. Must be called with
    /// each grant, before it is sent.
    pub fn record_grant(&mut self, target: &TargetName, until: Timestamp) {
        let bound = SendBound::new(until, self.options.longest_deadline);
        let known = self.bounds.entry(target.clone()).or_default();
        *known = known.max(bound);
    }

    /// Takes a dispatcher's answer that nothing of a handover is in flight.
    ///
    /// A run that is younger than the longest deadline plus margin is asked again.
    pub fn confirm_drain(&mut self, done: &DrainDone) {
        let deadline = self.options.longest_deadline;
        let settled = done.run_age >= deadline + drift_margin(deadline);
        if !settled && !self.options.faults.trust_new_run {
            return;
        }
        if let Some(handover) = self.handovers.iter_mut().find(|handover| handover.id == done.id) {
            handover.confirm_dispatcher(done.dispatcher);
        }
    }

    /// Takes a target's answer that it refuses tokens below `token` for the handover's subject and
    /// runs none of its requests.
    pub fn confirm_revocation(&mut self, id: HandoverId, token: gw_types::FencingToken) {
        let trusted = self.options.faults.trust_unchecked_target;
        if let Some(handover) = self.handovers.iter_mut().find(|handover| handover.id == id) {
            handover.checks_tokens |= trusted;
            handover.confirm_target(token);
        }
    }

    /// Goes on with everything that time or confirmations allow.
    pub fn tick(&mut self, now: Timestamp) {
        self.finish_safe(now);
        if !self.dirty {
            return;
        }
        self.drop_undelegated();
        self.add_delegated();
        self.assign_free();
        self.forget_left();
    }

    /// Drain requests that are due; each is repeated until it is answered.
    pub fn drain_requests(&mut self, now: Timestamp) -> Vec<DrainRequest> {
        let next = now + self.options.drain_repeat;
        let due = self.handovers.iter_mut().filter_map(|handover| {
            handover.take_request(now, next).then(|| to_request(handover)).flatten()
        });
        due.collect()
    }

    /// When [`tick`](Self::tick) or [`drain_requests`](Self::drain_requests) has something to do.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.handovers.iter().map(SlotHandover::next_wakeup).min()
    }

    /// Gives the changed table a new version and returns what changed since the last one.
    ///
    /// Work that left the table as it was makes no version, but for the first of a term. Otherwise
    /// each version that is stored in the control log would lead to another one: delegations are
    /// set again with each entry that is applied.
    pub fn publish(&mut self) -> Option<TableDelta> {
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        let last = self.published.version;
        if last.term == self.term && self.table == self.published {
            return None;
        }
        self.table.version.number = if last.term == self.term { last.number + 1 } else { 1 };
        self.table.version.term = self.term;
        let delta = TableDelta::between(&self.published, &self.table);
        self.published = self.table.clone();
        self.handovers.iter_mut().for_each(SlotHandover::mark_published);
        Some(delta)
    }

    pub(crate) fn service_table(&self, service: &ServiceName) -> Option<&ServiceTable> {
        self.table.service(service.as_str())
    }
}

fn to_request(handover: &SlotHandover) -> Option<DrainRequest> {
    Some(DrainRequest {
        id: handover.id,
        dispatcher: handover.dispatcher?,
        service: handover.service.clone(),
        subject: handover.subject,
        target: handover.from.clone()?,
        token: handover.token,
    })
}
