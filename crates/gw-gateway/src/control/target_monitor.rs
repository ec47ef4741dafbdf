use std::collections::BTreeMap;
use std::time::Duration;

use gw_balance::LimitTable;
use gw_balance::TargetLimit;
use gw_balance::WarmthTable;
use gw_fleet::DepartureCause;
use gw_fleet::FleetState;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_ranges::AcceptanceEstimator;
use gw_ranges::HolderStatus;
use gw_ranges::ProcessingTimeEstimator;
use gw_ranges::RangeCandidate;
use gw_ranges::RangeHolder;
use gw_ranges::StatedPace;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;

use crate::link::RunReport;
use crate::ports::TargetAnnouncement;

/// Time without an announcement or response after which a target counts as silent: the time of
/// about three announcements.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_800);
/// Time without an announcement or response after which a target is removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(9);
/// Bounds of a target's speed relative to the others, so that a few exceptional requests do not
/// cause keys to move.
const SPEED_BOUNDS: (f64, f64) = (0.2, 3.0);

/// Age from which a limit no longer keeps keys away from a target. Without keys it gets no request
/// and cannot say that the limit has ended. Entry hosts respect the limit until it says so.
const MAX_LIMIT_AGE: Duration = Duration::from_secs(10);
/// Smallest relative speed of a target that has named a limit or turns requests away.
const MIN_LIMITED_SPEED: f64 = 0.02;
/// Processing time that is assumed for a service whose targets' times are not known.
const DEFAULT_PROCESSING_SECONDS: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct LastContact {
    at: Timestamp,
    run: u64,
    /// Highest sequence number of the run.
    sequence: u64,
}

/// Tracks when each target was last heard and how fast it processes requests.
#[derive(Debug, Default)]
pub(crate) struct TargetMonitor {
    contacts: BTreeMap<TargetName, LastContact>,
    /// Processing times, estimated from the reports of entry hosts.
    estimators: BTreeMap<RangeHolder, ProcessingTimeEstimator>,
    /// Fractions of requests that targets take, from the reports of entry hosts.
    acceptance: BTreeMap<RangeHolder, AcceptanceEstimator>,
    /// Limits on the rate of requests that targets have named, as reported by entry hosts.
    limits: LimitTable,
    /// Processing times that targets have stated, from the reports of entry hosts.
    paces: BTreeMap<RangeHolder, StatedPace>,
    /// Which targets are cold, from their announcements and responses.
    pub(crate) warmth: WarmthTable,
    /// Start of the observation. A target that was not heard since then counts as heard at this
    /// time.
    started_at: Timestamp,
}

impl TargetMonitor {
    /// Restarts the observation. Called when this host gains or loses the leadership: a new leader
    /// cannot rely on what it heard as a follower.
    pub(crate) fn restart(&mut self, now: Timestamp) {
        self.started_at = now;
    }

    /// Records an announcement. Returns whether it is the newest of its run.
    pub(crate) fn record_announcement(
        &mut self,
        now: Timestamp,
        announcement: &TargetAnnouncement,
    ) -> bool {
        let run = announcement.record.run;
        let sequence = announcement.sequence;
        let first = LastContact { at: now, run, sequence: 0 };
        let contact = self.contacts.entry(announcement.record.name.clone()).or_insert(first);
        if run < contact.run || (run == contact.run && sequence < contact.sequence) {
            return false;
        }
        *contact = LastContact { at: now, run, sequence };
        true
    }

    /// Records that a target was heard.
    pub(crate) fn record_contact(&mut self, now: Timestamp, name: &TargetName) {
        if let Some(contact) = self.contacts.get_mut(name) {
            contact.at = now;
        } else {
            self.contacts.insert(name.clone(), LastContact { at: now, run: 0, sequence: 0 });
        }
    }

