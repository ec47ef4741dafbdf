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

/// Neighbouring slots that one zone holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScopeRange {
    /// First slot.
    pub first: u16,
    /// Last slot, inclusive.
    pub last: u16,
    /// The zone.
    pub zone: ZoneName,
    /// When this host first knew of the delegation.
    pub since: Timestamp,
}

/// What decides the holders of one service's records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceScope {
    /// The service.
    pub service: ServiceName,
    /// Where the profile wants the copies.
    pub copies: RecordCopies,
    /// When this host first knew of that choice.
    pub copies_since: Timestamp,
    /// Which zone holds which slots; empty for a service without slots.
    pub ranges: Vec<ScopeRange>,
    /// Zones that held slots before.
    pub earlier_zones: Vec<ZoneName>,
}

/// What decides the holders of all records, as far as this host has applied the control log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordScopes {
    /// The last term drawn. A slot whose token has a later term may have moved in a way that this
    /// host does not know.
    pub last_term: TermNumber,
    /// Sorted by service.
    pub services: Vec<ServiceScope>,
}

impl RecordScopes {
    /// The scope of `service`.
    pub fn find(&self, service: &ServiceName) -> Option<&ServiceScope> {
        let place = self.services.binary_search_by(|scope| scope.service.cmp(service)).ok()?;
        self.services.get(place)
    }

    /// The groups whose majorities a claim needs, `keep` being how long records are kept. `None`
    /// when this host does not know enough.
    pub fn groups(
        &self,
        now: Timestamp,
        keep: Duration,
        groups: &RecordGroups,
        service: &ServiceName,
        key: RecordKey,
        grant: Option<(SlotIndex, FencingToken)>,
    ) -> Option<Vec<Vec<HostId>>> {
        let Some((slot, token)) = grant else { return Some(vec![groups.of_region(key)]) };
        let scope = self.find(service).filter(|_| self.last_term >= token.term())?;
        let place = scope.ranges.partition_point(|range| range.last < slot.0);
        let range = scope.ranges.get(place)?;
        let is_new = |since: Timestamp| now.since(since) < keep;
        let mut wanted = Vec::new();
        if scope.copies == RecordCopies::Zone || is_new(scope.copies_since) {
            wanted.push(groups.of_zone(&range.zone, key));
            if is_new(range.since) {
                wanted.extend(scope.earlier_zones.iter().map(|zone| groups.of_zone(zone, key)));
            }
        }
        if scope.copies == RecordCopies::Region || is_new(scope.copies_since) {
            wanted.push(groups.of_region(key));
        }
        wanted.iter_mut().for_each(|group| group.sort());
        wanted.sort();
        wanted.dedup();
        Some(wanted)
    }
}

/// Remembers when this host first knew of each delegation and of each choice of copies.
#[derive(Debug, Default)]
pub struct ScopeTracker {
    terms: HashMap<(ServiceName, TermNumber), Timestamp>,
    copies: HashMap<ServiceName, (RecordCopies, Timestamp)>,
}

impl ScopeTracker {
    /// The scopes by the control state that `node` has applied.
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
