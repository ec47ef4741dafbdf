use std::collections::HashMap;
use std::time::Duration;

use gw_control::SlotDelegation;
use gw_dispatch::RecordKey;
use gw_node::HostNode;
use gw_profile::RecordCopies;
use gw_types::FencingToken;
use gw_types::HostId;
use gw_types::ServiceName;
use gw_types::SlotIndex;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;

use super::RecordGroups;

/// A range of consecutive slots that one zone holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScopeRange {
    /// First slot.
    pub first: u16,
    /// Last slot, inclusive.
    pub last: u16,
    /// The zone that holds the slots.
    pub zone: ZoneName,
    /// When this host first saw the delegation of the slots to the zone.
    pub since: Timestamp,
}

/// Determines the holders of one service's records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceScope {
    /// The service.
    pub service: ServiceName,
    /// Whether the profile in force places the copies in the zone or across the region.
    pub copies: RecordCopies,
    /// When this host first saw that value of `copies`.
    pub copies_since: Timestamp,
    /// The zone of each slot, in slot order; empty for a service without slots.
    pub ranges: Vec<ScopeRange>,
    /// Zones that held slots in earlier delegations. Their hosts may hold records that still count.
    pub earlier_zones: Vec<ZoneName>,
}

/// Determines the holders of all records, by the control log entries that this host has applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordScopes {
    /// The last term that the control log allocated. A slot whose fencing token has a later term
    /// may have moved in an entry that this host has not applied.
    pub last_term: TermNumber,
    /// Sorted by service.
    pub services: Vec<ServiceScope>,
}

impl RecordScopes {
    /// Returns the scope of `service`.
    pub fn find(&self, service: &ServiceName) -> Option<&ServiceScope> {
        let index = self.services.binary_search_by(|scope| scope.service.cmp(service)).ok()?;
        self.services.get(index)
    }

    /// Returns the groups of which a claim needs a majority each.
    ///
    /// `retention` is the time for which records are kept: after a more recent change, the groups
    /// before the change are needed too. `grant` is the slot of the request with its fencing token,
    /// absent for a service without slots. Returns `None` if this host has not applied the entries
    /// of the control log that determine the groups.
    pub fn groups(
        &self,
        now: Timestamp,
        retention: Duration,
        groups: &RecordGroups,
        service: &ServiceName,
        key: RecordKey,
        grant: Option<(SlotIndex, FencingToken)>,
    ) -> Option<Vec<Vec<HostId>>> {
        let Some((slot, token)) = grant else { return Some(vec![groups.of_region(key)]) };
        let scope = self.find(service).filter(|_| self.last_term >= token.term())?;
        let index = scope.ranges.partition_point(|range| range.last < slot.0);
        let range = scope.ranges.get(index)?;
        let is_recent = |since: Timestamp| now.since(since) < retention;
        let mut needed = Vec::new();
        if scope.copies == RecordCopies::Zone || is_recent(scope.copies_since) {
            needed.push(groups.of_zone(&range.zone, key));
            if is_recent(range.since) {
                needed.extend(scope.earlier_zones.iter().map(|zone| groups.of_zone(zone, key)));
            }
        }
        if scope.copies == RecordCopies::Region || is_recent(scope.copies_since) {
            needed.push(groups.of_region(key));
        }
        needed.iter_mut().for_each(|group| group.sort());
        needed.sort();
        needed.dedup();
        Some(needed)
    }
}

/// Remembers when this host first saw each delegation and each service's current `record_copies`.
#[derive(Debug, Default)]
pub struct ScopeTracker {
    /// When the terms of current delegations were first seen.
    terms: HashMap<(ServiceName, TermNumber), Timestamp>,
    copies: HashMap<ServiceName, (RecordCopies, Timestamp)>,
}

impl ScopeTracker {
    /// Returns the scopes by the control state that `node` has applied. Changes since the last call
    /// count as first seen at `now`.
    pub fn update(&mut self, now: Timestamp, node: &HostNode) -> RecordScopes {
        let view = node.control_view();
        let mut services: Vec<_> = view
            .definitions()
            .map(|definition| {
                let service = &definition.name;
                let rules = view.effective_profile(definition.profile.as_str());
                let copies = rules.profile.refuse.record_copies;
                let known = self.copies.entry(service.clone()).or_insert((copies, now));
                if known.0 != copies {
                    *known = (copies, now);
                }
                let copies_since = known.1;
                let delegation = view.delegation(service.as_str());
                ServiceScope {
                    service: service.clone(),
                    copies,
                    copies_since,
                    ranges: delegation.map(|held| self.ranges(now, held)).unwrap_or_default(),
                    earlier_zones: delegation
                        .map(|held| held.earlier_holders.clone())
                        .unwrap_or_default(),
                }
            })
            .collect();
        services.sort_by(|a, b| a.service.cmp(&b.service));
        RecordScopes { last_term: node.control_state().last_term(), services }
    }

    fn ranges(&mut self, now: Timestamp, delegation: &SlotDelegation) -> Vec<ScopeRange> {
        let service = &delegation.service;
        let in_force = |term: TermNumber| delegation.ranges.iter().any(|r| r.term == term);
        self.terms.retain(|(known, term), _| known != service || in_force(*term));
        let ranges = delegation.ranges.iter().map(|range| ScopeRange {
            first: range.first,
            last: range.last,
            zone: range.zone.clone(),
            since: *self.terms.entry((service.clone(), range.term)).or_insert(now),
        });
        ranges.collect()
    }
}
