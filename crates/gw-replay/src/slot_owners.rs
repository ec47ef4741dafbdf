use std::collections::BTreeMap;
use std::time::Duration;

use gw_placement::PlannedMove;
use gw_types::FencingToken;
use gw_types::KeyHash;
use gw_types::KeyOverride;
use gw_types::SLOT_COUNT;
use gw_types::ServiceName;
use gw_types::ServiceTable;
use gw_types::SlotIndex;
use gw_types::SlotRange;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::Scenario;
use crate::simulated_target::SimulatedTarget;

#[derive(Clone, Copy, Debug)]
struct OwnedSlot {
    /// Index of the owning target; absent while the slot moves or after its owner was lost.
    owner: Option<usize>,
    /// Index of the loss of its owner in `SlotOwners::losses`, until the slot is served again.
    loss: Option<usize>,
}

/// The loss of a target that owned slots.
#[derive(Clone, Copy, Debug)]
struct OwnerLoss {
    target: usize,
    at: Timestamp,
    /// First answer of another target to a request for one of the slots.
    first_answer: Option<Timestamp>,
    /// Arrival time of the last unanswered request for one of the slots.
    last_unanswered: Timestamp,
}

/// A hot key whose owner overrides that of its slot.
#[derive(Clone, Copy, Debug)]
struct OwnedKey {
    owner: Option<usize>,
    zone: usize,
}

/// Owners of the slots and of the overridden keys of keyed services.
#[derive(Clone, Debug)]
pub(crate) struct SlotOwners {
    /// Overridden keys of each service.
    overrides: Vec<BTreeMap<KeyHash, OwnedKey>>,
    /// Slots of each service; empty for services without keys.
    slots: Vec<Vec<OwnedSlot>>,
    losses: Vec<OwnerLoss>,
}

impl SlotOwners {
    pub(crate) fn new(scenario: &Scenario, targets: &[SimulatedTarget]) -> Self {
        let mut slots = vec![Vec::new(); scenario.services.len()];
        for (index, service) in scenario.services.iter().enumerate() {
            if !service.is_keyed {
                continue;
            }
            let members = targets_of(targets, index);
            let owner = |slot: usize| members[slot % members.len()];
            slots[index] = (0..usize::from(SLOT_COUNT))
                .map(|slot| OwnedSlot { owner: Some(owner(slot)), loss: None })
                .collect();
        }
        let overrides = vec![BTreeMap::new(); slots.len()];
        Self { overrides, slots, losses: Vec::new() }
    }

    /// Returns the target that owns `key`, if any.
    pub(crate) fn owner(&self, service: usize, key: KeyHash) -> Option<usize> {
        match self.overrides[service].get(&key) {
            Some(entry) => entry.owner,
            None => self.slots[service].get(key.slot().as_usize())?.owner,
        }
    }

    /// Returns the part of a service's table that the planner of `zone` sees.
    pub(crate) fn table(
        &self,
        service: usize,
        zone: usize,
        name: &ServiceName,
        targets: &[SimulatedTarget],
        target_names: &[TargetName],
    ) -> ServiceTable {
        let mut ranges: Vec<SlotRange> = Vec::new();
        for (slot, owned) in self.slots[service].iter().enumerate() {
            let Some(owner) = owned.owner.filter(|&owner| targets[owner].zone == zone) else {
                continue;
            };
            let (slot, owner) = (slot as u16, Some(target_names[owner].clone()));
            ranges.push(SlotRange { first: slot, last: slot, owner, token: FencingToken::NONE });
        }
        let overrides = self.overrides[service].iter().filter(|(_, entry)| entry.zone == zone);
        let overrides = overrides.map(|(&key, entry)| KeyOverride {
            key,
            owner: entry.owner.map(|owner| target_names[owner].clone()),
            token: FencingToken::NONE,
        });
        ServiceTable { service: name.clone(), ranges, overrides: overrides.collect() }
    }

    /// Revokes a slot or key from its owner and returns the owner; `None` if it has none.
    pub(crate) fn begin_move(
        &mut self,
        service: usize,
        planned: &PlannedMove,
        targets: &[SimulatedTarget],
    ) -> Option<usize> {
        match planned {
            PlannedMove::Slot(slot, _) => self.slots[service][slot.as_usize()].owner.take(),
            PlannedMove::Override(key, _) | PlannedMove::MergeKey(key) => {
                let from = self.owner(service, *key)?;
                let moving = OwnedKey { owner: None, zone: targets[from].zone };
                self.overrides[service].insert(*key, moving);
                Some(from)
            }
        }
    }

