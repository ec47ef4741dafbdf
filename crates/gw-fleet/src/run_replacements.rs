use std::time::Duration;

use gw_ranges::RangeHolder;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::DepartureCause;
use crate::FleetCommand;
use crate::FleetState;
use crate::TargetPhase;

/// Time after the first announcement of a later run within which a deregistration may be a late one
/// of the earlier run. Longer than a caller repeats a call to control hosts, which is 4 s, and the
/// time for which networks hold packets back.
const LATE_DEPARTURE_TIME: Duration = Duration::from_secs(10);

/// Runs that have replaced an earlier run of their target a short time ago.
///
/// A deregistration names a target and no run. One that arrives shortly after a later run has
/// announced itself is more likely a late one of the earlier run, and a target that is removed as
/// having left never returns within its run.
#[derive(Clone, Debug, Default)]
pub struct RunReplacements {
    recent: Vec<(RangeHolder, Timestamp)>,
}

impl RunReplacements {
    /// Records that `holder` has replaced an earlier run.
    pub fn record(&mut self, now: Timestamp, holder: RangeHolder) {
        self.recent.retain(|(known, at)| *known != holder && now.since(*at) < LATE_DEPARTURE_TIME);
        self.recent.push((holder, now));
    }

    /// Returns the command for a deregistration of the target `name`, which concerns only the run
    /// that is known on arrival. `None` if the deregistration may be that of an earlier run; a
    /// present run that has left is then removed once it is silent.
    pub fn departure(
        &self,
        now: Timestamp,
        state: &FleetState,
        name: &TargetName,
    ) -> Option<FleetCommand> {
        let live = state.target(name);
        let is_replacement = |holder: &RangeHolder| {
            let mut recent = self.recent.iter();
            recent.any(|(known, at)| known == holder && now.since(*at) < LATE_DEPARTURE_TIME)
        };
        // A run that drains is about to leave.
        let is_ambiguous = live.is_some_and(|record| {
            record.phase == TargetPhase::Serving && is_replacement(&record.holder())
        });
        let run = live.map(|record| record.run).or_else(|| state.latest_run(name));
        let command =
            FleetCommand::RemoveTarget { name: name.clone(), run, cause: DepartureCause::Left };
        (!is_ambiguous).then_some(command)
    }
}
