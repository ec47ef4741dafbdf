use std::time::Duration;

use gw_dispatch::DrainScope;
use gw_placement::PlannedMove;
use gw_types::TargetName;

use super::ReplayEngine;
use crate::event_queue::ReplayEvent;

/// Interval at which moves are planned. The planners average load over longer windows.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a drain is checked. The first check comes after one interval, which stands for
/// the time that publishing the new owner takes.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// A move of a slot or key whose old owner is being drained.
#[derive(Clone, Debug)]
pub(super) struct MoveInProgress {
    service: usize,
    planned: PlannedMove,
    from: usize,
    scope: DrainScope,
}

/// Moves of slots and keys: the old owner is drained before the new one may serve.
impl ReplayEngine<'_> {
    pub(super) fn plan_moves(&mut self) {
        let planned = self.planners.plan(
            self.now,
            self.scenario,
            &self.owners,
            &self.targets,
            &self.target_names,
        );
        for (service, planned) in planned {
            self.begin_move(service, planned);
        }
        if self.now < self.end_time {
            self.events.push(self.now + PLAN_INTERVAL, ReplayEvent::Plan);
        }
    }

    fn begin_move(&mut self, service: usize, planned: PlannedMove) {
        let scope = match planned {
            PlannedMove::Slot(slot, _) => DrainScope::Slots { first: slot, last: slot },
            PlannedMove::Override(key, _) | PlannedMove::MergeKey(key) => DrainScope::Key(key),
        };
        let Some(from) = self.owners.begin_move(service, &planned, &self.targets) else { return };
        match planned {
            PlannedMove::Slot(..) => self.metrics.slot_moves += 1,
            _ => self.metrics.key_moves += 1,
        }
        for queue in self.queues_of(from) {
            let drained = self.queues[queue].queue.drain(self.now, scope);
            self.apply_actions(queue, drained.actions);
        }
        self.moves.push(MoveInProgress { service, planned, from, scope });
        let index = self.moves.len() - 1;
        self.events.push(self.now + DRAIN_POLL, ReplayEvent::PollDrain { index });
    }

    pub(super) fn poll_drain(&mut self, index: usize) {
        let MoveInProgress { service, planned, from, scope } = self.moves[index].clone();
        let queues = self.queues_of(from);
        let mut in_flight = queues.iter().map(|&queue| self.queues[queue].queue.in_flight(&scope));
        if in_flight.any(|count| count > 0) {
            let at = self.now + DRAIN_POLL;
            return self.events.push(at, ReplayEvent::PollDrain { index });
        }
        for queue in queues {
            self.queues[queue].queue.end_drain(&scope);
        }
        let to = match &planned {
            PlannedMove::Slot(_, to) | PlannedMove::Override(_, to) => self.listed_target(to),
            PlannedMove::MergeKey(_) => None,
        };
        self.owners.finish_move(service, &planned, to.unwrap_or(from));
    }

    fn listed_target(&self, name: &TargetName) -> Option<usize> {
        let index = self.target_names.iter().position(|known| known == name)?;
        self.targets[index].is_listed.then_some(index)
    }
}
