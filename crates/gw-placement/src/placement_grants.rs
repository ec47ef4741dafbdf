use gw_types::FencingToken;
use gw_types::ServiceName;
use gw_types::SlotRange;
use gw_types::TargetName;

use crate::HandoverPurpose;
use crate::HandoverSubject;
use crate::SendBound;
use crate::WeightedTarget;
use crate::ZonePlacement;
use crate::slot_balance::SlotBalance;
use crate::slot_balance::UNASSIGNED;
use crate::slot_ranges;
use crate::table_delta::service_entry;

/// Slots that are added to and removed from the table, and grants of slots without owner.
impl ZonePlacement {
    /// Gives all owned slots and keys a new token. Adjacent ranges of one owner become one range,
    /// which reverts splits by earlier moves.
    pub(crate) fn raise_tokens(&mut self) {
        for position in 0..self.table.services.len() {
            let service = self.table.services[position].service.clone();
            let mut ranges: Vec<SlotRange> = Vec::new();
            for range in self.table.services[position].ranges.clone() {
                match ranges.last_mut() {
                    Some(last)
                        if last.owner.is_some()
                            && last.owner == range.owner
                            && last.last + 1 == range.first =>
                    {
                        last.last = range.last;
                        last.token = last.token.max(range.token);
                    }
                    _ => ranges.push(range),
                }
            }
            for range in ranges.iter_mut().filter(|range| range.owner.is_some()) {
                range.token = self.next_token(&service, range.first, range.token);
            }
            let mut overrides = self.table.services[position].overrides.clone();
            for key in overrides.iter_mut().filter(|key| key.owner.is_some()) {
                key.token = self.next_token(&service, key.key.slot().0, key.token);
            }
            self.table.services[position].ranges = ranges;
            self.table.services[position].overrides = overrides;
        }
    }

    /// Returns the slots without owner that are not in a handover.
    fn free_ranges(&self, service: &ServiceName) -> Vec<SlotRange> {
        let Some(table) = self.service_table(service) else { return Vec::new() };
        let mut free: Vec<_> =
            table.ranges.iter().filter(|range| range.owner.is_none()).cloned().collect();
        for handover in self.handovers.iter().filter(|handover| handover.service == *service) {
            if let HandoverSubject::Slots { first, last } = handover.subject {
                slot_ranges::remove(&mut free, first, last);
            }
        }
        free
    }

    /// Removes released slots from the table, after the overrides of their keys.
    pub(crate) fn remove_undelegated(&mut self) {
        let services: Vec<_> = self.delegations.keys().cloned().collect();
        for service in services {
            for range in self.undelegated(&service, &self.free_ranges(&service)) {
                let table = service_entry(&mut self.table, &service);
                let slots = range.first..=range.last;
                if !table.overrides.iter().any(|entry| slots.contains(&entry.key.slot().0)) {
                    slot_ranges::remove(&mut table.ranges, range.first, range.last);
                    self.dirty = true;
                }
            }
        }
    }

    /// Adds slots that are delegated to the zone and ready.
    pub(crate) fn add_delegated(&mut self) {
        for (service, delegated) in self.delegations.clone() {
            for range in delegated.iter().filter(|range| range.ready) {
                let (first, last, token) = (range.first, range.last, FencingToken::NONE);
                let mut missing = vec![SlotRange { first, last, owner: None, token }];
                for listed in
                    self.service_table(&service).into_iter().flat_map(|table| &table.ranges)
                {
                    slot_ranges::remove(&mut missing, listed.first, listed.last);
                }
                for range in missing {
                    self.set_range(&service, range.first, range.last, None);
                }
            }
        }
    }

    /// Grants free slots to targets.
    pub(crate) fn assign_free(&mut self) {
        let services: Vec<_> = self.delegations.keys().cloned().collect();
        for service in services {
            let free = self.free_ranges(&service);
            let targets = self.targets_of(&service);
            if free.is_empty() || targets.is_empty() {
                continue;
            }
            let balance = self.plan(&service, &targets, 0);
            for run in balance.runs() {
                let (first, last) = run.bounds();
                let Some(to) = targets.get(usize::from(run.owner)) else { continue };
                for range in slot_ranges::within(&free, first, last) {
                    self.grant_delegated(&service, range.first, range.last, &to.name);
                }
            }
        }
    }

    /// Returns a plan in which slots in handover count for their destination. It moves at most
    /// `budget` owned slots.
    pub(crate) fn plan(
        &self,
        service: &ServiceName,
        targets: &[WeightedTarget],
        budget: usize,
    ) -> SlotBalance {
        let index = |name: &TargetName| {
            let found = targets.binary_search_by(|target| target.name.cmp(name));
            found.map_or(UNASSIGNED, |index| index as u16)
        };
        let weights = targets.iter().map(|target| u64::from(target.weight)).collect();
        let mut balance = SlotBalance::new(weights);
        for range in self.service_table(service).into_iter().flat_map(|table| &table.ranges) {
            balance.fill(range.first, range.last, range.owner.as_ref().map_or(UNASSIGNED, index));
        }
        for handover in self.handovers.iter().filter(|handover| handover.service == *service) {
            let HandoverSubject::Slots { first, last } = handover.subject else { continue };
            if let HandoverPurpose::Grant(Some(to)) = &handover.purpose {
                balance.fill(first, last, index(to));
            }
        }
        balance.balance(budget);
        balance
    }

    /// Returns the time until which `target` may be sent requests.
    pub fn bound(&self, target: &TargetName) -> SendBound {
        self.bounds.get(target).copied().unwrap_or_default()
    }
}
