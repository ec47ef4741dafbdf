use gw_types::BootId;
use gw_types::HostId;
use gw_types::SlotRange;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::Timestamp;

use crate::OverrideTable;
use crate::TargetChange;
use crate::ZonePlacement;
use crate::slot_ranges;
use crate::table_delta::service_entry;

/// Changes of targets.
impl ZonePlacement {
    /// Applies a change of a target. Slots and keys of a target that no longer accepts work are
    /// handed over immediately.
    pub fn change_target(&mut self, now: Timestamp, change: TargetChange) {
        match change {
            TargetChange::Joined(entry) => self.join(now, entry),
            TargetChange::Serving(name) => self.set_state(now, &name, TargetState::Serving),
            TargetChange::Draining(name) => self.set_state(now, &name, TargetState::Draining),
            TargetChange::Lost(name) => self.set_state(now, &name, TargetState::Lost),
            TargetChange::Left(name) => {
                self.set_state(now, &name, TargetState::Lost);
                self.leaving.insert(name);
                self.dirty = true;
            }
            TargetChange::Rebooted(name, boot) => self.reboot(&name, boot),
            TargetChange::Dispatcher(name, host) => self.set_dispatcher(now, &name, host),
        }
    }

    fn join(&mut self, now: Timestamp, mut entry: TargetEntry) {
        let name = entry.name.clone();
        self.leaving.remove(&name);
        match self.table.targets.binary_search_by(|existing| existing.name.cmp(&name)) {
            Err(index) => {
                entry.dispatcher = None;
                self.table.targets.insert(index, entry);
                self.dirty = true;
            }
            Ok(index) => {
                let existing = &self.table.targets[index];
                if entry.boot < existing.boot || entry.service != existing.service {
                    return;
                }
                let (boot, state) = (entry.boot, entry.state);
                entry.dispatcher = existing.dispatcher;
                entry.boot = existing.boot;
                entry.state = existing.state;
                self.dirty |= entry != *existing;
                self.table.targets[index] = entry;
                self.reboot(&name, boot);
                self.set_state(now, &name, state);
            }
        }
    }

    pub(crate) fn target_mut(&mut self, name: &TargetName) -> Option<&mut TargetEntry> {
        let index = self.table.targets.binary_search_by(|existing| existing.name.cmp(name)).ok()?;
        self.table.targets.get_mut(index)
    }

    fn set_state(&mut self, now: Timestamp, name: &TargetName, state: TargetState) {
        let Some(entry) = self.target_mut(name) else { return };
        if entry.state == state {
            return;
        }
        entry.state = state;
        self.dirty = true;
        if !state.accepts_work() {
            self.revoke_all(now, name);
        }
    }

    /// Raises the tokens of all slots and keys of the target, because grants to its earlier boot
    /// are void.
    fn reboot(&mut self, name: &TargetName, boot: BootId) {
        let Some(entry) = self.target_mut(name) else { return };
        if entry.boot >= boot {
            return;
        }
        entry.boot = boot;
        self.dirty = true;
        let services: Vec<_> =
            self.table.services.iter().map(|table| table.service.clone()).collect();
        for service in services {
            let Some(table) = self.service_table(&service).cloned() else { continue };
            for range in table.ranges.iter().filter(|range| range.owner.as_ref() == Some(name)) {
                let token = self.next_token(&service, range.first, range.token);
                let ranges = &mut service_entry(&mut self.table, &service).ranges;
                slot_ranges::overlay(ranges, SlotRange { token, ..range.clone() });
            }
            for key in table.overrides.iter().filter(|key| key.owner.as_ref() == Some(name)) {
                let token = self.next_token(&service, key.key.slot().0, key.token);
                let overrides = &mut service_entry(&mut self.table, &service).overrides;
                // Cannot fail: the override exists and its token increased.
                let _ = OverrideTable::new(overrides).set(key.key, key.owner.clone(), token);
            }
        }
    }

    fn set_dispatcher(&mut self, now: Timestamp, name: &TargetName, host: Option<HostId>) {
        let Some(entry) = self.target_mut(name) else { return };
        if entry.dispatcher == host {
            return;
        }
        entry.dispatcher = host;
        self.dirty = true;
        let Some(host) = host else { return };
        let previous = self.dispatchers.insert(name.clone(), host);
        if previous != Some(host) && self.bounds.contains_key(name) {
            // The lease of the previous dispatcher has expired, but its requests may still be
            // running. The bound does not include leases of the new dispatcher yet.
            let until = self.bound(name).safe_at(now);
            self.earlier_requests.insert(name.clone(), until);
        }
        let longest_deadline = self.options.longest_deadline;
        for handover in &mut self.handovers {
            if handover.from.as_ref() != Some(name) {
                continue;
            }
            if handover.dispatcher.is_some_and(|earlier| earlier != host) {
                handover.expire_dispatcher(now, longest_deadline);
            }
            handover.assign_dispatcher(host);
        }
    }

    /// Removes targets that left, once they own nothing and no handover waits for them.
    pub(crate) fn remove_left_targets(&mut self) {
        for name in self.leaving.clone() {
            let is_awaited =
                self.handovers.iter().any(|handover| handover.from.as_ref() == Some(&name));
            if is_awaited {
                continue;
            }
            self.leaving.remove(&name);
            self.table.targets.retain(|entry| entry.name != name);
            self.dirty = true;
        }
    }
}
