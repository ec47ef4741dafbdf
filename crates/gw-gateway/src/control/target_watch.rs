use std::collections::BTreeMap;
use std::time::Duration;

use gw_fleet::DepartureCause;
use gw_fleet::FleetState;
use gw_fleet::TargetPhase;
use gw_ranges::HolderStanding;
use gw_ranges::RangeCandidate;
use gw_ranges::RangeHolder;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::link::RunTime;
use crate::ports::TargetBeat;

/// Time without an announcement or answer after which a target is silent: three announcements.
const SILENCE_TIME: Duration = Duration::from_millis(2_800);
/// Time without an announcement or answer after which a target is removed.
const REMOVAL_TIME: Duration = Duration::from_secs(9);
/// Bounds of a target's speed relative to the others, so that a few odd runs move no keys.
const SPEED_BOUNDS: (f64, f64) = (0.5, 2.0);

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Timestamp,
    run: u64,
    /// The highest of the run.
    sequence: u64,
}

/// When targets were last heard, and how fast they are.
#[derive(Debug, Default)]
pub(crate) struct TargetWatch {
    heard: BTreeMap<TargetName, Heard>,
    /// Moving averages in milliseconds over the reports of entry hosts.
    run_times: BTreeMap<RangeHolder, f64>,
    /// Targets not heard yet count from then.
    since: Timestamp,
}

impl TargetWatch {
    /// Starts anew: what was heard before says nothing to a new leader.
    pub(crate) fn restart(&mut self, now: Timestamp) {
        self.since = now;
    }

    /// Notes an announcement. Returns whether it is the newest of its run.
    pub(crate) fn note_beat(&mut self, now: Timestamp, beat: &TargetBeat) -> bool {
        let run = beat.record.run;
        let sequence = beat.sequence;
        let first = Heard { at: now, run, sequence: 0 };
        let heard = self.heard.entry(beat.record.name.clone()).or_insert(first);
        if run < heard.run || (run == heard.run && sequence < heard.sequence) {
            return false;
        }
        *heard = Heard { at: now, run, sequence };
        true
    }

    /// Notes a sign of life.
    pub(crate) fn note_heard(&mut self, now: Timestamp, name: &TargetName) {
        if let Some(heard) = self.heard.get_mut(name) {
            heard.at = now;
        } else {
            self.heard.insert(name.clone(), Heard { at: now, run: 0, sequence: 0 });
        }
    }

    /// Notes that a target answered an entry host.
    pub(crate) fn note_run_time(&mut self, now: Timestamp, run_time: &RunTime) {
        /// Weight of one report.
        const WEIGHT: f64 = 0.1;
        self.note_heard(now, &run_time.holder.target);
        let newest = f64::from(run_time.milliseconds);
        let average = self.run_times.entry(run_time.holder.clone()).or_insert(newest);
        *average += WEIGHT * (newest - *average);
    }

    fn silence(&self, now: Timestamp, name: &TargetName) -> Duration {
        let at = self.heard.get(name).map_or(self.since, |heard| heard.at.max(self.since));
        now.since(at)
    }

    /// Targets that have been silent for so long that they are to be removed.
    pub(crate) fn lost(&self, now: Timestamp, state: &FleetState) -> Vec<RangeHolder> {
        let targets = state.targets().iter();
        let lost = targets.filter(|target| self.silence(now, &target.name) > REMOVAL_TIME);
        lost.map(|target| target.holder()).collect()
    }

    /// Forgets targets that the state no longer has.
    pub(crate) fn forget(&mut self, state: &FleetState) {
        self.heard.retain(|name, _| state.target(name).is_some());
        self.run_times.retain(|holder, _| {
            state.target(&holder.target).is_some_and(|target| target.run == holder.run)
        });
    }

    /// The runs that hold, or may be given, keys of `service`, sorted by holder.
    pub(crate) fn candidates(
        &self,
        now: Timestamp,
        state: &FleetState,
        service: &ServiceName,
    ) -> Vec<RangeCandidate> {
        let typical = self.typical_run_time(state, service);
        let live = state.targets().iter().filter(|target| target.service == *service);
        let mut candidates: Vec<RangeCandidate> = live
            .map(|target| RangeCandidate {
                holder: target.holder(),
                zone: target.zone.clone(),
                standing: match target.phase {
                    TargetPhase::Draining => HolderStanding::Leaving,
                    TargetPhase::Serving if self.silence(now, &target.name) > SILENCE_TIME => {
                        HolderStanding::Silent
                    }
                    TargetPhase::Serving => HolderStanding::Serving,
                },
                speed: self.speed(&target.holder(), typical),
            })
            .collect();
        let gone = state.departed().iter().filter(|departed| departed.record.service == *service);
        candidates.extend(gone.map(|departed| RangeCandidate {
            holder: departed.record.holder(),
            zone: departed.record.zone.clone(),
            standing: match departed.cause {
                DepartureCause::Left => HolderStanding::Leaving,
                DepartureCause::Silent => HolderStanding::Silent,
                DepartureCause::Ended => HolderStanding::Ended,
            },
            speed: 1.0,
        }));
        candidates.sort_by(|a, b| a.holder.cmp(&b.holder));
        candidates.dedup_by(|later, earlier| later.holder == earlier.holder);
        candidates
    }

    fn typical_run_time(&self, state: &FleetState, service: &ServiceName) -> Option<f64> {
        let targets = state.targets().iter().filter(|target| target.service == *service);
        let times = targets.filter_map(|target| self.run_times.get(&target.holder()));
        let mut times: Vec<f64> = times.copied().collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }

    fn speed(&self, holder: &RangeHolder, typical: Option<f64>) -> f64 {
        let own = self.run_times.get(holder).copied().filter(|time| *time > 0.0);
        let speed = own.zip(typical).map_or(1.0, |(own, typical)| typical / own);
        speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
    }
}
