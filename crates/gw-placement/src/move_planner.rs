use std::collections::BTreeMap;
use std::time::Duration;

use gw_profile::MoveRules;
use gw_types::KeyHash;
use gw_types::MAX_OVERRIDES;
use gw_types::SLOT_COUNT;
use gw_types::SlotIndex;
use gw_types::Timestamp;

use crate::ChurnBudget;
use crate::KeyCounter;
use crate::PlannedMove;
use crate::ServiceView;
use crate::slot_ranges;

/// Slots and keys that may change owner in a minute outside of failures: 1% of the slots, the
/// bound on churn.
pub const MAX_SLOTS_PER_MINUTE: u32 = SLOT_COUNT as u32 / 100;

/// Time over which load is gathered before a plan. Shorter windows chase single stragglers.
const WINDOW: Duration = Duration::from_secs(5);
/// Time for which a moved slot or key stays where it is.
const SETTLE_TIME: Duration = Duration::from_secs(60);
/// Keys counted; four times the overrides, so that keys about to become hot are seen.
const COUNTED_KEYS: usize = 4 * MAX_OVERRIDES;
/// A key is folded back below this part of the share that made it hot.
const COLD_PART: f64 = 0.25;
/// Windows in a row for which a key must be cold.
const COLD_WINDOWS: u8 = 3;

/// Proposes moves of one service's slots and keys in a zone from observed load.
///
/// Load is the time for which requests occupied work slots, in nanoseconds.
#[derive(Clone, Debug)]
pub struct MovePlanner {
    rules: MoveRules,
    budget: ChurnBudget,
    window_start: Timestamp,
    keys: KeyCounter,
    slots: Vec<u64>,
    /// Overridden keys with the number of windows for which they have been cold.
    cold: BTreeMap<KeyHash, u8>,
    moved_slots: BTreeMap<SlotIndex, Timestamp>,
    moved_keys: BTreeMap<KeyHash, Timestamp>,
}

impl MovePlanner {
    /// A planner whose first window begins now.
    pub fn new(rules: MoveRules, now: Timestamp) -> Self {
        let per_minute = rules.moves_per_minute.min(MAX_SLOTS_PER_MINUTE);
        Self {
            rules,
            budget: ChurnBudget::new(per_minute),
            window_start: now,
            keys: KeyCounter::new(COUNTED_KEYS),
            slots: vec![0; usize::from(SLOT_COUNT)],
            cold: BTreeMap::new(),
            moved_slots: BTreeMap::new(),
            moved_keys: BTreeMap::new(),
        }
    }

    /// Adds load of a key, which also counts for its slot.
    pub fn observe_key(&mut self, key: KeyHash, load: u64) {
        self.keys.add(key, load);
        self.observe_slot(key.slot(), load);
    }

    /// Adds load of a slot whose keys were not told apart.
    pub fn observe_slot(&mut self, slot: SlotIndex, load: u64) {
        if let Some(sum) = self.slots.get_mut(slot.as_usize()) {
            *sum += load;
        }
    }

    /// Moves that the churn budget leaves, for rebalancing after a target joined.
    pub fn take_budget(&mut self, now: Timestamp, slots: u32) -> u32 {
        self.budget.take(now, slots)
    }

    /// The moves worth making, once a window is full. Begins the next window.
    pub fn plan(&mut self, now: Timestamp, view: ServiceView<'_>) -> Vec<PlannedMove> {
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW {
            return Vec::new();
        }
        let mut moves = Vec::new();
        if view.targets.len() > 1 {
            self.forget_settled(now);
            let mut loads = self.target_loads(&view);
            self.fold_cold_keys(now, &view, elapsed, &mut moves);
            self.move_hot_keys(now, &view, elapsed, &mut loads, &mut moves);
            self.move_slots(now, &view, &mut loads, &mut moves);
        }
        self.window_start = now;
        self.keys.clear();
        self.slots.fill(0);
        moves
    }

    fn forget_settled(&mut self, now: Timestamp) {
        self.moved_slots.retain(|_, at| now.since(*at) < SETTLE_TIME);
        self.moved_keys.retain(|_, at| now.since(*at) < SETTLE_TIME);
    }

    /// Load of each target, counting overridden keys where they are served.
    fn target_loads(&mut self, view: &ServiceView<'_>) -> Vec<f64> {
        for known in &view.table.overrides {
            let load = self.keys.load(known.key).lower;
            let slot = &mut self.slots[known.key.slot().as_usize()];
            *slot = slot.saturating_sub(load);
        }
        let mut loads = vec![0.0; view.targets.len()];
        for range in &view.table.ranges {
            let Some(owner) = view.slot_owner(SlotIndex(range.first)) else { continue };
            let slots = &self.slots[usize::from(range.first)..=usize::from(range.last)];
            loads[owner] += slots.iter().sum::<u64>() as f64;
        }
        for known in &view.table.overrides {
            let Some(owner) = view.key_owner(known.key) else { continue };
            loads[owner] += self.keys.load(known.key).lower as f64;
        }
        for (load, target) in loads.iter_mut().zip(view.targets) {
            *load /= f64::from(target.weight.max(1));
        }
        loads
    }

    fn hot_load(&self, view: &ServiceView<'_>, owner: usize, elapsed: Duration) -> f64 {
        let capacity = f64::from(view.targets[owner].weight) * elapsed.as_nanos() as f64;
        self.rules.hot_key_share * capacity
    }

