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

/// Error of a method of [`ZonePlacement`] that begins a move.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MoveError {
    /// The zone has no slots of the service.
    #[error("service {0} has no slots in this zone")]
    Service(ServiceName),
    /// The destination does not exist or does not accept work of the service.
    #[error("target {0} does not accept work of the service")]
    Target(TargetName),
    /// The key is in handover, or has no override to remove.
    #[error("key {0} is in handover or has no override")]
    Key(KeyHash),
    /// The override of the key cannot be changed.
    #[error(transparent)]
    Override(#[from] OverrideError),
}

/// Targets of a zone and ownership of its slots and keys, as the zone leader assigns them.
///
/// Invariants:
/// - a slot or key has an owner only while no handover of it is in progress;
/// - the token of a slot or key never decreases, and increases with each grant and revocation;
/// - the old owner of a handover keeps a bound until the handover is safe.
#[derive(Clone, Debug)]
pub struct ZonePlacement {
    pub(crate) options: PlacementOptions,
    pub(crate) term: TermNumber,
    pub(crate) table: ZoneTable,
    /// Table as last published.
    published: ZoneTable,
    pub(crate) tokens: TokenCounter,
    /// Delegated slots by service; each list is sorted by slot.
    pub(crate) delegations: BTreeMap<ServiceName, Vec<SlotDelegation>>,
    /// Time until which each target may be sent requests. Kept for targets that were removed.
    pub(crate) bounds: BTreeMap<TargetName, SendBound>,
    /// Host last named as the dispatcher of each target.
    pub(crate) dispatchers: BTreeMap<TargetName, HostId>,
    /// Time until which requests of earlier dispatchers may run at each target.
    pub(crate) earlier_requests: BTreeMap<TargetName, Timestamp>,
    pub(crate) handovers: Vec<SlotHandover>,
    pub(crate) next_handover: u64,
    /// Targets that left, and are removed once nothing refers to them.
    pub(crate) leaving: BTreeSet<TargetName>,
    /// Whether the table may differ from the published one. While it does not, no slot needs to be
    /// assigned either.
    pub(crate) dirty: bool,
}

