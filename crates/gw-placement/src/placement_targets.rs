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
    /// Takes what became known of a target. Slots of a target that takes no work are handed over
    /// at once.
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
        match self.table.targets.binary_search_by(|known| known.name.cmp(&name)) {
            Err(index) => {
                entry.dispatcher = None;
                self.table.targets.insert(index, entry);
                self.dirty = true;
            }
            Ok(index) => {
                let known = &self.table.targets[index];
                if entry.boot < known.boot || entry.service != known.service {
                    return;
                }
                let (boot, state) = (entry.boot, entry.state);
                entry.dispatcher = known.dispatcher;
                entry.boot = known.boot;
                entry.state = known.state;
                self.dirty |= entry != *known;
                self.table.targets[index] = entry;
                self.reboot(&name, boot);
                self.set_state(now, &name, state);
            }
        }
    }

    pub(crate) fn target_mut(&mut self, name: &TargetName) -> Option<&mut TargetEntry> {
        let index = self.table.targets.binary_search_by(|known| known.name.cmp(name)).ok()?;
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
            self.take_everything(now, name);
        }
    }

    /// Raises the tokens of all that the target owns: grants to its earlier run are dead.
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
                // Cannot fail: the override exists and the token grew.
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
            // The lease of the dispatcher before has passed; what it sent may still run. The bound
            // does not know of leases of the new one yet.
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

    /// Forgets targets that left, once they own nothing and no handover waits for them.
    pub(crate) fn forget_left(&mut self) {
        for name in self.leaving.clone() {
            let waits = self.handovers.iter().any(|handover| handover.from.as_ref() == Some(&name));
            if waits {
                continue;
            }
            self.leaving.remove(&name);
            self.table.targets.retain(|entry| entry.name != name);
            self.dirty = true;
        }
    }
}
