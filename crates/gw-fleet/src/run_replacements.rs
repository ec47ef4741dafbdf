use std::time::Duration;

use gw_ranges::RangeHolder;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::DepartureCause;
use crate::FleetCommand;
use crate::FleetState;
use crate::TargetPhase;
use crate::TargetRecord;
use crate::recent_run::RecentRun;

/// Time after the first announcement of a later run within which a deregistration may be a late one
/// of the earlier run. Longer than a caller repeats a call to control hosts, which is 4 s, and the
/// time for which networks hold packets back.
const LATE_DEPARTURE_TIME: Duration = Duration::from_secs(10);
/// Time without an announcement after which a suspended run is taken to have left if it is
/// deregistered again. Targets announce themselves about once a second, and try another control host
/// after a second without an answer.
const SUSPENSION_TIME: Duration = Duration::from_secs(2);

/// Runs that have replaced an earlier run of their target a short time ago.
///
/// A deregistration names a target and no run. One that arrives shortly after a later run has
/// announced itself may be a late one of the earlier run, and a target that is removed as having left
/// never returns within its run. The later run is suspended instead: it is removed as silent, so that
/// its next announcement registers it again, and the deregistration is left unanswered. If no
/// announcement arrives and the deregistration is repeated, the run has left.
#[derive(Clone, Debug, Default)]
pub struct RunReplacements {
    /// Sorted by holder.
    recent: Vec<RecentRun>,
}

impl RunReplacements {
    /// Records that `holder` has replaced an earlier run.
    pub fn record(&mut self, now: Timestamp, holder: RangeHolder) {
        self.expire(now);
        self.insert(now, holder);
    }

    /// Records the runs of `after` that this host did not know of in `before`, as a host that has
    /// missed a part of the log cannot tell which of them have replaced an earlier run.
    pub fn record_learned(&mut self, now: Timestamp, before: &FleetState, after: &FleetState) {
        self.expire(now);
        let holders = after.targets().iter().map(TargetRecord::holder);
        holders
            .filter(|holder| before.live_target(holder).is_none())
            .for_each(|holder| self.insert(now, holder));
    }

    /// Records that `holder` has been removed as silent.
    pub fn record_silence(&mut self, now: Timestamp, holder: &RangeHolder) {
        if let Ok(index) = self.find(holder) {
            self.recent[index].silent_since = Some(now);
        }
    }

    /// Returns the command for a deregistration of the target `name`, which concerns only the run
    /// that is known on arrival. `None` if the deregistration may be that of an earlier run, in which
    /// case it must not be acknowledged; see [`RunReplacements::suspension`].
    pub fn departure(
        &self,
        now: Timestamp,
        state: &FleetState,
        name: &TargetName,
    ) -> Option<FleetCommand> {
        let live = state.target(name);
        let run = live.map(|record| record.run).or_else(|| state.latest_run(name));
        let recent = run.and_then(|run| {
            let holder = RangeHolder { target: name.clone(), run };
            self.recent_run(now, &holder)
        });
        let is_ambiguous = recent.is_some_and(|recent| match live {
            // A run that drains is about to leave.
            Some(record) => record.phase == TargetPhase::Serving,
            None => recent.silent_since.is_some_and(|at| now.since(at) < SUSPENSION_TIME),
        });
        let command =
            FleetCommand::RemoveTarget { name: name.clone(), run, cause: DepartureCause::Left };
        (!is_ambiguous).then_some(command)
    }

    /// Returns the command that suspends the present run of the target `name` because of a
    /// deregistration that may be that of an earlier run. `None` if no run has to be suspended.
    pub fn suspension(
        &self,
        now: Timestamp,
        state: &FleetState,
        name: &TargetName,
    ) -> Option<FleetCommand> {
        let live = state.target(name).filter(|record| record.phase == TargetPhase::Serving)?;
        self.recent_run(now, &live.holder())?;
        let (name, run) = (name.clone(), Some(live.run));
        Some(FleetCommand::RemoveTarget { name, run, cause: DepartureCause::Silent })
    }

    fn recent_run(&self, now: Timestamp, holder: &RangeHolder) -> Option<&RecentRun> {
        let recent = &self.recent[self.find(holder).ok()?];
        (now.since(recent.known_since) < LATE_DEPARTURE_TIME).then_some(recent)
    }

    fn find(&self, holder: &RangeHolder) -> Result<usize, usize> {
        self.recent.binary_search_by(|recent| recent.holder.cmp(holder))
    }

    fn insert(&mut self, now: Timestamp, holder: RangeHolder) {
        let found = self.find(&holder);
        let recent = RecentRun { holder, known_since: now, silent_since: None };
        match found {
            Ok(index) => self.recent[index] = recent,
            Err(position) => self.recent.insert(position, recent),
        }
    }

    fn expire(&mut self, now: Timestamp) {
        self.recent.retain(|recent| now.since(recent.known_since) < LATE_DEPARTURE_TIME);
    }
}