    fn fold_cold_keys(
        &mut self,
        now: Timestamp,
        view: &ServiceView<'_>,
        elapsed: Duration,
        moves: &mut Vec<PlannedMove>,
    ) {
        self.cold.retain(|key, _| view.key_override(*key).is_some());
        for known in &view.table.overrides {
            let Some(owner) = view.key_owner(known.key) else { continue };
            let limit = COLD_PART * self.hot_load(view, owner, elapsed);
            let is_cold = (self.keys.load(known.key).upper as f64) < limit;
            let windows = self.cold.entry(known.key).or_insert(0);
            *windows = if is_cold { windows.saturating_add(1) } else { 0 };
            let settled = !self.moved_keys.contains_key(&known.key);
            if *windows >= COLD_WINDOWS && settled && self.budget.take(now, 1) == 1 {
                moves.push(PlannedMove::MergeKey(known.key));
                self.moved_keys.insert(known.key, now);
            }
        }
    }

    fn move_hot_keys(
        &mut self,
        now: Timestamp,
        view: &ServiceView<'_>,
        elapsed: Duration,
        loads: &mut [f64],
        moves: &mut Vec<PlannedMove>,
    ) {
        let mut room = MAX_OVERRIDES - view.table.overrides.len().min(MAX_OVERRIDES);
        let heaviest: Vec<_> = self.keys.heaviest().take(MAX_OVERRIDES).collect();
        for key in heaviest {
            let Some(from) = view.key_owner(key.key) else { continue };
            if (key.lower as f64) < self.hot_load(view, from, elapsed) {
                continue;
            }
            let is_new = view.key_override(key.key).is_none();
            if (is_new && room == 0) || self.moved_keys.contains_key(&key.key) {
                continue;
            }
            let to = least(loads);
            let (shed, added) = shift(view, key.lower as f64, from, to);
            if !self.is_worth(loads, from, to, shed, added) || self.budget.take(now, 1) == 0 {
                continue;
            }
            loads[from] -= shed;
            loads[to] += added;
            self.moved_keys.insert(key.key, now);
            room -= usize::from(is_new);
            if is_new {
                // What the slot loses with the key is no longer there for a slot move.
                let slot = &mut self.slots[key.key.slot().as_usize()];
                *slot = slot.saturating_sub(key.lower);
            }
            moves.push(PlannedMove::Override(key.key, view.targets[to].name.clone()));
        }
    }

    /// Whether a move lowers the difference between two targets by the smallest gain.
    fn is_worth(&self, loads: &[f64], from: usize, to: usize, shed: f64, added: f64) -> bool {
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let before = loads[from] - loads[to];
        let after = (before - shed - added).abs();
        from != to && before > 0.0 && before - after >= self.rules.smallest_gain * mean
    }

    fn move_slots(
        &mut self,
        now: Timestamp,
        view: &ServiceView<'_>,
        loads: &mut [f64],
        moves: &mut Vec<PlannedMove>,
    ) {
        // Each pass relieves one target; more passes than targets bring no further gain.
        for _ in 0..view.targets.len() {
            let (from, to) = (most(loads), least(loads));
            let slots = self.pick_slots(now, view, loads, from, to);
            let load: f64 = slots.iter().map(|slot| self.slots[slot.as_usize()] as f64).sum();
            let (shed, added) = shift(view, load, from, to);
            if slots.is_empty() || !self.is_worth(loads, from, to, shed, added) {
                return;
            }
            self.budget.take(now, slots.len() as u32);
            loads[from] -= shed;
            loads[to] += added;
            for slot in slots {
                self.moved_slots.insert(slot, now);
                moves.push(PlannedMove::Slot(slot, view.targets[to].name.clone()));
            }
        }
    }

    /// The busiest slots of `from` that together bring it level with `to`, as the budget allows.
    fn pick_slots(
        &mut self,
        now: Timestamp,
        view: &ServiceView<'_>,
        loads: &[f64],
        from: usize,
        to: usize,
    ) -> Vec<SlotIndex> {
        let available = self.budget.available(now) as usize;
        let mut candidates = self.movable_slots(view, from);
        candidates.sort_by_key(|slot| (std::cmp::Reverse(self.slots[slot.as_usize()]), slot.0));
        let mut difference = loads[from] - loads[to];
        let mut picked = Vec::new();
        for slot in candidates {
            if picked.len() == available {
                break;
            }
            let (shed, added) = shift(view, self.slots[slot.as_usize()] as f64, from, to);
            if shed + added <= difference {
                difference -= shed + added;
                picked.push(slot);
            }
        }
        picked
    }

    fn movable_slots(&self, view: &ServiceView<'_>, owner: usize) -> Vec<SlotIndex> {
        let name = &view.targets[owner].name;
        let ranges = view.table.ranges.iter().filter(|range| range.owner.as_ref() == Some(name));
        let slots = ranges.flat_map(|range| (range.first..=range.last).map(SlotIndex));
        let is_movable = |slot: &SlotIndex| {
            self.slots[slot.as_usize()] > 0 && !self.moved_slots.contains_key(slot)
        };
        debug_assert!(slot_ranges::is_sorted(&view.table.ranges));
        slots.filter(is_movable).collect()
    }
}

/// What a load means for two targets relative to their weights.
fn shift(view: &ServiceView<'_>, load: f64, from: usize, to: usize) -> (f64, f64) {
    let weight = |index: usize| f64::from(view.targets[index].weight.max(1));
    (load / weight(from), load / weight(to))
}

fn most(loads: &[f64]) -> usize {
    (0..loads.len()).max_by(|&a, &b| loads[a].total_cmp(&loads[b]).then(b.cmp(&a))).unwrap_or(0)
}

fn least(loads: &[f64]) -> usize {
    (0..loads.len()).min_by(|&a, &b| loads[a].total_cmp(&loads[b]).then(a.cmp(&b))).unwrap_or(0)
}