    /// Records requests that a target answered, as reported by an entry host.
    pub(crate) fn record_answered(
        &mut self,
        now: Timestamp,
        state: &FleetState,
        report: &RunReport,
    ) {
        self.record_contact(now, &report.holder.target);
        let Some(target) = state.live_target(&report.holder) else { return };
        if report.runs > 0 {
            let total = Duration::from_millis(u64::from(report.milliseconds));
            let estimator = self.estimators.entry(report.holder.clone()).or_default();
            estimator.record(now, report.runs, total, target.work_slots);
        }
    }

    /// Records requests that a target turned away, as reported by one of `host_count` entry hosts.
    pub(crate) fn record_turned_away(
        &mut self,
        now: Timestamp,
        state: &FleetState,
        report: &RunReport,
        host_count: usize,
    ) {
        if state.live_target(&report.holder).is_none() {
            return;
        }
        let rest = Duration::from_millis(u64::from(report.rest_millis));
        let estimator = self.estimators.get(&report.holder);
        let answered = estimator.map_or(0.0, |estimator| estimator.recent_requests(now));
        let acceptance = self.acceptance.entry(report.holder.clone()).or_default();
        acceptance.record_turned_away(now, report.rests, rest, host_count, answered);
    }

    /// Records the processing time, in percent of the usual one, that a target has stated to an entry
    /// host.
    pub(crate) fn record_pace(
        &mut self,
        now: Timestamp,
        state: &FleetState,
        holder: &RangeHolder,
        percent: u16,
    ) {
        if state.live_target(holder).is_none() || percent == 0 {
            return;
        }
        self.paces.entry(holder.clone()).or_default().record(now, f64::from(percent) / 100.0);
    }

    /// Records what a target said to an entry host about the rate of requests that it takes. Returns
    /// whether its limit has changed.
    pub(crate) fn record_limit(&mut self, limit: TargetLimit) -> bool {
        self.limits.record(limit)
    }

    /// Returns the limits that targets have named.
    pub(crate) fn limits(&self) -> &LimitTable {
        &self.limits
    }

    fn silence(&self, now: Timestamp, name: &TargetName) -> Duration {
        let at = self
            .contacts
            .get(name)
            .map_or(self.started_at, |contact| contact.at.max(self.started_at));
        now.since(at)
    }

    /// Returns the targets that have been silent for so long that they have to be removed.
    pub(crate) fn expired(&self, now: Timestamp, state: &FleetState) -> Vec<RangeHolder> {
        let targets = state.targets().iter();
        let expired = targets.filter(|target| self.silence(now, &target.name) > REMOVAL_TIMEOUT);
        expired.map(|target| target.holder()).collect()
    }

    /// Drops records of targets and runs that are not in the replicated state.
    pub(crate) fn retain_registered(&mut self, now: Timestamp, state: &FleetState) {
        self.contacts.retain(|name, _| state.target(name).is_some());
        self.estimators.retain(|holder, _| state.live_target(holder).is_some());
        self.acceptance.retain(|holder, _| state.live_target(holder).is_some());
        self.paces.retain(|holder, _| state.live_target(holder).is_some());
        self.limits.expire(now, |holder| state.live_target(holder).is_some());
    }

    /// Returns the target runs that hold, or may be given, keys of `service`, sorted by holder.
    pub(crate) fn candidates(
        &self,
        now: Timestamp,
        state: &FleetState,
        service: &ServiceName,
    ) -> Vec<RangeCandidate> {
        let typical = self.typical_processing_time(now, state, service);
        let live = state.targets().iter().filter(|target| target.service == *service);
        let mut candidates: Vec<RangeCandidate> = live
            .map(|target| RangeCandidate {
                holder: target.holder(),
                zone: target.zone.clone(),
                status: self.status(now, state, target),
                speed: self.speed(now, target, typical),
                is_answering: self.is_answering(now, target),
            })
            .collect();
        let departed =
            state.departed().iter().filter(|departed| departed.record.service == *service);
        candidates.extend(departed.map(|departed| RangeCandidate {
            holder: departed.record.holder(),
            zone: departed.record.zone.clone(),
            status: match departed.cause {
                DepartureCause::Left => HolderStatus::Draining,
                DepartureCause::Silent => HolderStatus::Silent,
                DepartureCause::Ended => HolderStatus::Ended,
            },
            speed: 1.0,
            is_answering: false,
        }));
        candidates.sort_by(|a, b| a.holder.cmp(&b.holder));
        candidates.dedup_by(|later, earlier| later.holder == earlier.holder);
        candidates
    }

