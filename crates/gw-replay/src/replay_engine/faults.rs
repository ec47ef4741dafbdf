use gw_dispatch::DrainScope;
use gw_dispatch::UnknownReason;

use super::ReplayEngine;
use super::SAMPLE_INTERVAL;
use crate::ScenarioFault;
use crate::SendingMode;
use crate::event_queue::ReplayEvent;
use crate::simulated_target::TargetHealth;

/// Load reports and fault injection.
impl ReplayEngine<'_> {
    pub(super) fn sample_load(&mut self) {
        let is_direct = self.variant.sending == SendingMode::Direct;
        for target in (0..self.targets.len()).filter(|_| !is_direct) {
            let load = self.queues[target].queue.load();
            let dispatcher = self.dispatcher(target);
            let view = &mut self.reporting.views[dispatcher];
            view.record_report(self.now, &self.target_names[target], load);
            let receivers = self.host_zones.len() - 1;
            if self.reporting.is_report_due(self.now, target, load, receivers) {
                self.send_report(target, dispatcher, load.outstanding);
            }
        }
        if self.now < self.end_time {
            self.events.push(self.now + SAMPLE_INTERVAL, ReplayEvent::Sample);
        }
    }

    pub(super) fn send_report(&mut self, target: usize, dispatcher: usize, outstanding: u32) {
        let zone = self.targets[target].zone;
        for host in (0..self.host_zones.len()).filter(|&host| host != dispatcher) {
            if self.is_reachable(zone, self.host_zones[host]) {
                let at = self.now + self.network_delay(zone, self.host_zones[host]);
                self.events.push(at, ReplayEvent::Report { host, target, outstanding });
            }
        }
    }

    pub(super) fn fault_begins(&mut self, fault: usize) {
        match self.scenario.faults[fault].fault {
            ScenarioFault::LoseTarget { target } => {
                self.targets[target].health = TargetHealth::Exited;
                self.lose_target(target);
                self.disconnect(target);
            }
            ScenarioFault::FreezeTarget { target, length } => {
                self.targets[target].health = TargetHealth::Frozen;
                self.lose_target(target);
                self.events.push(self.now + length, ReplayEvent::FaultEnds { fault });
            }
            ScenarioFault::PartitionZone { zone, length } => {
                self.partitioned_zones[zone] = true;
                self.events.push(self.now + length, ReplayEvent::FaultEnds { fault });
            }
        }
    }

    pub(super) fn fault_ends(&mut self, fault: usize) {
        match self.scenario.faults[fault].fault {
            ScenarioFault::LoseTarget { .. } => {}
            ScenarioFault::PartitionZone { zone, .. } => self.partitioned_zones[zone] = false,
            ScenarioFault::FreezeTarget { target, .. } => {
                for attempt in self.targets[target].unfreeze() {
                    self.run_ends(attempt);
                }
            }
        }
    }

    pub(super) fn lose_target(&mut self, target: usize) {
        self.owners.record_loss(self.now, target);
        self.events.push(self.now + self.options.detect_after, ReplayEvent::Detect { target });
        self.events.push(self.now + self.options.reassign_after, ReplayEvent::Reassign { target });
    }

    /// Removes a target whose announcement has expired from the tables of all hosts.
    pub(super) fn detect_loss(&mut self, target: usize) {
        self.targets[target].is_listed = false;
        self.owners.clear_owner(target);
        self.disconnect(target);
    }

    /// Drains the queues of a target. If its process has exited, attempts in flight fail, as their
    /// connections are closed.
    pub(super) fn disconnect(&mut self, target: usize) {
        for queue in self.queues_of(target) {
            let drained = self.queues[queue].queue.drain(self.now, DrainScope::Target);
            self.apply_actions(queue, drained.actions);
            if self.targets[target].health != TargetHealth::Exited {
                continue;
            }
            let broken: Vec<_> = self.queues[queue].queue.outstanding().collect();
            for ticket in broken {
                self.fail(ticket.0 as usize, UnknownReason::ConnectionLost);
            }
        }
    }
}
