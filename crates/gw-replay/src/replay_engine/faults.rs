use gw_dispatch::DrainScope;
use gw_dispatch::UnknownReason;

use super::ReplayEngine;
use super::SAMPLE_INTERVAL;
use crate::ScenarioFault;
use crate::SendingMode;
use crate::event_queue::ReplayEvent;
use crate::fake_target::TargetHealth;

/// Load reports, and faults of targets and zones.
impl ReplayEngine<'_> {
    pub(super) fn sample(&mut self) {
        let is_direct = self.variant.sending == SendingMode::Direct;
        for target in (0..self.targets.len()).filter(|_| !is_direct) {
            let load = self.queues[target].queue.load();
            let own = self.dispatcher(target);
            let view = &mut self.sharing.views[own];
            view.record_report(self.now, &self.names[target], load);
            let receivers = self.host_zones.len() - 1;
            if self.sharing.is_report_due(self.now, target, load, receivers) {
                self.report(target, own, load.outstanding);
            }
        }
        if self.now < self.end {
            self.events.push(self.now + SAMPLE_INTERVAL, ReplayEvent::Sample);
        }
    }

    pub(super) fn report(&mut self, target: usize, own: usize, outstanding: u32) {
        let zone = self.targets[target].zone;
        for host in (0..self.host_zones.len()).filter(|&host| host != own) {
            if self.is_reachable(zone, self.host_zones[host]) {
                let at = self.now + self.one_way(zone, self.host_zones[host]);
                self.events.push(at, ReplayEvent::Report { host, target, outstanding });
            }
        }
    }

    pub(super) fn fault_begins(&mut self, fault: usize) {
        match self.scenario.faults[fault].fault {
            ScenarioFault::LoseTarget { target } => {
                self.targets[target].health = TargetHealth::Gone;
                self.lose(target);
                self.disconnect(target);
            }
            ScenarioFault::FreezeTarget { target, length } => {
                self.targets[target].health = TargetHealth::Frozen;
                self.lose(target);
                self.events.push(self.now + length, ReplayEvent::FaultEnds { fault });
            }
            ScenarioFault::CutZone { zone, length } => {
                self.cut[zone] = true;
                self.events.push(self.now + length, ReplayEvent::FaultEnds { fault });
            }
        }
    }

    pub(super) fn fault_ends(&mut self, fault: usize) {
        match self.scenario.faults[fault].fault {
            ScenarioFault::LoseTarget { .. } => {}
            ScenarioFault::CutZone { zone, .. } => self.cut[zone] = false,
            ScenarioFault::FreezeTarget { target, .. } => {
                for attempt in self.targets[target].thaw() {
                    self.run_ends(attempt);
                }
            }
        }
    }

    pub(super) fn lose(&mut self, target: usize) {
        self.owners.lost(self.now, target);
        self.events.push(self.now + self.options.detect_after, ReplayEvent::Detect { target });
        self.events.push(self.now + self.options.reassign_after, ReplayEvent::Reassign { target });
    }

    /// All hosts stop using a target whose announcement has expired.
    pub(super) fn detect(&mut self, target: usize) {
        self.targets[target].is_listed = false;
        self.owners.clear(target);
        self.disconnect(target);
    }

    /// Drains the queues of a target; if its process has ended, its connections break.
    pub(super) fn disconnect(&mut self, target: usize) {
        for queue in self.queues_of(target) {
            let drained = self.queues[queue].queue.drain(self.now, DrainScope::Target);
            self.apply(queue, drained.actions);
            if self.targets[target].health != TargetHealth::Gone {
                continue;
            }
            let broken: Vec<_> = self.queues[queue].queue.outstanding().collect();
            for ticket in broken {
                self.fail(ticket.0 as usize, UnknownReason::ConnectionLost);
            }
        }
    }
}