    /// Assigns a drained slot or key to `to`, or merges a drained key back into its slot.
    pub(crate) fn finish_move(&mut self, service: usize, planned: &PlannedMove, to: usize) {
        match planned {
            PlannedMove::Slot(slot, _) => {
                self.slots[service][slot.as_usize()].owner = Some(to);
            }
            PlannedMove::Override(key, _) => {
                if let Some(entry) = self.overrides[service].get_mut(key) {
                    entry.owner = Some(to);
                }
            }
            PlannedMove::MergeKey(key) => {
                self.overrides[service].remove(key);
            }
        }
    }

    /// Records the loss of a target. Its slots keep their owner until the hosts detect the loss.
    pub(crate) fn record_loss(&mut self, now: Timestamp, target: usize) {
        let loss = self.losses.len();
        let mut has_slots = false;
        for slot in self.slots_of(target) {
            slot.loss = Some(loss);
            has_slots = true;
        }
        if has_slots {
            let loss = OwnerLoss { target, at: now, first_answer: None, last_unanswered: now };
            self.losses.push(loss);
        }
    }

    /// Removes the owner of all slots of a target.
    pub(crate) fn clear_owner(&mut self, target: usize) {
        self.slots_of(target).for_each(|slot| slot.owner = None);
    }

    /// Distributes the slots that `lost` owned among the remaining targets of its zone.
    pub(crate) fn reassign(&mut self, lost: usize, targets: &[SimulatedTarget]) {
        let service = targets[lost].service;
        let mut members = targets_of(targets, service);
        members
            .retain(|&index| targets[index].is_listed && targets[index].zone == targets[lost].zone);
        if members.is_empty() {
            return;
        }
        self.overrides[service].retain(|_, entry| entry.owner != Some(lost));
        let losses = &self.losses;
        let is_lost = |slot: &OwnedSlot| slot.loss.is_some_and(|loss| losses[loss].target == lost);
        let slots = self.slots[service].iter_mut();
        let free = slots.filter(|slot| slot.owner.is_none() && is_lost(slot));
        for (number, slot) in free.enumerate() {
            slot.owner = Some(members[number % members.len()]);
        }
    }

    /// Records that `target` answered a request for a slot, which ends the outage of a lost slot.
    pub(crate) fn record_answered(
        &mut self,
        now: Timestamp,
        service: usize,
        slot: SlotIndex,
        target: usize,
    ) {
        let Some(slot) = self.slots[service].get_mut(slot.as_usize()) else { return };
        let Some(loss) = slot.loss.map(|loss| &mut self.losses[loss]) else { return };
        if loss.target != target {
            loss.first_answer.get_or_insert(now);
            slot.loss = None;
        }
    }

    /// Records that a request for a slot that arrived at `arrived` was not answered.
    pub(crate) fn record_unanswered(
        &mut self,
        arrived: Timestamp,
        service: usize,
        slot: SlotIndex,
    ) {
        let Some(slot) = self.slots[service].get(slot.as_usize()) else { return };
        let Some(loss) = slot.loss.map(|loss| &mut self.losses[loss]) else { return };
        if slot.owner.is_some_and(|owner| owner != loss.target) {
            // The slot has a new owner, so the request failed for a reason other than the loss.
            return;
        }
        loss.last_unanswered = loss.last_unanswered.max(arrived);
    }

    /// Returns the longest time from the loss of a target until its slots were served again.
    ///
    /// An outage ends with the first answer of a new owner, or with the arrival of the last request
    /// that was not answered, whichever is later. Returns `None` if no slot of some lost target was
    /// served again.
    pub(crate) fn longest_outage(&self) -> Option<Duration> {
        let outage = |loss: &OwnerLoss| {
            let end = loss.first_answer?.max(loss.last_unanswered);
            Some(end.since(loss.at))
        };
        let outages: Option<Vec<_>> = self.losses.iter().map(outage).collect();
        Some(outages?.into_iter().max().unwrap_or_default())
    }

    fn slots_of(&mut self, target: usize) -> impl Iterator<Item = &mut OwnedSlot> {
        self.slots.iter_mut().flatten().filter(move |slot| slot.owner == Some(target))
    }
}

/// Returns the indexes of a service's targets.
fn targets_of(targets: &[SimulatedTarget], service: usize) -> Vec<usize> {
    (0..targets.len()).filter(|&index| targets[index].service == service).collect()
}