    /// Returns the status of a target that has not departed.
    fn status(&self, now: Timestamp, state: &FleetState, target: &TargetRecord) -> HolderStatus {
        let is_silent = self.silence(now, &target.name) > SILENCE_TIMEOUT;
        match (target.phase, state.is_evacuated(&target.zone)) {
            (TargetPhase::Draining, _) => HolderStatus::Draining,
            // A silent holder may turn out to be alive and be given keys, so that an evacuated one
            // counts as draining.
            (TargetPhase::Serving, true) if is_silent => HolderStatus::Draining,
            (TargetPhase::Serving, true) => HolderStatus::Evacuated,
            (TargetPhase::Serving, false) if is_silent => HolderStatus::Silent,
            (TargetPhase::Serving, false) if self.warmth.cold_rate(now, target).is_some() => {
                HolderStatus::Cold
            }
            (TargetPhase::Serving, false) => HolderStatus::Serving,
        }
    }

    /// Whether the target has answered requests a short time ago.
    fn is_answering(&self, now: Timestamp, target: &TargetRecord) -> bool {
        let estimator = self.estimators.get(&target.holder());
        estimator.is_some_and(|estimator| now.since(estimator.recorded_at()) < SILENCE_TIMEOUT)
    }

    /// Returns the time in seconds that a target needs for one request, excluding queueing at the
    /// target.
    fn processing_time(&self, now: Timestamp, target: &TargetRecord) -> Option<f64> {
        let estimator = self.estimators.get(&target.holder())?;
        estimator.processing_time(now).filter(|time| *time > 0.0)
    }

    /// Returns the number of requests per second that a holder can process, if known. `None` for cold
    /// holders, which get requests only by permits.
    pub(crate) fn capacity(
        &self,
        now: Timestamp,
        state: &FleetState,
        holder: &RangeHolder,
    ) -> Option<f64> {
        let target = state.live_target(holder)?;
        if self.warmth.cold_rate(now, target).is_some() {
            return None;
        }
        Some(f64::from(target.work_slots.max(1)) / self.processing_time(now, target)?)
    }

    /// Returns the median processing time of a service's targets, in seconds.
    fn typical_processing_time(
        &self,
        now: Timestamp,
        state: &FleetState,
        service: &ServiceName,
    ) -> Option<f64> {
        let targets = state.targets().iter().filter(|target| target.service == *service);
        let mut times: Vec<f64> =
            targets.filter_map(|target| self.processing_time(now, target)).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }

    fn speed(&self, now: Timestamp, target: &TargetRecord, typical: Option<f64>) -> f64 {
        let own = self.processing_time(now, target);
        let speed = own.zip(typical).map_or(1.0, |(own, typical)| typical / own);
        let pace = self.paces.get(&target.holder());
        let speed = pace.map_or(speed, |pace| pace.limit(now, speed));
        let speed = speed.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
        let acceptance = self.acceptance.get(&target.holder());
        let taken = acceptance.map_or(1.0, |acceptance| acceptance.fraction(now));
        let speed = if taken < 1.0 { (speed * taken).max(MIN_LIMITED_SPEED) } else { speed };
        let limit = self.limits.find(&target.name, target.run);
        let limit = limit.filter(|limit| now.since(limit.stated_at) < MAX_LIMIT_AGE);
        let named = limit.and_then(|limit| limit.per_second);
        let limits = [named, self.warmth.cold_rate(now, target)];
        let Some(per_second) = limits.into_iter().flatten().min_by(f64::total_cmp) else {
            return speed;
        };
        let typical = typical.unwrap_or(DEFAULT_PROCESSING_SECONDS);
        let limited = per_second * typical / f64::from(target.work_slots.max(1));
        speed.min(limited.max(MIN_LIMITED_SPEED))
    }
}
