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
use crate::fake_target::FakeTarget;

#[derive(Clone, Copy, Debug)]
struct OwnedSlot {
    owner: Option<usize>,
    /// The loss of its owner, until it is served again.
    loss: Option<usize>,
}

/// Loss of a target that owned slots.
#[derive(Clone, Copy, Debug)]
struct OwnerLoss {
    target: usize,
    at: Timestamp,
    first_answer: Option<Timestamp>,
    /// Arrival of the last request for the target's slots that was not answered.
    last_unanswered: Timestamp,
}

/// A key with an owner of its own.
#[derive(Clone, Copy, Debug)]
struct OwnedKey {
    owner: Option<usize>,
    zone: usize,
}

/// Owners of the slots and overridden keys of keyed services.
#[derive(Clone, Debug)]
pub(crate) struct SlotOwners {
    /// For each service.
    overrides: Vec<BTreeMap<KeyHash, OwnedKey>>,
    /// For each service; empty unless it is keyed.
    slots: Vec<Vec<OwnedSlot>>,
    losses: Vec<OwnerLoss>,
}

impl SlotOwners {
    pub(crate) fn new(scenario: &Scenario, targets: &[FakeTarget]) -> Self {
        let mut slots = vec![Vec::new(); scenario.services.len()];
        for (index, service) in scenario.services.iter().enumerate() {
            if !service.is_keyed {
                continue;
            }
            let members = members(targets, index);
            let owner = |slot: usize| members[slot % members.len()];
            slots[index] = (0..usize::from(SLOT_COUNT))
                .map(|slot| OwnedSlot { owner: Some(owner(slot)), loss: None })
                .collect();
        }
        let overrides = vec![BTreeMap::new(); slots.len()];
        Self { overrides, slots, losses: Vec::new() }
    }

    pub(crate) fn owner(&self, service: usize, key: KeyHash) -> Option<usize> {
        match self.overrides[service].get(&key) {
            Some(known) => known.owner,
            None => self.slots[service].get(key.slot().as_usize())?.owner,
        }
    }

    /// What a zone's planner sees of a service.
    pub(crate) fn table(
        &self,
        service: usize,
        zone: usize,
        name: &ServiceName,
        targets: &[FakeTarget],
        names: &[TargetName],
    ) -> ServiceTable {
        let mut ranges: Vec<SlotRange> = Vec::new();
        for (slot, owned) in self.slots[service].iter().enumerate() {
            let Some(owner) = owned.owner.filter(|&owner| targets[owner].zone == zone) else {
                continue;
            };
            let (slot, owner) = (slot as u16, Some(names[owner].clone()));
            ranges.push(SlotRange { first: slot, last: slot, owner, token: FencingToken::NONE });
        }
        let overrides = self.overrides[service].iter().filter(|(_, known)| known.zone == zone);
        let overrides = overrides.map(|(&key, known)| KeyOverride {
            key,
            owner: known.owner.map(|owner| names[owner].clone()),
            token: FencingToken::NONE,
        });
        ServiceTable { service: name.clone(), ranges, overrides: overrides.collect() }
    }

    /// Takes a slot or key from its owner and returns the owner; `None` if it has none.
    pub(crate) fn begin_move(
        &mut self,
        service: usize,
        planned: &PlannedMove,
        targets: &[FakeTarget],
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

    /// Gives a slot or key that was drained to `to`, or merges a key into its slot.
    pub(crate) fn end_move(&mut self, service: usize, planned: &PlannedMove, to: usize) {
        match planned {
            PlannedMove::Slot(slot, _) => {
                self.slots[service][slot.as_usize()].owner = Some(to);
            }
            PlannedMove::Override(key, _) => {
                if let Some(known) = self.overrides[service].get_mut(key) {
                    known.owner = Some(to);
                }
            }
            PlannedMove::MergeKey(key) => {
                self.overrides[service].remove(key);
            }
        }
    }

    /// Notes the loss of a target; the hosts do not know of it yet.
    pub(crate) fn lost(&mut self, now: Timestamp, target: usize) {
        let loss = self.losses.len();
        let mut has_slots = false;
        for slot in self.of_target(target) {
            slot.loss = Some(loss);
            has_slots = true;
        }
        if has_slots {
            let loss = OwnerLoss { target, at: now, first_answer: None, last_unanswered: now };
            self.losses.push(loss);
        }
    }

    /// Takes a target's slots away.
    pub(crate) fn clear(&mut self, target: usize) {
        self.of_target(target).for_each(|slot| slot.owner = None);
    }

    /// Gives the slots without owner to the targets that are left in the zone of `lost`.
    pub(crate) fn reassign(&mut self, lost: usize, targets: &[FakeTarget]) {
        let service = targets[lost].service;
        let mut members = members(targets, service);
        members
            .retain(|&index| targets[index].is_listed && targets[index].zone == targets[lost].zone);
        if members.is_empty() {
            return;
        }
        self.overrides[service].retain(|_, known| known.owner != Some(lost));
        let losses = &self.losses;
        let is_lost = |slot: &OwnedSlot| slot.loss.is_some_and(|loss| losses[loss].target == lost);
        let slots = self.slots[service].iter_mut();
        let free = slots.filter(|slot| slot.owner.is_none() && is_lost(slot));
        for (number, slot) in free.enumerate() {
            slot.owner = Some(members[number % members.len()]);
        }
    }

    /// Notes that a request for a slot was answered by `target`.
    pub(crate) fn answered(
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

    /// Notes that a request for a slot that arrived at `arrived` was not answered.
    pub(crate) fn unanswered(&mut self, arrived: Timestamp, service: usize, slot: SlotIndex) {
        let Some(slot) = self.slots[service].get(slot.as_usize()) else { return };
        let Some(loss) = slot.loss.map(|loss| &mut self.losses[loss]) else { return };
        if slot.owner.is_some_and(|owner| owner != loss.target) {
            // Its new owner refused it for another reason.
            return;
        }
        loss.last_unanswered = loss.last_unanswered.max(arrived);
    }

    /// Longest time from a loss until its slots were served again: to the first answer, or to the
    /// arrival of the last request without one, whichever is later. `None` if slots of a loss were
    /// never served again.
    pub(crate) fn longest_gap(&self) -> Option<Duration> {
        let gap = |loss: &OwnerLoss| {
            let end = loss.first_answer?.max(loss.last_unanswered);
            Some(end.since(loss.at))
        };
        let gaps: Option<Vec<_>> = self.losses.iter().map(gap).collect();
        Some(gaps?.into_iter().max().unwrap_or_default())
    }

    fn of_target(&mut self, target: usize) -> impl Iterator<Item = &mut OwnedSlot> {
        self.slots.iter_mut().flatten().filter(move |slot| slot.owner == Some(target))
    }
}

fn members(targets: &[FakeTarget], service: usize) -> Vec<usize> {
    (0..targets.len()).filter(|&index| targets[index].service == service).collect()
}
