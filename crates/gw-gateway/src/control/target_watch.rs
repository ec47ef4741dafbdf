use std::collections::BTreeMap;
use std::time::Duration;

use gw_fleet::DepartureCause;
use gw_fleet::FleetState;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_ranges::HolderStatus;
use gw_ranges::ProcessingTimeEstimator;
use gw_ranges::RangeCandidate;
use gw_ranges::RangeHolder;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::link::RunReport;
use crate::ports::TargetAnnouncement;

/// Time without an announcement or answer after which a target is silent: three announcements.
const SILENCE_TIME: Duration = Duration::from_millis(2_800);
/// Time without an announcement or answer after which a target is removed.
const REMOVAL_TIME: Duration = Duration::from_secs(9);
/// Bounds of a target's speed relative to the others, so that a few odd runs move no keys.
const SPEED_BOUNDS: (f64, f64) = (0.2, 3.0);

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
    /// Runs that entry hosts reported.
    meters: BTreeMap<RangeHolder, ProcessingTimeEstimator>,
    /// Targets not heard yet count from then.
    since: Timestamp,
}

impl TargetWatch {
    /// Starts anew: what was heard before says nothing to a new leader.
    pub(crate) fn restart(&mut self, now: Timestamp) {
        self.since = now;
    }

    /// Notes an announcement. Returns whether it is the newest of its run.
    pub(crate) fn note_beat(&mut self, now: Timestamp, beat: &TargetAnnouncement) -> bool {
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
    pub(crate) fn note_runs(&mut self, now: Timestamp, state: &FleetState, report: &RunReport) {
        self.note_heard(now, &report.holder.target);
        let target = state.target(&report.holder.target);
        let Some(target) = target.filter(|target| target.run == report.holder.run) else { return };
        let total = Duration::from_millis(u64::from(report.milliseconds));
        let meter = self.meters.entry(report.holder.clone()).or_default();
        meter.record(now, report.runs, total, target.work_slots);
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
        self.meters.retain(|holder, _| {
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
        let typical = self.typical_work_time(now, state, service);
        let live = state.targets().iter().filter(|target| target.service == *service);
        let mut candidates: Vec<RangeCandidate> = live
            .map(|target| RangeCandidate {
                holder: target.holder(),
                zone: target.zone.clone(),
                status: match target.phase {
                    TargetPhase::Draining => HolderStatus::Leaving,
                    TargetPhase::Serving if self.silence(now, &target.name) > SILENCE_TIME => {
                        HolderStatus::Silent
                    }
                    TargetPhase::Serving => HolderStatus::Serving,
                },
                speed: self.speed(now, target, typical),
            })
            .collect();
        let gone = state.departed().iter().filter(|departed| departed.record.service == *service);
        candidates.extend(gone.map(|departed| RangeCandidate {
            holder: departed.record.holder(),
            zone: departed.record.zone.clone(),
            status: match departed.cause {
                DepartureCause::Left => HolderStatus::Leaving,
                DepartureCause::Silent => HolderStatus::Silent,
                DepartureCause::Ended => HolderStatus::Ended,
            },
            speed: 1.0,
        }));
        candidates.sort_by(|a, b| a.holder.cmp(&b.holder));
        candidates.dedup_by(|later, earlier| later.holder == earlier.holder);
        candidates
    }

    /// Time of one run at a target in seconds, without waiting there.
    fn work_time(&self, now: Timestamp, target: &TargetRecord) -> Option<f64> {
        let meter = self.meters.get(&target.holder())?;
        meter.processing_time(now).filter(|time| *time > 0.0)
    }

    /// Runs a second that a holder can do, if known.
    pub(crate) fn capacity(
        &self,
        now: Timestamp,
        state: &FleetState,
        holder: &RangeHolder,
    ) -> Option<f64> {
        let target = state.target(&holder.target).filter(|target| target.run == holder.run)?;
        Some(f64::from(target.work_slots.max(1)) / self.work_time(now, target)?)
    }

    /// Median over the targets of a service.
    fn typical_work_time(
        &self,
        now: Timestamp,
        state: &FleetState,
        service: &ServiceName,
    ) -> Option<f64> {
        let targets = state.targets().iter().filter(|target| target.service == *service);
        let mut times: Vec<f64> =
            targets.filter_map(|target| self.work_time(now, target)).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }

    fn speed(&self, now: Timestamp, target: &TargetRecord, typical: Option<f64>) -> f64 {
        let own = self.work_time(now, target);
        let speed = own.zip(typical).map_or(1.0, |(own, typical)| typical / own);
        speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1)
    }
}
