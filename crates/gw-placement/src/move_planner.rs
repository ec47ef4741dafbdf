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

/// Maximum number of slots and keys of a service that change owner in a zone per minute, outside of
/// failures: 1% of the slots.
pub const MAX_SLOTS_PER_MINUTE: u32 = SLOT_COUNT as u32 / 100;

/// Time over which load is summed before a plan. Shorter windows react to single slow requests.
const LOAD_WINDOW: Duration = Duration::from_secs(5);
/// Time for which a slot or key that was moved is not moved again.
const MOVE_COOLDOWN: Duration = Duration::from_secs(60);
/// Number of keys whose load is counted: four times the maximum number of overrides, so that keys
/// that are about to become hot are among them.
const COUNTED_KEYS: usize = 4 * MAX_OVERRIDES;
/// An override is removed once the load of its key is below this part of the load that makes a key
/// hot.
const COLD_SHARE: f64 = 0.25;
/// Number of consecutive windows for which a key must be cold before its override is removed.
const COLD_WINDOWS: u8 = 3;

/// Proposes moves of slots and keys of one service in a zone from observed load.
///
/// Load is the time for which requests occupied work slots, in nanoseconds.
#[derive(Clone, Debug)]
pub struct MovePlanner {
    rules: MoveRules,
    budget: ChurnBudget,
    window_start: Timestamp,
    keys: KeyCounter,
    slots: Vec<u64>,
    /// Number of consecutive windows for which each overridden key has been cold.
    cold: BTreeMap<KeyHash, u8>,
    moved_slots: BTreeMap<SlotIndex, Timestamp>,
    moved_keys: BTreeMap<KeyHash, Timestamp>,
}

impl MovePlanner {
    /// Creates a planner whose first load window begins at `now`.
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

    /// Adds load of a key, which also counts towards its slot.
    pub fn observe_key(&mut self, key: KeyHash, load: u64) {
        self.keys.add(key, load);
        self.observe_slot(key.slot(), load);
    }

    /// Adds load of a slot without attributing it to a key.
    pub fn observe_slot(&mut self, slot: SlotIndex, load: u64) {
        if let Some(sum) = self.slots.get_mut(slot.as_usize()) {
            *sum += load;
        }
    }

    /// Takes up to `slots` moves from the churn budget, for rebalancing after a target joined, and
    /// returns the number taken.
    pub fn take_budget(&mut self, now: Timestamp, slots: u32) -> u32 {
        self.budget.take(now, slots)
    }

    /// Returns the moves that are worthwhile, once the load window has ended, and begins the next
    /// window.
    pub fn plan(&mut self, now: Timestamp, view: ServiceView<'_>) -> Vec<PlannedMove> {
        let elapsed = now.since(self.window_start);
        if elapsed < LOAD_WINDOW {
            return Vec::new();
        }
        let mut moves = Vec::new();
        if view.targets.len() > 1 {
            self.remove_expired_cooldowns(now);
            let mut loads = self.target_loads(&view);
            self.merge_cold_keys(now, &view, elapsed, &mut moves);
            self.move_hot_keys(now, &view, elapsed, &mut loads, &mut moves);
            self.move_slots(now, &view, &mut loads, &mut moves);
        }
        self.window_start = now;
        self.keys.clear();
        self.slots.fill(0);
        moves
    }

    fn remove_expired_cooldowns(&mut self, now: Timestamp) {
        self.moved_slots.retain(|_, at| now.since(*at) < MOVE_COOLDOWN);
        self.moved_keys.retain(|_, at| now.since(*at) < MOVE_COOLDOWN);
    }

