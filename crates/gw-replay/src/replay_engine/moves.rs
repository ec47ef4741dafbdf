use std::time::Duration;

use gw_dispatch::DrainScope;
use gw_placement::PlannedMove;
use gw_types::TargetName;

use super::ReplayEngine;
use crate::event_queue::ReplayEvent;

/// Interval at which planners are asked; they decide over longer windows.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a drain is asked for, and time that the new owner's publication takes.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// One slot or key on its way to another target.
#[derive(Clone, Debug)]
pub(super) struct MoveInProgress {
    service: usize,
    planned: PlannedMove,
    from: usize,
    scope: DrainScope,
}

/// Moves of slots and keys: stop and drain at the old owner, then publish the new one.
impl ReplayEngine<'_> {
    pub(super) fn plan_moves(&mut self) {
        let planned =
            self.planning.plan(self.now, self.scenario, &self.owners, &self.targets, &self.names);
        for (service, planned) in planned {
            self.begin_move(service, planned);
        }
        if self.now < self.end {
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
            PlannedMove::Slot(..) => self.measures.slot_moves += 1,
            _ => self.measures.key_moves += 1,
        }
        for queue in self.queues_of(from) {
            let drained = self.queues[queue].queue.drain(self.now, scope);
            self.apply(queue, drained.actions);
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
            PlannedMove::Slot(_, to) | PlannedMove::Override(_, to) => self.listed(to),
            PlannedMove::MergeKey(_) => None,
        };
        self.owners.end_move(service, &planned, to.unwrap_or(from));
    }

    fn listed(&self, name: &TargetName) -> Option<usize> {
        let index = self.names.iter().position(|known| known == name)?;
        self.targets[index].is_listed.then_some(index)
    }
}