impl ZonePlacement {
    /// Creates the placement of a leader of `term` that adopted `table`, the highest version that
    /// it found.
    ///
    /// Every grant of an earlier term counts as in force until one dispatcher lease and the longest
    /// deadline have passed. Slots and keys without owner may be in a handover of the earlier
    /// leader; they wait equally long, because their old owner is not known.
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
        if options.faults.ignore_old_grants {
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
                self.resume_handover(now, &table.service, subject, range.token, bound);
            }
            for key in table.overrides.iter().filter(|key| key.owner.is_none()) {
                let subject = HandoverSubject::Key(key.key);
                self.resume_handover(now, &table.service, subject, key.token, bound);
            }
        }
    }

    fn resume_handover(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        subject: HandoverSubject,
        token: gw_types::FencingToken,
        bound: SendBound,
    ) {
        let purpose = HandoverPurpose::Grant(None);
        let id = self.allocate_handover_id();
        let service = service.clone();
        let handover = SlotHandover::start(
            now, id, service, subject, None, None, false, purpose, token, bound,
        );
        self.handovers.push(handover);
    }

    pub(crate) fn allocate_handover_id(&mut self) -> HandoverId {
        self.next_handover += 1;
        HandoverId { term: self.term, number: self.next_handover }
    }

    /// Returns the current table. Its version is that of the last publication.
    pub fn table(&self) -> &ZoneTable {
        &self.table
    }

    /// Returns the handovers in progress.
    pub fn handovers(&self) -> &[SlotHandover] {
        &self.handovers
    }

    /// Returns the targets of `service` that accept work, sorted by name and weighted by their work
    /// slots.
    pub fn targets_of(&self, service: &ServiceName) -> Vec<WeightedTarget> {
        let accepts_work =
            |entry: &&TargetEntry| entry.service == *service && entry.state.accepts_work();
        let to_weighted = |entry: &TargetEntry| WeightedTarget {
            name: entry.name.clone(),
            weight: u32::from(entry.work_slots.max(1)),
        };
        self.table.targets.iter().filter(accepts_work).map(to_weighted).collect()
    }

    /// Replaces the slots that the control group delegated to the zone.
    ///
    /// Slots that are no longer delegated are handed over and then removed from the table. New
    /// slots get an owner once they are ready.
    pub fn set_delegation(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        mut delegated: Vec<SlotDelegation>,
    ) {
        delegated.sort_by_key(|range| range.first);
        // Zone leaders set the delegations again whenever the control log grows.
        if self.delegations.get(service) == Some(&delegated) {
            return;
        }
        self.delegations.insert(service.clone(), delegated);
        self.dirty = true;
        self.release_undelegated(now, service);
    }

    /// Raises the delegation term of the table, after the delegations of all services were set up
    /// to `term`. The next version then shows which slots the zone has given up.
    pub fn set_delegation_term(&mut self, term: TermNumber) {
        if term > self.table.delegation_term {
            self.table.delegation_term = term;
            self.dirty = true;
        }
    }

    pub(crate) fn delegation_of(&self, service: &ServiceName, slot: u16) -> Option<SlotDelegation> {
        let ranges = self.delegations.get(service)?;
        ranges.iter().find(|range| range.first <= slot && slot <= range.last).copied()
    }

    /// Records that the lease granted to the dispatcher of `target` ends at `until`. Must be called
    /// for each grant before it is sent.
    pub fn record_grant(&mut self, target: &TargetName, until: Timestamp) {
        let bound = SendBound::new(until, self.options.longest_deadline);
        let current = self.bounds.entry(target.clone()).or_default();
        *current = current.max(bound);
    }

    /// Handles the answer of a dispatcher that it has no request for a handover in flight.
    ///
    /// Ignores the answer of a process that is younger than the longest deadline plus margin. The
    /// drain request is then repeated.
    pub fn confirm_drain(&mut self, done: &DrainDone) {
        let deadline = self.options.longest_deadline;
        let is_settled = done.run_age >= deadline + drift_margin(deadline);
        if !is_settled && !self.options.faults.trust_new_boot {
            return;
        }
        if let Some(handover) = self.handovers.iter_mut().find(|handover| handover.id == done.id) {
            handover.confirm_dispatcher(done.dispatcher);
        }
    }

    /// Handles the answer of a target that it refuses tokens below `token` for the slots or key of
    /// the handover and runs none of their requests.
    pub fn confirm_revocation(&mut self, id: HandoverId, token: gw_types::FencingToken) {
        let trusted = self.options.faults.trust_unchecked_target;
        if let Some(handover) = self.handovers.iter_mut().find(|handover| handover.id == id) {
            handover.checks_tokens |= trusted;
            handover.confirm_target(token);
        }
    }

    /// Makes the changes that elapsed time and confirmations allow.
    pub fn tick(&mut self, now: Timestamp) {
        self.finish_safe_handovers(now);
        if !self.dirty {
            return;
        }
        self.remove_undelegated();
        self.add_delegated();
        self.assign_free();
        self.remove_left_targets();
    }

    /// Returns the drain requests that are due. Each is repeated until it is answered.
    pub fn drain_requests(&mut self, now: Timestamp) -> Vec<DrainRequest> {
        let next = now + self.options.drain_repeat;
        let due = self.handovers.iter_mut().filter_map(|handover| {
            handover.take_request(now, next).then(|| to_drain_request(handover)).flatten()
        });
        due.collect()
    }

    /// Returns when [`tick`](Self::tick) or [`drain_requests`](Self::drain_requests) has something
    /// to do.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.handovers.iter().map(SlotHandover::next_wakeup).min()
    }

    /// Gives a changed table a new version and returns the changes since the last publication.
    ///
    /// Returns `None` if the table has not changed, except for the first version of a term.
    /// Delegations are set again with each applied entry of the control log, so a version for an
    /// unchanged table would cause another version when it is stored there.
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

fn to_drain_request(handover: &SlotHandover) -> Option<DrainRequest> {
    Some(DrainRequest {
        id: handover.id,
        dispatcher: handover.dispatcher?,
        service: handover.service.clone(),
        subject: handover.subject,
        target: handover.from.clone()?,
        token: handover.token,
    })
}