    /// Returns the load of each target relative to its weight. Load of an overridden key counts
    /// towards the target of the override.
    fn target_loads(&mut self, view: &ServiceView<'_>) -> Vec<f64> {
        for entry in &view.table.overrides {
            let load = self.keys.load(entry.key).lower;
            let slot = &mut self.slots[entry.key.slot().as_usize()];
            *slot = slot.saturating_sub(load);
        }
        let mut loads = vec![0.0; view.targets.len()];
        for range in &view.table.ranges {
            let Some(owner) = view.slot_owner(SlotIndex(range.first)) else { continue };
            let slots = &self.slots[usize::from(range.first)..=usize::from(range.last)];
            loads[owner] += slots.iter().sum::<u64>() as f64;
        }
        for entry in &view.table.overrides {
            let Some(owner) = view.key_owner(entry.key) else { continue };
            loads[owner] += self.keys.load(entry.key).lower as f64;
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

    fn merge_cold_keys(
        &mut self,
        now: Timestamp,
        view: &ServiceView<'_>,
        elapsed: Duration,
        moves: &mut Vec<PlannedMove>,
    ) {
        self.cold.retain(|key, _| view.key_override(*key).is_some());
        for entry in &view.table.overrides {
            let Some(owner) = view.key_owner(entry.key) else { continue };
            let limit = COLD_SHARE * self.hot_load(view, owner, elapsed);
            let is_cold = (self.keys.load(entry.key).upper as f64) < limit;
            let windows = self.cold.entry(entry.key).or_insert(0);
            *windows = if is_cold { windows.saturating_add(1) } else { 0 };
            let is_movable = !self.moved_keys.contains_key(&entry.key);
            if *windows >= COLD_WINDOWS && is_movable && self.budget.take(now, 1) == 1 {
                moves.push(PlannedMove::MergeKey(entry.key));
                self.moved_keys.insert(entry.key, now);
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
        let mut free_overrides = MAX_OVERRIDES - view.table.overrides.len().min(MAX_OVERRIDES);
        let heaviest: Vec<_> = self.keys.heaviest().take(MAX_OVERRIDES).collect();
        for key in heaviest {
            let Some(from) = view.key_owner(key.key) else { continue };
            if (key.lower as f64) < self.hot_load(view, from, elapsed) {
                continue;
            }
            let is_new = view.key_override(key.key).is_none();
            if (is_new && free_overrides == 0) || self.moved_keys.contains_key(&key.key) {
                continue;
            }
            let to = least_loaded(loads);
            let (removed, added) = load_change(view, key.lower as f64, from, to);
            if !self.is_worthwhile(loads, from, to, removed, added) || self.budget.take(now, 1) == 0
            {
                continue;
            }
            loads[from] -= removed;
            loads[to] += added;
            self.moved_keys.insert(key.key, now);
            free_overrides -= usize::from(is_new);
            if is_new {
                // A later slot move must not count the load that the slot loses with the key.
                let slot = &mut self.slots[key.key.slot().as_usize()];
                *slot = slot.saturating_sub(key.lower);
            }
            moves.push(PlannedMove::Override(key.key, view.targets[to].name.clone()));
        }
    }

    /// Returns whether a move reduces the difference between two targets by at least
    /// `smallest_gain` of the mean load.
    fn is_worthwhile(
        &self,
        loads: &[f64],
        from: usize,
        to: usize,
        removed: f64,
        added: f64,
    ) -> bool {
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let before = loads[from] - loads[to];
        let after = (before - removed - added).abs();
        from != to && before > 0.0 && before - after >= self.rules.smallest_gain * mean
    }

    fn move_slots(
        &mut self,
        now: Timestamp,
        view: &ServiceView<'_>,
        loads: &mut [f64],
        moves: &mut Vec<PlannedMove>,
    ) {
        // Each pass relieves one target; more passes than targets gain nothing.
        for _ in 0..view.targets.len() {
            let (from, to) = (most_loaded(loads), least_loaded(loads));
            let slots = self.pick_slots(now, view, loads, from, to);
            let load: f64 = slots.iter().map(|slot| self.slots[slot.as_usize()] as f64).sum();
            let (removed, added) = load_change(view, load, from, to);
            if slots.is_empty() || !self.is_worthwhile(loads, from, to, removed, added) {
                return;
            }
            self.budget.take(now, slots.len() as u32);
            loads[from] -= removed;
            loads[to] += added;
            for slot in slots {
                self.moved_slots.insert(slot, now);
                moves.push(PlannedMove::Slot(slot, view.targets[to].name.clone()));
            }
        }
    }

    /// Returns the slots of `from` with the highest load that together bring it level with `to`, as
    /// far as the budget allows.
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
            let (removed, added) = load_change(view, self.slots[slot.as_usize()] as f64, from, to);
            if removed + added <= difference {
                difference -= removed + added;
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

/// Returns by how much moving `load` lowers the relative load of `from` and raises that of `to`.
fn load_change(view: &ServiceView<'_>, load: f64, from: usize, to: usize) -> (f64, f64) {
    let weight = |index: usize| f64::from(view.targets[index].weight.max(1));
    (load / weight(from), load / weight(to))
}

fn most_loaded(loads: &[f64]) -> usize {
    (0..loads.len()).max_by(|&a, &b| loads[a].total_cmp(&loads[b]).then(b.cmp(&a))).unwrap_or(0)
}

fn least_loaded(loads: &[f64]) -> usize {
    (0..loads.len()).min_by(|&a, &b| loads[a].total_cmp(&loads[b]).then(a.cmp(&b))).unwrap_or(0)
}
